"""Which calls to the discovery service are open at a time: when a further one is made, and which ones end. No I/O.

A call that is answered slowly and one that is never answered look alike until the answer comes. So a late call is not
given up: another one is made beside it, on a connection of its own (a hedged request; Dean and Barroso, "The Tail at
Scale"). At most MAX_CALLS are open. Where room is needed, the oldest call stays until its patience is over, which
doubles each time, so that an answer is read however long it takes.

All times are in ms of one clock.
"""

from dataclasses import dataclass
from typing import NamedTuple

WATCH_TIMEOUT = 3000.0  # ms that a watch request may wait for changes
RESPONSE_GRACE = 500.0  # ms beyond WATCH_TIMEOUT after which a call is late
CONNECT_TIMEOUT = 1000.0  # ms after which a connection attempt is late
MAX_CALLS = 3
MAX_WHOLE_CALLS = 2  # that ask for the complete list
MAX_CONTINUED = 2  # calls that follow one another on their connections while answers are late
SLOW_INTERVAL = 4500.0  # ms between further calls beside unanswered ones of a slow service, or in their place
MAX_INTERVAL = 30000.0  # ms, the same while the service is known to answer, but only after that long
MIN_PATIENCE, MAX_PATIENCE = 30000.0, 600000.0  # ms that a watch is kept where room is needed
MIN_WHOLE_PATIENCE = 7000.0  # ms that a call for the complete list is waited for before another one is made
MIN_BACKOFF, MAX_BACKOFF = 10.0, 500.0  # ms between failed attempts; a watch is broken by 200


def is_late(duration):
    """Whether an answer that took this many ms, or has not come in that time, is late."""
    return duration > WATCH_TIMEOUT + RESPONSE_GRACE


class Patience:
    """How long an unanswered call is kept; doubles whenever one is given up for its age."""

    def __init__(self, shortest):
        self.shortest = shortest
        self.span = shortest

    def expire(self):
        """A call was given up at this age."""
        self.span = min(MAX_PATIENCE, 2 * self.span)

    def learn(self, duration):
        """An answer came after `duration` ms."""
        self.span = min(MAX_PATIENCE, max(self.shortest, 2 * duration))


@dataclass(eq=False, slots=True)
class Call:
    """One request to the discovery service; `is_whole` says that it asks for the complete list."""

    address: str
    is_whole: bool
    version: int  # of the list in force when it was made
    applied_before: int  # answers that had been applied by then
    started_at: float
    is_connected: bool = False


class Continuation(NamedTuple):
    """What follows an answer: whether the next call is made on its connection, and the calls that end."""

    continues: bool
    ended: list


class WatchSchedule:
    """The open calls, oldest first, and what their answers have shown of the service."""

    def __init__(self):
        self.calls = []
        self.answered_at = float("-inf")
        self.late_duration = None  # ms that the last answer took, if it was late
        self.watch_patience = Patience(MIN_PATIENCE)
        self.whole_patience = Patience(MIN_WHOLE_PATIENCE)
        self.failures = 0  # in succession
        self.earliest = float("-inf")  # no further call before this time
        self.made_count = 0
        self.late_count = 0  # answers
        self.given_up_count = 0

    # ---- further calls ----

    def next_call_at(self, address):
        """When another call is due, to the service at `address`."""
        calls = self.calls_to(address)
        if not calls:
            return self.earliest
        covered_since = max(calls[-1].started_at, self.answered_at)
        return max(self.earliest, covered_since + self.interval(calls))

    def interval(self, calls):
        """ms from a call, or from an answer to one, to the next call beside it."""
        if len(calls) >= MAX_CALLS:
            # An agent that answers, if slowly, gains nothing from calls that are given up for others.
            return min(MAX_INTERVAL, max(SLOW_INTERVAL, self.late_duration or 0.0))
        if not calls[-1].is_connected:
            return CONNECT_TIMEOUT
        if self.late_duration and len(calls) >= MAX_CONTINUED:
            return SLOW_INTERVAL
        return WATCH_TIMEOUT + RESPONSE_GRACE

    def make_room(self, now, address):
        """The calls to be given up so that one more can be made to `address`."""
        given_up = []
        while len(self.calls) >= MAX_CALLS:
            given_up.append(self.choose_unneeded(now, address))
            self.end(given_up[-1])
        self.given_up_count += len(given_up)
        return given_up

    def choose_unneeded(self, now, address):
        """The call that is kept least: of an earlier address, past its patience, or neither of the oldest ones."""
        elsewhere = [call for call in self.calls if call.address != address]
        if elsewhere:
            return elsewhere[-1]
        for call in self.calls:
            patience = self.patience_of(call)
            if now - call.started_at >= patience.span:
                patience.expire()
                return call
        kept = {}
        for call in self.calls:
            if kept.setdefault(call.is_whole, call) is not call:
                return call
        return self.calls[-1]

    def patience_of(self, call):
        return self.whole_patience if call.is_whole else self.watch_patience

    def whole_is_due(self, now, address):
        """Whether a call for the complete list may be made: none is open that is younger than its patience."""
        calls = self.whole_calls_to(address)
        return not calls or now - calls[-1].started_at >= self.whole_patience.span

    def make_room_for_whole(self, address):
        """The calls to be given up so that one more call for the complete list can be made."""
        calls = self.whole_calls_to(address)
        if calls:
            self.whole_patience.expire()
        given_up = calls[: max(0, len(calls) + 1 - MAX_WHOLE_CALLS)]
        for call in given_up:
            self.end(call)
        self.given_up_count += len(given_up)
        return given_up

    def add(self, call):
        """A call is made; the newest one is the last."""
        self.calls.append(call)
        self.made_count += 1

    # ---- what comes of them ----

    def on_answer(self, call, now, address):
        """The Continuation after a call was answered; `address` is that of the service in use."""
        self.end(call)
        if call.address != address:
            return Continuation(False, [])
        duration = now - call.started_at
        late = is_late(duration)
        self.answered_at = self.earliest = now
        self.failures = 0
        self.patience_of(call).learn(duration)
        self.late_count += late
        if not (late and call.is_whole):
            self.late_duration = duration if late else None
        ended = [other for other in self.calls if self.is_superseded(other, call, late)]
        for other in ended:
            self.end(other)
        self.given_up_count += len(ended)
        continues = not late or len(self.calls) < MAX_CONTINUED
        return Continuation(continues, ended)

    def is_superseded(self, other, answered, late):
        """Whether an open call is of no use after another one was answered, late or in time."""
        if other.address != answered.address:
            return True  # the service in use has answered: an earlier one is out of date
        if other.is_whole:
            return answered.is_whole
        return not late

    def on_failure(self, call, now, address, chance):
        """A call failed: the next one is made after a backoff with jitter; `chance` is from 0 to 1."""
        self.end(call)
        if call.address == address:
            backoff = min(MAX_BACKOFF, MIN_BACKOFF * 2**self.failures)
            self.failures = min(self.failures + 1, 16)
            self.earliest = now + backoff * (0.5 + chance)

    def on_close(self, now):
        """A connection was closed behind an answer: the next call, on a new one, is not made in the same turn."""
        self.earliest = max(self.earliest, now + MIN_BACKOFF)

    def on_move(self):
        """The service is at another address now: a call to it is due at once."""
        self.failures, self.earliest = 0, float("-inf")
        self.answered_at, self.late_duration = float("-inf"), None

    def end(self, call):
        """The call is not open any more."""
        if call in self.calls:
            self.calls.remove(call)

    def end_others(self, call):
        """All other calls end, as the service has begun anew; returns them."""
        others = [other for other in self.calls if other is not call]
        for other in others:
            self.end(other)
        self.given_up_count += len(others)
        return others

    def calls_to(self, address):
        return [call for call in self.calls if call.address == address]

    def whole_calls_to(self, address):
        return [call for call in self.calls_to(address) if call.is_whole]
