"""The ids that no new invocation may take: open ones, and those of which a dispatch may still run. Without I/O."""

from heapq import heappop, heappush

from ..memory import Purpose, Reservation

RETAINED_ID_BYTES = 400  # of an id that is retained, with its entries


class OpenIds:
    """Ids of invocations. All times are in ms of one monotonic clock."""

    def __init__(self, budget):
        self.budget = budget
        self.open = set()
        self.retained = {}  # id -> its Reservation
        self.expiries = []  # heap of (time until which an id is retained, id)

    def __len__(self):
        """How many ids are open; retained ones have no invocation any more."""
        return len(self.open)

    def take(self, invocation_id, now):
        """Marks an id as open; returns False if it is open or retained."""
        self.expire(now)
        if invocation_id in self.open or invocation_id in self.retained:
            return False
        self.open.add(invocation_id)
        return True

    def free(self, invocation_id):
        """The invocation is over, and nothing of it can run."""
        self.open.discard(invocation_id)

    def retain(self, invocation_id, until):
        """The invocation is over, but something of it may run until then. Returns False where memory is short."""
        self.open.discard(invocation_id)
        reservation = Reservation(self.budget, Purpose.INVOCATION)
        has_room = reservation.resize(RETAINED_ID_BYTES)
        self.retained[invocation_id] = reservation
        heappush(self.expiries, (until, invocation_id))
        return has_room

    def expire(self, now):
        """Frees the ids whose time is over."""
        while self.expiries and self.expiries[0][0] <= now:
            _, invocation_id = heappop(self.expiries)
            self.retained.pop(invocation_id).release()
