"""The release controller on sockets. Proxies and machines connect to it; it sends node lists, stages and
tallies, answers votes and receives the webhooks of pipelines. One of several controllers that share a
store is the leader; the others are standbys.

Decisions are made in rounds by `stages.Stages`, whose writer is the Controller. What a round decides is
sent only after the store has it on disk."""

import json
import sqlite3

from .. import host
from ..interface import FULL, MOOT, SUCCEEDED
from ..wire import control_pb2 as c, frames, http
from ..wire.asking import receive_request
from . import outbox, webhooks
from .stages import Stages
from .store import Fenced
from .turns import LeaderLease

WIRE_STATUS = {SUCCEEDED: c.OK, MOOT: c.MOOT, FULL: c.FULL}
ROUND_INTERVAL_MS = 25.0  # longest time between two rounds
HEARD_INTERVAL_MS = 1000.0  # shortest time between two events about signs of life of one proxy
PEERS_INTERVAL_MS = 100.0  # time between two announcements of new proxies
WEBHOOK_TIMEOUT_MS = 10000.0  # within which a webhook must have arrived completely
SHUTDOWN_TIMEOUT_MS = 3000.0  # how long the shutdown waits for the store's disk


class Link:
    """The connection of one proxy or of the machines, with a queue of the messages to be sent on it."""

    def __init__(self, stream, capacity):
        """`capacity` is the greatest number of queued messages."""
        self.stream = stream
        self.queue = host.Mailbox(capacity)
        self.id = None
        self.role = None
        self.capacity = capacity
        self.heard_event_at = -1e18  # when this link last caused a "heard" event, ms

    def put(self, due, data, message=None):
        """Queues `data` to be sent at `due` (ms); `message` is recorded when it is sent. If the queue is
        full, because the peer does not read, closes the link and returns False; the peer reconnects and
        resumes from the revision that it has."""
        if self.queue.put((due, data, message)):
            return True
        self.stream.close()
        return False


class Controller:
    """One controller process: leader election, rounds, links of proxies and machines, webhooks. It is the
    writer of Stages."""

    def __init__(self, fleet, mine, rollout, size, log, news_delay=lambda: 0.0, on_sent=None):
        """`fleet` and `mine` are the settings of the fleet and of this controller, `rollout` an
        interface.Rollout, `size` the number of nodes at rest. A script may delay news by `news_delay()` ms.
        `on_sent(at, proxy, message)` is called as each list or stage is sent to a proxy."""
        self.logger = log
        self.news_delay = news_delay
        self.on_sent = on_sent or (lambda *x: None)
        rollout.__dict__["vote_allowance"] = fleet.rollout.vote_allowance
        self.new_stages = lambda: Stages(
            rollout, size, len(fleet.zone), 4, mine.lease, mine.known_for, mine.quorum, mine.supersede
        )
        self.drain_grace = fleet.rollout.drain
        self.max_queued = mine.link_queue
        self.link_timeout = mine.lost_after
        self.tally_period = fleet.rollout.tally_period
        self.history_size = mine.history
        self.listen = mine.listen
        self.max_links = mine.most_links
        self.leader_lease = LeaderLease(mine.name, mine.patience)
        self.on_decision = lambda what, facts: None
        self.blocked_proxies = set()
        self.store = None
        self.calendar = None
        self.senders = []
        self.trail = None
        self.webhook_timeout = WEBHOOK_TIMEOUT_MS
        self.event_queue = host.Mailbox(65536)
        self.done = host.Once()
        self.leading = False
        self.closing = False
        # A round waits for the store's disk. Whatever else changes the stages must not interrupt it.
        self.round_lock = host.Turnstile()
        # For refusals: closing at once could discard an answer that the peer has not read yet.
        self.lingering_closes = host.LingeringCloses(64, 1000.0, 1 << 20)
        self.clear()

    def clear(self):
        """Resets the state to that of a process that has just started: another leader may have changed what
        this controller knew."""
        # Revisions start again from 0, so the epoch must be new: under an earlier epoch a proxy whose
        # revision happens to agree would mistake its old list for the present one.
        self.epoch = int(host.wall() * 1000)
        self.stages = self.new_stages()
        self.links = {}
        self.machine_link = None
        self.machine_backlog = []
        self.reported_at = {}
        self.nodes = {}
        self.slot_of = {}
        self.revision = 0
        self.history = []
        self.tally_rows = {}
        self.moves = []
        self.pending = []
        self.dirty = False
        self.in_round = False
        self.writing = False
        self.list_pending = False
        self.nodes_known = True
        self.new_peers = {}
        self.taken_orders = set()
        self.order_answers = []
        self.outgoing = []
        self.active_freeze = None
        self.event_queue.drain()

    # ---- leader election ----

    def is_leader(self):
        """True while this controller is the leader and its lease is valid by its own clock, whatever the
        store said last."""
        return self.leading and (not self.store or self.leader_lease.is_valid(host.now()))

    def try_to_lead(self):
        """Becomes the leader if the lease is free, and restores the state from the store."""
        observed = self.store.lease_state()
        if not self.leader_lease.poll(host.now(), *observed):
            return
        begun = host.now()
        epoch = self.store.acquire_lease(self.leader_lease.name, observed)
        if epoch is None:
            return
        self.clear()
        self.epoch, self.store.seen_data_version = epoch, None
        self.leader_lease.record_acquisition(begun, host.now(), epoch)
        # `leading` is set only after the restore. The store is read in a thread, and a proxy that connects
        # meanwhile must not be sent the stage of a fleet at rest.
        self.restore_state()
        self.leading = True
        self.logger.info("acts", name=self.leader_lease.name, epoch=epoch, before=observed[1])
        for sender in self.senders:
            sender.start()

    def run_election(self):
        """Renews the lease as the leader; as a standby tries to take it over."""
        while True:
            host.sleep(self.leader_lease.renew_every)
            try:
                if not self.leading:
                    self.try_to_lead()
                else:
                    begun = host.now()
                    self.store.renew_lease()
                    self.leader_lease.record_renewal(begun, host.now())
            except Fenced:
                self.step_down()
            except sqlite3.Error as error:
                self.logger.error("leader lease not read or written", why=str(error))

    def step_down(self):
        """Becomes a standby after another controller took over. Closes all links; the peers find the new
        leader when they reconnect."""
        if not self.leading:
            return
        self.leading = False
        self.leader_lease.record_loss(host.now())
        self.logger.warning(
            "leadership lost to another controller", name=self.leader_lease.name, epoch=self.epoch
        )
        self.store.epoch = None
        for link in [*self.links.values(), *([self.machine_link] if self.machine_link else [])]:
            link.stream.close()
        self.clear()

    def close(self):
        """Shuts down in order: stores what was decided and gives up the lease, so that a standby may take
        over at once."""
        self.closing = True
        for sender in self.senders:
            sender.stopped = True
        if self.store:
            shutdown = host.spawn(self.release_leadership)
            host.join([shutdown], SHUTDOWN_TIMEOUT_MS)
            if not shutdown.ready():
                self.logger.error(
                    "leader lease not released: the store's disk does not answer", for_ms=SHUTDOWN_TIMEOUT_MS
                )
        self.leading = False
        for greenlet in self.greenlets:
            host.stop(greenlet)
        self.listener.close()
        if self.trail:
            self.trail.close()

    def release_leadership(self):
        """Runs a last round, gives up the lease and closes the store."""
        try:
            if self.leading:
                self.round(self.event_queue.drain())
            if self.leading:
                self.store.release_lease()
            self.store.close()
        except (sqlite3.Error, Fenced) as error:
            self.logger.error("leader lease not released", why=str(error))

    # ---- start ----

    def start(self):
        """Opens the listener and starts the greenlets."""
        self.listener = host.Listener(self.listen)
        self.leading = not self.store
        self.greenlets = [
            host.spawn(host.serve, self.listener, self.handle, self.logger, self.max_links),
            *(
                host.spawn(task)
                for task in (
                    self.run_rounds,
                    self.announce_peers,
                    self.broadcast_tallies if self.tally_period else None,
                    self.run_election if self.store else None,
                )
                if task
            ),
        ]
        if self.trail:
            host.spawn(self.trail.run)  # ends by itself after the trail is closed and written
        self.logger.info("serving", at=self.listener.where)

    def join_election(self):
        """Starts as the leader, or as a standby where another controller leads."""
        if not self.store:
            self.leading = True
            return self.restore_state()
        try:
            self.try_to_lead()
        # Locked by another process for longer than a write waits; run_election tries again.
        except sqlite3.Error as error:
            self.logger.error("leader lease not read or written", why=str(error))
        if not self.leading:
            self.logger.info("stands by", name=self.leader_lease.name)

    def restore_state(self):
        """Restores the rollout from the store; starts with the fleet at rest where the store is empty."""
        restored = self.store.restore() if self.store else None
        if restored:
            saved, downtime = restored
            # Until the machines have reported their nodes, none is known. A list sent now would tell the
            # proxies that all nodes are gone; without one they keep the list that they have.
            self.nodes_known = False
            self.stages.restore(host.now(), saved, 1000 * downtime)
            self.logger.info(
                "taken up",
                build=self.stages.version,
                stage=self.stages.stage,
                phase=self.stages.phase,
                away_s=round(downtime, 3),
            )
        else:
            self.event_queue.put(("begin",))

    # ---- webhooks of pipelines ----

    def serve_webhook(self, pipelines, tolerance, stream):
        """Serves one connection of a pipeline, with a request `POST /hooks/<pipeline>`. `pipelines` maps
        names to webhooks.Pipeline; `tolerance` of timestamps in seconds. The answer is sent after the
        delivery is on disk."""
        try:
            request = receive_request(
                stream, http.RequestReader(16384, webhooks.MAX_BODY_BYTES), self.webhook_timeout
            )
            if request is None:
                return
            method, url, headers, body, _ = request
            status, text = self.handle_delivery(pipelines, tolerance, method, url, headers, body)
            stream.send(
                http.answer(status, [(b"content-type", b"application/json")], text.encode(), False), 5000
            )
        except http.BadRequest as error:
            try:
                stream.send(http.answer(error.status, [], error.why.encode() + b"\n", False), 5000)
            except (OSError, host.Timeout):
                pass
        except (OSError, host.Timeout):
            pass
        finally:
            self.lingering_closes.close(stream)

    def handle_delivery(self, pipelines, tolerance, method, url, headers, body):
        """(HTTP status, JSON text) in answer to a webhook. A repeated delivery gets the answer that the
        first one got, whatever has happened since."""
        name = url.decode("latin-1").partition("?")[0].removeprefix("/hooks/")
        try:
            if method != b"POST" or name not in pipelines:
                raise webhooks.Refused(404, "no such pipeline")
            delivery_id, build = webhooks.check(pipelines[name], headers, body, host.wall(), tolerance)
        except webhooks.Refused as refused:
            self.logger.warning("webhook refused", pipeline=name[:64], status=refused.status, why=refused.why)
            return refused.status, json.dumps(dict(error=refused.why)) + "\n"
        earlier_answer = self.store.find_answer(name, delivery_id)
        if earlier_answer:
            return earlier_answer
        if not self.is_leader():
            return 503, json.dumps(dict(error="this controller stands by; another acts")) + "\n"
        with self.round_lock:
            # While this one waited, a repeat of it may have been stored, and leadership may have been lost.
            earlier_answer = self.store.find_answer(name, delivery_id)
            if earlier_answer or not self.is_leader():
                return earlier_answer or (
                    503,
                    json.dumps(dict(error="another controller acts by now; send it again")) + "\n",
                )
            is_new = build > self.stages.version and build not in self.stages.queue
            status = 202 if is_new else 409
            text = json.dumps(dict(build=build, offered=is_new)) + "\n"
            stages = self.stages
            # Applied directly and not by an event: the state stored with the next delivery must contain this
            # build too.
            if is_new:
                stages.offered(build)
            try:
                self.store.deliver(name, delivery_id, build, status, text, stages.saved())
            except (sqlite3.Error, Fenced) as error:
                if is_new:
                    stages.queue.remove(build)
                self.logger.error("webhook not stored", why=str(error) or "another controller is the leader")
                return 503, json.dumps(dict(error="it could not be written down; send it again")) + "\n"
        self.logger.info("webhook", pipeline=name, id=delivery_id, build=build, offered=is_new)
        return status, text

    # ---- rounds ----

    def run_rounds(self):
        """Runs a round for each batch of events, and at least one per ROUND_INTERVAL_MS."""
        while not self.closing:
            if self.leading and not self.is_leader():
                host.sleep(ROUND_INTERVAL_MS)  # the lease expired: events wait until it is known who leads
                continue
            first = self.event_queue.take(ROUND_INTERVAL_MS)
            if first:
                host.sleep(0)  # lets other greenlets add events, which then share this round's write
            events = ([first] if first else []) + self.event_queue.drain()
            if self.is_leader() and not self.closing:
                self.round(self.external_events() + events)

    def external_events(self):
        """Events from outside the event queue: calendar freezes, and operators' orders in the store."""
        events = []
        why = self.calendar.freeze_reason(host.wall()) if self.calendar else None
        if why != self.active_freeze:
            self.active_freeze = why
            events.append(("frozen", why))
        if self.store:
            try:
                orders = [order for order in self.store.new_orders() if order[0] not in self.taken_orders]
            except sqlite3.Error as error:
                self.logger.error("orders not read", why=str(error))
                orders = []
            # An order is carried out once, even if its answer has to wait until the store can be written.
            self.taken_orders.update(order[0] for order in orders)
            events += [("order", *order) for order in orders]
        return events

    def announce_peers(self):
        """Announces new proxies to all, in batches: a thousand proxies that connect at once must
        not cause a million messages."""
        while True:
            host.sleep(PEERS_INTERVAL_MS)
            peers, self.new_peers = self.new_peers, {}
            if peers:
                data = frames.pack(
                    peers=c.Peers(
                        more=True, peers=[c.Peer(id=i, address=a) for i, a in sorted(peers.items())]
                    )
                )
                for link in list(self.links.values()):
                    link.put(0.0, data)

    def round(self, events):
        """Applies `events` in one round. Its decisions are sent only after they are on disk; while the
        store cannot be written they are held back."""
        with self.round_lock:
            self.run_round(events)

    def run_round(self, events):
        """The round itself, under `round_lock`."""
        epoch, self.in_round = self.epoch, True
        self.stages.round(host.now(), events, self)
        self.in_round = False
        if self.store and (self.moves or self.dirty):
            self.writing = True
            try:
                self.store.record(self.moves, self.stages.saved(), self.order_answers, self.outgoing)
            except sqlite3.Error as error:
                self.logger.error("state not kept", why=str(error), waiting=len(self.pending))
                return
            except Fenced:
                return self.step_down()
            finally:
                self.writing = False
            if self.epoch != epoch:
                return  # leadership changed during the write; the state in memory is of another epoch
        if self.trail:
            for what, facts in self.moves:
                build = facts.get("build")
                self.trail.append("decision", what=what, request=f"build {build}", epoch=self.epoch, **facts)
        if self.outgoing:
            for sender in self.senders:
                sender.wake()
        self.taken_orders -= {number for number, *_ in self.order_answers}
        self.moves, self.dirty, pending, self.pending = [], False, self.pending, []
        self.order_answers = []
        self.outgoing = []
        self.list_pending = False
        for link, *what in pending:
            link.put(*what)

    def send_when_stored(self, link, *what):
        """Sends on `link`, after the next write to the store if decisions wait for one."""
        if self.in_round or self.writing or self.pending:
            self.pending.append((link, *what))
        else:
            link.put(*what)

    def send_list_in_order(self, link, *what):
        """Sends a node list. A list caused by a report of the machines depends on no decision and does
        not wait for the disk, unless an earlier list still does."""
        if self.in_round or self.list_pending:
            self.list_pending = True
            self.pending.append((link, *what))
        else:
            link.put(*what)

    def event(self, *event):
        """Queues an event (a name and its arguments) for the next round."""
        if not self.event_queue.put(event):
            self.logger.error("event dropped: the event queue is full", event=event[0])

    # ---- the writer of Stages ----

    def place(self, slot, version, zone, cell, warm):
        """Orders the machines to start a node."""
        self.send_to_machines(
            frames.pack(
                place=c.Place(slot=slot, build=version, zone=zone, cell=cell, warm=warm, epoch=self.epoch)
            )
        )

    def remove(self, slot):
        """Notifies the proxies that the node in `slot` is draining, and orders the machines to end it after the
        drain grace."""
        node_id = next((n for n, s in self.slot_of.items() if s == slot), None)
        if node_id in self.nodes:
            self.nodes[node_id].state = c.DRAINING
            self.publish_changes([self.nodes[node_id]])
        # The drain grace starts when the proxies are notified, so it is extended by the news delay.
        self.send_to_machines(
            frames.pack(
                remove=c.Remove(slot=slot, drain=self.drain_grace + self.news_delay(), epoch=self.epoch)
            )
        )

    def send_to_machines(self, data):
        """Sends to the machines; without a link, keeps `data` until they connect."""
        self.dirty = True
        if self.machine_link:
            self.send_when_stored(self.machine_link, 0.0, data)
        else:
            self.machine_backlog.append(data)

    def stage(self):
        """Sends the present stage to all proxies."""
        for link in list(self.links.values()):
            self.send_stage(link)

    def answer(self, proxy, number, status):
        """Answers a proxy's vote; skipped if the proxy is not connected."""
        self.dirty = True
        if proxy in self.links:
            self.send_stage(self.links[proxy], number, WIRE_STATUS[status])

    def ordered(self, number, accepted, text):
        """Answers an operator's order by way of the store."""
        self.dirty = True
        self.order_answers.append((number, accepted, text))

    def log(self, what, facts):
        """Logs a decision and, with a store, adds it to the moves; a change of stage is also sent to the
        receivers of webhooks."""
        if self.store:
            self.moves.append((what, facts))
            if what == "stage":
                body = outbox.event_body(outbox.EVENT_TYPES[facts["phase"]], facts, host.wall())
                self.outgoing += [(sender.name, facts["build"], body) for sender in self.senders]
        self.logger.info(what, **facts)
        self.on_decision(what, facts)

    def send_stage(self, link, number=None, status=c.OK):
        """Sends the present stage: as news, or as the answer to the proxy's vote `number`, which is not
        delayed."""
        stages, delay = self.stages, self.news_delay() if number is None else 0.0
        message = c.Stage(
            answer=number is not None,
            stage=stages.stage,
            since=max(0.0, host.now() - stages.entered_at),
            cap=stages.cap,
            status=status,
            ver=stages.version,
            phase=stages.phase,
            number=number or 0,
            epoch=self.epoch,
        )
        self.send_when_stored(link, host.now() + delay, frames.pack(stage=message), message)

    # ---- the node list ----

    def publish_changes(self, nodes):
        """Sends changed nodes to all proxies under a new revision."""
        self.revision += 1
        self.history = (
            self.history + [(self.revision, [(n, host.now()) for n in map(self.copy_node, nodes)])]
        )[-self.history_size :]
        for link in list(self.links.values()):
            self.send_nodes(link, self.history[-1:])

    @staticmethod
    def copy_node(node):
        duplicate = c.Node()
        duplicate.CopyFrom(node)
        return duplicate

    def with_present_age(self, node, reported_at):
        """A copy whose age includes the time since the report; an age below 0 is left as it is."""
        node = self.copy_node(node)
        if node.age >= 0:
            node.age += host.now() - reported_at
        return node

    def send_nodes(self, link, changes=None):
        """Sends `changes`, as (revision, [(node, time of its report)]); None: the whole list."""
        if not self.nodes_known:
            return
        due = host.now() + self.news_delay()
        if changes is None:
            nodes = [
                self.with_present_age(node, self.reported_at[node_id])
                for node_id, node in sorted(self.nodes.items())
            ]
            changes = [(self.revision, nodes, True)]
        else:
            changes = [
                (number, [self.with_present_age(node, at) for node, at in reports], False)
                for number, reports in changes
            ]
        for revision, nodes, whole in changes:
            message = c.NodeList(revision=revision, whole=whole, nodes=nodes, epoch=self.epoch)
            self.send_list_in_order(link, due, frames.pack(list=message), message)

    def apply_report(self, report):
        """Applies a report of the machines about one node, and sends the change to the proxies."""
        node, known = report.node, self.nodes.get(report.node.id)
        if known and known.incarnation > node.incarnation and self.slot_of.get(node.id) == report.slot:
            return  # about a process that has been replaced already
        if node.state == c.GONE:
            if known and self.slot_of.get(node.id) == report.slot:
                del self.nodes[node.id], self.slot_of[node.id]
                self.reported_at.pop(node.id, None)
                self.publish_changes([node])
            self.event("gone", report.slot)
            return
        # A slot holds one node: what was known there under another id has been replaced.
        for node_id in [n for n, s in self.slot_of.items() if s == report.slot and n != node.id]:
            replaced = self.nodes.pop(node_id)
            del self.slot_of[node_id]
            replaced.state = c.GONE
            self.publish_changes([replaced])
        self.nodes[node.id] = self.copy_node(node)
        self.slot_of[node.id] = report.slot
        self.reported_at[node.id] = host.now()
        self.publish_changes([node])
        self.event("node", report.slot, node.state == c.READY)

    # ---- links ----

    def handle(self, stream):
        """Serves one connection of a proxy or of the machines until it ends."""
        if not self.is_leader():
            try:
                stream.send(frames.pack(refusal=c.Refusal(why="this controller stands by")), 1000)
            except (OSError, host.Timeout):
                pass
            return self.lingering_closes.close(stream)
        link, reader = Link(stream, self.max_queued), frames.FrameReader()
        writer = host.spawn(self.write_queue, link)
        try:
            while True:
                data = stream.recv(65536, self.link_timeout)
                if not data:
                    break
                for name, message in reader.feed(data):
                    if link.role is None and name != "hello":
                        raise frames.BadFrame(f"message '{name}' before the hello")
                    getattr(self, "from_" + name, lambda *x: None)(link, message)
                if link.role == c.PROXY and host.now() - link.heard_event_at > HEARD_INTERVAL_MS:
                    link.heard_event_at = host.now()
                    self.event("heard", link.id)
        except frames.BadFrame as error:
            self.logger.error("link sent garbage", id=link.id, why=str(error))
        except (OSError, host.Timeout) as error:
            self.logger.info("link lost", id=link.id, why=str(error) or "silent")
        finally:
            host.stop(writer)
            stream.close()
            if self.links.get(link.id) is link:
                del self.links[link.id]
                self.logger.info("proxy disconnected", id=link.id)
            if self.machine_link is link:
                self.machine_link = None

    def write_queue(self, link):
        """Sends the queued messages of a link in order; a delayed one also delays those behind it. Sends
        Alive after a second without a message."""
        try:
            while True:
                entry = link.queue.take(1000)
                if entry is None:
                    link.stream.send(frames.pack(alive=c.Alive()), 4000)
                    continue
                due, data, message = entry
                while due > host.now():
                    host.sleep(min(1000.0, due - host.now()))
                    if due > host.now():
                        link.stream.send(frames.pack(alive=c.Alive()), 4000)
                # A process that was paused must not send what it had queued: another may be the leader
                # by now.
                if not self.is_leader():
                    return link.stream.close()
                link.stream.send(data, 4000)
                if message is not None and link.role == c.PROXY:
                    self.on_sent(host.now(), link.id, message)
        except (OSError, host.Timeout):
            link.stream.close()

    # Each `from_` method handles one type of message; it is found by the message's name.

    def from_hello(self, link, message):
        """Registers a link. The machines get what was kept for them and all slots again; a proxy gets the
        nodes, the stage and the addresses of the other proxies."""
        link.role, link.id = message.role, message.id
        if message.role == c.MACHINES:
            self.machine_link = link
            backlog, self.machine_backlog = self.machine_backlog, []
            for data in backlog:
                link.put(0.0, data)
            self.stages.resend_slots(self)
            return
        if message.id in self.blocked_proxies:  # cut off by a script
            link.stream.reset()
            return
        previous = self.links.get(message.id)
        if previous:
            previous.stream.close()  # one link for each proxy: the new one replaces it
        self.links[message.id], link.address = link, message.signal_address
        link.put(0.0, frames.pack(welcome=c.Welcome(epoch=self.epoch)))
        missed = [change for change in self.history if change[0] > message.revision]
        # A resumed link gets only the changes that it missed, if the history reaches back far enough.
        resumed = (
            message.epoch == self.epoch
            and message.revision <= self.revision
            and (
                not missed
                and message.revision == self.revision
                or missed
                and missed[0][0] == message.revision + 1
            )
        )
        self.send_nodes(link, missed if resumed else None)
        self.send_stage(link)
        link.put(
            0.0,
            frames.pack(
                peers=c.Peers(
                    peers=[c.Peer(id=i, address=peer.address) for i, peer in sorted(self.links.items())]
                )
            ),
        )
        self.new_peers[message.id] = message.signal_address
        self.logger.info(
            "proxy here", id=message.id, resumed=bool(resumed), missed=len(missed) if resumed else -1
        )

    def from_vote(self, link, message):
        """Queues a proxy's vote; its figures are cut to 400 characters."""
        self.event(
            "vote",
            link.id,
            message.number,
            message.stage,
            message.ver,
            message.verdict,
            message.figures[:400],
        )

    def from_report(self, link, message):
        """Applies a report of the machines. After a restart, once they have reported all nodes, the list is
        sent to all proxies."""
        if link.role != c.MACHINES:
            return
        if message.HasField("node"):
            self.apply_report(message)
        if message.all and not self.nodes_known:
            self.nodes_known = True
            for proxy_link in list(self.links.values()):
                self.send_nodes(proxy_link)

    def from_ask(self, link, message):
        """A proxy asks for the whole list."""
        self.send_nodes(link)

    def from_counts(self, link, message):
        """Adds a proxy's counts to the sums of the present tally period."""
        for row in message.rows:
            sums = self.tally_rows.setdefault((row.ver, row.operation), [0, 0, 0.0])
            for n, value in enumerate((row.dispatches, row.bad, row.taken)):
                sums[n] += value

    def broadcast_tallies(self):
        """Sends the sums of the proxies' counts to all proxies, once per tally period."""
        while True:
            host.sleep(self.tally_period)
            rows, self.tally_rows = self.tally_rows, {}
            if rows:
                data = frames.pack(
                    tally=c.Tally(
                        age=self.news_delay(),
                        epoch=self.epoch,
                        rows=[
                            c.Count(ver=v, operation=o, dispatches=n, bad=b, taken=t)
                            for (v, o), (n, b, t) in sorted(rows.items())
                        ],
                    )
                )
                for link in list(self.links.values()):
                    link.put(host.now() + self.news_delay(), data)
