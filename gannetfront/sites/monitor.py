"""What one proxy sees of sites and what follows, over its node list, without I/O: the same text at a proxy and in virtual time.

Entries are those of the list (interface.py's `listed`): (address, zone, build, kind, cell, state, heft, start).
"""

from ..interface import (
    CANCELLED,
    DRAINING,
    FULL,
    HOLD,
    MOOT,
    NO_VOTE,
    ON,
    READY,
    RESET,
    TIMEOUT,
    TRIAL,
    UNCONNECTED,
)
from .recognition import AWAY, Zones

LOOK = 250.0  # ms between looks
OVERDUE = 250.0  # ms without an answer, after which nodes of that zone are asked whether they are there
ASKED = 2  # nodes of a zone that are asked at a look
SAID_AGAIN = (
    1000.0  # ms from one word that a stage is to wait to the next: one that is lost, or old, says nothing
)
LATE = 0.5  # of the SLO time: an answer later than that says that a node is full
SILENT = TIMEOUT, UNCONNECTED, RESET  # no answer came


class Sight:
    """`names` are zones in the order of the settings, `mine` this proxy's; a node begins with `cold_share` of its capacity and has all
    of it after `warm_within` ms; `stand` a Stand where the plan is acted upon, else None: then it only tells."""

    def __init__(self, names, mine, cold_share, warm_within, stand=None):
        self.names, self.stand, self.zones = names, stand, Zones(names, mine)
        self.cold_share, self.warm_within = cold_share, warm_within
        self.waits, self.said_at = None, -1e18  # (stage, build) that is to wait for a site, as said last

    def zone_of(self, entry):
        return self.names[entry[1]] if entry and entry[1] < len(self.names) else ""

    def warm(self, now, entry):
        """Part of its capacity that a node has by now, 0 to 1."""
        if not entry[7] or not self.warm_within:
            return 1.0
        return min(1.0, self.cold_share + (1 - self.cold_share) * max(0.0, now - entry[7]) / self.warm_within)

    # ---- what is seen ----

    def saw(self, now, entry, status, took, slo_time):
        """How a dispatch to that node ended; `entry` is None for one that is not listed any more."""
        zone = self.zone_of(entry)
        if zone and status not in (MOOT, CANCELLED):
            self.zones.outcome(now, zone, entry[0], status not in SILENT, took)
            if self.stand:
                self.stand.ended(
                    zone, now - took, status in (TIMEOUT, FULL) or took > LATE * slo_time, took / slo_time
                )

    def look(self, now, entries, heard, standing, leading=False):
        """([(zone, state, evidence)] that are others now, whether weights are, zones that get nothing from now on)."""
        ready, every, hefts = (
            {name: [] for name in self.names},
            dict.fromkeys(self.names, 0),
            dict.fromkeys(self.names, 0.0),
        )
        for entry in entries:
            zone = self.zone_of(entry)
            if zone:
                every[zone] += 1
            if zone and entry[5] == READY:
                ready[zone].append(entry[0])
                hefts[zone] += entry[6] * self.warm(now, entry)
        counts = {name: (len(ready[name]), every[name]) for name in self.names}
        renewed = [zone for zone in self.names if self.zones.renewed(zone, ready[zone])]
        told = [(zone, self.zones.zones[zone].state, self.zones.zones[zone].evidence) for zone in renewed]
        told += self.zones.look(now, heard, standing, counts)
        if not self.stand:
            return told, False, set()
        hefts = {zone: heft * (1 - self.zones.zones[zone].mute) for zone, heft in hefts.items()}
        before = self.stand.weights
        moved = self.stand.look(now, self.zones.for_dispatches(), hefts, leading)
        return (
            told,
            moved,
            {zone for zone, weight in self.stand.weights.items() if before[zone] and not weight},
        )

    # ---- what follows ----

    def seen(self, entries):
        """A list as the decisions are to have it: nothing new goes where nothing is sent, and less where a zone is let in again."""
        if not self.stand or min(self.stand.weights.values()) == 1.0:
            return tuple(entries)
        found = []
        for entry in entries:
            weight = self.stand.weights.get(self.zone_of(entry), 1.0)
            state = DRAINING if not weight and entry[5] == READY else entry[5]
            found.append(
                entry if weight == 1.0 else (*entry[:5], state, entry[6] * (weight or 1.0), entry[7])
            )
        return tuple(found)

    def told(self, entry, status):
        """How the outcome of a dispatch is told to the decisions."""
        return self.stand.told(self.zone_of(entry), status)

    def holds(self, verdict, ver, entries):
        """True where a vote on that build is not to be cast now."""
        return self.stand.holds(verdict, {self.zone_of(entry) for entry in entries if entry[2] == ver})

    def word(self, now, stage, ver, phase, entries):
        """(stage, build, verdict) to be said now about the trial under way, or None. Votes 'on' cast before a loss stand for seconds, and
        so do those of who is away: they must not move a stage over it."""
        if phase == TRIAL and self.holds(ON, ver, entries):
            if (stage, ver) == self.waits and now < self.said_at + SAID_AGAIN:
                return None
            self.waits, self.said_at = (stage, ver), now
            return stage, ver, HOLD
        before, self.waits = self.waits, None
        return (*before, NO_VOTE) if before == (stage, ver) and phase == TRIAL else None

    def orders(self):
        """What the holder of the return tells all."""
        return self.stand.orders(self.zones.for_dispatches())

    def to_ask(self, now, entries, out, draw):
        """[(zone, address)] of nodes that are to be asked whether they are there: of zones of which nothing will be heard by itself, as
        they are sent nothing, or what is `out` there [(entry, since)] is overdue."""
        some = {zone for zone, one in self.stand.zones.items() if not one.level}
        some |= {self.zone_of(entry) for entry, since in out if entry and now - since > OVERDUE}
        found = []
        for zone in self.names:
            there = (
                [entry[0] for entry in entries if entry[5] == READY and self.zone_of(entry) == zone]
                if zone in some
                else []
            )
            found += [(zone, there[int(draw() * len(there))]) for _ in range(min(ASKED, len(there)))]
        return found

    def answered(self, now, zone, address, fine, took):
        self.zones.outcome(now, zone, address, fine, took)

    def away(self):
        """{zone: taken for lost, cut off or silent}."""
        return {name: zone.state in AWAY for name, zone in self.zones.zones.items()}
