"""Connections to nodes: one pool a node, bounded, idle ones closed in time.

Every exit returns or closes the connection. Only connections on which nothing waits to be read are handed out again:
a node that closed one meanwhile has a byte or an end waiting there.
"""

from .. import host
from .keeping import Keeping


class Pool:
    def __init__(
        self, addr, most, idle, connect_limit, connect=host.connect, room=lambda: True, keeping=None
    ):
        """`connect(addr, limit)` gives a stream that can carry a request, or raises host.Refused; `room()` tells whether
        one more descriptor may be had; `keeping` how long an idle one is trusted, for all nodes together."""
        self.addr, self.most, self.idle_limit, self.connect_limit = addr, most, idle, connect_limit
        self.connect, self.room, self.retired, self.keeping = connect, room, False, keeping or Keeping()
        self.out, self.idle = 0, []  # idle: (since, stream), oldest first

    def take(self, limit):
        """(stream, fresh), or Refused: nothing was sent then, whatever the reason."""
        now = host.now()
        self.close_idle(min(self.idle_limit, self.keeping.trusted(now)))
        while self.idle:
            since, stream = self.idle.pop()
            # Against the classic double effect: a request written into a connection that the node has closed may
            # be lost or not; one that shows its end before the first byte is simply not used.
            if not stream.waiting():
                self.out += 1
                stream.idled = now - since
                return stream, False
            stream.close()
        if self.out + len(self.idle) >= self.most or not self.room():
            raise host.Refused("pool full")
        self.out += 1
        try:
            stream = self.connect(self.addr, min(self.connect_limit, limit))
            stream.idled = None
            return stream, True
        except BaseException:
            self.out -= 1
            raise

    def give(self, stream, reusable, broke=None):
        """`broke` tells whether the request met a break in place of any byte; None where nothing is known."""
        self.out -= 1
        if broke is not None:
            self.keeping.saw(host.now(), stream.idled, broke)
        if reusable and stream.open and not self.retired:
            self.idle.append((host.now(), stream))
        else:
            stream.close()

    def close_idle(self, older_than=0.0):
        end = host.now() - older_than
        while self.idle and self.idle[0][0] <= end:
            self.idle.pop(0)[1].close()


class Pools:
    def __init__(self, most, idle, connect_limit, *ways):
        self.facts, self.by_addr, self.idle = (most, idle, connect_limit, *ways), {}, idle
        self.keeping = Keeping()

    def of(self, addr):
        if addr not in self.by_addr:
            self.by_addr[addr] = Pool(addr, *self.facts, keeping=self.keeping)
        return self.by_addr[addr]

    def close_idle(self, addr):
        if addr in self.by_addr:
            self.by_addr[addr].close_idle()

    def retire(self, addr):
        """What answers there from now on is another process: nothing that was open is used for it."""
        pool = self.by_addr.pop(addr, None)
        if pool:
            pool.retired = True
            pool.close_idle()

    def oldest_idle(self):
        """Closes the connection that has idled longest; False where none does."""
        some = [pool for pool in self.by_addr.values() if pool.idle]
        if some:
            pool = min(some, key=lambda pool: pool.idle[0][0])
            pool.idle.pop(0)[1].close()
        return bool(some)

    def sweep(self, listed):
        """Closes what idled too long; forgets nodes no longer listed that hold nothing."""
        for addr in list(self.by_addr):
            pool = self.by_addr[addr]
            pool.close_idle(self.idle)
            if not pool.out and not pool.idle and addr not in listed:
                self.retire(addr)  # who has it in hand and has not begun begins nothing

    def size(self):
        return sum(p.out + len(p.idle) for p in self.by_addr.values())
