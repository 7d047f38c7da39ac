"""Admission of invocations by tenant: whether to admit, by which view, and as which group. No I/O.

The age of a view is the time since the directory last confirmed it. While the view is fresh, it alone
decides. An older view still serves every tenant that it contains, but a tenant that is missing from it may be
new, so that invocation is refused for now rather than for good. Past one age limit, side-effecting
operations, where a wrong admission cannot be undone, are refused for now; past another, all invocations are.
"""

from ..interface import SIDE_EFFECTING

# Verdicts on an invocation:
ADMIT = "admit"
UNKNOWN = "unknown"  # refused, there is no such tenant
LATER = "later"  # refused for now, the client may retry


class Tenancy:
    """Decides on admission by the view in force. Times and ages in ms."""

    def __init__(self, effects, fresh_age, side_effecting_age_limit, serving_age_limit):
        """`effects` are the effects of operations by operation index. A view no older than `fresh_age` ms may
        declare a tenant unknown. The age limits are in ms; 0 for no limit."""
        self.side_effecting = [effect == SIDE_EFFECTING for effect in effects]
        self.fresh_age = fresh_age
        self.side_effecting_age_limit = side_effecting_age_limit or 1e18
        self.serving_age_limit = serving_age_limit or 1e18
        self.members = None
        self.confirmed = -1e18
        self.number = (0, 0)
        self.group_numbers = {}

    def swap(self, number, members, group_numbers, confirmed):
        """Replaces the whole view; False, without a change, for a view older than the one in force. `number`
        is (epoch, view number), `members` {tenant: (group, quota)}, `group_numbers` {group: number};
        `confirmed` is the time, in ms, when the directory confirmed the view."""
        if number < self.number:
            return False
        self.number, self.members, self.group_numbers, self.confirmed = (
            number,
            members,
            group_numbers,
            max(confirmed, self.confirmed),
        )
        return True

    def confirm(self, number, at):
        """Records that the directory confirmed view `number` at time `at`; ignored for any other view."""
        if number == self.number:
            self.confirmed = max(self.confirmed, at)

    def admit(self, now, tenant_id, operation):
        """(verdict, group number). An admitted invocation keeps that group number to its end, even when the
        view changes meanwhile."""
        if self.members is None:
            return LATER, 0
        age, member = now - self.confirmed, self.members.get(tenant_id)
        if member is None:
            return (UNKNOWN if age <= self.fresh_age else LATER), 0
        if age > self.side_effecting_age_limit and (
            self.side_effecting[operation] or age > self.serving_age_limit
        ):
            return LATER, 0
        if age > self.serving_age_limit:
            return LATER, 0
        return ADMIT, self.group_numbers.get(member[0], 0)
