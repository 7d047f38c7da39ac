"""One dispatch on a socket, and the status that each way of ending proves. The table is in docs/proxy.md.

A dispatch was certainly not executed if there was no connection, if no byte was written, or if the node
itself says that it has not begun. Once a byte was written, anything but a complete answer means that it may
have been executed. Under a protocol whose nodes begin only at the last byte (`begins_whole` of the reader),
that byte counts instead. The protocol itself is the reader's.
"""

from .. import host
from ..interface import CANCELLED, FULL, MOOT, RESET, TIMEOUT, UNCONNECTED
from ..memory import MemoryBudget, Purpose, Reservation
from ..wire import BadAnswer

# Reasons for a missing connection that do not tell whether the node is there: it takes no more connections,
# this proxy has none to spare, or the node list has just dropped it. The dispatch was not executed in any of
# these cases.
STATUS_BY_REFUSAL = {
    "turned away": FULL,
    "pool full": MOOT,
    "emfile": MOOT,
    "enfile": MOOT,
    "not listed": MOOT,
}
FIRST_READ = 4096  # bytes; a small answer needs no memory beyond what its dispatch has reserved
MAX_READ = 65536  # bytes
MEMORY_WAIT = 5.0  # ms between looks for memory for the rest of an answer


class Flight:
    """A dispatch in flight to the node at `address`, since `started_at` ms. Setting `stop` cancels it."""

    def __init__(self, address, encode, limit, reader, still_wanted=lambda waited: True, memory=None):
        """`encode(time_left)` returns the request's bytes, with the ms that the node has left. `limit` is the
        time limit in ms and `reader` reads the answer. `still_wanted(waited)` tells whether the dispatch is
        still to be sent, where `waited` tells whether it had to wait for a disk or a connection. `memory` is the
        Reservation for a large answer."""
        self.address = address
        self.encode = encode
        self.limit = limit
        self.reader = reader
        self.still_wanted = still_wanted
        self.stop = host.Once()
        self.started_at = host.now()
        self.waited = False
        self.memory = memory or Reservation(MemoryBudget(), Purpose.ANSWER)

    def exclude_wait(self):
        """Starts the clock again: the time until now was not spent at the node."""
        self.limit, self.started_at, self.waited = self.time_left(), host.now(), True

    def time_left(self):
        """Returns the ms until the time limit."""
        return self.started_at + self.limit - host.now()

    def run(self, pool):
        """Sends the dispatch; returns (status, complete answer or None) within the time limit."""
        while True:
            if self.stop.ready() or pool.retired:
                return MOOT, None
            if self.time_left() <= 0:
                return UNCONNECTED, None
            try:
                stream, fresh = pool.acquire(self.time_left())
            except host.Refused as refusal:
                return STATUS_BY_REFUSAL.get(refusal.kind, UNCONNECTED), None
            status, answer, broke, unused = UNCONNECTED, None, None, False
            try:
                # The only check right before the first byte. While the dispatch waited for a disk or a
                # connection, the client may have left, the node been told to end, its address been taken by
                # another process, the build been rolled back or its share of the traffic been used up. The
                # node gets the time left as of now.
                if (
                    self.stop.ready()
                    or pool.retired
                    or self.time_left() <= 0
                    or not self.still_wanted(fresh or self.waited)
                ):
                    unused = True
                    return MOOT, None
                status, answer = self.exchange(stream, self.encode(self.time_left()))
                broke = True if status == RESET and not self.received_any else False if answer else None
            finally:
                pool.release(stream, unused or answer is not None and answer.reusable, broke)
            # A reused connection that breaks before the first byte has carried nothing: another may be tried.
            if status != UNCONNECTED or fresh:
                return status, answer

    def exchange(self, stream, data):
        """Writes the request and reads its answer; returns (status, reader of a complete answer or None)."""
        stream.sent, size = 0, len(data)
        self.received_any = False

        def not_begun():
            return stream.sent < (size if self.reader.begins_whole else 1)

        try:
            if not stream.send_or(self.stop, data, max(1.0, self.time_left())):
                stream.reset()
                return (MOOT if not_begun() else CANCELLED), None
        except host.Timeout:
            return (UNCONNECTED if not_begun() else TIMEOUT), None
        except OSError:
            if not_begun():
                return UNCONNECTED, None
            # The node may have answered and closed before it had read the whole request: read its answer.
        del data  # a large request is not kept while its answer is awaited
        return self.read_answer(stream, size)

    def read_answer(self, stream, request_size):
        """Reads the answer; returns as exchange() does. `request_size` is the size of the request in bytes."""
        reader, received = self.reader, 0
        while not reader.whole:
            try:
                size = self.read_some(stream, received)
            except host.Timeout:
                return TIMEOUT, None
            except (OSError, BadAnswer):
                return RESET, None
            if size is None:
                stream.reset()
                return CANCELLED, None
            received += size
            if not size and not reader.whole:
                return RESET, None
        if stream.sent < request_size:
            reader.extra = True  # the node has not read the rest of the request: the connection is not reused
        return reader.outcome(), reader

    def read_some(self, stream, received):
        """Passes the next bytes of the answer to the reader. Returns how many there were, or None where the dispatch
        was called off."""
        size = self.reserve_read(received)
        chunk = None if size is None else stream.recv_or(self.stop, size, max(1.0, self.time_left()))
        if chunk is None:
            return None
        self.received_any = self.received_any or bool(chunk)
        self.reader.feed(chunk)
        return len(chunk)

    def reserve_read(self, received):
        """The number of bytes that may be read behind `received` ones, or None where the dispatch was called off.

        Waits until memory for them is reserved; nothing is read meanwhile. Raises host.Timeout."""
        if not received:
            return FIRST_READ
        # Enough for the rest of the message at once: two dispatches with a part each could both wait for ever.
        size = max(FIRST_READ, min(self.reader.wanted, MAX_READ))
        while not self.memory.resize(max(self.memory.size, received + self.reader.wanted)):
            if self.time_left() <= 0:
                raise host.Timeout()
            try:
                self.stop.wait(min(MEMORY_WAIT, self.time_left()))
                return None
            except host.Timeout:
                continue
        return size
