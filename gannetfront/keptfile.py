"""A file that persists the latest state of an object while the program runs.

One write is made at a time, in a thread of its own, so that a slow disk does not stop the event loop.
"""

from . import host

POLL_INTERVAL = 250.0  # ms between checks for a change
RETRY_INTERVAL = 1000.0  # ms before a refused write is retried
SLOW_WRITE = 1000.0  # ms after which a write is logged as slow


class KeptFile:
    """Writes the state to `path` shortly after each change, and retries while the disk refuses it."""

    def __init__(self, path, pack, label, log):
        """`pack()` returns the current state as bytes; `label` names it in log lines.

        Report each change with `mark_changed()` or `persist()`; start `run` in a greenlet.
        """
        self.path = path
        self.pack = pack
        self.label = label
        self.log = log
        self.latest_change = 0
        self.written_change = 0
        self.failing = False
        self.wake = host.Mailbox(1)
        self.waiters = []  # [(number of the change, Once that holds whether it was written)]

    unwritten = property(lambda self: self.written_change != self.latest_change)

    def mark_changed(self):
        """Marks the state as changed; it is written within the poll interval if the disk allows."""
        self.latest_change += 1

    def persist(self, limit):
        """Marks the state as changed and waits up to `limit` ms until it is on disk; returns whether it is.

        For changes that must not take effect before a restart would find them. After False, where the disk is
        slow or refuses the write, the state is still written later.
        """
        self.mark_changed()
        written = host.Once()
        self.waiters.append((self.latest_change, written))
        self.wake.put(True)
        try:
            return written.wait(limit)
        except host.Timeout:
            return False

    def run(self):
        """Writes changes until the greenlet is stopped."""
        while True:
            # Changes are collected for the poll interval, so that a burst of them is one write.
            self.wake.take(RETRY_INTERVAL if self.failing else POLL_INTERVAL)
            if self.unwritten:
                attempted_change = self.write()
                attempted, self.waiters = (
                    [waiter for waiter in self.waiters if waiter[0] <= attempted_change],
                    [waiter for waiter in self.waiters if waiter[0] > attempted_change],
                )
                for _, written in attempted:
                    written.set(not self.failing)

    def write(self):
        """Writes the current state; returns the number of the change that was written or refused."""
        started, packed_change = host.now(), self.latest_change
        job = host.Apart(host.replace_file, self.path, self.pack())
        try:
            try:
                job.wait(SLOW_WRITE)
            except host.Timeout:
                self.log.warning(
                    f"{self.label} not yet written: the disk is slow",
                    file=self.path,
                    after_ms=round(SLOW_WRITE),
                )
                job.wait()
        except OSError as error:
            # A refused write (a full disk) is retried: the next change may be hours away.
            if not self.failing:
                self.log.error(f"{self.label} not kept", file=self.path, why=str(error))
            self.failing = True
            return packed_change
        self.written_change = packed_change
        if self.failing or host.now() - started > SLOW_WRITE:
            self.log.info(f"{self.label} written again", file=self.path, took_ms=round(host.now() - started))
        self.failing = False
        return packed_change
