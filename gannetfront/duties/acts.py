"""Whoever is acted upon, without I/O: which acts of a duty it lets happen.

A token alone stops a holder that others have followed, but only where the follower was before it. So each act knocks first: the door
gives it a nonce, good for PATIENCE ms of the door's own clock, and the holder acts only if its lease lasts longer than that. An act
that was under way longer than it thought (a process that stood still between its look and the act, a stream that was cut and is not any
more) comes to a door that has closed, wherever the next holder has been by then.

Work in steps: they rise at each place, and each is done once, whoever holds; one that was done already is said to be so.
"""

from .lease import Fence, surely

PATIENCE = 200.0  # ms
DOORS = 64  # open at a time; the oldest is closed for one more


class Gate:
    def __init__(self, step=0, token=None):
        """`step` is the last done, `token` under which, as far as it is known from before a restart."""
        self.fence, self.step, self.doors, self.nonce, self.busy = Fence(), step, {}, 0, False
        if token:
            self.fence.accepts(token)

    def enter(self, now):
        """(nonce, highest token, last step done)."""
        self.nonce += 1
        self.doors = dict([*self.doors.items()][1 - DOORS :]) if len(self.doors) >= DOORS else self.doors
        self.doors[self.nonce] = now
        return self.nonce, self.fence.highest, self.step

    def heard(self, token):
        self.fence.accepts(token)

    def act(self, now, nonce, token, step):
        """(how, why): "do" it, then call `done`; "again": it was done; "refused"."""
        opened = self.doors.pop(nonce, None)
        if opened is None or now - opened > PATIENCE:
            return "refused", "late"
        if not self.fence.accepts(token):
            return "refused", "token"
        if step == self.step:
            return "again", ""
        if self.busy:
            return "refused", "busy"
        if step < self.step:
            return "refused", "order"  # a place that was away for some rounds does the newest only
        self.busy = True
        return "do", ""

    def done(self, step, fine=True):
        self.busy = False
        if fine:
            self.step = step


def time_to_act(left, rate):
    """True where a lease that lasts `left` ms outlasts any door, whatever clocks do within `rate`."""
    return left > surely(PATIENCE, rate)


class Rounds:
    """The holder's part of work in rounds: each of `places` is to be at the same step before any is at the next.

    What each place has done is what it says itself, so that a follower needs no word of who held before."""

    def __init__(self, places, every, floor=0):
        """`floor` is a step that is known to have been begun: a place that has done it may be out of reach."""
        self.places, self.every, self.known, self.ended, self.floor = list(places), every, {}, None, floor

    def told(self, place, step):
        self.known[place] = step

    def step(self):
        """The step of the round that is under way: the highest that any place has done, until all have it."""
        return max([self.floor, *self.known.values()])

    def next(self, now, asked):
        """(place, step) to be done now, or None. `asked` are the places that cannot be reached: passed over, not waited for."""
        step, able = self.step(), [p for p in self.places if p not in asked]
        if any(p not in self.known for p in able):
            return None  # who holds anew first hears how far each is
        behind = [p for p in able if self.known[p] < step]
        if behind:
            self.ended = None
            return behind[0], step
        if not able:
            return None
        self.ended = now if self.ended is None else self.ended
        if now - self.ended < self.every and step:
            return None
        self.ended = None
        return able[0], step + 1
