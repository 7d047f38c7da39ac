"""The round loop on sockets: one greenlet steps the Carrier, and each dispatch runs in a greenlet of its own.

Other greenlets put events into the loop's bounded mailbox. When it is full a new invocation is throttled
before anything is executed; other events wait for room, as they must not be lost. The first success is handed
to its client at once, without waiting for a round.
"""

from .. import host
from ..calm.storm import StormDetector
from ..interface import ERROR, MOOT, RESET, SUCCEEDED
from ..memory import MemoryBudget, Purpose, Reservation
from ..trail import Refused
from .carrier import Carrier
from .flights import Flight
from .request import Request


class RoundLoop:
    """Takes invocations, runs the balancer's rounds and carries out its decisions on sockets.

    `decision_time` is the time spent in rounds so far, in ms. The functions `refusal_for`,
    `status_for_balancer`, `withholds_vote`, `on_outcome`, `on_dispatch_end`, `on_restart` and `build_of` may be
    replaced by the owner."""

    def __init__(self, make_balancer, tick, max_held, answer_limit, pools, log, number, codec, memory=None):
        """`make_balancer()` returns a fresh Balancer: at the start, and again if a round raises. `tick` is
        the minimum time between rounds in ms, `answer_limit` the largest answer in bytes, `number` this
        proxy's. `codec` is the protocol to nodes: name_of(content), dispatch(content, addr, name, seq, limit)
        and Reply(limit), a reader of answers. `memory` is the budget of what is held for invocations; without
        it there is no bound in bytes."""
        self.tick = tick
        self.max_held = max_held
        self.answer_limit = answer_limit
        self.codec = codec
        self.memory = memory or MemoryBudget()
        self.pools = pools
        self.logger = log
        self.name = b"proxy/%d" % number
        self.mailbox = host.Mailbox(4 * max_held + 4096)
        self.flights = {}
        self.last_round = -1e9
        self.link = None
        self.signals = None
        self.last_line = ""
        self.refusal_reason = b""
        self.retry_after = 0.0
        self.refusal_for = lambda operation: None  # (reason, ms) for an invocation that is refused now
        self.status_for_balancer = lambda address, status: status
        self.withholds_vote = lambda verdict, version: False
        self.carrier = Carrier(make_balancer, self)
        self.decision_time = 0.0
        self.round_count = 0
        self.on_outcome = lambda *fields: None
        self.on_dispatch_end = lambda held, seq, address, status, duration: None
        self.trail = None
        self.needs_trail = ()  # by operation
        self.watch = StormDetector(host.now())
        self.slo_times = ()
        self.retry_advice = lambda operation: 0.0
        self.close_idle = pools.close_idle
        self.on_restart = lambda: None
        self.build_of = lambda address: 0

    held = property(lambda self: self.carrier.held)
    balancer = property(lambda self: self.carrier.balancer)
    answer_counts = property(lambda self: self.carrier.answer_counts)

    def put_event(self, *event):
        """Puts an event for the balancer into the mailbox, from another greenlet. Waits while it is full."""
        while not self.mailbox.put(event):
            host.sleep(1)

    def set_retry_advice(self, deployment, come_back, generator):
        """Sets the SLO times, and the retry advice in ms for invocations that the balancer never got.

        `generator` spreads the advice, so that clients do not return together."""
        self.slo_times = [o.slo_time for o in deployment.operations]

        def retry_advice(operation):
            return come_back(deployment.retry_advice, self.slo_times[operation], generator.random())

        self.retry_advice = retry_advice

    def wake(self):
        """Starts a round for events that were appended to those of the carrier directly."""
        self.mailbox.put(None)

    def accept(self, operation, tenant, key, time_left, *content):
        """Returns the HeldInvocation of a new invocation, or None if it is refused.

        `refusal_reason` then holds the reason and `retry_after` the ms after which the client may retry."""
        refusal = self.refusal_for(operation)
        if refusal:
            self.watch.on_answer("throttled", False, tenant, operation)
        # The rest of the mailbox is kept for events that must not be lost.
        elif len(self.held) >= self.max_held or len(self.mailbox) >= self.mailbox.most - 1024:
            refusal = b"too much is held here", self.retry_advice(operation)
        elif self.trail and self.needs_trail[operation] and self.trail.refuses():
            refusal = (
                b"it cannot be written down now",
                self.retry_advice(operation),
            )  # nothing was executed; operations that need no disk are still served
        request = None
        if not refusal:
            request = Request(content, self.codec.name_of(content), tenant, self.memory)
            if not request.reserve():
                refusal = b"too little memory is left", self.retry_advice(operation)
        if refusal:
            self.refusal_reason, self.retry_after = refusal
            return None
        held = self.carrier.accept(operation, tenant, key, host.now() + time_left, time_left, request)
        self.wake()
        return held

    def abandon(self, held, kind="gone", *details):
        """Ends an invocation whose client has gone or whose time is up."""
        self.carrier.abandon(held, kind, *details)
        self.wake()

    # ---- the loop ----

    def run(self):
        """Runs a round whenever there are events or a timer is due, at most one in each `tick`."""
        while True:
            due = self.carrier.next_timer_due()
            first = self.mailbox.take(None if due is None else due - host.now())
            early = self.last_round + self.tick - host.now()
            if early > 0:
                host.sleep(early)
            now = self.last_round = host.now()
            self.carrier.events += [e for e in ([first] if first else []) + self.mailbox.drain() if e]
            try:
                self.carrier.step(now)
            except Exception as error:  # noqa: BLE001 - held invocations must not be lost
                self.logger.error(
                    "decisions failed", why=f"{type(error).__name__}: {error}", held=len(self.held)
                )
                for flight in self.flights.values():
                    flight.stop.set()
                self.flights = {}
                self.carrier.restart()
                self.on_restart()
                continue
            self.round_count += 1
            self.decision_time += host.now() - now

    # ---- carrying out decisions ----

    def on_answer(self, held, kind, details):
        """Records the final answer of an invocation and wakes the greenlet of its client."""
        # Ended by the balancer: within 5 ms of the deadline the answer says that the time is up.
        if kind == "terminated" and not details:
            held.answer = kind, host.now() >= held.deadline - 5
        in_time = (
            kind == "succeeded" and host.now() - held.context.arrived_at <= self.slo_times[held.operation]
        )
        self.watch.on_answer(kind, in_time, held.context.tenant, held.operation)
        if self.trail:
            self.trail.append("answer", request=held.context.name, op=held.operation, answer=kind)
        held.context.done.set()

    def cancel_dispatch(self, invocation_id, seq):
        """Stops waiting for a dispatch."""
        flight = self.flights.get((invocation_id, seq))
        if flight:
            flight.stop.set()

    def launch(self, held, seq, address, limit):
        """Starts a dispatch in a greenlet of its own."""
        generation = self.carrier.generation
        if not held.context.begin_dispatch():
            # Nothing is sent: there is too little memory for a further dispatch of this request.
            self.carrier.report_outcome(held, seq, generation, address, MOOT, 0.0, {})
            return self.wake()

        def still_wanted(waited):
            return (
                held.answer is None
                and not held.context.client_gone()
                and (not waited or self.carrier.may_send(held, seq, generation, host.now()))
            )

        flight = self.flights[held.invocation_id, seq] = Flight(
            address,
            lambda time_left: self.codec.dispatch(held.context.content, address, self.name, seq, time_left),
            limit,
            self.codec.Reply(self.answer_limit),
            still_wanted,
            Reservation(self.memory, Purpose.ANSWER),
        )
        # The pool as of now: a later list may give the address to another process than the chosen one.
        host.spawn(self.run_dispatch, held, seq, flight, generation, self.pools.pool_for(address))

    def run_dispatch(self, held, seq, flight, generation, pool):
        """Runs a dispatch to its end and reports its outcome, whatever happens."""
        try:
            status, answer = self.run_recorded(held, seq, flight, pool)
        except Exception as error:  # noqa: BLE001 - every dispatch must have an outcome
            # Else the balancer counts it as in flight for ever: the client waits, the node looks loaded.
            self.logger.error("dispatch failed", why=f"{type(error).__name__}: {error}", node=flight.address)
            status, answer = RESET, None
        if status == SUCCEEDED and self.carrier.finish(held, SUCCEEDED, *answer.content()):
            held.context.keep_answer(flight.memory)
        else:
            flight.memory.release()
        held.context.end_dispatch(status)
        duration = host.now() - flight.started_at
        if generation == self.carrier.generation:
            del self.flights[held.invocation_id, seq]
            self.on_outcome(flight.address, held.operation, status, duration)
            self.on_dispatch_end(held, seq, flight.address, status, duration)
            self.watch.on_dispatch(self.build_of(flight.address), status, status == SUCCEEDED)
            self.carrier.report_outcome(
                held,
                seq,
                generation,
                flight.address,
                self.status_for_balancer(flight.address, status),
                duration,
                answer.load() if answer else {},
            )
            self.wake()

    def run_recorded(self, held, seq, flight, pool):
        """Runs a dispatch; returns (status, complete answer or None).

        A dispatch that must not be executed twice is sent only once its intent is on disk. If the intent
        can't be written the dispatch is not sent: nothing was executed, so the client may be told that a
        retry is harmless."""
        if not self.trail or not self.needs_trail[held.operation]:
            return flight.run(pool)
        record = dict(request=held.context.name, op=held.operation, seq=seq, node=flight.address)
        try:
            self.trail.written("intent", max(1.0, flight.time_left()), **record)
        except Refused:
            # The intent may still reach the disk: a reader of the trail must learn that nothing was sent.
            self.trail.append("outcome", status=MOOT, **record)
            return MOOT, None
        flight.exclude_wait()
        status, answer = flight.run(pool)
        self.trail.append("outcome", status=status, **record)
        return status, answer

    def vote(self, stage, version, verdict):
        """Casts a vote, unless it is withheld."""
        if self.withholds_vote(verdict, version):
            # Reported as not delivered, so that it is cast again soon. Appended directly: `put_event` could
            # wait for ever here, as this greenlet is the one that empties the mailbox.
            self.carrier.events.append(("stage_told", True, stage, 0.0, 0.0, ERROR, version, 0))
            self.wake()
            return
        self.link.vote(stage, version, verdict, self.last_line)

    def signal(self, target, payload):
        """Sends a datagram to a peer, or to all ("*")."""
        self.signals.send(target, payload)

    def reload(self):
        """Requests the whole node list."""
        self.link.request_full_list()

    def log_decision(self, line):
        """Logs a line of the balancer. The last one goes with the next vote as its figures."""
        self.last_line = line
        self.logger.info("decision", line=line)
