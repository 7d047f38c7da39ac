"""Counts why connections, requests and dispatches end, and logs some of each second with the ids of their requests."""

from collections import Counter

SECOND = 1000.0  # ms
LINES_A_SECOND = 10  # further events of a second are counted only


class EventLog:
    """`counts` holds the number of events since the last status line, by event and reason."""

    def __init__(self, log, now):
        """`now()` returns the time in ms."""
        self.log = log
        self.now = now
        self.counts = Counter()
        self.second = now()
        self.lines = 0

    def record(self, event, reason, **fields):
        """Counts an event, and logs it if this second's lines are not used up."""
        self.counts[f"{event}: {reason}"] += 1
        now = self.now()
        if now - self.second >= SECOND:
            self.second, self.lines = now, 0
        if self.lines < LINES_A_SECOND:
            self.lines += 1
            self.log.info(event, reason=reason, **fields)

    def take_counts(self):
        """The counts since the last call."""
        counts, self.counts = dict(self.counts), Counter()
        return counts
