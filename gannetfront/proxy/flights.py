"""One dispatch on a socket, and what each thing that can happen there proves. The table is docs/proxy.md's.

What proves that nothing ran: no connection, no byte written, or the node's own word that it has not begun. One byte
out and anything but a whole answer: it may have run.
"""
from .. import host
from ..interface import CANCELLED, MOOT, RESET, TIMEOUT, UNCONNECTED
from ..wire import http, invocation


class Flight:
    def __init__(self, addr, data, limit, answer_limit):
        self.addr, self.data, self.limit, self.answer_limit = addr, data, limit, answer_limit
        self.stop, self.begun = host.Once(), host.now()

    def left(self):
        return self.begun + self.limit - host.now()

    def fly(self, pool):
        """(status, whole answer or None). Blocks for at most the limit."""
        while True:
            if self.stop.ready():
                return MOOT, None
            if self.left() <= 0:
                return UNCONNECTED, None
            try:
                stream, fresh = pool.take(self.left())
            except host.Refused:
                return UNCONNECTED, None
            status, answer = UNCONNECTED, None
            try:
                if self.stop.ready():
                    return MOOT, None
                status, answer = self.exchange(stream)
            finally:
                pool.give(stream, answer is not None and answer.reusable)
            # A kept connection that breaks before the first byte has carried nothing: another may be tried.
            if status != UNCONNECTED or fresh:
                return status, answer

    def exchange(self, stream):
        stream.sent = 0
        try:
            stream.send(self.data, max(1.0, self.left()))
        except host.Late:
            return (TIMEOUT if stream.sent else UNCONNECTED), None
        except OSError:
            if not stream.sent:
                return UNCONNECTED, None
            # The node may have answered and closed before the request was whole: read what it said.
        reader = http.AnswerReader(self.answer_limit)
        while not reader.whole:
            try:
                data = stream.recv_or(self.stop, 65536, max(1.0, self.left()))
                if data is None:
                    stream.reset()
                    return CANCELLED, None
                reader.feed(data)
            except host.Late:
                return TIMEOUT, None
            except (OSError, http.BadAnswer):
                return RESET, None
            if not data and not reader.whole:
                return RESET, None
        if stream.sent < len(self.data):
            reader.extra = True     # the node still owes the rest a reading: its connection is not used again
        return invocation.outcome_of(reader.status, reader.headers), reader
