"""An invocation is held only while a dispatch is out for it: whatever is given up on ends in that very round.

Drawn days of outcomes, listings and stages, each from its seed; after every round all that the decisions hold is looked at.
"""

from dataclasses import replace

import pytest

from gannetfront import interface as i
from helpers import OPERATION_NAMES, OPERATIONS, BalancerHarness

FAILED = i.ERROR, i.FULL, i.TIMEOUT, i.UNCONNECTED, i.RESET, i.MOOT
STATES = i.READY, i.READY, i.READY, i.DRAINING, i.GONE


class Day:
    def __init__(self, seed, facts):
        self.state, self.stage = seed, BalancerHarness(facts)
        self.out, self.open, self.ended, self.read, self.advice = {}, set(), set(), 0, facts["retry_advice"]
        self.gave_up = 0

    def draw(self, below):
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.state >> 33) % below

    def of(self, some):
        return some[self.draw(len(some))]

    def step(self):
        stage, tell = self.stage, self.stage.queue.append
        stage.now += 5 + self.draw(120)
        if not self.draw(4):
            name, build = f"s{self.draw(5)}", 1 + self.draw(3)
            tell(
                (
                    "listed",
                    "changes",
                    ((name, self.draw(2), build, 0, 0, self.of(STATES), 1.0, stage.now * self.draw(2)),),
                )
            )
        if not self.draw(40):
            tell(("listed", "whole", (("s0", 0, 1, 0, 0, i.READY, 1.0, 0.0),)))
        if not self.draw(20):
            tell(
                (
                    "stage_told",
                    False,
                    self.draw(2),
                    0.0,
                    self.of((0.0, 0.1, 1.0)),
                    i.SUCCEEDED,
                    1 + self.draw(3),
                    self.draw(4),
                )
            )
        for inv in sorted(self.open):
            if not self.draw(60):
                self.open.discard(inv)
                self.ended.add(inv)
                stage.queue.insert(0, ("client_gone", inv))  # before an outcome that came as it left
        for (inv, seq), (addr, ends) in list(self.out.items()):
            late = stage.now >= ends
            if late or not self.draw(6):
                status = i.TIMEOUT if late else i.SUCCEEDED if self.draw(3) else self.of(FAILED)
                self.landed(inv, seq, status)
        for _ in range(self.draw(4)):
            tell(
                (
                    "invocation",
                    stage.next_invocation_id,
                    None,
                    self.draw(len(OPERATION_NAMES)),
                    0,
                    20.0 + self.draw(3000),
                )
            )
            self.open.add(stage.next_invocation_id)
            stage.next_invocation_id += 1
        stage.flush()
        self.look()

    def landed(self, inv, seq, status):
        addr, _ = self.out.pop((inv, seq))
        if status == i.SUCCEEDED and inv in self.open:
            self.open.discard(inv)
            self.ended.add(inv)
        self.stage.queue.append(("outcome", inv, seq, addr, status, 50.0, inv in self.ended, {}))

    def look(self):
        acts, called_off = self.stage.out.decisions, []
        for act, *p in acts[self.read :]:
            if act == "dispatch":
                seq = sum(1 for a in acts[: self.read] if a[0] == "dispatch" and a[1] == p[0])
                self.out[p[0], seq] = p[1], self.stage.now + p[2]
                assert p[0] in self.open, f"{p[0]} sent after its end"
            elif act == "cancel":
                called_off.append((p[0], p[1]))
            elif act in ("throttle", "terminate"):
                assert p[0] in self.open, f"{p[0]} ended twice"
                self.open.discard(p[0])
                self.ended.add(p[0])
                self.gave_up += 1
                if act == "throttle":
                    assert (0 < p[1] <= self.advice) if self.advice else p[1] == 0
            self.read += 1
        with_one_out = {inv for inv, _ in self.out}
        held = set(self.stage.balancer.invocations)
        assert held == self.open, "what is owed an answer and what is held differ"
        assert held <= with_one_out, f"held with no dispatch out: {sorted(held - with_one_out)}"
        for one in called_off:  # the carrier tells of its end in the next round
            if one in self.out:
                self.landed(*one, i.CANCELLED)


@pytest.mark.parametrize(
    "duplicate,cancel,advice,late",
    [(True, True, 500.0, 0.2), (False, True, 0.0, 0.2), (False, False, 800.0, 0.0), (True, False, 0.0, 0.0)],
)
def test_held_only_while_a_dispatch_is_out(duplicate, cancel, advice, late):
    given_up = 0
    for seed in range(12):
        day = Day(seed, dict(may_duplicate=duplicate, may_cancel=cancel, retry_advice=advice))
        day.stage.balancer.operations = [replace(op, late_value=late) for op in OPERATIONS.values()]
        for _ in range(150):
            day.step()
        given_up += day.gave_up
    assert given_up > 500  # the days must give reason to give up
