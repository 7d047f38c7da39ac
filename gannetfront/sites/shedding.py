"""What a zone's loss means for the dispatches of one proxy: where nothing is sent any more, what is refused first, and how a zone that
comes back is let in again. No I/O.

At the loss the plan says all (plan.py): nothing is agreed upon and nobody is asked. Zones that are away (recognition.py) get nothing;
what the others cannot carry is refused in the plan's order, the same at every proxy, by a share of each operation that moves smoothly.
How much that is, the plan's figures say at first, scaled by what this proxy is asked for against what they have for it; from then on
it goes by what comes back: more where answers of the survivors are late, less, slowly, where they are not.

A zone that is back, by probes or answers, is let in by steps. Each proxy goes up its own slow ramp; whoever holds the duty `site-return`
goes quicker, as it settles for all that the zone is back, and takes a step back for all where it does not stand it. Its order is how far
the others may go, at its pace: they go there by their own steps, none skipped, as a leader that is ahead, or has just begun, says nothing
of what this proxy has sent there lately. Only an operator's order lets a zone in at once.
"""

from collections import Counter, deque

from ..interface import CANCELLED, MOOT, ON, RESET, TIMEOUT, UNCONNECTED
from .recognition import AWAY, FLAPS, PRESENT

STEPS = 0.0, 0.1, 0.3, 0.6, 1.0  # of a zone's weight while it is let in again
FULL = len(STEPS) - 1
SETTLE, EACH = (
    2000.0,
    1000.0,
)  # ms: a zone is back for so long before its first step, alone; from step to step
HELD_SETTLE, HELD_EACH = 1000.0, 500.0  # the same for the holder, which sees that the others see it too
SLOTS = 16  # looks over which the traffic is counted
KNOWN_SLOTS = SLOTS // 2  # looks from its start after which a proxy knows what it is asked for
USUAL, ABOUT = (
    60000.0,
    0.85,
)  # ms over which what is usual follows what is, as long as no zone has less than this part of it
PART = 0.6  # of a zone that may be used, below which it counts as lost in part
LEAST = 8  # answers, below which none of them says that the survivors are full
LATE, EASY = 0.2, 0.08  # shares of late answers: more is refused above the one, less below the other
MORE, LESS = 0.08, 0.005  # of the work asked for, at one look
MOST_WAITED = 4  # looks after which even few answers, or none, are judged
PACES, IDLE, QUICKER = (
    50,
    1.2,
    3,
)  # answers over which the usual pace is taken; up to that many times it the others are idle; then so much quicker
MOST_OFF = 1.1  # the plan's figures are scaled up by this at most: a busy proxy is not the fleet
HEEDED = 4000.0  # ms for which the holder's word counts; then each goes up its own ramp from there
JOINING = 4000.0  # ms from its start for which a proxy goes down to what is ordered: it has not seen what was before
NO_WORD, FORCED, HELD_DOWN = 5, 6, 7  # beside the steps: orders of the holder, of operators


class Zone:
    def __init__(self, now):
        self.level, self.back, self.stepped, self.tried = FULL, None, now, [0, 0]
        self.order, self.told = NO_WORD, -1e18  # the holder's, and when


class Stand:
    """`sites` is a plan's Sites, `ops` names of operations by index, `planned` the work a ms that this proxy is usually asked for,
    `every` the ms from look to look.

    In: asked(op) · ended(zone, begun, late, pace) for each outcome · look(now, states, parts). Out: weights {zone: part of its
    usual share of dispatches}, shares {op index: part of it that is refused}."""

    def __init__(self, sites, ops, planned, every, now):
        self.sites, self.planned, self.every = sites, planned, every
        self.zones = {zone: Zone(now) for zone in sites.capacity}
        self.weights, self.parts = dict.fromkeys(sites.capacity, 1.0), dict.fromkeys(sites.capacity, 1.0)
        self.order = [ops.index(name) for name in sites.refusal_order()]
        self.work = [sites.classes[name].work for name in ops]
        self.fleet = sum(map(sites.work, sites.traffic.values()))
        self.usual = None  # {zone: heft there against all the others', as it was with all of them well}
        self.asking, self.slots, self.seen, self.waited = Counter(), deque(maxlen=SLOTS), [0, 0], 0
        self.paces, self.usual_pace = 0.0, 0.1
        self.need, self.correction, self.scale, self.shares, self.missing = 0.0, 0.0, None, {}, False
        self.grown = self.born = now

    # ---- what is seen ----

    def asked(self, op):
        self.asking[op] += 1

    def ended(self, zone, begun, late, pace):
        """A dispatch to `zone`, sent at `begun`, ended; `late`: not in time, or refused as full; `pace`: its time as a share of the SLO."""
        one = self.zones.get(zone)
        if one and self.weights[zone]:
            if one.level < FULL and begun >= one.stepped:
                one.tried[0] += 1
                one.tried[1] += late
            # Of those sent since more was refused last: the ones before say nothing of whether that is enough.
            if begun >= self.grown:
                self.seen[0] += 1
                self.seen[1] += late
                self.paces += pace
            if not self.missing:
                self.usual_pace += (pace - self.usual_pace) / PACES

    def ordered(self, now, orders):
        """The holder of the return says how far each zone is let in: {zone: index of STEPS, NO_WORD, FORCED or HELD_DOWN}."""
        for name, order in orders.items():
            if name in self.zones:
                self.zones[name].order, self.zones[name].told = order, now

    def orders(self, states):
        """What its holder tells all: how far it has itself let each zone in; nothing of one that is away as it sees it, or not known."""
        return {
            name: zone.order
            if zone.order in (FORCED, HELD_DOWN)
            else zone.level
            if states.get(name) in PRESENT
            else NO_WORD
            for name, zone in self.zones.items()
        }

    # ---- what follows from it ----

    def look(self, now, states, hefts, leading=False):
        """`states` {zone: as Zones.for_dispatches has it}; `hefts` {zone: heft of its nodes that may be used, as warm as they are};
        `leading`: this proxy holds the return. True where weights are others now."""
        self.slots.append(self.asking)
        self.asking = Counter()
        for name, zone in self.zones.items():
            self.step(now, zone, states.get(name), leading)
        before, weights = self.weights, {name: STEPS[zone.level] for name, zone in self.zones.items()}
        # Where all of them look lost, it is this proxy that sees wrong, or there is nothing better: all are tried, as before.
        self.weights = weights if any(weights.values()) else dict.fromkeys(weights, 1.0)
        self.parts = self.parts_of(hefts)
        self.refuse(now)
        return self.weights != before

    def step(self, now, zone, state, leading):
        heeded = now - zone.told < HEEDED
        forced = heeded and zone.order == FORCED
        if state in AWAY and zone.order == FORCED:
            zone.order = NO_WORD  # it went again: the operator's word was for that time
        if zone.order == HELD_DOWN:
            zone.level, zone.back = 0, None  # until an operator says otherwise: not by a holder's death
        elif state in AWAY or state == FLAPS and not forced:
            zone.level, zone.back = 0, None
        elif forced:
            if zone.level < FULL:
                self.to(now, zone, FULL)
        else:
            self.ramp(
                now, zone, zone.order if heeded and not leading and zone.order <= FULL else None, leading
            )

    def ramp(self, now, zone, ordered, leading):
        """One step up, one back or none; `ordered` is the step of whoever leads the return, or None."""
        if zone.level == FULL:
            if ordered is not None and ordered < FULL and now < self.born + JOINING:
                self.to(now, zone, ordered)
            return
        zone.back = now if zone.back is None else zone.back
        seen, late = zone.tried
        settle, each = (HELD_SETTLE, HELD_EACH) if leading or ordered is not None else (SETTLE, EACH)
        if zone.level > 1 and seen >= LEAST and late > seen / 2:
            self.to(now, zone, zone.level - 1)
            zone.back = now
        elif ordered is not None and ordered < zone.level:
            self.to(now, zone, ordered)
        elif ordered != zone.level and now >= zone.back + settle and now >= zone.stepped + each:
            self.to(now, zone, zone.level + 1)

    @staticmethod
    def to(now, zone, level):
        zone.level, zone.stepped, zone.tried = level, now, [0, 0]

    def parts_of(self, hefts):
        """{zone: part of its capacity that may be used}: its heft against the others', beside what that usually is. Hefts are not of the
        settings' unit, and a rollout has all zones hold more for a while."""
        total = sum(hefts.get(name, 0.0) for name in self.zones)
        odds = {name: hefts.get(name, 0.0) / max(1e-9, total - hefts.get(name, 0.0)) for name in self.zones}
        if self.usual is None:
            if not all(odds.values()):
                return dict.fromkeys(self.zones, 1.0)  # not all have been there yet
            self.usual = odds
        parts = {
            name: min(1.0, odds[name] / self.usual[name]) if len(odds) > 1 else 1.0 for name in self.zones
        }
        if min(parts.values()) > ABOUT and min(self.weights.values()) == 1:
            self.usual = {
                name: self.usual[name] + (odds[name] - self.usual[name]) * self.every / USUAL for name in odds
            }
        return parts

    def rates(self):
        """{operation: asked for a look}, lately."""
        total = Counter()
        for slot in self.slots:
            total.update(slot)
        return {op: n / len(self.slots) for op, n in total.items()}

    def left(self):
        """Work a ms that may be given to the fleet."""
        return sum(
            self.sites.fill * c * self.weights[z] * self.parts[z] for z, c in self.sites.capacity.items()
        )

    def refuse(self, now):
        rates, left = self.rates(), self.left()
        mine = sum(n * self.work[op] for op, n in rates.items())
        seen, late = self.seen
        self.waited += 1
        missing = any(w < 1 for w in self.weights.values()) or any(p < PART for p in self.parts.values())
        if missing and not self.missing:
            self.scale = None
            self.judged(now)
            seen = late = 0
        if missing and self.scale is None and len(self.slots) >= KNOWN_SLOTS:
            # By what was asked until now: at a quiet hour nothing need be refused. Of a proxy that has just begun nothing is known of
            # that, its clients are on their way back: until then by the plan, as at all others.
            self.scale = min(MOST_OFF, mine / self.every / self.planned) if self.planned else 1.0
        self.missing = missing
        demand = self.fleet * (self.scale or 1.0)
        self.need = max(0.0, 1 - left / demand) if missing and demand else 0.0
        if not missing:
            self.correction = (
                max(0.0, self.correction - MORE) if self.correction > 0 else min(0.0, self.correction + MORE)
            )
        elif seen >= LEAST or self.waited >= MOST_WAITED:
            since = self.grown
            if late > max(1, LATE * seen):
                self.correction, since = self.correction + MORE, now
            elif late <= EASY * seen:
                # By the time that it took to know: who has few answers, as nearly all is refused, must not stay there for it.
                idle = self.paces <= IDLE * self.usual_pace * seen
                self.correction -= LESS * self.waited * (QUICKER if idle else 1)
            self.judged(since)
        self.correction = min(1 - self.need, max(-self.need, self.correction))
        over, self.shares = (self.need + self.correction) * mine, {}
        for op in self.order:
            asked = rates.get(op, 0.0) * self.work[op]
            if over <= 1e-9:
                break
            self.shares[op] = min(1.0, over / asked) if asked else 1.0
            over -= self.shares[op] * asked

    def told(self, zone, status):
        """How a dispatch to `zone` that ended so is told to the decisions: silence of one that is away says nothing of its build, nor of
        what the others can carry. Whether it may have run is left as it was."""
        if self.weights.get(zone, 1.0):
            return status
        return {TIMEOUT: CANCELLED, RESET: CANCELLED, UNCONNECTED: MOOT}.get(status, status)

    def holds(self, verdict, zones):
        """True where a vote on a build is not to be cast now; `zones` are those with machines of it. No stage moves on while a site that
        carries it is not whole; of one that is sent nothing nothing is known, for it or against it."""
        weights = [self.weights.get(zone, 1.0) for zone in zones]
        return verdict == ON and min(weights, default=1.0) < 1 or bool(weights) and max(weights) == 0

    def judged(self, since):
        """What comes back of what is sent from `since` on is judged next."""
        self.seen, self.waited, self.paces, self.grown = [0, 0], 0, 0.0, since

    def refuses(self, op, draw):
        return draw < self.shares.get(op, 0.0)
