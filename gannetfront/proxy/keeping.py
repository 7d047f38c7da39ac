"""How long a kept connection to a node may idle and still be trusted with a request, without I/O.

Against nodes, and what stands between, that drop idle connections without a word and sooner than they said: a request written
to such a one ends as a reset that proves nothing, and what must not run twice is lost with it. Told by what it does: connections
that idled so long break on their next request more often than new ones do. It may hurt where young connections break as well
for a reason of their own: then more are made anew, which costs handshakes. Samples are the last few of each age and expire, so
that a longer idling is tried again.
"""

from collections import deque

AGES = (
    20.0,
    40.0,
    80.0,
    160.0,
    320.0,
    640.0,
    1280.0,
    2560.0,
    5120.0,
    10240.0,
)  # ms idle; each a class up to the next
KEPT, MEMORY = 24, 10000.0  # samples a class, and how long each speaks
MARGIN, LEAST = (
    0.1,
    2,
)  # share of breaks above new connections' own, and breaks, before a class is not trusted


class Keeping:
    def __init__(self):
        self.new, self.classes, self.limit, self.at = (
            deque(maxlen=4 * KEPT),
            [deque(maxlen=KEPT) for _ in AGES],
            1e18,
            0.0,
        )

    def saw(self, now, age, broke):
        """A request on a connection that had idled for `age` ms, or on a new one (None), ended by a break or not."""
        if age is None or age < AGES[0]:
            self.new.append((now, broke))
            return
        self.classes[sum(age >= least for least in AGES) - 1].append((now, broke))
        if broke:
            self.at = 0.0  # looked at again at once

    def trusted(self, now):
        """Ms that a connection may have idled."""
        if now >= self.at:
            self.at, self.limit = now + 500.0, self.judged(now - MEMORY)
        return self.limit

    def judged(self, since):
        new = [broke for at, broke in self.new if at > since]
        usual = (sum(new) + 1) / (len(new) + 10)
        for least, kept in zip(AGES, self.classes):
            fresh = [broke for at, broke in kept if at > since]
            if sum(fresh) >= LEAST and sum(fresh) / len(fresh) > usual + MARGIN:
                return least
        return 1e18
