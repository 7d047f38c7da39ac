"""Connects a Balancer to the code that carries out its decisions, without I/O.

The Carrier keeps the invocations that are owed an answer, numbers the dispatches of each and holds the
balancer's timers. Its runner (proxy/rounds.py on sockets, lab/world.py in virtual time) appends to `events`,
calls `step`, and provides the functions that carry out decisions:
  launch(held, seq, address, limit)   sends a dispatch; its outcome is passed to `report_outcome`
  cancel_dispatch(invocation_id, seq) stops waiting for a dispatch
  on_answer(held, kind, details)      is called once with the final answer of an invocation
  vote, signal, reload, close_idle    as in interface.Writer
  log_decision(line)                  as Writer.log
"""

from heapq import heappop, heappush

from ..interface import MOOT


class HeldInvocation:
    """An invocation that is owed its answer.

    `deadline` is the time in ms by which it must be answered, `next_seq` the number of its next dispatch,
    `answer` the final answer as (kind, *details) or None, and `context` belongs to the runner."""

    __slots__ = "invocation_id", "operation", "deadline", "next_seq", "answer", "context"

    def __init__(self, invocation_id, operation, deadline, context):
        self.invocation_id = invocation_id
        self.operation = operation
        self.deadline = deadline
        self.context = context
        self.next_seq = 0
        self.answer = None


class Carrier:
    """Runs the rounds of one Balancer. It is the Writer that the balancer's decisions are written to."""

    def __init__(self, make_balancer, runner):
        """`make_balancer()` returns a fresh Balancer; `runner` provides the functions listed above."""
        self.make_balancer = make_balancer
        self.runner = runner
        self.balancer = make_balancer()
        self.held = {}
        self.timers = []
        self.decisions = []
        self.events = []
        self.last_id = 0
        self.generation = 0  # number of restarts: outcomes of dispatches from before one are ignored
        self.answer_counts = {}

    # ---- input ----

    def accept(self, operation, tenant, key, deadline, time_left, context):
        """Registers an invocation and returns it. The balancer receives it in the next step."""
        self.last_id += 1
        held = self.held[self.last_id] = HeldInvocation(self.last_id, operation, deadline, context)
        self.events.append(("invocation", held.invocation_id, key, operation, tenant, time_left))
        return held

    def finish(self, held, kind, *details):
        """Sets the final answer. Returns False if there is one already."""
        if held.answer is not None:
            return False
        held.answer = (kind, *details)
        self.answer_counts[kind, held.operation] = self.answer_counts.get((kind, held.operation), 0) + 1
        self.runner.on_answer(held, kind, details)
        return True

    def abandon(self, held, kind="gone", *details):
        """Ends an invocation whose client has gone or whose time is up, and informs the balancer."""
        if self.finish(held, kind, *details):
            self.events.append(("client_gone", held.invocation_id))

    def report_outcome(self, held, seq, generation, address, status, duration, load):
        """Reports the outcome of a dispatch. Ignored if the balancer was restarted since (`generation`)."""
        if generation == self.generation:
            self.events.append(
                ("outcome", held.invocation_id, seq, address, status, duration, held.answer is not None, load)
            )

    def may_send(self, held, seq, generation, now):
        """Tells, right before the first byte, whether a dispatch that had to wait is still to be sent."""
        return (
            generation == self.generation
            and held.answer is None
            and self.balancer.stands(now, held.invocation_id, seq)
        )

    def next_timer_due(self):
        """Returns the time of the next timer, or None."""
        return self.timers[0][0] if self.timers else None

    # ---- the round ----

    def step(self, now):
        """Runs one round with all events received so far, then carries out its decisions."""
        events, self.events = self.events, []
        while self.timers and self.timers[0][0] <= now:
            events.append(("timer", heappop(self.timers)[1]))
        self.decisions = []
        self.balancer.round(now, events, self)
        for event in events:
            # Dropped only after the balancer has received the end: from then on it sends nothing more for it.
            if event[0] == "client_gone" or event[0] == "outcome" and event[6]:
                self.held.pop(event[1], None)
        decisions, self.decisions = self.decisions, []
        for carry_out, arguments in decisions:
            carry_out(*arguments)

    def restart(self):
        """Starts over with a fresh balancer, and ends every held invocation as terminated.

        Dispatches in flight are ignored from now on, as the fresh balancer knows neither them nor, possibly,
        their nodes. Nothing is sent again, as it is no longer known what was executed."""
        held, self.held, self.generation = self.held, {}, self.generation + 1
        for one in held.values():
            self.finish(one, "terminated", False)
        self.balancer, self.timers, self.decisions, self.events = self.make_balancer(), [], [], []

    # ---- interface.Writer: decisions are carried out after the round that made them ----

    def dispatch(self, invocation_id, address, limit):
        held = self.held[invocation_id]
        self.decisions.append((self.launch_unless_answered, (held, held.next_seq, address, limit)))
        held.next_seq += 1

    def launch_unless_answered(self, held, seq, address, limit):
        if held.answer is not None:
            # Answered between the round's events and now: the dispatch is not sent.
            self.events.append(("outcome", held.invocation_id, seq, address, MOOT, 0.0, True, {}))
        else:
            self.runner.launch(held, seq, address, limit)

    def cancel(self, invocation_id, seq):
        self.decisions.append((self.runner.cancel_dispatch, (invocation_id, seq)))

    def throttle(self, invocation_id, retry_in):
        self.decisions.append((self.finish_by_id, (invocation_id, "throttled", retry_in)))

    def terminate(self, invocation_id):
        self.decisions.append((self.finish_by_id, (invocation_id, "terminated")))

    def finish_by_id(self, invocation_id, kind, *details):
        held = self.held.pop(invocation_id, None)
        if held:
            self.finish(held, kind, *details)

    def vote(self, stage, version, verdict):
        self.decisions.append((self.runner.vote, (stage, version, verdict)))

    def signal(self, target, payload):
        self.decisions.append((self.runner.signal, (target, payload)))

    def subscribe(self, enable):
        self.reload()

    def reload(self):
        self.decisions.append((self.runner.reload, ()))

    def close_idle(self, address):
        self.decisions.append((self.runner.close_idle, (address,)))

    def probe(self, address):
        """Does nothing: settings do not offer probes, so no probe is requested."""

    def timer(self, at, key):
        heappush(self.timers, (at, key))

    def log(self, line):
        self.runner.log_decision(line)
