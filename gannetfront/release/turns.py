"""Leader election among several controllers that share a store. No I/O.

The leader increments a heartbeat counter in the store; each standby watches it by its own monotonic clock.
The calendar clock plays no part, so that stepping it cannot cause a change of leader. A leader that could
not renew for `lease` ms stops acting by itself; a standby takes over after `takeover_timeout` ms without a
heartbeat, which is longer. What a paused former leader sends after that carries its old epoch and is
refused for it."""


class LeaderLease:
    """One controller's view of the leader's lease."""

    def __init__(self, name, takeover_timeout):
        """`name` is unique among the controllers of one store; `takeover_timeout` in ms."""
        self.name = name
        self.takeover_timeout = takeover_timeout
        self.lease = 0.6 * takeover_timeout
        self.renew_every = 0.15 * takeover_timeout
        self.epoch = None
        self.renewed_at = -1e18
        self.last_state = None
        self.changed_at = 0.0
        self.first_poll = True

    def poll(self, now, epoch, leader, heartbeat):
        """Takes the store's state (epoch, leader's name or '', heartbeat), read at `now` ms; True if this
        controller may take over now."""
        first_poll, self.first_poll = self.first_poll, False
        if (epoch, leader, heartbeat) != self.last_state:
            self.last_state, self.changed_at = (epoch, leader, heartbeat), now
        # An orderly shutdown leaves no leader. This controller's own name at the first poll stems from its
        # previous process. Later polls must not accept it: two controllers configured with one name by
        # mistake would take the lease from each other forever.
        return (
            not leader or first_poll and leader == self.name or now - self.changed_at >= self.takeover_timeout
        )

    def record_acquisition(self, begun, now, epoch):
        """The lease was acquired under `epoch` by a write that took from `begun` until `now` (ms)."""
        self.epoch = epoch
        self.record_renewal(begun, now)

    def record_renewal(self, begun, now):
        """The lease was renewed by a write that took from `begun` until `now` (ms). Standbys may have seen
        the heartbeat at the very beginning of the write; therefore a slow disk, or a pause before its
        return was noticed, must not extend the lease."""
        self.renewed_at = min(now, begun + self.takeover_timeout - self.lease)

    def record_loss(self, now):
        """Another controller has taken over."""
        self.epoch, self.last_state, self.changed_at = None, None, now

    def is_valid(self, now):
        """True while this controller's lease is valid."""
        return self.epoch is not None and now - self.renewed_at <= self.lease
