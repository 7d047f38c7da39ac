"""Duties on sockets: leases by datagrams at the members' port, acts and operators' orders by streams, the work while one is held.

A duty's own file (seal.py, tenants.py) says what is done while it is held, what state is handed on, and what it does where it is acted
upon: `work(held)` in a greenlet that ends with the duty, `act(step, token)` at whoever is acted upon, and what of Duty is not as there.
"""

import json

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from .. import host
from ..wire import control_pb2 as c, duties as lease, frames
from .acts import NONCE_TTL, Gate, time_to_act
from .lease import span_upper_bound
from .post import Post

ASK, LOOK = 1000.0, 100.0  # ms: for a word of another proxy; between a holder's looks at whether it may act
SILENT, THERE = (
    1000.0,
    250.0,
)  # ms: a place that says nothing for so long is not waited for; how often one that works says it is there
STREAMS = 4096


class Duty:
    """What most duties have in common."""

    ORDERS = ()  # verbs of operators that it understands beside those of all

    def before(self):
        """(last step done here, token) from before a restart; raises ValueError for a file that says neither."""
        return 0, None

    def hint(self, holder):
        """Who holds it, as it is heard."""

    def state(self):
        """For a successor; at most 64 bytes."""
        return b""

    def told(self):
        """Facts for whoever asks for its status."""
        return {}

    def act(self, step, token):
        """Does a step where it acts: True once it is done."""
        return False

    def serve(self, stream, reader, hello):
        """A stream that comes to the holder, until it goes; False where nobody serves it."""
        return False

    def kept(self, path):
        """`before()` from a file that `keep` wrote."""
        data = host.read_file(path)
        if not data:
            return 0, None
        try:
            step, token = json.loads(data)
            return int(step), tuple(map(int, token))
        except (ValueError, TypeError):
            raise ValueError(
                f"{path}: not the last step of duty {self.name}: move it away to begin anew"
            ) from None

    @staticmethod
    def keep(path, step, token, limit=None):
        """On disk before it counts: who starts anew refuses what it refused before. Raises OSError, and Timeout after `limit` ms."""
        host.Apart(host.replace_file, path, json.dumps([step, token]).encode()).wait(limit)


class Lost(Exception):
    """The duty is not held any more, or not for long enough to act, or another proxy knows of a later holder."""


class Held:
    """What a duty's work is given: it acts through here, and each act asks anew whether it may."""

    def __init__(self, shell, post, token, rate, state):
        self.shell, self.post, self.token, self.rate, self.given = shell, post, token, rate, state

    def left(self):
        """ms that this proxy surely holds on; 0: it does not."""
        now, one = host.now(), self.post.candidate
        return one.expires_at - now if one.holds(now) == self.token else 0.0

    def others(self):
        return self.shell.alive()

    def ask(self, place):
        """The last step done at a place, and an open door there; raises OSError, Refused, Timeout, BadFrame."""
        return Visit(self, place)

    def refused(self, token):
        self.shell.refused(self.post.name, token)
        raise Lost()


class Visit:
    """One stream to whoever is acted upon."""

    def __init__(self, held, place):
        self.held, self.reader = held, frames.FrameReader(4096)
        self.stream = host.connect(held.shell.streams[place], ASK)
        try:
            self.enter()
        except BaseException:
            self.stream.close()
            raise

    def word(self, limit, **body):
        """The answer; raises Timeout after `limit` ms, and as soon as whoever is to answer does not even say that it is there."""
        end = host.now() + limit
        self.stream.send(frames.pack(**body), ASK)
        while True:
            data = self.stream.recv(4096, min(SILENT, max(0.0, end - host.now())))
            if not data:
                raise OSError("closed")
            for name, message in self.reader.feed(data):
                if name != "alive":
                    return name, message

    def enter(self):
        name, door = self.word(ASK, enter=c.Enter(duty=self.held.post.name))
        if name != "door":
            raise frames.BadFrame(f"a {name} for a door")
        self.nonce, self.step = door.nonce, door.step
        if tuple(door.token) > self.held.token:
            self.held.refused(tuple(door.token))

    def act(self, step, limit):
        """How it went there: "done", "again", or "refused"; raises Lost. The door is good for a moment only, the lease must outlast it."""
        if not time_to_act(self.held.left(), self.held.rate):
            raise Lost()
        doors = self.held.shell.doors.setdefault(self.held.post.name, {})
        doors[self] = host.now() + span_upper_bound(NONCE_TTL, self.held.rate)
        name, done = self.word(limit, act=c.Act(nonce=self.nonce, token=self.held.token, step=step))
        if name != "done":
            raise frames.BadFrame(f"a {name} for an act's end")
        doors.pop(self, None)  # it is known what became of it
        if tuple(done.token) > self.held.token:
            self.held.refused(tuple(done.token))
        self.step = done.step
        return done.how, done.why

    def close(self):
        self.stream.close()


class Duties:
    def __init__(self, mine, membership, made, busy, log, chance, acted=None):
        """`made` is {name: a duty of its own file}; `busy()` how much of this proxy's room is taken; `acted(duty, token, step, how, why, at)`
        is told of each act that this proxy was asked for, and when by the machine's clock. Raises ValueError."""
        self.log, self.me, self.members, self.made, self.busy = log, mine.me, membership, made, busy
        self.acted, self.stopping, self.wake, self.jobs = (
            acted or (lambda *x: None),
            False,
            host.Mailbox(1),
            {},
        )
        self.doors = {}  # duty -> {a visit: until when an act that it sent may still be let happen}
        self.streams = {mate.number: mate.duties for mate in mine.mate}
        for mate in mine.mate:
            host.address(mate.duties)
        zones, life = {m.number: m.zone for m in mine.mate}, int(chance.random() * 2**31)
        self.posts, self.outs, self.gates, self.rates, self.counts = {}, {}, {}, {}, {}
        for d in mine.duty:
            self.posts[d.name] = Post(
                d.name,
                mine.me,
                life,
                zones,
                tuple(d.elector),
                d.lease,
                d.clock_rate,
                host.Jitter(int(chance.random() * 2**53)),
                host.now(),
                tuple(d.elector_before),
                d.generation,
                tuple(d.prefer),
                d.settle,
            )
            self.outs[d.name], self.rates[d.name] = Out(self, d.name), d.clock_rate
            self.gates[d.name] = Gate(*made[d.name].before())
            self.counts[d.name] = dict(held=0, lost=0, refused=0, done=0)
        self.listener = host.Listener(mine.duties_listen or self.streams[mine.me])
        membership.duties = self

    def alive(self):
        return set(self.members.core.alive())

    # ---- leases ----

    def run(self):
        while not self.stopping:
            now = host.now()
            for name, post in self.posts.items():
                if now >= post.due_at():
                    post.tick(now, self.busy(), self.alive(), self.outs[name])
            self.wake.take(max(1.0, min(post.due_at() for post in self.posts.values()) - host.now()))

    def hear(self, source, duty, message):
        post = self.posts.get(duty)
        if post is None:
            self.members.dropped["duty"] += 1
            return
        before = post.due_at()
        post.hear(host.now(), source, message, self.outs[duty])
        if post.due_at() < before:
            self.wake.put(True)

    def gained(self, name, token, state):
        self.counts[name]["held"] += 1
        self.gates[name].observe_token(token)
        self.log.info("duty held", duty=name, token=token, why=self.posts[name].last)
        self.made[name].hint(self.me)
        if name in self.jobs:
            # It was over for a moment, before anybody looked, and a late word renewed it: its work must not run twice.
            host.stop(self.jobs.pop(name))
        self.jobs[name] = host.spawn(
            self.work, name, Held(self, self.posts[name], token, self.rates[name], state)
        )

    def lost(self, name, token, why):
        self.counts[name]["lost"] += 1
        self.log.info("duty let go", duty=name, token=token, why=why)
        if name in self.jobs:
            host.stop(self.jobs.pop(name))

    def heard(self, name, token):
        gate = self.gates[name]
        if token > gate.fence.highest:
            gate.observe_token(token)
            self.made[name].hint(token[1])
        post = self.posts[name]
        if post.candidate.token is not None and token > post.candidate.token:
            post.refused(host.now(), token, self.outs[name])

    def refused(self, name, token):
        """Whoever was acted upon knows of a later token than the one held here."""
        self.posts[name].refused(host.now(), token, self.outs[name])
        self.wake.put(True)

    def wait_for_doors(self, name):
        """Until nothing that earlier work here has sent can be let happen any more: it would come behind what follows."""
        host.sleep(max(self.doors.pop(name, {}).values(), default=0.0) - host.now())

    def rest(self, name):
        """Before it is handed on: the work ends, and what it has sent is over; at most as long as a door stays open."""
        if name in self.jobs:
            host.stop(self.jobs.pop(name))
            host.sleep(0)
        self.wait_for_doors(name)

    def work(self, name, held):
        """As long as it is held: what breaks is begun anew after a while, with the next look."""
        self.wait_for_doors(name)
        while held.left() > 0:
            try:
                self.made[name].work(held)
            except Lost:
                # Or what is left of the lease was too short for an act, as a renewal came late: then it is held on, and whoever
                # gave up here would hold it for ever and do nothing.
                pass
            except Exception as trouble:
                # Whatever it is: one that held on with its work ended would leave the duty undone for as long as it lives.
                self.log.error(
                    "duty's work broke", duty=name, why=str(trouble)[:200] or type(trouble).__name__
                )
            host.sleep(LOOK)

    # ---- streams ----

    def handle(self, stream):
        reader = frames.FrameReader(1 << 16)
        try:
            while True:
                data = stream.recv(4096, 10000)
                if not data:
                    return
                for name, message in reader.feed(data):
                    if name == "hello":
                        return self.to_holder(stream, reader, message)
                    answer = {"enter": self.entered, "act": self.act, "duty_order": self.ordered}.get(
                        name, self.unknown
                    )(stream, message)
                    stream.send(frames.pack(**answer), ASK)
        except (OSError, host.Timeout, frames.BadFrame) as trouble:
            self.log.info("duty stream broke", why=str(trouble) or "silent")
        finally:
            stream.close()

    def unknown(self, stream, message):
        raise frames.BadFrame(f"a {type(message).__name__} nobody waits for")

    def to_holder(self, stream, reader, message):
        post = self.posts.get(message.duty)
        if (
            post
            and post.candidate.holds(host.now())
            and message.duty in self.jobs
            and self.made[message.duty].serve(stream, reader, message)
        ):
            return
        holder = post.holder[1] if post and post.holder else None
        stream.send(
            frames.pack(refusal=c.Refusal(why="not held here" if holder is None else f"held by {holder}")),
            ASK,
        )

    def entered(self, stream, message):
        if message.duty not in self.gates:
            return dict(refusal=c.Refusal(why="no such duty here"))
        stream.duty = message.duty
        nonce, token, step = self.gates[message.duty].issue_nonce(host.now())
        return dict(door=c.Door(nonce=nonce, token=[max(0, n) for n in token], step=step))

    def act(self, stream, message):
        name = getattr(stream, "duty", None)
        if name is None or len(message.token) != 3:
            raise frames.BadFrame("an act before any door")
        gate, token = self.gates[name], tuple(message.token)
        # When it was let happen counts, not when it was done: whoever is stopped in its middle does the rest as it goes on.
        at = host.stamp()
        how, why = gate.act(host.now(), message.nonce, token, message.step)
        if how == "do":
            fine = False
            try:
                fine = self.working(stream, self.made[name].act, message.step, token)
            except Exception as trouble:
                why = str(trouble)[:100]
                self.log.error("act failed", duty=name, step=message.step, why=why)
            finally:
                gate.done(message.step, fine)
            how = "done" if fine else "refused"
        self.counts[name]["done" if how == "done" else "refused"] += how != "again"
        self.acted(name, token, message.step, how, why, at)
        if how == "refused":
            self.log.warning(
                "act refused", duty=name, token=token, highest=gate.fence.highest, step=message.step, why=why
            )
        return dict(
            done=c.Done(how=how, why=why, token=[max(0, n) for n in gate.fence.highest], step=gate.step)
        )

    @staticmethod
    def working(stream, call, *fields):
        """What the call returns; meanwhile the holder hears that it is being done, as a cut link would leave it waiting for as long
        as the slowest work takes."""
        job = host.Once()

        def tell():
            try:
                while not job.ready():
                    stream.send(frames.pack(alive=c.Alive()), ASK)
                    host.sleep(THERE)
            except (OSError, host.Timeout):
                pass  # the holder went: what was begun is done all the same

        host.spawn(tell)
        try:
            return call(*fields)
        finally:
            job.set()

    # ---- operators ----

    def ordered(self, stream, message):
        now = host.now()
        if message.verb == "status":
            return dict(
                duty_told=c.DutyTold(
                    fine=True,
                    text=json.dumps(
                        dict(
                            proxy=self.me,
                            alive=sorted(self.alive()),
                            duties=[{**p.status(now), **self.made[n].told()} for n, p in self.posts.items()],
                        )
                    ),
                )
            )
        post = self.posts.get(message.duty)
        if post is None or message.verb not in ("hand", "release", *self.made[message.duty].ORDERS):
            return dict(
                duty_told=c.DutyTold(
                    fine=False, text=f"no duty '{message.duty}', or no such order: {message.verb}"
                )
            )
        if post.candidate.holds(now) is None:
            holder = post.holder and post.holder[1]
            return dict(
                duty_told=c.DutyTold(
                    fine=False, text=json.dumps(dict(holder=holder, at=self.streams.get(holder)))
                )
            )
        if message.verb in self.made[message.duty].ORDERS:
            fine, text = self.made[message.duty].order(message.verb, message.about)
            return dict(duty_told=c.DutyTold(fine=fine, text=text))
        to = message.to if message.HasField("to") else None
        if message.verb == "hand" and (to is None or to not in self.alive() or to == self.me):
            return dict(duty_told=c.DutyTold(fine=False, text=f"{to} is not another proxy that is there"))
        state = self.made[message.duty].state()
        self.rest(message.duty)
        post.hand(host.now(), to, "an operator's order", state, self.outs[message.duty])
        return dict(duty_told=c.DutyTold(fine=True, text=f"let go{'' if to is None else f', for {to}'}"))

    def metrics(self):
        now = host.now()
        gauges = [
            GaugeMetricFamily("gannet_duty_" + name, what, labels=("duty",))
            for name, what in (
                ("held", "1 where this proxy holds it"),
                ("round", "round of the highest token heard of"),
                ("step", "last step done here"),
            )
        ]
        events = CounterMetricFamily(
            "gannet_duty_events", "times held and lost, acts done and refused here", labels=("duty", "what")
        )
        for name, post in self.posts.items():
            gate = self.gates[name]
            for gauge, value in zip(
                gauges, (post.candidate.holds(now) is not None, gate.fence.highest[0], gate.step)
            ):
                gauge.add_metric((name,), value)
            for what, count in self.counts[name].items():
                events.add_metric((name, what), count)
        return [*gauges, events]

    # ---- life ----

    def start(self):
        return [host.spawn(self.run), host.spawn(host.serve, self.listener, self.handle, self.log, STREAMS)]

    def stop(self):
        """Hands on what is held; members must still be there to carry the words."""
        for name, post in self.posts.items():
            self.rest(name)
            post.leave(host.now(), self.alive(), self.made[name].state(), self.outs[name])
        self.stopping = True
        self.wake.put(True)
        self.listener.close()


class Out:
    """Where a post writes to."""

    def __init__(self, shell, name):
        self.shell, self.name = shell, name

    def send(self, number, message):
        members = self.shell.members
        if number in members.addresses:
            members.send_datagram(number, lease.pack(members.fleet, self.shell.me, self.name, message))

    def gained(self, token, state):
        self.shell.gained(self.name, token, state)

    def lost(self, token, why):
        self.shell.lost(self.name, token, why)

    def heard(self, token):
        self.shell.heard(self.name, token)
