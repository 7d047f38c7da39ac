"""An invocation is held only while a dispatch is in flight for it: one given up ends in the same round.

Each seed gives a random sequence of outcomes, list changes and stages. After every round the invocations that
the balancer holds are compared with those that are owed an answer.
"""

from dataclasses import replace

import pytest

from gannetfront import interface as i
from helpers import OPERATION_NAMES, OPERATIONS, BalancerHarness

FAILURES = i.ERROR, i.FULL, i.TIMEOUT, i.UNCONNECTED, i.RESET, i.MOOT
STATES = i.READY, i.READY, i.READY, i.DRAINING, i.GONE


class RandomRun:
    """One balancer under random events. `in_flight` maps (invocation, seq) to (server, end of its limit)."""

    def __init__(self, seed, facts):
        self.state = seed
        self.stage = BalancerHarness(facts)
        self.in_flight = {}
        self.open = set()
        self.ended = set()
        self.decisions_read = 0
        self.advice = facts["retry_advice"]
        self.given_up = 0

    def random(self, below):
        """Returns a random whole number from 0 to below - 1, from a linear congruential generator."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.state >> 33) % below

    def choice(self, options):
        return options[self.random(len(options))]

    def step(self):
        """Runs one round with random events, then checks the decisions."""
        stage, queue_event = self.stage, self.stage.queue.append
        stage.now += 5 + self.random(120)
        if not self.random(4):
            name, build = f"s{self.random(5)}", 1 + self.random(3)
            queue_event(
                (
                    "listed",
                    "changes",
                    (
                        (
                            name,
                            self.random(2),
                            build,
                            0,
                            0,
                            self.choice(STATES),
                            1.0,
                            stage.now * self.random(2),
                        ),
                    ),
                )
            )
        if not self.random(40):
            queue_event(("listed", "whole", (("s0", 0, 1, 0, 0, i.READY, 1.0, 0.0),)))
        if not self.random(20):
            queue_event(
                (
                    "stage_told",
                    False,
                    self.random(2),
                    0.0,
                    self.choice((0.0, 0.1, 1.0)),
                    i.SUCCEEDED,
                    1 + self.random(3),
                    self.random(4),
                )
            )
        for invocation in sorted(self.open):
            if not self.random(60):
                self.open.discard(invocation)
                self.ended.add(invocation)
                stage.queue.insert(0, ("client_gone", invocation))  # before an outcome of the same round
        for (invocation, seq), (server, limit_at) in list(self.in_flight.items()):
            timed_out = stage.now >= limit_at
            if timed_out or not self.random(6):
                status = i.TIMEOUT if timed_out else i.SUCCEEDED if self.random(3) else self.choice(FAILURES)
                self.end_dispatch(invocation, seq, status)
        for _ in range(self.random(4)):
            queue_event(
                (
                    "invocation",
                    stage.next_invocation_id,
                    None,
                    self.random(len(OPERATION_NAMES)),
                    0,
                    20.0 + self.random(3000),
                )
            )
            self.open.add(stage.next_invocation_id)
            stage.next_invocation_id += 1
        stage.flush()
        self.check()

    def end_dispatch(self, invocation, seq, status):
        server, _ = self.in_flight.pop((invocation, seq))
        if status == i.SUCCEEDED and invocation in self.open:
            self.open.discard(invocation)
            self.ended.add(invocation)
        self.stage.queue.append(
            ("outcome", invocation, seq, server, status, 50.0, invocation in self.ended, {})
        )

    def check(self):
        """Applies the decisions of the last round and compares what is held with what is owed an answer."""
        decisions, cancelled = self.stage.out.decisions, []
        for kind, *fields in decisions[self.decisions_read :]:
            if kind == "dispatch":
                seq = sum(
                    1
                    for earlier in decisions[: self.decisions_read]
                    if earlier[0] == "dispatch" and earlier[1] == fields[0]
                )
                self.in_flight[fields[0], seq] = fields[1], self.stage.now + fields[2]
                assert fields[0] in self.open, f"{fields[0]} sent after its end"
            elif kind == "cancel":
                cancelled.append((fields[0], fields[1]))
            elif kind in ("throttle", "terminate"):
                assert fields[0] in self.open, f"{fields[0]} ended twice"
                self.open.discard(fields[0])
                self.ended.add(fields[0])
                self.given_up += 1
                if kind == "throttle":
                    assert (0 < fields[1] <= self.advice) if self.advice else fields[1] == 0
            self.decisions_read += 1
        with_dispatch = {invocation for invocation, _ in self.in_flight}
        held = set(self.stage.balancer.invocations)
        assert held == self.open, "what is owed an answer and what is held differ"
        assert held <= with_dispatch, f"held with no dispatch in flight: {sorted(held - with_dispatch)}"
        for key in cancelled:  # the carrier reports the end of a cancelled dispatch in the next round
            if key in self.in_flight:
                self.end_dispatch(*key, i.CANCELLED)


@pytest.mark.parametrize(
    "duplicate,cancel,advice,late",
    [(True, True, 500.0, 0.2), (False, True, 0.0, 0.2), (False, False, 800.0, 0.0), (True, False, 0.0, 0.0)],
)
def test_held_only_while_a_dispatch_is_out(duplicate, cancel, advice, late):
    given_up = 0
    for seed in range(12):
        run = RandomRun(seed, dict(may_duplicate=duplicate, may_cancel=cancel, retry_advice=advice))
        run.stage.balancer.operations = [replace(op, late_value=late) for op in OPERATIONS.values()]
        for _ in range(150):
            run.step()
        given_up += run.given_up
    assert given_up > 500  # else the runs rarely gave a reason to give up, and the check above proves little
