"""Monitors the sites of one proxy's node list and adapts what the decisions are given. No I/O: the same code
runs at a proxy and in simulation.

Entries are those of the node list (interface.py's `listed`): (address, zone, build, kind, cell, state,
capacity, start).
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
from .failure_detector import UNAVAILABLE, FailureDetector

TICK = 250.0  # ms between ticks
OVERDUE = 250.0  # ms that a dispatch has no answer, after which nodes of its zone are probed
PROBES = 2  # nodes of a zone that are probed at a tick
HOLD_INTERVAL = 1000.0  # ms between votes to hold a stage: votes can be lost, and they expire
LATE_SHARE = 0.5  # of the SLO time; a later answer indicates an overloaded node
UNANSWERED = TIMEOUT, UNCONNECTED, RESET  # statuses of dispatches without an answer


class Monitor:
    """Site monitor of one proxy.

    `names` are zones in the order of the settings, `mine` this proxy's own. A node starts with `cold_share`
    of its capacity and has all of it after `warm_within` ms. `shedding` is a Shedding if the plan is acted
    upon, else None: states are only reported then."""

    def __init__(self, names, mine, cold_share, warm_within, shedding=None):
        self.names, self.shedding, self.detector = names, shedding, FailureDetector(names, mine)
        self.cold_share, self.warm_within = cold_share, warm_within
        self.held_stage, self.hold_sent_at = (
            None,
            -1e18,
        )  # (stage, build) of the last vote to hold, and its time

    def zone_of(self, entry):
        """Name of the entry's zone, or "" for None or an unknown zone."""
        return self.names[entry[1]] if entry and entry[1] < len(self.names) else ""

    def warm(self, now, entry):
        """Part of its capacity, 0 to 1, that a node has reached since its start."""
        if not entry[7] or not self.warm_within:
            return 1.0
        return min(1.0, self.cold_share + (1 - self.cold_share) * max(0.0, now - entry[7]) / self.warm_within)

    # ---- observations ----

    def on_outcome(self, now, entry, status, took, slo_time):
        """Records how a dispatch to a node ended, after `took` ms; `entry` is None for a node that is no
        longer listed."""
        zone = self.zone_of(entry)
        if zone and status not in (MOOT, CANCELLED):
            self.detector.on_outcome(now, zone, entry[0], status not in UNANSWERED, took)
            if self.shedding:
                self.shedding.on_outcome(
                    zone,
                    now - took,
                    status in (TIMEOUT, FULL) or took > LATE_SHARE * slo_time,
                    took / slo_time,
                )

    def tick(self, now, entries, heard, standing, leading=False):
        """Returns ([(zone, state, evidence)] of changed states, whether weights changed, zones that get no
        dispatches from now on). `heard` and `standing` as in FailureDetector.tick, `leading`: this proxy
        leads the return."""
        ready = {name: [] for name in self.names}
        totals = dict.fromkeys(self.names, 0)
        capacities = dict.fromkeys(self.names, 0.0)
        for entry in entries:
            zone = self.zone_of(entry)
            if zone:
                totals[zone] += 1
            if zone and entry[5] == READY:
                ready[zone].append(entry[0])
                capacities[zone] += entry[6] * self.warm(now, entry)
        counts = {name: (len(ready[name]), totals[name]) for name in self.names}
        renewed = [zone for zone in self.names if self.detector.reset_if_replaced(zone, ready[zone])]
        changes = [
            (zone, self.detector.zones[zone].state, self.detector.zones[zone].evidence) for zone in renewed
        ]
        changes += self.detector.tick(now, heard, standing, counts)
        if not self.shedding:
            return changes, False, set()
        capacities = {
            zone: capacity * (1 - self.detector.zones[zone].unresponsive_share)
            for zone, capacity in capacities.items()
        }
        before = self.shedding.weights
        weights_changed = self.shedding.tick(now, self.detector.for_dispatches(), capacities, leading)
        return (
            changes,
            weights_changed,
            {zone for zone, weight in self.shedding.weights.items() if before[zone] and not weight},
        )

    # ---- decisions ----

    def entries_for_decisions(self, entries):
        """The list for the decisions: nodes of a zone without traffic are draining, and on a ramp capacities
        are scaled down."""
        if not self.shedding or min(self.shedding.weights.values()) == 1.0:
            return tuple(entries)
        adapted = []
        for entry in entries:
            weight = self.shedding.weights.get(self.zone_of(entry), 1.0)
            state = DRAINING if not weight and entry[5] == READY else entry[5]
            adapted.append(
                entry if weight == 1.0 else (*entry[:5], state, entry[6] * (weight or 1.0), entry[7])
            )
        return tuple(adapted)

    def status_for_decisions(self, entry, status):
        """The status by which the decisions are notified of a dispatch's outcome."""
        return self.shedding.status_for_decisions(self.zone_of(entry), status)

    def withholds_vote(self, verdict, version, entries):
        """True if no vote on the build `version` may be cast now."""
        return self.shedding.withholds_vote(
            verdict, {self.zone_of(entry) for entry in entries if entry[2] == version}
        )

    def stage_vote(self, now, stage, version, phase, entries):
        """(stage, build, verdict) to vote now on the trial under way, or None. Votes 'on' cast before a loss,
        also those of proxies that cannot be reached now, stay valid for seconds: without a vote to hold they
        would promote the stage in spite of the loss."""
        if phase == TRIAL and self.withholds_vote(PROMOTE, version, entries):
            if (stage, version) == self.held_stage and now < self.hold_sent_at + HOLD_INTERVAL:
                return None
            self.held_stage, self.hold_sent_at = (stage, version), now
            return stage, version, HOLD
        before, self.held_stage = self.held_stage, None
        return (*before, NO_VOTE) if before == (stage, version) and phase == TRIAL else None

    def orders_to_give(self):
        """{site: ReturnOrder} that this proxy gives as the leader of the return."""
        return self.shedding.orders_to_give(self.detector.for_dispatches())

    def to_probe(self, now, entries, in_flight, random):
        """[(zone, address)] of nodes to probe, of zones that are sent no dispatches or have an overdue one.
        `in_flight` is [(entry, start time)] of dispatches without an outcome yet, `random()` a number from 0
        to 1."""
        zones = {zone for zone, ramp in self.shedding.ramps.items() if not ramp.stage}
        zones |= {self.zone_of(entry) for entry, since in in_flight if entry and now - since > OVERDUE}
        targets = []
        for zone in self.names:
            addresses = (
                [entry[0] for entry in entries if entry[5] == READY and self.zone_of(entry) == zone]
                if zone in zones
                else []
            )
            targets += [
                (zone, addresses[int(random() * len(addresses))]) for _ in range(min(PROBES, len(addresses)))
            ]
        return targets

    def on_probe(self, now, zone, address, answered, took):
        """Records whether a probe was answered, after `took` ms."""
        self.detector.on_outcome(now, zone, address, answered, took)

    def unavailable(self):
        """{zone: whether it is unavailable}."""
        return {name: zone.state in UNAVAILABLE for name, zone in self.detector.zones.items()}
