"""Whom to admit, by which view, and as which group. No I/O.

A view's age is the time since the directory last confirmed it. Young enough, it decides all. Older, it still serves all it
knows, and one it does not know may be new: turned away for now, not for good. Past `costly_for` what is costly when
wrong (operations with an effect that must not run twice) waits; past `serve_for` everything does.
"""

from ..interface import SIDE_EFFECTING

ADMIT, UNKNOWN, LATER = "admit", "unknown", "later"


class Tenancy:
    def __init__(self, effects, fresh_for, costly_for, serve_for):
        """`effects` by operation index; spans in ms; 0 for no bound in the last two."""
        self.costly = [effect == SIDE_EFFECTING for effect in effects]
        self.fresh_for, self.costly_for, self.serve_for = fresh_for, costly_for or 1e18, serve_for or 1e18
        self.members, self.confirmed, self.number, self.slots = None, -1e18, (0, 0), {}

    def swap(self, number, members, slots, confirmed):
        """A whole view at once; False for one older than the one in force. `number` is (epoch, number)."""
        if number < self.number:
            return False
        self.number, self.members, self.slots, self.confirmed = (
            number,
            members,
            slots,
            max(confirmed, self.confirmed),
        )
        return True

    def confirm(self, number, at):
        if number == self.number:
            self.confirmed = max(self.confirmed, at)

    def admit(self, now, ident, op):
        """(verdict, group number). What is admitted keeps that number to its end, whatever view comes."""
        if self.members is None:
            return LATER, 0
        age, known = now - self.confirmed, self.members.get(ident)
        if known is None:
            return (UNKNOWN if age <= self.fresh_for else LATER), 0
        if age > self.costly_for and (self.costly[op] or age > self.serve_for):
            return LATER, 0
        if age > self.serve_for:
            return LATER, 0
        return ADMIT, self.slots.get(known[0], 0)
