"""What a site's loss means for the dispatches of one proxy: where nothing is sent any more, and what is refused first. No I/O.

At the loss the plan says all (plan.py): nothing is agreed upon and nobody is asked. Sites that are away (failure_detector.py) get nothing;
what the others cannot carry is refused in the plan's order, the same at every proxy, by a share of each operation that moves smoothly.
How much that is, the plan's figures say at first, scaled by what this proxy is asked for against what they have for it; from then on
it goes by what comes back: more where answers of the survivors are late, less, slowly, where they are not. A site that is back is let in
by the stages of its ramp (ramp.py).
"""

from collections import Counter, deque

from ..interface import CANCELLED, MOOT, PROMOTE, RESET, TIMEOUT, UNCONNECTED
from .ramp import Ramp

WINDOW_TICKS = 16  # over which the traffic is counted
LEAST_WINDOW_TICKS = WINDOW_TICKS // 2  # from its start, after which a proxy knows what it is asked for
USUAL_TIME = 60000.0  # ms over which what is usual of capacities follows what is
USUAL_LEAST = 0.85  # part of each site's capacity that is usable, below which that is not usual
LOST_IN_PART = 0.6  # part of a site that is usable, below which it counts as lost in part
LEAST_OUTCOMES = 8  # below which none of them says that the survivors are full
LATE_SHARE, EASY_SHARE = 0.2, 0.08  # of outcomes: more is refused above the one, less below the other
INCREASE, DECREASE = 0.08, 0.005  # of the work asked for, at one tick
MOST_TICKS_UNJUDGED = 4  # after which even few outcomes, or none, are judged
PACE_OUTCOMES = 50  # over which the usual pace is taken
IDLE_PACE = 1.2  # times the usual pace, up to which the survivors are idle
IDLE_FACTOR = 3  # so much quicker less is refused where they are
MOST_SCALE = 1.1  # of the plan's figures: a busy proxy is not the fleet
NOTHING = 1e-9  # ms of work a ms


class Shedding:
    """`sites` is a plan's Sites, `operations` their names by index, `planned_work` the work a ms that this proxy is usually asked for,
    `period` the ms from tick to tick.

    Out: `weights` {site: part of its usual share of dispatches}, `shares` {operation's index: part of it that is refused}."""

    def __init__(self, sites, operations, planned_work, period, now):
        self.sites, self.planned_work, self.period = sites, planned_work, period
        self.ramps = {site: Ramp(now) for site in sites.capacity}
        self.weights = dict.fromkeys(sites.capacity, 1.0)
        self.usable = dict.fromkeys(sites.capacity, 1.0)  # part of each site's capacity
        self.refusal_order = [operations.index(name) for name in sites.refusal_order()]
        self.work = [sites.classes[name].work for name in operations]
        self.fleet_work = sum(map(sites.work, sites.traffic.values()))
        self.usual_odds = None  # {site: its capacity against all the others', with all of them well}
        self.requests, self.window = Counter(), deque(maxlen=WINDOW_TICKS)
        self.usual_pace = 0.1
        self.missing, self.scale, self.need, self.correction, self.shares = False, None, 0.0, 0.0, {}
        self.judge_from(now)

    # ---- what is seen ----

    def on_request(self, operation):
        self.requests[operation] += 1

    def on_outcome(self, site, sent_at, late, pace):
        """A dispatch ended; `late`: not in time, or turned away as the server was full; `pace`: its time as a share of the SLO time."""
        if not self.weights.get(site):
            return
        self.ramps[site].on_outcome(sent_at, late)
        # Of those sent since more was refused last: the ones before say nothing of whether that is enough.
        if sent_at >= self.judged_from:
            self.outcomes += 1
            self.late_outcomes += late
            self.paces += pace
        if not self.missing:
            self.usual_pace += (pace - self.usual_pace) / PACE_OUTCOMES

    def on_orders(self, now, orders):
        """The leader of the return says how far each site is let in: {site: ReturnOrder, or its value}."""
        for site, order in orders.items():
            if site in self.ramps:
                self.ramps[site].on_order(now, order)

    def orders_to_give(self, states):
        """What this proxy tells all where it leads the return: {site: ReturnOrder}."""
        return {site: ramp.order_to_give(states.get(site)) for site, ramp in self.ramps.items()}

    # ---- what follows from it ----

    def tick(self, now, states, capacities, leading=False):
        """`states` as FailureDetector.for_dispatches has them; `capacities` {site: of its servers that may be used, as warm as they are};
        `leading`: this proxy leads the return. True where weights are others now."""
        self.window.append(self.requests)
        self.requests = Counter()
        for site, ramp in self.ramps.items():
            ramp.tick(now, states.get(site), leading)
        before = self.weights
        weights = {site: ramp.weight for site, ramp in self.ramps.items()}
        # Where all of them look lost, it is this proxy that sees wrong, or there is nothing better: all are tried, as before.
        self.weights = weights if any(weights.values()) else dict.fromkeys(weights, 1.0)
        self.usable = self.usable_parts(capacities)
        self.update_shares(now)
        return self.weights != before

    def usable_parts(self, capacities):
        """{site: part of its capacity that may be used}: its capacity against the others', beside what that usually is. Capacities are not
        of the settings' unit, and a rollout has all sites hold more for a while."""
        total = sum(capacities.get(site, 0.0) for site in self.ramps)
        odds = {
            site: capacities.get(site, 0.0) / max(NOTHING, total - capacities.get(site, 0.0))
            for site in self.ramps
        }
        if self.usual_odds is None:
            if not all(odds.values()):
                return dict.fromkeys(self.ramps, 1.0)  # not all have been there yet
            self.usual_odds = odds
        if len(odds) == 1:
            usable = dict.fromkeys(odds, 1.0)
        else:
            usable = {site: min(1.0, odds[site] / self.usual_odds[site]) for site in odds}
        if min(usable.values()) > USUAL_LEAST and min(self.weights.values()) == 1:
            followed = self.period / USUAL_TIME
            self.usual_odds = {
                site: usual + (odds[site] - usual) * followed for site, usual in self.usual_odds.items()
            }
        return usable

    def request_rates(self):
        """{operation's index: asked for a tick}, lately."""
        total = Counter()
        for requests in self.window:
            total.update(requests)
        return {operation: count / len(self.window) for operation, count in total.items()}

    def remaining_work(self):
        """Work a ms that may be given to the fleet."""
        return sum(
            self.sites.fill * capacity * self.weights[site] * self.usable[site]
            for site, capacity in self.sites.capacity.items()
        )

    def update_shares(self, now):
        rates = self.request_rates()
        asked_work = sum(rate * self.work[operation] for operation, rate in rates.items())
        self.ticks_unjudged += 1
        self.update_need(now, asked_work)
        self.update_correction(now)
        over, self.shares = (self.need + self.correction) * asked_work, {}
        for operation in self.refusal_order:
            if over <= NOTHING:
                break
            asked = rates.get(operation, 0.0) * self.work[operation]
            self.shares[operation] = min(1.0, over / asked) if asked else 1.0
            over -= self.shares[operation] * asked

    def update_need(self, now, asked_work):
        """The part of what is asked that the plan refuses."""
        missing = min(self.weights.values()) < 1 or min(self.usable.values()) < LOST_IN_PART
        if missing and not self.missing:
            self.scale = None
            self.judge_from(now)
        self.missing = missing
        if missing and self.scale is None and len(self.window) >= LEAST_WINDOW_TICKS:
            # By what was asked until now: at a quiet hour nothing need be refused. Of a proxy that has just begun nothing is known of that,
            # its clients are on their way back: until then by the plan, as at all others (docs/incidents/plan-from-empty-window.md).
            asked = asked_work / self.period
            self.scale = min(MOST_SCALE, asked / self.planned_work) if self.planned_work else 1.0
        demand = self.fleet_work * (self.scale or 1.0)
        self.need = max(0.0, 1 - self.remaining_work() / demand) if missing and demand else 0.0

    def update_correction(self, now):
        """What is refused beside the plan, by how late the survivors answer."""
        if not self.missing:
            towards_zero = min(INCREASE, abs(self.correction))
            self.correction += -towards_zero if self.correction > 0 else towards_zero
        elif self.outcomes >= LEAST_OUTCOMES or self.ticks_unjudged >= MOST_TICKS_UNJUDGED:
            judge_from = self.judged_from
            if self.late_outcomes > max(1, LATE_SHARE * self.outcomes):
                self.correction += INCREASE
                judge_from = now
            elif self.late_outcomes <= EASY_SHARE * self.outcomes:
                # By the time that it took to know: who has few answers, as nearly all is refused, must not stay there for it.
                idle = self.paces <= IDLE_PACE * self.usual_pace * self.outcomes
                self.correction -= DECREASE * self.ticks_unjudged * (IDLE_FACTOR if idle else 1)
            self.judge_from(judge_from)
        self.correction = min(1 - self.need, max(-self.need, self.correction))

    def judge_from(self, sent_at):
        """What comes back of what is sent from then on is judged next."""
        self.outcomes = self.late_outcomes = self.ticks_unjudged = 0
        self.paces, self.judged_from = 0.0, sent_at

    # ---- asked by the decisions' shell ----

    def refuses(self, operation, draw):
        """`draw` from 0 to 1."""
        return draw < self.shares.get(operation, 0.0)

    def status_for_decisions(self, site, status):
        """How a dispatch that ended so is told to the decisions: silence of a site that is away says nothing of its build, nor of what the
        others can carry. Whether it may have run is left as it was."""
        if self.weights.get(site, 1.0):
            return status
        return {TIMEOUT: CANCELLED, RESET: CANCELLED, UNCONNECTED: MOOT}.get(status, status)

    def withholds_vote(self, verdict, sites):
        """True where a vote on a build is not to be cast now; `sites` are those with servers of it. No stage moves on while a site that
        carries it is not whole; of one that is sent nothing nothing is known, for it or against it."""
        weights = [self.weights.get(site, 1.0) for site in sites]
        return verdict == PROMOTE and min(weights, default=1.0) < 1 or bool(weights) and max(weights) == 0
