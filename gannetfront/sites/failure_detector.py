"""Failure detector for zones, as seen by one proxy: the state of each zone, with its evidence. No I/O and no
decisions.

Three sources, none of which is enough alone: how dispatches to the zone's nodes ended within the last second,
whether the zone's proxies are heard (by this proxy and by others), and what the node list says. If the nodes
do not respond while others still hear the zone's proxies, this proxy is partitioned from the zone; if none of
the proxies is heard either, the zone is lost; and if this proxy hears nobody at all, it is isolated itself
and can say nothing of the other zones. A zone that fails repeatedly is reported as flapping, for longer each
time. An unavailable zone stays so until something answers there: that nothing was sent to it is no sign of
its recovery.

A zone is unknown at the start, and again once all its nodes have been replaced, until something answers
there. An unknown zone is sent dispatches as usual, since somebody has to be first, but it is not reported as
healthy: a leader that did so right after its start made all proxies send a lost site its whole load at its
return (docs/incidents/newborn-leader.md).
"""

from collections import deque

OUTCOME_WINDOW = 1000.0  # ms
MAX_OUTCOMES = 4096  # outcomes kept
MIN_OUTCOMES = 3  # unanswered dispatches, or answer times, in the window; fewer may be an accident
PARTIAL_SHARE = 0.25  # of a zone's nodes unresponsive
SLOW_FACTOR = 3.0  # times the usual answer time
USUAL_SAMPLES = 200  # answer times kept to estimate the usual one
RELAPSE_WINDOW = 60000.0  # ms; a failure this soon after the one before is a relapse
MIN_HOLD, MAX_HOLD = 5000.0, 120000.0  # ms for which a zone is reported as flapping after a relapse

UNKNOWN, HEALTHY, SLOW, PARTIAL, UNRESPONSIVE, PARTITIONED, LOST, UNHEARD, ISOLATED, FLAPPING = (
    "not known yet",
    "here",
    "slow",
    "in part",
    "its nodes are silent",
    "cut off from us",
    "lost",
    "does not hear us",
    "we are cut off",
    "comes and goes",
)
UNAVAILABLE = UNRESPONSIVE, PARTITIONED, LOST
AVAILABLE = HEALTHY, PARTIAL, SLOW


class ZoneView:
    """What one proxy knows of one zone."""

    def __init__(self):
        self.state = UNKNOWN
        self.evidence = ""
        self.usual_times = deque(maxlen=USUAL_SAMPLES)
        self.has_answered = False  # since this process started and the zone's nodes were last replaced
        self.failed_at = None
        self.hold_time = MIN_HOLD
        self.held_until = 0.0
        self.unresponsive_nodes = set()  # nodes that did not answer while the zone was unavailable
        self.reachable = True  # somebody answered when last asked, whatever else is known
        self.had_ready_nodes = False  # it once had nodes listed ready
        self.unresponsive_share = 0.0  # of the nodes asked lately


class FailureDetector:
    """Tracks the states of `zones`; `mine` is this proxy's own zone. Times are ms."""

    def __init__(self, zones, mine):
        self.zones = {z: ZoneView() for z in zones}
        self.mine = mine
        self.outcomes = deque(maxlen=MAX_OUTCOMES)

    def on_outcome(self, now, zone, node, answered, took):
        """Records whether a dispatch to `node` was answered and how many ms that took."""
        self.outcomes.append((now, zone, node, answered, took))

    def tick(self, now, heard, standing, listed):
        """[(zone, state, evidence)] of the zones whose state changed. `heard` is {zone: (members believed
        alive, members heard by this proxy lately, all members)}, `standing` as Members.standing, `listed`
        {zone: (ready nodes, nodes)}."""
        while self.outcomes and self.outcomes[0][0] < now - OUTCOME_WINDOW:
            self.outcomes.popleft()
        for zone in self.zones.values():
            if zone.state not in UNAVAILABLE:
                zone.unresponsive_nodes = set()
        by_zone = {z: {} for z in self.zones}
        for _, zone, node, answered, took in self.outcomes:
            counts = by_zone[zone].setdefault(node, [0, 0, []])
            counts[0 if answered else 1] += 1
            if answered:
                counts[2].append(took)
        for name, nodes in by_zone.items():
            self.zones[name].unresponsive_nodes |= {node for node, c in nodes.items() if c[1] and not c[0]}
        changed = []
        for name, zone in self.zones.items():
            state, evidence = self.state_of(
                name, zone, by_zone[name], heard.get(name, (0, 0, 0)), standing, listed.get(name, (0, 0))
            )
            state, evidence = self.hold_flapping(now, zone, state, evidence)
            if state != zone.state:
                zone.state, zone.evidence = state, evidence
                changed.append((name, state, evidence))
        return changed

    def for_dispatches(self):
        """{zone: state} for deciding where to send. While this proxy is isolated, other zones count as
        healthy unless their nodes do not answer it."""
        states = {}
        for name, zone in self.zones.items():
            state = zone.state
            if state in (ISOLATED, UNHEARD):
                state = HEALTHY if zone.reachable else UNRESPONSIVE
            states[name] = UNKNOWN if state in AVAILABLE and not zone.has_answered else state
        return states

    def reset_if_replaced(self, name, ready):
        """Resets an unavailable zone to unknown once none of its unresponsive nodes is listed `ready` any
        more, and returns True then: nothing is known of the new ones. A late list may still name nodes that
        were replaced long ago."""
        zone = self.zones[name]
        if (
            zone.state not in UNAVAILABLE
            or not ready
            or not zone.unresponsive_nodes
            or zone.unresponsive_nodes & set(ready)
        ):
            return False
        self.outcomes = deque((o for o in self.outcomes if o[1] != name), maxlen=MAX_OUTCOMES)
        zone.state = UNKNOWN
        zone.evidence = "all its nodes were replaced"
        zone.unresponsive_nodes = set()
        zone.reachable = True
        zone.has_answered = False
        return True

    def state_of(self, name, zone, nodes, heard, standing, listed):
        """(state, evidence) by the latest figures; `nodes` is {node: [answered, unanswered, answer
        times]}."""
        alive, heard_here, all_members = heard
        answered, unanswered = sum(c[0] for c in nodes.values()), sum(c[1] for c in nodes.values())
        unresponsive = [n for n, c in nodes.items() if c[1] and not c[0]]
        zone.has_answered = zone.has_answered or answered > 0
        zone.reachable = bool(answered) or zone.reachable and unanswered < MIN_OUTCOMES
        zone.unresponsive_share = (
            len(unresponsive) / len(nodes) if nodes and unanswered >= MIN_OUTCOMES else 0.0
        )
        summary = (
            f"{answered} answered, {unanswered} not, at {len(nodes)} nodes; "
            f"{heard_here} of {all_members} proxies heard, {alive} believed alive; "
            f"{listed[0]} of {listed[1]} nodes listed ready"
        )
        if standing["alone"] and name != self.mine:
            return ISOLATED, f"no proxy was heard for {standing['alone']:.0f} ms; {summary}"
        if standing["unheard"] and name != self.mine and heard_here and not answered and unanswered:
            return (
                UNHEARD,
                f"other proxies are heard but did not answer for {standing['unheard']:.0f} ms; {summary}",
            )
        members_gone = all_members and not alive and not heard_here
        zone.had_ready_nodes = zone.had_ready_nodes or listed[0] > 0
        if zone.had_ready_nodes and not listed[0] and not answered and not members_gone:
            return UNRESPONSIVE, f"none of its nodes is listed ready; {summary}"
        if (
            not nodes and zone.state in UNAVAILABLE and zone.had_ready_nodes
        ):  # without a node ever, a zone is judged by its proxies alone
            return zone.state, f"nothing was sent there lately; {summary}"
        # A single node, however often it is asked, does not stand for its zone.
        if (
            not answered
            and unanswered >= MIN_OUTCOMES
            and len(unresponsive) >= min(2, listed[0])
            or not nodes
            and members_gone
            and not listed[0]
        ):
            if members_gone or not all_members and not listed[0]:
                return LOST, summary
            if all_members and alive and not heard_here:
                return PARTITIONED, summary
            return UNRESPONSIVE, summary
        # Asked without an answer, but too seldom or at too few nodes to tell the cause: no sign of recovery.
        # Once, a random choice that asked a single node one time gave a lost zone its traffic back.
        if not answered and zone.state in UNAVAILABLE and (nodes or zone.had_ready_nodes):
            return zone.state, summary
        if not answered and zone.state in (ISOLATED, UNHEARD) and not zone.reachable:
            return UNRESPONSIVE, summary
        if unresponsive and len(unresponsive) >= PARTIAL_SHARE * len(nodes) and unanswered >= MIN_OUTCOMES:
            return PARTIAL, summary
        if zone.state == UNKNOWN and not zone.has_answered:
            return UNKNOWN, summary
        times = sorted(t for c in nodes.values() for t in c[2])
        usual_times = sorted(zone.usual_times)
        if (
            len(times) >= MIN_OUTCOMES
            and len(usual_times) >= USUAL_SAMPLES // 4
            and times[len(times) // 2] > SLOW_FACTOR * usual_times[len(usual_times) // 2]
        ):
            return (
                SLOW,
                f"median answer time {times[len(times) // 2]:.0f} ms, "
                f"usually {usual_times[len(usual_times) // 2]:.0f} ms; {summary}",
            )
        zone.usual_times.extend(times[-MIN_OUTCOMES:])
        return HEALTHY, summary

    def hold_flapping(self, now, zone, state, evidence):
        """Reports a zone that failed again soon after its recovery as flapping, for longer each time."""
        if state in UNAVAILABLE and zone.state not in UNAVAILABLE and zone.state != FLAPPING:
            relapsed = zone.failed_at is not None and now - zone.failed_at < RELAPSE_WINDOW
            zone.hold_time = min(MAX_HOLD, 2 * zone.hold_time) if relapsed else MIN_HOLD
            zone.failed_at = now
            if relapsed:
                zone.held_until = now + zone.hold_time
        if state in UNAVAILABLE and zone.state == FLAPPING:
            zone.failed_at, zone.held_until = now, max(zone.held_until, now + zone.hold_time)
        if state == HEALTHY and now < zone.held_until:
            return (
                FLAPPING,
                f"failed more than once within {RELAPSE_WINDOW:.0f} ms; "
                f"left out for another {zone.held_until - now:.0f} ms; {evidence}",
            )
        return state, evidence
