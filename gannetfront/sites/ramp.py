"""Ramp by which one proxy sends traffic again to a site that has recovered. No I/O.

Each proxy climbs its own slow ramp. The leader of the return climbs faster, since it decides for all proxies
that the site has recovered, and steps all of them back if the site is overloaded. Its order is the stage that
the others may climb to, at its pace. They do not skip stages, because the stage of a leader that is ahead, or
has just started, says nothing about what this proxy has sent to the site lately
(docs/incidents/newborn-leader.md). Only an operator's order restores a site's traffic at once.
"""

from enum import IntEnum

from .failure_detector import UNAVAILABLE, FLAPPING, AVAILABLE


class RampStage(IntEnum):
    """How much of its usual traffic a site gets."""

    OUT = 0
    TENTH = 1
    THREE_TENTHS = 2
    SIX_TENTHS = 3
    FULL = 4

    @property
    def weight(self):
        """Part of its usual share of dispatches that the site gets."""
        return WEIGHTS[self]


WEIGHTS = 0.0, 0.1, 0.3, 0.6, 1.0  # by stage


class ReturnOrder(IntEnum):
    """Order for a site, given by the leader of the return or by an operator. The values are those of a step's
    three bits on the wire."""

    OUT = 0
    TENTH = 1
    THREE_TENTHS = 2
    SIX_TENTHS = 3
    FULL = 4
    NO_ORDER = 5  # the site is unknown or unavailable to the leader
    LET_IN = 6  # an operator's: full traffic at once, even while flapping, until the next loss
    HELD_OUT = 7  # an operator's: no traffic until the next order

    @property
    def stage(self):
        """The stage that followers may climb to, or None for an order of another kind."""
        return RampStage(self) if self <= RampStage.FULL else None


OPERATOR_ORDERS = ReturnOrder.LET_IN, ReturnOrder.HELD_OUT
SETTLE_TIME, STAGE_TIME = 2000.0, 1000.0  # ms from recovery to the first stage; between stages
LED_SETTLE_TIME, LED_STAGE_TIME = 1000.0, 500.0  # ms, the same under a leader
ORDER_LIFETIME = 4000.0  # ms; then each proxy continues its own ramp from its present stage
JOIN_TIME = (
    4000.0  # ms from a proxy's start in which it steps down to the ordered stage, as it did not see the loss
)
MIN_OUTCOMES = 8  # of dispatches sent at the present stage, to judge whether the site is overloaded


class Ramp:
    """State of one site at one proxy; `tick` advances it. Times are ms of the caller's clock."""

    def __init__(self, now):
        self.stage, self.started_at, self.stage_at, self.recovered_at = RampStage.FULL, now, now, None
        self.order, self.ordered_at = ReturnOrder.NO_ORDER, float("-inf")
        self.outcomes = self.late_outcomes = 0

    @property
    def weight(self):
        return self.stage.weight

    def on_outcome(self, sent_at, late):
        """Records the end of a dispatch to the site; `late`: not answered in time, or rejected by a full
        server."""
        if self.stage < RampStage.FULL and sent_at >= self.stage_at:
            self.outcomes += 1
            self.late_outcomes += late

    def on_order(self, now, order):
        """Takes an order from the leader or an operator: a ReturnOrder or its value."""
        self.order, self.ordered_at = ReturnOrder(order), now

    def order_to_give(self, state):
        """The order that this proxy gives as the leader; `state` as in FailureDetector.for_dispatches."""
        if self.order in OPERATOR_ORDERS:
            return self.order
        return ReturnOrder(self.stage) if state in AVAILABLE else ReturnOrder.NO_ORDER

    def tick(self, now, state, leading):
        """Moves at most one stage up or back, or out; an operator's order may restore full traffic at once.
        `leading`: this proxy leads the return."""
        valid = now - self.ordered_at < ORDER_LIFETIME
        let_in = valid and self.order == ReturnOrder.LET_IN
        if state in UNAVAILABLE and self.order == ReturnOrder.LET_IN:
            self.order = (
                ReturnOrder.NO_ORDER
            )  # lost again: the operator's order covered the previous return only
        if self.order == ReturnOrder.HELD_OUT:  # until an operator's next order, whoever leads
            self.leave_out()
        elif state in UNAVAILABLE or state == FLAPPING and not let_in:
            self.leave_out()
        elif let_in:
            if self.stage < RampStage.FULL:
                self.move_to(now, RampStage.FULL)
        elif self.stage == RampStage.FULL:
            self.join(now, self.order.stage if valid and not leading else None)
        else:
            self.climb(now, self.order.stage if valid and not leading else None, leading)

    def join(self, now, ordered):
        """Steps down to the ordered stage if this proxy has just started."""
        if ordered is not None and ordered < RampStage.FULL and now < self.started_at + JOIN_TIME:
            self.move_to(now, ordered)

    def climb(self, now, ordered, leading):
        """Climbs or steps back; `ordered` is the stage that the leader allows, or None."""
        if self.recovered_at is None:
            self.recovered_at = now
        led = leading or ordered is not None
        settle_time = LED_SETTLE_TIME if led else SETTLE_TIME
        stage_time = LED_STAGE_TIME if led else STAGE_TIME
        if self.overloaded():
            self.move_to(now, RampStage(self.stage - 1))
            self.recovered_at = now
        elif ordered is not None and ordered < self.stage:
            self.move_to(now, ordered)
        elif ordered == self.stage:
            return
        elif now >= self.recovered_at + settle_time and now >= self.stage_at + stage_time:
            self.move_to(now, RampStage(self.stage + 1))

    def overloaded(self):
        return (
            self.stage > RampStage.TENTH
            and self.outcomes >= MIN_OUTCOMES
            and self.late_outcomes > self.outcomes / 2
        )

    def leave_out(self):
        self.stage, self.recovered_at = RampStage.OUT, None

    def move_to(self, now, stage):
        self.stage, self.stage_at = stage, now
        self.outcomes = self.late_outcomes = 0
