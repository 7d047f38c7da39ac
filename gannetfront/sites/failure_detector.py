"""What is with each zone, as one proxy sees it: told by symptom, with its evidence. No I/O; nothing is decided here.

Three witnesses, none of which suffices alone: how dispatches to the zone's nodes ended within the last second, whether the zone's
proxies are heard (by this one, and by others), and what the node list says. Nodes silent while their zone's proxies are heard by others
is a cut; silent with all of them gone is a loss; and where nobody at all is heard here, it is this proxy that is cut off, and
nothing may be said of the others. A zone that goes again and again is told as such, and for longer each time. One that is away stays
so until something answers there: that nothing was sent to it is no sign of its return.

A zone begins as not known yet, and is that again once its nodes are others, until something answers there. To send there as usual, as
somebody has to be the first, is another matter than to say that it is whole: a leader that said so from its start, knowing nothing, had
all proxies give a lost site its whole load at its return (docs/incidents/newborn-leader.md).
"""

from collections import deque

SPAN, MOST = 1000.0, 4096  # ms, and outcomes, that are looked at
LEAST = 3  # outcomes without an answer, below which silence is an accident
PART, SLOWER = 0.25, 3.0  # of a zone's nodes silent: half a site; times its usual answer time: slow
USUAL = 200  # answer times that are remembered for the usual
AGAIN, FIRST_HOLD, LONGEST_HOLD = (
    60000.0,
    5000.0,
    120000.0,
)  # ms: gone again within; told as coming and going for

UNKNOWN, HERE, SLOW, HALF, NODES, CUT, LOST, ONE_WAY, ALONE, FLAPS = (
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
AWAY = NODES, CUT, LOST
PRESENT = HERE, HALF, SLOW


class ZoneView:
    def __init__(self):
        self.state, self.evidence, self.usual = UNKNOWN, "", deque(maxlen=USUAL)
        self.known = False  # something answered there, in this life of the process and of the zone's nodes
        self.gone_at, self.hold_time, self.held_until = None, FIRST_HOLD, 0.0
        self.silent = set()  # nodes that answered nothing while it was taken for away
        self.reached = True  # somebody answered there when last asked, whatever else stands
        self.had_nodes, self.unresponsive = (
            False,
            0.0,
        )  # it had nodes that were listed ready; part of those asked lately that answered nothing


class FailureDetector:
    """Events: on_outcome(now, zone, node, answered, took), took in ms. `tick(now, ...)` returns what changed."""

    def __init__(self, zones, mine):
        self.zones, self.mine, self.outcomes = {z: ZoneView() for z in zones}, mine, deque(maxlen=MOST)

    def on_outcome(self, now, zone, node, answered, took):
        self.outcomes.append((now, zone, node, answered, took))

    def tick(self, now, heard, standing, listed):
        """[(zone, state, evidence)] of the zones whose state is another now. `heard` {zone: (members alive as far as is known, heard by
        this one lately, all)}; `standing` as Members.standing; `listed` {zone: (nodes ready, nodes)}."""
        while self.outcomes and self.outcomes[0][0] < now - SPAN:
            self.outcomes.popleft()
        for zone in self.zones.values():
            if zone.state not in AWAY:
                zone.silent = set()
        found = {z: {} for z in self.zones}
        for _, zone, node, answered, took in self.outcomes:
            row = found[zone].setdefault(node, [0, 0, []])
            row[0 if answered else 1] += 1
            if answered:
                row[2].append(took)
        for name, rows in found.items():
            self.zones[name].silent |= {node for node, r in rows.items() if r[1] and not r[0]}
        changed = []
        for name, zone in self.zones.items():
            state, evidence = self.state_of(
                name, zone, found[name], heard.get(name, (0, 0, 0)), standing, listed.get(name, (0, 0))
            )
            state, evidence = self.steady(now, zone, state, evidence)
            if state != zone.state:
                zone.state, zone.evidence = state, evidence
                changed.append((name, state, evidence))
        return changed

    def for_dispatches(self):
        """{zone: state} as far as sending there goes: where nobody is heard nothing is said of the others, but what answers nothing is
        sent nothing."""
        states = {}
        for name, zone in self.zones.items():
            state = zone.state
            if state in (ALONE, ONE_WAY):
                state = HERE if zone.reached else NODES
            states[name] = UNKNOWN if state in PRESENT and not zone.known else state
        return states

    def renewed(self, name, ready):
        """True where a zone was away and none of the nodes that were silent is listed any more: nothing is known of those that are,
        `ready`. A list that came late names what has long been replaced."""
        zone = self.zones[name]
        if zone.state not in AWAY or not ready or not zone.silent or zone.silent & set(ready):
            return False
        self.outcomes = deque((o for o in self.outcomes if o[1] != name), maxlen=MOST)
        zone.state, zone.evidence, zone.silent, zone.reached, zone.known = (
            UNKNOWN,
            "its nodes are others now",
            set(),
            True,
            False,
        )
        return True

    def state_of(self, name, zone, nodes, heard, standing, listed):
        alive, here, all_members = heard
        answered, silent = sum(r[0] for r in nodes.values()), sum(r[1] for r in nodes.values())
        unresponsive = [n for n, r in nodes.items() if r[1] and not r[0]]
        zone.known = zone.known or answered > 0
        zone.reached = bool(answered) or zone.reached and silent < LEAST
        zone.unresponsive = len(unresponsive) / len(nodes) if nodes and silent >= LEAST else 0.0
        told = (
            f"{answered} answered, {silent} not, at {len(nodes)} nodes; {here} of {all_members} proxies heard, {alive} said to be there; "
            f"{listed[0]} of {listed[1]} nodes listed ready"
        )
        if standing["alone"] and name != self.mine:
            return ALONE, f"nobody was heard for {standing['alone']:.0f} ms; {told}"
        if standing["unheard"] and name != self.mine and here and not answered and silent:
            return ONE_WAY, f"others are heard and did not answer for {standing['unheard']:.0f} ms; {told}"
        members_gone = all_members and not alive and not here
        zone.had_nodes = zone.had_nodes or listed[0] > 0
        if zone.had_nodes and not listed[0] and not answered and not members_gone:
            return NODES, f"none of its nodes is listed ready; {told}"
        if (
            not nodes and zone.state in AWAY and zone.had_nodes
        ):  # one that never had a node is told by its proxies alone
            return zone.state, f"nothing was sent there lately; {told}"
        # One node, however often it is asked, is no zone.
        if (
            not answered
            and silent >= LEAST
            and len(unresponsive) >= min(2, listed[0])
            or not nodes
            and members_gone
            and not listed[0]
        ):
            if members_gone or not all_members and not listed[0]:
                return LOST, told
            if all_members and alive and not here:
                return CUT, told
            return NODES, told
        # Asked and without an answer, but too seldom, or at too few nodes, to be told apart by symptom: no sign of its return. A draw that
        # met one node only once gave a lost zone its traffic back.
        if not answered and zone.state in AWAY and (nodes or zone.had_nodes):
            return zone.state, told
        if not answered and zone.state in (ALONE, ONE_WAY) and not zone.reached:
            return NODES, told
        if unresponsive and len(unresponsive) >= PART * len(nodes) and silent >= LEAST:
            return HALF, told
        if zone.state == UNKNOWN and not zone.known:
            return UNKNOWN, told
        times = sorted(t for r in nodes.values() for t in r[2])
        usual = sorted(zone.usual)
        if (
            len(times) >= LEAST
            and len(usual) >= USUAL // 4
            and times[len(times) // 2] > SLOWER * usual[len(usual) // 2]
        ):
            return (
                SLOW,
                f"answers take {times[len(times) // 2]:.0f} ms, usually {usual[len(usual) // 2]:.0f}; {told}",
            )
        zone.usual.extend(times[-LEAST:])
        return HERE, told

    def steady(self, now, zone, state, evidence):
        """One that went again soon after it had come back is held to be coming and going, for longer each time."""
        if state in AWAY and zone.state not in AWAY and zone.state != FLAPS:
            again = zone.gone_at is not None and now - zone.gone_at < AGAIN
            zone.hold_time = min(LONGEST_HOLD, 2 * zone.hold_time) if again else FIRST_HOLD
            zone.gone_at = now
            if again:
                zone.held_until = now + zone.hold_time
        if state in AWAY and zone.state == FLAPS:
            zone.gone_at, zone.held_until = now, max(zone.held_until, now + zone.hold_time)
        if state == HERE and now < zone.held_until:
            return (
                FLAPS,
                f"it was gone within the last {AGAIN:.0f} ms, more than once; held so for {zone.held_until - now:.0f}; {evidence}",
            )
        return state, evidence
