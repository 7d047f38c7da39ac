"""Decides from the duration of writes whether a disk is too slow to wait for. Does no I/O itself.

A failing disk is often slow first. Once a write takes longer than `patience` ms, the disk counts as slow,
even while that write is still in progress, and callers should not wait for it until a write completes within
that time. The caller must attempt a write now and then, or the recovery is never noticed.
"""


class Disk:
    """The state of one disk, with at most one write in progress. All times are in ms."""

    def __init__(self, patience):
        """A write that takes longer than `patience` ms makes the disk a slow one."""
        self.patience = patience
        self.write_started = None
        self.slow_since = None
        self.took = 0.0  # duration of the last write

    slow = property(lambda self: self.slow_since is not None)

    def begun(self, now):
        """A write has started; callers may wait for it until `patience` ms from now."""
        self.write_started = now

    def overdue(self, now):
        """The write in progress has exceeded the patience. Returns True if the disk was not slow before."""
        newly_slow = not self.slow
        if newly_slow:
            self.slow_since = self.write_started
        return newly_slow

    def ended(self, now):
        """The write has completed. Returns for how many ms the disk was slow, or None unless this ends it."""
        self.took, self.write_started = now - self.write_started, None
        if self.took > self.patience or not self.slow:
            return None
        slow_since, self.slow_since = self.slow_since, None
        return now - slow_since

    def waiting_for(self, now):
        """Duration of the write in progress so far, in ms; 0 if there is none."""
        return 0.0 if self.write_started is None else now - self.write_started
