"""How long a connection to a node may stay idle and still be trusted with a request. Does no I/O.

Some nodes and middleboxes drop idle connections silently, and sooner than announced. A request written to
such a connection ends in a reset, which doesn't prove that the request was not executed; a side-effecting
invocation is then lost, as it may not be retried. The symptom is that connections with a given idle time
break on their next request more often than new ones do. Where new connections break as well, for a reason of
their own, the rule may discard more connections than needed, which costs handshakes. Samples are the most
recent few of each idle time and expire, so that longer idle times are tried again.
"""

from collections import deque

# Lower bounds of the idle time classes, in ms; each class reaches up to the next bound.
IDLE_BOUNDS_MS = (
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
)
SAMPLES_PER_CLASS = 24
SAMPLE_TTL_MS = 10000.0
# A class is distrusted when its share of breaks exceeds that of new connections by the margin, and its number
# of breaks reaches the minimum.
BREAK_SHARE_MARGIN = 0.1
MIN_BREAKS = 2


class IdleTimeEstimator:
    """Estimates the idle time up to which connections are safe to reuse, from how requests on them ended."""

    def __init__(self):
        self.new_samples = deque(maxlen=4 * SAMPLES_PER_CLASS)
        self.idle_samples = [deque(maxlen=SAMPLES_PER_CLASS) for _ in IDLE_BOUNDS_MS]
        self.limit = 1e18
        self.next_estimate_at = 0.0

    def record(self, now, idle_time, broke):
        """Records how a request ended on a connection that was idle for `idle_time` ms, or new (None).

        `broke` tells whether the connection broke before any byte of an answer."""
        if idle_time is None or idle_time < IDLE_BOUNDS_MS[0]:
            self.new_samples.append((now, broke))
            return
        self.idle_samples[sum(idle_time >= bound for bound in IDLE_BOUNDS_MS) - 1].append((now, broke))
        if broke:
            self.next_estimate_at = 0.0  # a break is taken into account at once

    def reusable_idle_time(self, now):
        """Returns the idle time in ms below which a connection may be reused."""
        if now >= self.next_estimate_at:
            self.next_estimate_at, self.limit = now + 500.0, self.estimate(now - SAMPLE_TTL_MS)
        return self.limit

    def estimate(self, since):
        new = [broke for at, broke in self.new_samples if at > since]
        baseline = (sum(new) + 1) / (len(new) + 10)
        for bound, samples in zip(IDLE_BOUNDS_MS, self.idle_samples):
            recent = [broke for at, broke in samples if at > since]
            if sum(recent) >= MIN_BREAKS and sum(recent) / len(recent) > baseline + BREAK_SHARE_MARGIN:
                return bound
        return 1e18
