"""The one owner of descriptors: what clients, nodes and links may hold, and who gives way when they run short.

Clients hold at most a third by the platform's word; they get somewhat more, so that unusual ones do not crowd out the rest.
Memory follows: a connection keeps one message at most, so the count of connections bounds it.
"""

from itertools import islice

SPARE = 48  # program, links, peers, and room for the moment between a close and the next open
MAX_PIPELINED = 8  # open invocations on one connection; more are throttled, as nothing of them ran
MAX_PENDING = 64  # answers waiting behind one that is not there yet; nothing more is begun then
READ_AHEAD = 136 << 10  # bytes kept of what is written behind those, so that the client's close is still seen
START_TIMEOUT = 2000.0  # ms a client has to say who it is, or to finish what it has begun to write
IDLE_TIMEOUT = 20000.0  # ms a client may hold a connection between requests
WRITE_TIMEOUT = 3000.0  # ms a client may leave its answer unread
OVERDUE = 20.0  # ms past its time after which an invocation that nobody decided is ended here; the platform grants more
BAD_IN_A_ROW = 3  # statements that could not be read, after which a connection is closed
LOOKED_AT = 16  # connections looked at, the longest idle first, for one to let go
MAX_LINGERING = 16  # connections, of SPARE, on which what comes behind a last answer is read and dropped
LINGER_TIMEOUT, LINGER_SIZE = 1000.0, 256 << 10  # ms and bytes of that

# What a client's connection is to its owner: nothing was said on it; between requests; part of a startup message was read; at
# work, which is with part of a request in the reader as much as with an answer owed.
SILENT, IDLE, STARTING, BUSY = range(4)


class Budget:
    def __init__(self, sockets):
        room = max(8, sockets - SPARE)
        self.clients_most, self.nodes_most = room // 2, room - room // 2
        self.clients, self.states = 0, ({}, {}, {}, {})  # by state: streams, the longest in it first

    def enter(self, stream):
        """A client has come; False where nobody can make room for it."""
        self.clients += 1
        if self.clients > self.clients_most and not self.evict_idle((SILENT, IDLE, STARTING), 1):
            return False
        self.states[SILENT][stream] = True
        return True

    def evict_idle(self, states, most=None):
        """Closes connections that nothing is owed on, in that order; how many."""
        count = 0
        for state in states:
            for stream in list(islice(self.states[state], most and LOOKED_AT)):
                # A request that has come but is not read yet was taken: its connection is not idle.
                if not stream.waiting():
                    del self.states[state][stream]
                    stream.close()
                    count += 1
                    if count == most:
                        return count
        return count

    def mark(self, stream, state):
        if stream not in self.states[state]:
            self.forget(stream)
            self.states[state][stream] = True

    def forget(self, stream):
        for some in self.states:
            some.pop(stream, None)

    def leave(self, stream):
        self.forget(stream)
        self.clients -= 1
