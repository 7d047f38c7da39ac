"""A file that holds the newest of something while its program goes on: one write at a time, in a thread of its own."""

from . import host

EVERY, AGAIN, LONG = (
    250.0,
    1000.0,
    1000.0,
)  # ms: looked for a change; after a failure; a write that is told of


class KeptFile:
    def __init__(self, path, pack, what, log):
        """`pack()` gives the bytes as they are now; `what` names it in the log. Call `changed()`; `run` is a greenlet's."""
        self.path, self.pack, self.what, self.log = path, pack, what, log
        self.newest, self.written, self.failing = 0, 0, False
        self.wake, self.waiting = host.Mailbox(1), []  # [(which change, told whether it is written)]

    behind = property(lambda self: self.written != self.newest)

    def changed(self):
        self.newest += 1

    def keep(self, limit):
        """After a change that is not to be acted upon before a restart would know of it: whether it is on disk, within `limit` ms.
        False where the disk is slower or refuses it; it is written later all the same."""
        self.changed()
        told = host.Once()
        self.waiting.append((self.newest, told))
        self.wake.put(True)
        try:
            return told.wait(limit)
        except host.Timeout:
            return False

    def run(self):
        while True:
            # A while after a change: a burst of changes is one write.
            self.wake.take(AGAIN if self.failing else EVERY)
            if self.behind:
                written = self.write()
                done, self.waiting = (
                    [w for w in self.waiting if w[0] <= written],
                    [w for w in self.waiting if w[0] > written],
                )
                for _, told in done:
                    told.set(not self.failing)

    def write(self):
        """The number of the change that was written, or that the disk refused."""
        begun, packed = host.now(), self.newest
        job = host.Apart(host.replace_file, self.path, self.pack())
        try:
            try:
                job.wait(LONG)
            except host.Timeout:
                self.log.warning(
                    f"{self.what} kept late: its disk is slow", file=self.path, after_ms=round(LONG)
                )
                job.wait()
        except OSError as trouble:
            # What a full disk refused is owed until it is written: nothing may change again for hours.
            if not self.failing:
                self.log.error(f"{self.what} not kept", file=self.path, why=str(trouble))
            self.failing = True
            return packed
        self.written = packed
        if self.failing or host.now() - begun > LONG:
            self.log.info(f"{self.what} kept again", file=self.path, took_ms=round(host.now() - begun))
        self.failing = False
        return packed
