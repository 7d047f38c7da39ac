"""One dispatch on a socket, and what each thing that can happen there proves. The table is docs/proxy.md's.

What proves that nothing ran: no connection, no byte written, or the node's own word that it has not begun. One byte
out and anything but a whole answer: it may have run. Under a protocol whose nodes begin at the last byte (the reader's
`begins_whole`) that byte is the one that counts. The protocol itself is the reader's.
"""

from .. import host
from ..interface import CANCELLED, FULL, MOOT, RESET, TIMEOUT, UNCONNECTED
from ..wire import BadAnswer

# Why there is no connection, where that says nothing of whether the node is there: it said that it takes no more, this
# proxy has none to spare, or the list has just left it out. Nothing ran either way.
TURNED = {"turned away": FULL, "pool full": MOOT, "emfile": MOOT, "enfile": MOOT, "not listed": MOOT}


class Flight:
    def __init__(self, addr, pack, limit, reader, stands=lambda waited: True):
        """`pack(left)` words the request for a node that is told of `left` ms; `stands(waited)` asks whether it is still to be
        sent, with whatever it had to wait for."""
        self.addr, self.pack, self.limit, self.reader, self.stands = addr, pack, limit, reader, stands
        self.stop, self.begun, self.waited = host.Once(), host.now(), False

    def waited_for(self):
        """From here on: what the wait took was no node's doing."""
        self.limit, self.begun, self.waited = self.left(), host.now(), True

    def left(self):
        return self.begun + self.limit - host.now()

    def fly(self, pool):
        """(status, whole answer or None). Blocks for at most the limit."""
        while True:
            if self.stop.ready() or pool.retired:
                return MOOT, None
            if self.left() <= 0:
                return UNCONNECTED, None
            try:
                stream, fresh = pool.take(self.left())
            except host.Refused as trouble:
                return TURNED.get(trouble.kind, UNCONNECTED), None
            status, answer, broke, unused = UNCONNECTED, None, None, False
            try:
                # The one place that looks again right before the first byte. While a disk or a connection was waited for, the
                # client may have left, the node been told to end, its name become another process's, the build been taken
                # back, its share of the traffic used up; and what the node is told of the time is what is left by now.
                if (
                    self.stop.ready()
                    or pool.retired
                    or self.left() <= 0
                    or not self.stands(fresh or self.waited)
                ):
                    unused = True
                    return MOOT, None
                status, answer = self.exchange(stream, self.pack(self.left()))
                broke = True if status == RESET and not self.heard else False if answer else None
            finally:
                pool.give(stream, unused or answer is not None and answer.reusable, broke)
            # A kept connection that breaks before the first byte has carried nothing: another may be tried.
            if status != UNCONNECTED or fresh:
                return status, answer

    def exchange(self, stream, data):
        stream.sent, self.heard, unsent = (
            0,
            False,
            lambda: stream.sent < (len(data) if self.reader.begins_whole else 1),
        )
        try:
            if not stream.send_or(self.stop, data, max(1.0, self.left())):
                stream.reset()
                return (MOOT if unsent() else CANCELLED), None
        except host.Timeout:
            return (UNCONNECTED if unsent() else TIMEOUT), None
        except OSError:
            if unsent():
                return UNCONNECTED, None
            # The node may have answered and closed before the request was whole: read what it said.
        reader = self.reader
        while not reader.whole:
            try:
                came = stream.recv_or(self.stop, 65536, max(1.0, self.left()))
                if came is None:
                    stream.reset()
                    return CANCELLED, None
                self.heard = self.heard or bool(came)
                reader.feed(came)
            except host.Timeout:
                return TIMEOUT, None
            except (OSError, BadAnswer):
                return RESET, None
            if not came and not reader.whole:
                return RESET, None
        if stream.sent < len(data):
            reader.extra = True  # the node still owes the rest a reading: its connection is not used again
        return reader.outcome(), reader
