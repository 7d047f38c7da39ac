"""Memory budget of one process: who may hold how many bytes for somebody else. Decisions only, without I/O.

Whoever is about to hold bytes for a client, a server or the platform reserves them first. Each purpose has a share of
the budget, so that one kind of holder cannot take what the others need; invocations may use all that is left. The
share of listings is set aside: a proxy that cannot read its list sends to servers that have gone.
"""

from enum import Enum

MIB = 1 << 20
HEADROOM = 4 * MIB  # for copies in the making and what is too small to be counted
USABLE_SHARE = 0.8  # of the rest; the allocator needs some for what lies between reserved bytes
MIN_BUDGET = 1 * MIB  # the program works, slowly, where its limit leaves less
MIN_LISTING = MIB // 2  # for a listing, wherever that leaves the others
UNLIMITED = 1 << 62


class Purpose(Enum):
    """What bytes are held for; the value is the purpose's share of the budget."""

    CONNECTION = ("connection", 0.3)
    REQUEST_IN_PART = ("request in part", 0.15)
    REQUEST_CONTENT = ("request content", 0.3)
    ANSWER = ("answer", 0.2)
    LISTING = ("listing", 0.15)
    SERVERS = ("servers", 1.0)
    INVOCATION = ("invocation", 1.0)

    def __init__(self, label, share):
        self.label = label
        self.share = share

    __hash__ = object.__hash__  # members are unique; the hash of their name is slower


class MemoryBudget:
    """Counts reserved bytes against a bound, in all and for each purpose."""

    def __init__(self, limit=UNLIMITED):
        """`limit` is what the process may use, in bytes; count_program() says how much of it is taken."""
        self.limit = limit
        self.set_size(limit)
        self.used = 0
        self.peak = 0
        self.used_for = dict.fromkeys(Purpose, 0)
        self.refusals = dict.fromkeys(Purpose, 0)

    def count_program(self, resident):
        """Leaves out of the budget what the process uses at its start, in bytes, and the headroom."""
        self.set_size(max(MIN_BUDGET, int(USABLE_SHARE * (self.limit - resident - HEADROOM))))

    def set_size(self, size):
        """Sets the bound in bytes, and the most that each purpose may use."""
        self.size = size
        self.shares = {purpose: int(size * purpose.share) for purpose in Purpose}
        self.shares[Purpose.LISTING] = max(MIN_LISTING, self.shares[Purpose.LISTING])

    def share(self, purpose):
        """The most bytes that a purpose may use."""
        return self.shares[purpose]

    def reserve(self, size, purpose):
        """Reserves `size` bytes; returns False, and reserves none, where the bound is met."""
        if not self.has_room(size, purpose):
            self.refusals[purpose] += 1
            return False
        self.charge(size, purpose)
        return True

    def has_room(self, size, purpose):
        """Whether `size` more bytes are within the bounds."""
        if self.used_for[purpose] + size > self.shares[purpose]:
            return False
        for_others = self.size - self.shares[Purpose.LISTING] - self.used + self.used_for[Purpose.LISTING]
        return purpose is Purpose.LISTING or size <= for_others

    def charge(self, size, purpose):
        """Counts `size` bytes that are used whatever the bounds say: others get less."""
        self.used += size
        self.used_for[purpose] += size
        self.peak = max(self.peak, self.used)

    def release(self, size, purpose):
        """Gives back `size` reserved bytes."""
        self.used -= size
        self.used_for[purpose] -= size

    def is_scarce(self):
        """Whether more than half of the budget is reserved."""
        return 2 * self.used > self.size

    def describe(self):
        """Figures for a log line, in KiB: the bound, what is used, the peak and the refusals by purpose."""
        return {
            "size_kb": self.size >> 10,
            "used_kb": self.used >> 10,
            "peak_kb": self.peak >> 10,
            "used_for_kb": {purpose.label: used >> 10 for purpose, used in self.used_for.items() if used},
            "refused": {purpose.label: count for purpose, count in self.refusals.items() if count},
        }


class Reservation:
    """The bytes that one holder has reserved for one purpose; it may grow and shrink."""

    __slots__ = "budget", "purpose", "size"

    def __init__(self, budget, purpose):
        self.budget = budget
        self.purpose = purpose
        self.size = 0

    def resize(self, size):
        """Changes the reservation to `size` bytes; returns False, and changes nothing, where the bound is met."""
        if size == self.size:
            return True
        if size > self.size:
            if not self.budget.reserve(size - self.size, self.purpose):
                return False
        else:
            self.budget.release(self.size - size, self.purpose)
        self.size = size
        return True

    def charge(self, size):
        """Changes the reservation to `size` bytes whatever the bounds say."""
        self.budget.charge(size - self.size, self.purpose)
        self.size = size

    def grow(self, size):
        """Adds `size` bytes; returns False, and changes nothing, where the bound is met."""
        return self.resize(self.size + size)

    def release(self):
        """Gives everything back; a second call does nothing."""
        self.resize(0)
