"""gannet-release on sockets: proxies and machines come in, lists, stages and tallies go out, votes are answered."""

import json
import sqlite3

from .. import host
from ..interface import FULL, MOOT, SUCCEEDED
from ..wire import control_pb2 as c, frames, http
from ..wire.asking import asked
from . import outbox, webhooks
from .stages import Stages
from .store import Fenced
from .turns import LeaderLease

STATUS = {SUCCEEDED: c.OK, MOOT: c.MOOT, FULL: c.FULL}
ROUND = 25.0
HEARD_EVERY, INTRODUCE, HOOK_LIMIT = 1000.0, 100.0, 10000.0
LEAVE = 3000.0  # ms in which an ending controller waits for its disk


class Link:
    def __init__(self, stream, most):
        self.stream, self.out, self.id, self.role, self.most = stream, host.Mailbox(most), None, None, most
        self.heard = -1e18

    def put(self, due, data, note=None):
        """False where the peer does not read: its link is dropped and resumes from what it holds."""
        if self.out.put((due, data, note)):
            return True
        self.stream.close()
        return False


class Controller:
    def __init__(self, fleet, mine, rollout, size, log, late=lambda: 0.0, told=None):
        """`late()` is how long news waits before it is told (a script's doing); `told(at, proxy, message)` is called
        as each list or stage leaves for a proxy; `rollout` is an interface.Rollout."""
        self.logger, self.late, self.record = log, late, told or (lambda *x: None)
        rollout.__dict__["vote_allowance"] = fleet.rollout.vote_allowance
        self.at_rest = lambda: Stages(
            rollout, size, len(fleet.zone), 4, mine.lease, mine.known_for, mine.quorum, mine.supersede
        )
        self.drain, self.most_queue, self.lost = fleet.rollout.drain, mine.link_queue, mine.lost_after
        self.period, self.history_size = fleet.rollout.tally_period, mine.history
        self.listen, self.most_links, self.turn = (
            mine.listen,
            mine.most_links,
            LeaderLease(mine.name, mine.patience),
        )
        self.story, self.barred, self.store = lambda what, facts: None, set(), None
        self.calendar, self.senders, self.trail, self.hook_limit = None, [], None, HOOK_LIMIT
        self.box, self.done, self.acting, self.closing = host.Mailbox(65536), host.Once(), False, False
        # A round waits for the store's disk; what else changes the stages must not come into its middle.
        self.turnstile = host.Turnstile()
        self.lingering = host.LingeringCloses(
            64, 1000.0, 1 << 20
        )  # behind a refusal that a peer may not have read yet
        self.clear()

    def clear(self):
        """As a process that has just started: whatever an earlier turn held is another's to know now."""
        # Revisions begin anew with the process: under the epoch of an earlier one a proxy would take its old list for
        # this one's, where the numbers happen to agree.
        self.epoch, self.stages = int(host.wall() * 1000), self.at_rest()
        self.links, self.machines, self.waiting, self.noted = {}, None, [], {}
        self.nodes, self.slot_of, self.revision, self.history, self.rows = {}, {}, 0, [], {}
        self.moves, self.pending, self.touched, self.in_round = [], [], False, False
        self.writing, self.list_waits = False, False
        self.whole_known, self.new_peers = True, {}
        self.taken_up, self.ordered_now, self.letters, self.freeze = set(), [], [], None
        self.box.drain()

    # ---- whose turn it is ----

    def acts(self):
        """True while what this one says counts: by its own clock, not by what it last read."""
        return self.acting and (not self.store or self.turn.is_valid(host.now()))

    def try_turn(self):
        seen = self.store.turn()
        if not self.turn.poll(host.now(), *seen):
            return
        begun = host.now()
        epoch = self.store.take_turn(self.turn.name, seen)
        if epoch is None:
            return
        self.clear()
        self.epoch, self.store.read_at = epoch, None
        self.turn.record_acquisition(begun, host.now(), epoch)
        # Only with what the store says taken up: that is read in a thread, and a proxy that comes meanwhile must not be told of a
        # fleet at rest.
        self.take_up()
        self.acting = True
        self.logger.info("acts", name=self.turn.name, epoch=epoch, before=seen[1])
        for sender in self.senders:
            sender.begin()

    def turns(self):
        while True:
            host.sleep(self.turn.renew_every)
            try:
                if not self.acting:
                    self.try_turn()
                else:
                    begun = host.now()
                    self.store.keep_turn()
                    self.turn.record_renewal(begun, host.now())
            except Fenced:
                self.stand_down()
            except sqlite3.Error as trouble:
                self.logger.error("no sign left in the store", why=str(trouble))

    def stand_down(self):
        """Another acts. Whoever is connected finds it by coming back."""
        if not self.acting:
            return
        self.acting = False
        self.turn.record_loss(host.now())
        self.logger.warning("stands by: another controller acts", name=self.turn.name, epoch=self.epoch)
        self.store.epoch = None
        for link in [*self.links.values(), *([self.machines] if self.machines else [])]:
            link.stream.close()
        self.clear()

    def close(self):
        """An orderly end: what was decided is written, and another may act at once."""
        self.closing = True
        for sender in self.senders:
            sender.stopped = True
        if self.store:
            last = host.spawn(self.leave)
            host.join([last], LEAVE)
            if not last.ready():
                self.logger.error("turn not left: the store's disk does not answer", for_ms=LEAVE)
        self.acting = False
        for one in self.greenlets:
            host.stop(one)
        self.listener.close()
        if self.trail:
            self.trail.close()

    def leave(self):
        try:
            if self.acting:
                self.round(self.box.drain())
            if self.acting:
                self.store.leave_turn()
            self.store.close()
        except (sqlite3.Error, Fenced) as trouble:
            self.logger.error("turn not left", why=str(trouble))

    # ---- the round ----

    def start(self):
        self.listener = host.Listener(self.listen)
        self.acting = not self.store
        self.greenlets = [
            host.spawn(host.serve, self.listener, self.handle, self.logger, self.most_links),
            *(
                host.spawn(one)
                for one in (
                    self.run,
                    self.introduce,
                    self.tallies if self.period else None,
                    self.turns if self.store else None,
                )
                if one
            ),
        ]
        if self.trail:
            host.spawn(self.trail.run)  # ends by itself, once all is written
        self.logger.info("serving", at=self.listener.where)

    def begin(self):
        """Acts at once, or stands by where another does."""
        if not self.store:
            self.acting = True
            return self.take_up()
        try:
            self.try_turn()
        except (
            sqlite3.Error
        ) as trouble:  # held by another for longer than a write waits: looked at again before long
            self.logger.error("no sign left in the store", why=str(trouble))
        if not self.acting:
            self.logger.info("stands by", name=self.turn.name)

    def take_up(self):
        """The fleet at rest, or where the store says that it was."""
        known = self.store.restore() if self.store else None
        if known:
            saved, away = known
            # Until the machines have said what runs, this one knows of no node: a list from it would tell proxies that all
            # are gone. They go on by the one that they hold.
            self.whole_known = False
            self.stages.restore(host.now(), saved, 1000 * away)
            self.logger.info(
                "taken up",
                build=self.stages.version,
                stage=self.stages.stage,
                phase=self.stages.phase,
                away_s=round(away, 3),
            )
        else:
            self.box.put(("begin",))

    def hook(self, doors, tolerance, stream):
        """One connection of a pipeline: `POST /hooks/<pipeline>`; an answer only after the fact is on disk."""
        try:
            request = asked(stream, http.RequestReader(16384, webhooks.LONGEST), self.hook_limit)
            if request is None:
                return
            method, url, headers, body, _ = request
            status, text = self.delivered(doors, tolerance, method, url, headers, body)
            stream.send(
                http.answer(status, [(b"content-type", b"application/json")], text.encode(), False), 5000
            )
        except http.BadRequest as bad:
            try:
                stream.send(http.answer(bad.status, [], bad.why.encode() + b"\n", False), 5000)
            except (OSError, host.Timeout):
                pass
        except (OSError, host.Timeout):
            pass
        finally:
            self.lingering.close(stream)

    def delivered(self, doors, tolerance, method, url, headers, body):
        """(status, JSON text). A repeat gets the answer of the first, whatever has happened since."""
        name = url.decode("latin-1").partition("?")[0].removeprefix("/hooks/")
        try:
            if method != b"POST" or name not in doors:
                raise webhooks.Refused(404, "no such pipeline")
            ident, build = webhooks.check(doors[name], headers, body, host.wall(), tolerance)
        except webhooks.Refused as refused:
            self.logger.warning("webhook refused", pipeline=name[:64], status=refused.status, why=refused.why)
            return refused.status, json.dumps(dict(error=refused.why)) + "\n"
        before = self.store.answered(name, ident)
        if before:
            return before
        if not self.acts():
            return 503, json.dumps(dict(error="this controller stands by; another acts")) + "\n"
        with self.turnstile:
            # Its copy may have come while this one waited for the disk; the turn may have gone meanwhile.
            before = self.store.answered(name, ident)
            if before or not self.acts():
                return before or (
                    503,
                    json.dumps(dict(error="another controller acts by now; send it again")) + "\n",
                )
            fresh = build > self.stages.version and build not in self.stages.queue
            status = 202 if fresh else 409
            text = json.dumps(dict(build=build, offered=fresh)) + "\n"
            stages = self.stages
            if fresh:  # at once, not by an event: the next delivery's write must hold this one's build too
                stages.offered(build)
            try:
                self.store.deliver(name, ident, build, status, text, stages.saved())
            except (sqlite3.Error, Fenced) as trouble:
                if fresh:
                    stages.queue.remove(build)
                self.logger.error("webhook not kept", why=str(trouble) or "another controller acts")
                return 503, json.dumps(dict(error="it could not be written down; send it again")) + "\n"
        self.logger.info("webhook", pipeline=name, id=ident, build=build, offered=fresh)
        return status, text

    def run(self):
        while not self.closing:
            if self.acting and not self.acts():
                host.sleep(ROUND)  # its sign is late: what came waits until it is known who acts
                continue
            first = self.box.take(ROUND)
            if first:
                host.sleep(0)  # whoever else has sent something shares this round's write
            events = ([first] if first else []) + self.box.drain()
            if self.acts() and not self.closing:
                self.round(self.outside() + events)

    def outside(self):
        """What comes by other ways than the box: the calendar, and operators' orders in the store."""
        events = []
        why = self.calendar.freeze_reason(host.wall()) if self.calendar else None
        if why != self.freeze:
            self.freeze = why
            events.append(("frozen", why))
        if self.store:
            try:
                orders = [o for o in self.store.new_orders() if o[0] not in self.taken_up]
            except sqlite3.Error as trouble:
                self.logger.error("orders not read", why=str(trouble))
                orders = []
            # An order is taken up once, though its answer may have to wait for a store that can be written.
            self.taken_up.update(o[0] for o in orders)
            events += [("order", *o) for o in orders]
        return events

    def introduce(self):
        """Newcomers to all, some at a time: a thousand proxies that come at once must not mean a million messages."""
        while True:
            host.sleep(INTRODUCE)
            new, self.new_peers = self.new_peers, {}
            if new:
                data = frames.pack(
                    peers=c.Peers(more=True, peers=[c.Peer(id=i, address=a) for i, a in sorted(new.items())])
                )
                for link in list(self.links.values()):
                    link.put(0.0, data)

    def round(self, events):
        """What a round decided leaves only once it is on disk; while it cannot be written, nothing of it is told."""
        with self.turnstile:
            self.whole_round(events)

    def whole_round(self, events):
        epoch, self.in_round = self.epoch, True
        self.stages.round(host.now(), events, self)
        self.in_round = False
        if self.store and (self.moves or self.touched):
            self.writing = True
            try:
                self.store.record(self.moves, self.stages.saved(), self.ordered_now, self.letters)
            except sqlite3.Error as trouble:
                self.logger.error("state not kept", why=str(trouble), waiting=len(self.pending))
                return
            except Fenced:
                return self.stand_down()
            finally:
                self.writing = False
            if self.epoch != epoch:
                return  # the turn went while the disk was waited for: what is held now is another's
        if self.trail:
            for what, facts in self.moves:
                build = facts.get("build")
                self.trail.append("decision", what=what, request=f"build {build}", epoch=self.epoch, **facts)
        if self.letters:
            for sender in self.senders:
                sender.wake()
        self.taken_up -= {number for number, *_ in self.ordered_now}
        self.moves, self.touched, pending, self.pending = [], False, self.pending, []
        self.ordered_now, self.letters, self.list_waits = [], [], False
        for link, *what in pending:
            link.put(*what)

    def send(self, link, *what):
        if self.in_round or self.writing or self.pending:
            self.pending.append((link, *what))
        else:
            link.put(*what)

    def send_list(self, link, *what):
        """A list that a report of the machines led to rests on no decision: it does not wait for the disk, unless one that
        does is still to go."""
        if self.in_round or self.list_waits:
            self.list_waits = True
            self.pending.append((link, *what))
        else:
            link.put(*what)

    def event(self, *event):
        if not self.box.put(event):
            self.logger.error("event lost: the box is full", event=event[0])

    # ---- the writer of Stages ----

    def place(self, slot, ver, zone, cell, warm):
        self.machine(
            frames.pack(
                place=c.Place(slot=slot, build=ver, zone=zone, cell=cell, warm=warm, epoch=self.epoch)
            )
        )

    def remove(self, slot):
        addr = next((a for a, s in self.slot_of.items() if s == slot), None)
        if addr in self.nodes:
            self.nodes[addr].state = c.DRAINING
            self.changed([self.nodes[addr]])
        # What has been told to drain is stopped only after the drain, counted from when the news leaves.
        self.machine(
            frames.pack(remove=c.Remove(slot=slot, drain=self.drain + self.late(), epoch=self.epoch))
        )

    def machine(self, data):
        self.touched = True
        if self.machines:
            self.send(self.machines, 0.0, data)
        else:
            self.waiting.append(data)

    def stage(self):
        for link in list(self.links.values()):
            self.tell_stage(link)

    def answer(self, proxy, number, status):
        self.touched = True
        if proxy in self.links:
            self.tell_stage(self.links[proxy], number, STATUS[status])

    def ordered(self, number, fine, text):
        self.touched = True
        self.ordered_now.append((number, fine, text))

    def log(self, what, facts):
        if self.store:
            self.moves.append((what, facts))
            if what == "stage":
                body = outbox.event_body(outbox.EVENT_TYPES[facts["phase"]], facts, host.wall())
                self.letters += [(sender.name, facts["build"], body) for sender in self.senders]
        self.logger.info(what, **facts)
        self.story(what, facts)

    def tell_stage(self, link, number=None, status=c.OK):
        s, late = self.stages, self.late() if number is None else 0.0
        message = c.Stage(
            answer=number is not None,
            stage=s.stage,
            since=max(0.0, host.now() - s.entered_at),
            cap=s.cap,
            status=status,
            ver=s.version,
            phase=s.phase,
            number=number or 0,
            epoch=self.epoch,
        )
        self.send(link, host.now() + late, frames.pack(stage=message), message)

    # ---- the node list ----

    def changed(self, nodes):
        self.revision += 1
        self.history = (self.history + [(self.revision, [(n, host.now()) for n in map(self.copy, nodes)])])[
            -self.history_size :
        ]
        for link in list(self.links.values()):
            self.tell_list(link, self.history[-1:])

    @staticmethod
    def copy(node):
        other = c.Node()
        other.CopyFrom(node)
        return other

    def aged(self, node, noted):
        """Ages grow while they wait to be told."""
        node = self.copy(node)
        if node.age >= 0:
            node.age += host.now() - noted
        return node

    def tell_list(self, link, changes=None):
        """Changes by revision, or (None) the whole list."""
        if not self.whole_known:
            return
        due = host.now() + self.late()
        if changes is None:
            nodes = [self.aged(n, self.noted[a]) for a, n in sorted(self.nodes.items())]
            changes = [(self.revision, nodes, True)]
        else:
            changes = [(rev, [self.aged(n, at) for n, at in some], False) for rev, some in changes]
        for revision, nodes, whole in changes:
            message = c.NodeList(revision=revision, whole=whole, nodes=nodes, epoch=self.epoch)
            self.send_list(link, due, frames.pack(list=message), message)

    def on_report(self, m):
        node, before = m.node, self.nodes.get(m.node.id)
        if before and before.incarnation > node.incarnation and self.slot_of.get(node.id) == m.slot:
            return  # news of a process that has been followed by another
        if node.state == c.GONE:
            if before and self.slot_of.get(node.id) == m.slot:
                del self.nodes[node.id], self.slot_of[node.id]
                self.noted.pop(node.id, None)
                self.changed([node])
            self.event("gone", m.slot)
            return
        for addr in [a for a, s in self.slot_of.items() if s == m.slot and a != node.id]:
            old = self.nodes.pop(addr)
            del self.slot_of[addr]
            old.state = c.GONE
            self.changed([old])
        self.nodes[node.id], self.slot_of[node.id], self.noted[node.id] = self.copy(node), m.slot, host.now()
        self.changed([node])
        self.event("node", m.slot, node.state == c.READY)

    # ---- links ----

    def handle(self, stream):
        if not self.acts():
            try:
                stream.send(frames.pack(refusal=c.Refusal(why="this controller stands by")), 1000)
            except (OSError, host.Timeout):
                pass
            return self.lingering.close(stream)
        link, reader = Link(stream, self.most_queue), frames.FrameReader()
        writer = host.spawn(self.write, link)
        try:
            while True:
                data = stream.recv(65536, self.lost)
                if not data:
                    break
                for name, message in reader.feed(data):
                    if link.role is None and name != "hello":
                        raise frames.BadFrame(f"a {name} before any hello")
                    getattr(self, "from_" + name, lambda *x: None)(link, message)
                if link.role == c.PROXY and host.now() - link.heard > HEARD_EVERY:
                    link.heard = host.now()
                    self.event("heard", link.id)
        except frames.BadFrame as trouble:
            self.logger.error("link sent garbage", id=link.id, why=str(trouble))
        except (OSError, host.Timeout) as trouble:
            self.logger.info("link broke", id=link.id, why=str(trouble) or "silent")
        finally:
            host.stop(writer)
            stream.close()
            if self.links.get(link.id) is link:
                del self.links[link.id]
                self.logger.info("proxy away", id=link.id)
            if self.machines is link:
                self.machines = None

    def write(self, link):
        """In order: what is told late holds up what comes behind it, as news does."""
        try:
            while True:
                got = link.out.take(1000)
                if got is None:
                    link.stream.send(frames.pack(alive=c.Alive()), 4000)
                    continue
                due, data, note = got
                while due > host.now():
                    host.sleep(min(1000.0, due - host.now()))
                    if due > host.now():
                        link.stream.send(frames.pack(alive=c.Alive()), 4000)
                # Stopped for a while and going on, it must not say what it wanted to: another may act by now.
                if not self.acts():
                    return link.stream.close()
                link.stream.send(data, 4000)
                if note is not None and link.role == c.PROXY:
                    self.record(host.now(), link.id, note)
        except (OSError, host.Timeout):
            link.stream.close()

    def from_hello(self, link, m):
        link.role, link.id = m.role, m.id
        if m.role == c.MACHINES:
            self.machines = link
            waiting, self.waiting = self.waiting, []
            for data in waiting:
                link.put(0.0, data)
            self.stages.resend_slots(self)
            return
        if m.id in self.barred:  # a script's cut
            link.stream.reset()
            return
        other = self.links.get(m.id)
        if other:
            other.stream.close()  # its successor is here: one voice a proxy
        self.links[m.id], link.address = link, m.signal_address
        link.put(0.0, frames.pack(welcome=c.Welcome(epoch=self.epoch)))
        missed = [x for x in self.history if x[0] > m.revision]
        known = (
            m.epoch == self.epoch
            and m.revision <= self.revision
            and (not missed and m.revision == self.revision or missed and missed[0][0] == m.revision + 1)
        )
        self.tell_list(link, missed if known else None)
        self.tell_stage(link)
        link.put(
            0.0,
            frames.pack(
                peers=c.Peers(peers=[c.Peer(id=i, address=x.address) for i, x in sorted(self.links.items())])
            ),
        )
        self.new_peers[m.id] = m.signal_address
        self.logger.info("proxy here", id=m.id, resumed=bool(known), missed=len(missed) if known else -1)

    def from_vote(self, link, m):
        self.event("vote", link.id, m.number, m.stage, m.ver, m.verdict, m.figures[:400])

    def from_report(self, link, m):
        if link.role != c.MACHINES:
            return
        if m.HasField("node"):
            self.on_report(m)
        if m.all and not self.whole_known:
            self.whole_known = True
            for each in list(self.links.values()):
                self.tell_list(each)

    def from_ask(self, link, m):
        self.tell_list(link)

    def from_counts(self, link, m):
        for row in m.rows:
            sums = self.rows.setdefault((row.ver, row.operation), [0, 0, 0.0])
            for n, value in enumerate((row.dispatches, row.bad, row.taken)):
                sums[n] += value

    def tallies(self):
        while True:
            host.sleep(self.period)
            rows, self.rows = self.rows, {}
            if rows:
                data = frames.pack(
                    tally=c.Tally(
                        age=self.late(),
                        epoch=self.epoch,
                        rows=[
                            c.Count(ver=v, operation=o, dispatches=n, bad=b, taken=t)
                            for (v, o), (n, b, t) in sorted(rows.items())
                        ],
                    )
                )
                for link in list(self.links.values()):
                    link.put(host.now() + self.late(), data)
