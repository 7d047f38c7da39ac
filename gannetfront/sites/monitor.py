"""What one proxy sees of sites and what follows, over its node list, without I/O: the same text at a proxy and in virtual time.

Entries are those of the list (interface.py's `listed`): (address, zone, build, kind, cell, state, capacity, start).
"""

from ..interface import (
    CANCELLED,
    DRAINING,
    FULL,
    HOLD,
    MOOT,
    NO_VOTE,
    PROMOTE,
    READY,
    RESET,
    TIMEOUT,
    TRIAL,
    UNCONNECTED,
)
from .failure_detector import AWAY, FailureDetector

TICK = 250.0  # ms between ticks
OVERDUE = 250.0  # ms without an answer, after which nodes of that zone are asked whether they are there
PROBES = 2  # nodes of a zone that are asked at a tick
SAID_AGAIN = (
    1000.0  # ms from one word that a stage is to wait to the next: one that is lost, or old, says nothing
)
LATE = 0.5  # of the SLO time: an answer later than that says that a node is full
SILENT = TIMEOUT, UNCONNECTED, RESET  # no answer came


class Monitor:
    """`names` are zones in the order of the settings, `mine` this proxy's; a node begins with `cold_share` of its capacity and has all
    of it after `warm_within` ms; `shedding` a Shedding where the plan is acted upon, else None: then it only tells."""

    def __init__(self, names, mine, cold_share, warm_within, shedding=None):
        self.names, self.shedding, self.detector = names, shedding, FailureDetector(names, mine)
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

    def on_outcome(self, now, entry, status, took, slo_time):
        """How a dispatch to that node ended; `entry` is None for one that is not listed any more."""
        zone = self.zone_of(entry)
        if zone and status not in (MOOT, CANCELLED):
            self.detector.on_outcome(now, zone, entry[0], status not in SILENT, took)
            if self.shedding:
                self.shedding.on_outcome(
                    zone, now - took, status in (TIMEOUT, FULL) or took > LATE * slo_time, took / slo_time
                )

    def tick(self, now, entries, heard, standing, leading=False):
        """([(zone, state, evidence)] that are others now, whether weights are, zones that get nothing from now on)."""
        ready, every, capacities = (
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
                capacities[zone] += entry[6] * self.warm(now, entry)
        counts = {name: (len(ready[name]), every[name]) for name in self.names}
        renewed = [zone for zone in self.names if self.detector.renewed(zone, ready[zone])]
        told = [
            (zone, self.detector.zones[zone].state, self.detector.zones[zone].evidence) for zone in renewed
        ]
        told += self.detector.tick(now, heard, standing, counts)
        if not self.shedding:
            return told, False, set()
        capacities = {
            zone: capacity * (1 - self.detector.zones[zone].unresponsive)
            for zone, capacity in capacities.items()
        }
        before = self.shedding.weights
        moved = self.shedding.tick(now, self.detector.for_dispatches(), capacities, leading)
        return (
            told,
            moved,
            {zone for zone, weight in self.shedding.weights.items() if before[zone] and not weight},
        )

    # ---- what follows ----

    def entries_for_decisions(self, entries):
        """A list as the decisions are to have it: nothing new goes where nothing is sent, and less where a zone is let in again."""
        if not self.shedding or min(self.shedding.weights.values()) == 1.0:
            return tuple(entries)
        found = []
        for entry in entries:
            weight = self.shedding.weights.get(self.zone_of(entry), 1.0)
            state = DRAINING if not weight and entry[5] == READY else entry[5]
            found.append(
                entry if weight == 1.0 else (*entry[:5], state, entry[6] * (weight or 1.0), entry[7])
            )
        return tuple(found)

    def status_for_decisions(self, entry, status):
        """How the outcome of a dispatch is told to the decisions."""
        return self.shedding.status_for_decisions(self.zone_of(entry), status)

    def withholds_vote(self, verdict, ver, entries):
        """True where a vote on that build is not to be cast now."""
        return self.shedding.withholds_vote(
            verdict, {self.zone_of(entry) for entry in entries if entry[2] == ver}
        )

    def stage_vote(self, now, stage, ver, phase, entries):
        """(stage, build, verdict) to be said now about the trial under way, or None. Votes 'on' cast before a loss stand for seconds, and
        so do those of who is away: they must not move a stage over it."""
        if phase == TRIAL and self.withholds_vote(PROMOTE, ver, entries):
            if (stage, ver) == self.waits and now < self.said_at + SAID_AGAIN:
                return None
            self.waits, self.said_at = (stage, ver), now
            return stage, ver, HOLD
        before, self.waits = self.waits, None
        return (*before, NO_VOTE) if before == (stage, ver) and phase == TRIAL else None

    def orders_to_give(self):
        """What the holder of the return tells all."""
        return self.shedding.orders_to_give(self.detector.for_dispatches())

    def to_probe(self, now, entries, out, draw):
        """[(zone, address)] of nodes that are to be asked whether they are there: of zones of which nothing will be heard by itself, as
        they are sent nothing, or what is `out` there [(entry, since)] is overdue."""
        some = {zone for zone, one in self.shedding.ramps.items() if not one.stage}
        some |= {self.zone_of(entry) for entry, since in out if entry and now - since > OVERDUE}
        found = []
        for zone in self.names:
            there = (
                [entry[0] for entry in entries if entry[5] == READY and self.zone_of(entry) == zone]
                if zone in some
                else []
            )
            found += [(zone, there[int(draw() * len(there))]) for _ in range(min(PROBES, len(there)))]
        return found

    def on_probe(self, now, zone, address, fine, took):
        self.detector.on_outcome(now, zone, address, fine, took)

    def away(self):
        """{zone: taken for lost, cut off or silent}."""
        return {name: zone.state in AWAY for name, zone in self.detector.zones.items()}
