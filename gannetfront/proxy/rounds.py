"""The round loop on sockets: the one greenlet that steps a Carrier; dispatches fly in greenlets of their own.

Everyone else puts events into its box. What a full box means: a new invocation is not taken (throttled unseen),
anything else waits for room, as it must not be lost. A first success reaches its client at once, without a round.
"""

from .. import host
from ..calm.storm import StormDetector
from ..interface import ERROR, MOOT, RESET, SUCCEEDED
from ..trail import Refused
from .carrier import Carrier
from .flights import Flight


class Asked:  # what of an invocation its dispatches carry; its content is read by the codec alone
    __slots__ = "content", "name", "done", "begun", "tenant", "gone"

    def __init__(self, content, name, tenant):
        self.content, self.name, self.tenant, self.done, self.begun = (
            content,
            name,
            tenant,
            host.Once(),
            host.now(),
        )
        self.gone = lambda: False  # what the client's own socket says, whoever has read it


class Rounds:
    def __init__(self, make, tick, most_held, answer_limit, pools, log, me, codec):
        """`make()` gives a fresh Balancer: at the start, and again should a round ever raise. `codec` is the protocol to
        nodes: name_of(content), dispatch(content, addr, name, seq, limit) and Reply(limit), a reader of answers."""
        self.tick, self.most_held, self.answer_limit, self.codec = tick, most_held, answer_limit, codec
        self.pools, self.logger, self.name = pools, log, b"proxy/%d" % me
        self.box, self.flights, self.last = host.Mailbox(4 * most_held + 4096), {}, -1e9
        self.link, self.signals, self.said, self.why = None, None, "", b""
        self.wait, self.turned_away = (
            0.0,
            lambda op: None,
        )  # (why, ms) for an invocation that nothing is tried for now
        self.told_as, self.holds = (
            lambda addr, status: status,
            lambda verdict, ver: False,
        )  # what of outcomes and votes goes on
        self.carrier, self.spent, self.rounds = Carrier(make, self), 0.0, 0
        self.observe, self.trail, self.must = lambda *fields: None, None, ()
        self.watch, self.slo_times, self.advice = StormDetector(host.now()), (), lambda op: 0.0
        self.close_idle, self.refill, self.build_of = pools.close_idle, lambda: None, lambda addr: 0

    held = property(lambda self: self.carrier.held)
    balancer = property(lambda self: self.carrier.balancer)
    ends = property(lambda self: self.carrier.ends)

    def tell(self, *event):
        """An event for the decisions from another greenlet."""
        while not self.box.put(event):
            host.sleep(1)

    def know(self, facts, come_back, spread):
        """The settings' figures for what is told of invocations that the decisions never saw: `advice(op)` in ms."""
        self.slo_times = [o.slo_time for o in facts.operations]
        self.advice = lambda op: come_back(facts.retry_advice, self.slo_times[op], spread.random())

    def wake(self):
        """What was put straight into the carrier is met in the next round."""
        self.box.put(None)

    def take(self, op, tenant, key, left, *content):
        """A Held, or None when it was not taken; `why` says why, `wait` after how many ms it may come back."""
        refused = self.turned_away(op)
        if refused:
            self.watch.on_answer("throttled", False, tenant, op)
        elif len(self.held) >= self.most_held or len(self.box) >= self.box.most - 1024:
            refused = b"too much is held here", self.advice(op)
        elif self.trail and self.must[op] and self.trail.refuses():
            refused = (
                b"it cannot be written down now",
                self.advice(op),
            )  # nothing ran; who needs no disk goes on
        if refused:
            self.why, self.wait = refused
            return None
        asked = Asked(content, self.codec.name_of(content), tenant)
        held = self.carrier.take(op, tenant, key, host.now() + left, left, asked)
        self.wake()
        return held

    def leave(self, held, kind="gone", *facts):
        self.carrier.leave(held, kind, *facts)
        self.wake()

    # ---- the loop ----

    def run(self):
        while True:
            due = self.carrier.due()
            first = self.box.take(None if due is None else due - host.now())
            early = self.last + self.tick - host.now()
            if early > 0:
                host.sleep(early)
            now = self.last = host.now()
            self.carrier.events += [e for e in ([first] if first else []) + self.box.drain() if e]
            try:
                self.carrier.step(now)
            except Exception as trouble:  # noqa: BLE001 - a fault there must not lose what is held
                self.logger.error(
                    "decisions failed", why=f"{type(trouble).__name__}: {trouble}", held=len(self.held)
                )
                for flight in self.flights.values():
                    flight.stop.set()
                self.flights = {}
                self.carrier.restart()
                self.refill()
                continue
            self.rounds += 1
            self.spent += host.now() - now

    # ---- carrying out ----

    def ended(self, held, kind, facts):
        if kind == "terminated" and not facts:
            held.answer = kind, host.now() >= held.deadline - 5
        in_time = kind == "succeeded" and host.now() - held.extra.begun <= self.slo_times[held.op]
        self.watch.on_answer(kind, in_time, held.extra.tenant, held.op)
        if self.trail:
            self.trail.append("answer", request=held.extra.name, op=held.op, answer=kind)
        held.extra.done.set()

    def call_off(self, ident, seq):
        flight = self.flights.get((ident, seq))
        if flight:
            flight.stop.set()

    def launch(self, held, seq, addr, limit):
        life = self.carrier.life

        def stands(waited):
            return (
                held.answer is None
                and not held.extra.gone()
                and (not waited or self.carrier.stands(held, seq, life, host.now()))
            )

        flight = self.flights[held.ident, seq] = Flight(
            addr,
            lambda left: self.codec.dispatch(held.extra.content, addr, self.name, seq, left),
            limit,
            self.codec.Reply(self.answer_limit),
            stands,
        )
        # The pool as of now: what a list calls by this name later is another process than the one decided upon.
        host.spawn(self.fly, held, seq, flight, life, self.pools.of(addr))

    def fly(self, held, seq, flight, life, pool):
        try:
            status, answer = self.recorded(held, seq, flight, pool)
        except Exception as trouble:  # noqa: BLE001 - whatever a node's bytes led to, its dispatch must have an outcome
            # Without one the decisions believe it out for ever: its client waits, its node looks loaded.
            self.logger.error("dispatch failed", why=f"{type(trouble).__name__}: {trouble}", node=flight.addr)
            status, answer = RESET, None
        if status == SUCCEEDED:
            self.carrier.end(held, SUCCEEDED, *answer.content())
        took = host.now() - flight.begun
        if life == self.carrier.life:
            del self.flights[held.ident, seq]
            self.observe(flight.addr, held.op, status, took)
            self.watch.on_dispatch(self.build_of(flight.addr), status, status == SUCCEEDED)
            self.carrier.landed(
                held,
                seq,
                life,
                flight.addr,
                self.told_as(flight.addr, status),
                took,
                answer.load() if answer else {},
            )
            self.wake()

    def recorded(self, held, seq, flight, pool):
        """A dispatch; one that must not run twice only once its intent is on disk. Where that cannot be written it is not
        sent: nothing ran, so its client may be told that a repeat is harmless."""
        if not self.trail or not self.must[held.op]:
            return flight.fly(pool)
        facts = dict(request=held.extra.name, op=held.op, seq=seq, node=flight.addr)
        try:
            self.trail.written("intent", max(1.0, flight.left()), **facts)
        except Refused:
            # It may reach the disk yet: whoever reads it there must know that nothing was sent.
            self.trail.append("outcome", status=MOOT, **facts)
            return MOOT, None
        flight.waited_for()
        status, answer = flight.fly(pool)
        self.trail.append("outcome", status=status, **facts)
        return status, answer

    def vote(self, stage, ver, verdict):
        if self.holds(verdict, ver):
            # As one that did not get through: cast again soon. Not by `tell`, as this is who empties the box.
            self.carrier.events.append(("stage_told", True, stage, 0.0, 0.0, ERROR, ver, 0))
            self.wake()
            return
        self.link.vote(stage, ver, verdict, self.said)

    def signal(self, target, payload):
        self.signals.send(target, payload)

    def reload(self):
        self.link.ask_whole()

    def line(self, line):
        self.said = line
        self.logger.info("decision", line=line)
