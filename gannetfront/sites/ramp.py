"""How one proxy lets a site in again that is back: a ramp by stages. No I/O.

Each proxy goes up its own slow ramp. Whoever leads the return goes quicker, as it settles for all that the site is back, and takes a stage
back for all where the site does not stand it. Its order is how far the others may go, at its pace: they go there by their own stages, none
skipped, as a leader that is ahead, or has just begun, says nothing of what this proxy has sent there lately
(docs/incidents/newborn-leader.md). Only an operator's order lets a site in at once.
"""

from enum import IntEnum

from .failure_detector import AWAY, FLAPS, PRESENT


class RampStage(IntEnum):
    """How far a site is let in."""

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
    """What the leader of the return, or an operator, orders of a site. The values are those of a step's three bits on the wire."""

    OUT = 0
    TENTH = 1
    THREE_TENTHS = 2
    SIX_TENTHS = 3
    FULL = 4
    NO_ORDER = 5  # the leader does not know the site, or sees it away
    LET_IN = 6  # an operator's: at once, also where it comes and goes, until it is lost again
    HELD_OUT = 7  # an operator's: nothing goes there until another one is given

    @property
    def stage(self):
        """The stage that followers may go to, or None for an order of another kind."""
        return RampStage(self) if self <= RampStage.FULL else None


OPERATORS_ORDERS = ReturnOrder.LET_IN, ReturnOrder.HELD_OUT
SETTLE_TIME, STAGE_TIME = 2000.0, 1000.0  # ms: back for so long before the first stage; from stage to stage
LED_SETTLE_TIME, LED_STAGE_TIME = 1000.0, 500.0  # the same where the return is led
ORDER_LIFETIME = 4000.0  # ms for which an order counts; then each proxy goes on by itself from where it is
JOIN_TIME = (
    4000.0  # ms from a proxy's start in which it goes down to what is ordered: it has not seen the loss
)
LEAST_OUTCOMES = 8  # of dispatches sent since the last stage, below which they say nothing of it


class Ramp:
    """One site at one proxy. `tick` moves it; `stage` is how far the site is let in. Times are ms of the caller's clock."""

    def __init__(self, now):
        self.stage, self.started_at, self.stage_at, self.back_since = RampStage.FULL, now, now, None
        self.order, self.ordered_at = ReturnOrder.NO_ORDER, float("-inf")
        self.outcomes = self.late_outcomes = 0

    @property
    def weight(self):
        return self.stage.weight

    def on_outcome(self, sent_at, late):
        """A dispatch to the site ended; `late`: not in time, or turned away as the server was full."""
        if self.stage < RampStage.FULL and sent_at >= self.stage_at:
            self.outcomes += 1
            self.late_outcomes += late

    def on_order(self, now, order):
        self.order, self.ordered_at = ReturnOrder(order), now

    def order_to_give(self, state):
        """What this proxy orders where it leads the return; `state` as FailureDetector.for_dispatches has it."""
        if self.order in OPERATORS_ORDERS:
            return self.order
        return ReturnOrder(self.stage) if state in PRESENT else ReturnOrder.NO_ORDER

    def tick(self, now, state, leading):
        """One stage up, one back or none, or out; `leading`: this proxy leads the return."""
        heeded = now - self.ordered_at < ORDER_LIFETIME
        let_in = heeded and self.order == ReturnOrder.LET_IN
        if state in AWAY and self.order == ReturnOrder.LET_IN:
            self.order = ReturnOrder.NO_ORDER  # it went again: the operator's word was for that time
        if self.order == ReturnOrder.HELD_OUT:  # until an operator says otherwise: not by a leader's death
            self.leave_out()
        elif state in AWAY or state == FLAPS and not let_in:
            self.leave_out()
        elif let_in:
            if self.stage < RampStage.FULL:
                self.move_to(now, RampStage.FULL)
        elif self.stage == RampStage.FULL:
            self.join(now, self.order.stage if heeded and not leading else None)
        else:
            self.climb(now, self.order.stage if heeded and not leading else None, leading)

    def join(self, now, ordered):
        if ordered is not None and ordered < RampStage.FULL and now < self.started_at + JOIN_TIME:
            self.move_to(now, ordered)

    def climb(self, now, ordered, leading):
        """`ordered` is the stage that the leader of the return allows, or None."""
        if self.back_since is None:
            self.back_since = now
        led = leading or ordered is not None
        settle_time = LED_SETTLE_TIME if led else SETTLE_TIME
        stage_time = LED_STAGE_TIME if led else STAGE_TIME
        if self.overloaded():
            self.move_to(now, RampStage(self.stage - 1))
            self.back_since = now
        elif ordered is not None and ordered < self.stage:
            self.move_to(now, ordered)
        elif ordered == self.stage:
            return
        elif now >= self.back_since + settle_time and now >= self.stage_at + stage_time:
            self.move_to(now, RampStage(self.stage + 1))

    def overloaded(self):
        return (
            self.stage > RampStage.TENTH
            and self.outcomes >= LEAST_OUTCOMES
            and self.late_outcomes > self.outcomes / 2
        )

    def leave_out(self):
        self.stage, self.back_since = RampStage.OUT, None

    def move_to(self, now, stage):
        self.stage, self.stage_at = stage, now
        self.outcomes = self.late_outcomes = 0
