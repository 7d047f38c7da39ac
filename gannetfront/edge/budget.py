"""Budget of file descriptors: limits the connections of clients and nodes and closes idle ones to make room.

According to the platform, clients hold at most a third. They get half, so that unusual clients do not crowd
out the rest. This bounds memory too, as a connection buffers one message at most.
"""

from itertools import islice

SPARE = 48  # descriptors for the program, links and peers, and for the time between a close and the next open
MAX_PIPELINED = 8  # open invocations on one connection; further ones are throttled before they run
MAX_PENDING = 64  # answers queued on one connection; at the limit no more messages are handled
READ_AHEAD = 136 << 10  # bytes buffered beyond those, so that the client's close is still detected
START_TIMEOUT = 2000.0  # ms that a client has to send its startup message, or to complete a begun message
IDLE_TIMEOUT = 20000.0  # ms that a client may hold a connection between requests
WRITE_TIMEOUT = 3000.0  # ms that a client may leave its answer unread
OVERDUE_GRACE = 20.0  # ms past the deadline until an undecided invocation is ended; the platform allows more
MAX_CONSECUTIVE_ERRORS = 3  # consecutive malformed statements after which a connection is closed
EVICTION_CANDIDATES = 16  # connections examined for one that can be closed, the longest idle first
MAX_LINGERING = 16  # connections, out of SPARE, on which data after the final answer is read and discarded
LINGER_TIMEOUT, LINGER_SIZE = 1000.0, 256 << 10  # ms and bytes of such a close

# States of a client's connection: no data received yet; between requests; startup message partly received;
# busy, which is with an answer due or a request partly received.
UNUSED, IDLE, STARTING, BUSY = range(4)


class Budget:
    """Counts client connections, tracks their states, and closes idle ones to make room."""

    def __init__(self, sockets):
        """`sockets` is the number of descriptors that the process may hold."""
        available = max(8, sockets - SPARE)
        self.max_clients, self.max_node_connections = available // 2, available - available // 2
        self.clients, self.states = (
            0,
            ({}, {}, {}, {}),
        )  # per state: its streams, the longest in the state first

    def enter(self, stream):
        """Counts a new client connection. False if it is above the limit and no other connection can be
        closed for it."""
        self.clients += 1
        if self.clients > self.max_clients and not self.evict_idle((UNUSED, IDLE, STARTING), 1):
            return False
        self.states[UNUSED][stream] = True
        return True

    def evict_idle(self, states, limit=None):
        """Closes connections in these states, in their order, at most `limit` if given. Returns how many were
        closed."""
        count = 0
        for state in states:
            for stream in list(islice(self.states[state], limit and EVICTION_CANDIDATES)):
                # A connection with a request that has arrived but is not read yet is not idle.
                if not stream.waiting():
                    del self.states[state][stream]
                    stream.close()
                    count += 1
                    if count == limit:
                        return count
        return count

    def mark(self, stream, state):
        """Records the state of a connection."""
        if stream not in self.states[state]:
            self.forget(stream)
            self.states[state][stream] = True

    def forget(self, stream):
        """Removes a connection from all states."""
        for streams in self.states:
            streams.pop(stream, None)

    def leave(self, stream):
        """A client connection has ended."""
        self.forget(stream)
        self.clients -= 1
