"""Connections to nodes: one bounded pool for each node, with a limit on idle time.

Every code path returns or closes its connection. A connection is reused only while nothing waits to be read
on it: if the node has closed it meanwhile, a byte or an end of stream waits there.
"""

from .. import host
from .keeping import IdleTimeEstimator


class Pool:
    """The connections to one node. All times are in ms."""

    def __init__(
        self,
        address,
        capacity,
        idle_limit,
        connect_limit,
        connect=host.connect,
        room=lambda: True,
        idle_estimator=None,
    ):
        """`connect(address, limit)` returns a stream that can carry a request, or raises host.Refused.
        `room()` tells whether one more descriptor may be opened. `idle_estimator` estimates the safe idle
        time and is shared by all pools."""
        self.address = address
        self.capacity = capacity
        self.idle_limit = idle_limit
        self.connect_limit = connect_limit
        self.connect = connect
        self.room = room
        self.retired = False
        self.idle_estimator = idle_estimator or IdleTimeEstimator()
        self.in_use = 0
        self.idle = []  # (since, stream), oldest first

    def acquire(self, limit):
        """Returns (stream, whether it is new). Raises host.Refused, which means that nothing was sent."""
        now = host.now()
        self.close_idle(min(self.idle_limit, self.idle_estimator.reusable_idle_time(now)))
        while self.idle:
            since, stream = self.idle.pop()
            # A request written to a connection that the node has closed may or may not have been executed,
            # and a retry could execute it twice. A connection whose end is visible before the first byte
            # isn't used.
            if not stream.waiting():
                self.in_use += 1
                stream.idle_time = now - since
                return stream, False
            stream.close()
        if self.in_use + len(self.idle) >= self.capacity or not self.room():
            raise host.Refused("pool full")
        self.in_use += 1
        try:
            stream = self.connect(self.address, min(self.connect_limit, limit))
            stream.idle_time = None
            return stream, True
        except BaseException:
            self.in_use -= 1
            raise

    def release(self, stream, reusable, broke=None):
        """Returns a stream to the pool, or closes it.

        `broke` tells whether the connection broke before any byte of an answer; None if that isn't known."""
        self.in_use -= 1
        if broke is not None:
            self.idle_estimator.record(host.now(), stream.idle_time, broke)
        if reusable and stream.open and not self.retired:
            self.idle.append((host.now(), stream))
        else:
            stream.close()

    def close_idle(self, older_than=0.0):
        """Closes the connections that have been idle for at least `older_than` ms."""
        end = host.now() - older_than
        while self.idle and self.idle[0][0] <= end:
            self.idle.pop(0)[1].close()


class Pools:
    """The pools of all nodes, by node address."""

    def __init__(self, capacity, idle_limit, connect_limit, *connection_hooks):
        """The arguments are those of Pool; `connection_hooks` are its optional `connect` and `room`."""
        self.pool_arguments = (capacity, idle_limit, connect_limit, *connection_hooks)
        self.by_address = {}
        self.idle_limit = idle_limit
        self.idle_estimator = IdleTimeEstimator()

    def pool_for(self, address):
        """Returns the pool of a node, which is created on first use."""
        if address not in self.by_address:
            self.by_address[address] = Pool(address, *self.pool_arguments, idle_estimator=self.idle_estimator)
        return self.by_address[address]

    def close_idle(self, address):
        """Closes the idle connections to a node."""
        if address in self.by_address:
            self.by_address[address].close_idle()

    def retire(self, address):
        """Drops the pool of an address that another process has taken: no open connection is reused."""
        pool = self.by_address.pop(address, None)
        if pool:
            pool.retired = True
            pool.close_idle()

    def close_oldest_idle(self):
        """Closes the connection that has been idle the longest. Returns False if none is idle."""
        candidates = [pool for pool in self.by_address.values() if pool.idle]
        if candidates:
            pool = min(candidates, key=lambda pool: pool.idle[0][0])
            pool.idle.pop(0)[1].close()
        return bool(candidates)

    def sweep(self, listed):
        """Closes connections past the idle limit, and drops empty pools of nodes that are not in `listed`."""
        for address in list(self.by_address):
            pool = self.by_address[address]
            pool.close_idle(self.idle_limit)
            if not pool.in_use and not pool.idle and address not in listed:
                self.retire(address)  # a dispatch that has the pool but has not started sends nothing

    def size(self):
        """Returns the number of open connections to nodes."""
        return sum(pool.in_use + len(pool.idle) for pool in self.by_address.values())
