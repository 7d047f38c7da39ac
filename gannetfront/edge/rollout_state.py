"""The newest known state of a rollout, and what holds while a later one could not be read. No I/O.

A state that cannot be read may be any state. Until one can be read again no dispatch goes to a build on trial:
the cap may have fallen to 0, and requests can be refused or sent to released builds without breaking a rule. A
released build stays released, as only that state's own words can take a release back: dispatching nothing at all
on noise would refuse every request. What can be read of the state is used in one direction only, towards a
lower exposure.
"""

from dataclasses import dataclass
from typing import NamedTuple, Optional

from ..interface import RELEASED, ROLLING_BACK, SUCCEEDED

START_TOLERANCE = 200.0  # ms by which two readings of a state's start time may differ


class KnownState(NamedTuple):
    """A state that was read. `began` is the time in ms at which the newest build came to stand so."""

    stage: int
    began: float
    cap: float
    build: int
    phase: int


@dataclass
class RolloutState:
    """`newest` is the newest state that was read, or None. `unreadable_since` is the time in ms at which a state
    that could not be read arrived, None where the last one could be read. `block_told` is whether the decisions
    were last told to dispatch nothing to a build on trial."""

    newest: Optional[KnownState] = None
    unreadable_since: Optional[float] = None
    block_told: bool = False

    def receive(self, received, now, asked_at):
        """Takes a state as wire/platform.state() gives it. `asked_at` is when it was asked for, in ms.

        States come by several ways that may overtake one another, so one that is older than the known one is
        ignored. One that was asked for before an unreadable one arrived may be older than that."""
        stage, age, cap, build, phase = received
        state = KnownState(stage, now - age, cap, build, phase)
        if not self.newest or self.is_as_new(state):
            self.newest = state
        if self.unreadable_since is not None and asked_at >= self.unreadable_since:
            self.unreadable_since = None

    def is_as_new(self, state):
        """Whether a state is at least as new as the known one."""
        newest = self.newest
        return (state.build, state.began + START_TOLERANCE) >= (newest.build, newest.began)

    def lose(self, partial, now):
        """A state arrived of which only `partial`, a PartialState, can be read."""
        self.unreadable_since = now
        if self.newest and self.newest.phase == RELEASED and takes_release_back(partial, self.newest.build):
            self.newest = self.newest._replace(phase=ROLLING_BACK, cap=0.0)

    def events(self, now, answer, status):
        """The events that tell the decisions where the rollout stands. `answer` says whether the state comes with
        the outcome `status` of a vote."""
        told = self.stage_told(now, answer, status)
        was_blocked, self.block_told = self.block_told, self.unreadable_since is not None
        # The stricter of two events comes first: another round may lie between them.
        if self.block_told:
            return [("block_trial", True), *told]
        return [*told, ("block_trial", False)] if was_blocked else told

    def stage_told(self, now, answer, status):
        """The event with the newest state; none where there is neither a state nor a vote that failed."""
        if self.newest:
            stage, began, cap, build, phase = self.newest
            return [("stage_told", answer, stage, now - began, cap, status, build, phase)]
        if status != SUCCEEDED:
            return [("stage_told", answer, 0, 0.0, 0.0, status, 0, 0)]
        return []


def takes_release_back(partial, build):
    """Whether what can be read of a state says that the released `build` is released no longer."""
    if partial.build not in (None, build):
        return False
    if partial.phase is not None:
        return partial.phase != RELEASED
    return partial.cap is not None and partial.cap < 1
