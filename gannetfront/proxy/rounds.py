"""The round loop: the one owner of a Balancer. Everyone else puts events into its box; it carries out the decisions.

A round begins when something came in, at least `tick` after the one before. A first success reaches the client at
once from its dispatch, without waiting for a round. What a full box means: a new invocation is not taken (throttled
unseen), anything else waits for room, as it must not be lost.
"""
from heapq import heappop, heappush

from .. import host
from ..interface import MOOT, SUCCEEDED
from ..wire import http, invocation
from .flights import Flight


class Held:     # an invocation that is owed its answer
    def __init__(self, ident, op, path, headers, body, deadline):
        self.ident, self.op, self.path, self.headers, self.body = ident, op, path, headers, body
        self.deadline, self.answer, self.seq = deadline, host.Once(), 0


class Rounds:
    def __init__(self, make, tick, most_held, answer_limit, pools, log, me):
        """`make()` gives a fresh Balancer: at the start, and again should a round ever raise."""
        self.make, self.tick, self.most_held, self.answer_limit = make, tick, most_held, answer_limit
        self.pools, self.logger, self.name = pools, log, b"proxy/%d" % me
        self.balancer, self.box = make(), host.Mailbox(4 * most_held + 4096)
        self.held, self.flights, self.timers, self.last, self.count, self.life = {}, {}, [], -1e9, 0, 0
        self.link = self.signals = None
        self.spent, self.rounds, self.ends, self.builds = 0.0, 0, {}, {}
        self.observe = lambda *fields: None

    def tell(self, *event):
        while not self.box.put(event):
            host.sleep(1)

    def take(self, op, tenant, key, left, path, headers, body):
        """A Held, or None when as many as may be are held: then it was not taken."""
        if len(self.held) >= self.most_held or len(self.box) >= self.box.most - 1024:
            return None
        self.count += 1
        held = Held(self.count, op, path, headers, body, host.now() + left)
        self.held[held.ident] = held
        self.tell("invocation", held.ident, key, op, tenant, left)
        return held

    def end(self, held, kind, *facts):
        """The one final answer; False if there was one already."""
        if not held.answer.set((kind, *facts)):
            return False
        self.ends[kind, held.op] = self.ends.get((kind, held.op), 0) + 1
        return True

    def leave(self, held):
        """The client is gone or its time is up: the decisions are told, no answer is owed."""
        if self.end(held, "gone"):
            self.tell("client_gone", held.ident)

    # ---- the loop ----

    def run(self):
        while True:
            limit = self.timers[0][0] - host.now() if self.timers else None
            first = self.box.take(limit)
            early = self.last + self.tick - host.now()
            if early > 0:
                host.sleep(early)
            now = self.last = host.now()
            events = ([first] if first else []) + self.box.drain()
            while self.timers and self.timers[0][0] <= now:
                events.append(("timer", heappop(self.timers)[1]))
            self.acts = []
            try:
                self.balancer.round(now, events, self)
            except Exception as trouble:  # noqa: BLE001 - a fault there must not lose what is held
                self.restart(trouble)
                continue
            self.rounds += 1
            self.spent += host.now() - now
            for event in events:
                # Held until the decisions know its end: only then do they send nothing more for it.
                if event[0] == "client_gone" or event[0] == "outcome" and event[6]:
                    self.held.pop(event[1], None)
            for act, fields in self.acts:
                act(*fields)

    def restart(self, trouble):
        """Against a fault in the decisions: all that is held ends at once, terminated, and they start afresh with
        the list and stage at hand. Nothing is sent again: what ran is not known any more."""
        self.logger.error("decisions failed", why=f"{type(trouble).__name__}: {trouble}", held=len(self.held))
        for held in self.held.values():
            self.end(held, "terminated", False)
        for flight in self.flights.values():
            flight.stop.set()
        # What is in flight reports to nobody: the fresh decisions know neither it nor, perhaps, its node.
        self.held, self.flights, self.life = {}, {}, self.life + 1
        self.balancer, self.timers, self.acts = self.make(), [], []
        self.box.drain()
        self.refill()

    def refill(self):
        """Replaced by the proxy: tells a fresh Balancer the list and the stage last heard."""

    # ---- the writer: decisions are carried out after the round that made them ----

    def dispatch(self, ident, addr, limit):
        held = self.held[ident]
        self.acts.append((self.do_dispatch, (held, held.seq, addr, limit)))
        held.seq += 1

    def cancel(self, ident, seq):
        self.acts.append((self.do_cancel, (ident, seq)))

    def throttle(self, ident, retry_in):
        self.acts.append((self.do_end, (ident, "throttled", retry_in)))

    def terminate(self, ident):
        self.acts.append((self.do_end, (ident, "terminated", None)))

    def vote(self, stage, ver, verdict):
        self.acts.append((lambda *v: self.link.vote(*v), (stage, ver, verdict)))

    def signal(self, target, payload):
        self.acts.append((lambda *s: self.signals.send(*s), (target, payload)))

    def subscribe(self, enable):
        self.reload()

    def reload(self):
        self.acts.append((lambda: self.link.ask_whole(), ()))

    def close_idle(self, addr):
        self.acts.append((self.pools.close_idle, (addr,)))

    def probe(self, addr):
        """Never asked for: settings do not offer probes."""

    def timer(self, at, key):
        heappush(self.timers, (at, key))

    def log(self, line):
        self.logger.info("decision", line=line)

    # ---- carrying out ----

    def do_end(self, ident, kind, fact):
        held = self.held.pop(ident, None)
        if held:
            self.end(held, kind, host.now() >= held.deadline - self.tick if kind == "terminated" else fact)

    def do_cancel(self, ident, seq):
        flight = self.flights.get((ident, seq))
        if flight:
            flight.stop.set()

    def do_dispatch(self, held, seq, addr, limit):
        if held.answer.ready():
            # Ended between the round's events and now: the dispatch is never sent.
            self.tell("outcome", held.ident, seq, addr, MOOT, 0.0, True, {})
            return
        headers = invocation.onward(held.headers) + [
            (b"gannet-from", self.name), (b"gannet-dispatch", b"%d" % seq), (b"gannet-time-limit-ms", b"%.0f" % limit)]
        data = http.request(held.path, addr.encode(), headers, held.body)
        flight = self.flights[held.ident, seq] = Flight(addr, data, limit, self.answer_limit)
        host.spawn(self.fly, held, seq, flight, self.life)

    def fly(self, held, seq, flight, life):
        status, answer = flight.fly(self.pools.of(flight.addr))
        if status == SUCCEEDED:
            self.end(held, SUCCEEDED, answer.status, answer.headers, answer.body)
        took = host.now() - flight.begun
        if life == self.life:
            del self.flights[held.ident, seq]
            self.observe(flight.addr, held.op, status, took)
            self.tell("outcome", held.ident, seq, flight.addr, status, took, held.answer.ready(), {})
