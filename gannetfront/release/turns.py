"""Which of several controllers acts, without I/O: by a beat that the acting one leaves in the store, watched on each one's
own clock. Calendar time has no part in it: a clock that is stepped moves no turn.

The acting one stops by itself when it could not renew for `lease` ms; another takes its turn after `patience` ms without a
beat, which is longer. What a paused one still sends after that carries the epoch of its turn, and is refused for it.
"""


class Turn:
    def __init__(self, name, patience):
        """`name` is this controller's own in its settings; `patience` in ms."""
        self.name, self.patience, self.lease, self.renew_every = (
            name,
            patience,
            0.6 * patience,
            0.15 * patience,
        )
        self.epoch, self.renewed, self.seen, self.changed, self.first = None, -1e18, None, 0.0, True

    def look(self, now, epoch, holder, beat):
        """True where the turn that the store shows (epoch, holder's name or '', beat) may be taken over now."""
        first, self.first = self.first, False
        if (epoch, holder, beat) != self.seen:
            self.seen, self.changed = (epoch, holder, beat), now
        # An orderly end leaves no holder. One's own name, at the start, is an earlier life's: nobody else has it. Only at
        # the start, or two that were given one name by mistake would take it from each other for ever.
        return not holder or first and holder == self.name or now - self.changed >= self.patience

    def taken(self, begun, now, epoch):
        self.epoch = epoch
        self.kept(begun, now)

    def kept(self, begun, now):
        """A sign was left in the store, by a write that took from `begun` until `now`. Others may have seen it at its very
        beginning, so that a slow disk, or a stop before the write's return was noticed, must not make this turn longer."""
        self.renewed = min(now, begun + self.patience - self.lease)

    def lost(self, now):
        self.epoch, self.seen, self.changed = None, None, now

    def acts(self, now):
        return self.epoch is not None and now - self.renewed <= self.lease
