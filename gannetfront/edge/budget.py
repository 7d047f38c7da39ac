"""The one owner of descriptors: what clients, nodes and links may hold, and who gives way when they run short.

Clients hold at most a third by the platform's word; they get somewhat more, so that unusual ones do not crowd out the rest.
Memory follows: a connection keeps one message at most, so the count of connections bounds it.
"""
from itertools import islice

SPARE = 48          # program, links, peers, and room for the moment between a close and the next open
PIPELINED = 8       # open invocations on one connection; more are throttled, as nothing of them ran
OWED = 64           # answers waiting behind one that is not there yet; reading then pauses
START_LIMIT = 2000.0    # ms a client has to say who it is, or to finish what it has begun to write
IDLE_LIMIT = 20000.0    # ms a client may hold a connection between requests
WRITE_LIMIT = 3000.0    # ms a client may leave its answer unread
OVERDUE = 20.0      # ms past its time after which an invocation that nobody decided is ended here; the platform grants more
BAD_IN_A_ROW = 3    # statements that could not be read, after which a connection is closed
LOOKED_AT = 16      # connections looked at, the longest idle first, for one to let go


class Budget:
    def __init__(self, sockets):
        room = max(8, sockets - SPARE)
        self.clients_most, self.nodes_most = room // 2, room - room // 2
        # Streams of clients without an open invocation, the longest idle first: those that never said who they are, and others.
        self.silent, self.resting, self.clients = {}, {}, 0

    def enter(self, stream):
        """A client has come; False where nobody can make room for it."""
        self.clients += 1
        if self.clients > self.clients_most and not self.evict():
            return False
        self.silent[stream] = True
        return True

    def evict(self):
        for some in (self.silent, self.resting):
            for stream in list(islice(some, LOOKED_AT)):
                # A request that has come but is not read yet was taken: its connection is not idle.
                if not stream.waiting():
                    del some[stream]
                    stream.close()
                    return True
        return False

    def rest(self, stream):
        if stream not in self.silent:
            self.resting[stream] = True

    def work(self, stream):
        self.silent.pop(stream, None)
        self.resting.pop(stream, None)

    def leave(self, stream):
        self.work(stream)
        self.clients -= 1
