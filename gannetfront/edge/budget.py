"""Budget of connections: limits those of clients and nodes by descriptors and memory, and closes idle ones to make room.

According to the platform, clients hold at most a third of the descriptors. They get half, so that unusual clients do
not crowd out the rest.
"""

from itertools import islice

from .. import host
from ..memory import MemoryBudget, Purpose

SPARE = 48  # descriptors for the program, links and peers, and for the time between a close and the next open
CONNECTION_BYTES = 14 << 10  # of a client's connection, with one small message
NODE_CONNECTION_BYTES = 3 << 10  # of a connection to a node
MAX_PIPELINED = 8  # open invocations on one connection; further ones are throttled before they run
MAX_PIPELINED_IF_SCARCE = 1  # the same while more than half of the memory is in use
MAX_PENDING = 64  # answers queued on one connection; at the limit no more messages are handled
FREE_MESSAGES = 2  # handled as they come, a startup message and a query; a connection waits its turn for more
MESSAGES_PER_TURN = 16  # handled of one connection in its turn
TURN_PAUSE = 2.0  # ms between such turns of all connections that have more to be handled
READ_AHEAD = 136 << 10  # bytes buffered behind MAX_PENDING; past it the connection ends with an error
MAX_READ = 32 << 10  # bytes read at a time at most
BULK_READ = 8 << 10  # bytes of a read after which others have a turn
BULK_READS_PER_TURN = 16  # such reads of all connections between pauses
BULK_PAUSE = 1.0  # ms
WRITE_SIZE = 64 << 10  # bytes from which answers are not joined into one write any more
MIN_SHED_AGE = 100.0  # ms after which a large request in part may be dropped in favour of another
START_TIMEOUT = 2000.0  # ms that a client has to send its startup message, or to complete a begun message
IDLE_TIMEOUT = 20000.0  # ms that a client may hold a connection between requests
WRITE_TIMEOUT = 3000.0  # ms that a client may leave its answer unread
OVERDUE_GRACE = 20.0  # ms past the deadline until an undecided invocation is ended; the platform allows more
MAX_CONSECUTIVE_ERRORS = 3  # consecutive malformed statements after which a connection is closed
MIN_IDLE_AGE = 100.0  # ms after which an idle connection may be closed to make room for another
EVICTION_CANDIDATES = 16  # connections examined for one that can be closed, the longest idle first
MAX_LINGERING = 16  # connections, out of SPARE, on which data after the final answer is read and discarded
MAX_TURNED_AWAY = 32  # connections past the limit, out of SPARE, that are open until they have heard why
LINGER_TIMEOUT, LINGER_SIZE = 1000.0, 256 << 10  # ms and bytes of such a close

# States of a client's connection: no data received yet; between requests; startup message partly received;
# busy, which is with an answer due or a request partly received.
UNUSED, IDLE, STARTING, BUSY = range(4)
STATE_NAMES = "unused", "idle", "starting", "busy"


class Budget:
    """Counts client connections, tracks their states, and closes idle ones to make room."""

    def __init__(self, sockets, memory=None):
        """`sockets` is the number of descriptors that the process may hold, `memory` its MemoryBudget."""
        available = max(8, sockets - SPARE)
        self.max_clients, self.max_node_connections = available // 2, available - available // 2
        self.memory = memory or MemoryBudget()
        self.clients = 0
        # Per state: its streams with the time since when, the longest in the state first.
        self.states = ({}, {}, {}, {})
        self.on_eviction = lambda state: None  # replaced by the owner: a connection in this state was closed
        self.make_room = lambda: False  # replaced by the owner: ends a busy connection that may be ended

    def count_program(self, resident):
        """Leaves to connections what the program does not use itself; `resident` is that in bytes."""
        self.memory.count_program(resident)
        self.max_clients = min(
            self.max_clients, max(1, self.memory.share(Purpose.CONNECTION) // CONNECTION_BYTES)
        )

    def enter(self, stream):
        """Counts a new client connection. False if it is above a limit and no other connection can be closed
        for it."""
        self.clients += 1
        while not self.has_room():
            if not self.evict_idle((UNUSED, IDLE, STARTING), 1, MIN_IDLE_AGE) and not self.make_room():
                return False
        self.states[UNUSED][stream] = host.now()
        return True

    def has_room(self):
        """Reserves memory for the newest connection; False, and none is reserved, where it is past a limit."""
        entered = sum(map(len, self.states))
        if entered >= self.max_clients:
            return False
        return self.memory.reserve(CONNECTION_BYTES, Purpose.CONNECTION)

    def evict_idle(self, states, limit=None, least_idle=0.0):
        """Closes connections in these states, in their order, at most `limit` if given, and idle ones only after
        `least_idle` ms: the next request may be on its way. Returns how many were closed."""
        count, now = 0, host.now()
        for state in states:
            for stream, since in list(islice(self.states[state].items(), limit and EVICTION_CANDIDATES)):
                if state == IDLE and now - since < least_idle:
                    break
                # A connection with a request that has arrived but is not read yet is not idle.
                if not stream.waiting():
                    self.forget(stream)
                    stream.close()
                    self.on_eviction(state)
                    count += 1
                    if count == limit:
                        return count
        return count

    def mark(self, stream, state):
        """Records the state of a connection that was entered and not evicted."""
        if stream not in self.states[state] and self.remove(stream):
            self.states[state][stream] = host.now()

    def remove(self, stream):
        """Removes a connection from its state; returns whether it was in one."""
        return any([streams.pop(stream, None) is not None for streams in self.states])

    def forget(self, stream):
        """A connection does not count any more: what was reserved for it is given back."""
        if self.remove(stream):
            self.memory.release(CONNECTION_BYTES, Purpose.CONNECTION)

    def leave(self, stream):
        """A client connection has ended."""
        self.forget(stream)
        self.clients -= 1
