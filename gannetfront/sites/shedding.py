"""Load shedding of one proxy while a site is lost: which sites get no dispatches and what is refused. No I/O.

Each proxy follows the plan (plan.py) by itself, without asking or agreeing with others. Unavailable sites
(failure_detector.py) get nothing; what the other sites cannot carry is refused in the plan's order, the same
at every proxy, by a share of each operation that changes smoothly. At first that share follows from the
plan's figures, scaled by the traffic of this proxy against its planned traffic; then it is corrected by
feedback: more is refused while the surviving sites answer late, and slowly less while they do not. The
traffic of a site that has recovered is restored by its ramp (ramp.py).
"""

from collections import Counter, deque

from ..interface import CANCELLED, MOOT, PROMOTE, RESET, TIMEOUT, UNCONNECTED
from .ramp import Ramp

WINDOW_TICKS = 16  # over which requests are counted
MIN_WINDOW_TICKS = WINDOW_TICKS // 2  # ticks after the start until the request rate is known
USUAL_TIME_CONSTANT = 60000.0  # ms; time constant with which the usual capacities follow the present ones
MIN_USUAL_SHARE = 0.85  # usable part of each site's capacity, below which it is not taken as usual
PARTLY_LOST_SHARE = 0.6  # usable part of a site, below which it counts as partly lost
MIN_OUTCOMES = 8  # outcomes needed to judge whether the surviving sites are full
HIGH_LATE_SHARE, LOW_LATE_SHARE = 0.2, 0.08  # of outcomes: more is refused above, less below
INCREASE, DECREASE = 0.08, 0.005  # of the requested work, a tick
MAX_TICKS_UNJUDGED = 4  # then even fewer outcomes, or none, are judged
LATENCY_OUTCOMES = 50  # outcomes over which the usual latency is averaged
IDLE_LATENCY = 1.2  # times the usual latency, up to which the surviving sites are idle
IDLE_FACTOR = 3  # times DECREASE while they are idle
MAX_SCALE = 1.1  # of the planned traffic: one busy proxy says little of the fleet
EPSILON = 1e-9  # ms of work a ms


class Shedding:
    """Decides what one proxy sends to each site and what it refuses.

    `sites` is a plan's Sites, `operations` the names of operations by index, `planned_work` the ms of work a
    ms that this proxy is usually asked for, `period` the ms between ticks. Results: `weights` {site: part of
    its usual share of dispatches} and `shares` {operation's index: part of it that is refused}."""

    def __init__(self, sites, operations, planned_work, period, now):
        self.sites, self.planned_work, self.period = sites, planned_work, period
        self.ramps = {site: Ramp(now) for site in sites.capacity}
        self.weights = dict.fromkeys(sites.capacity, 1.0)
        self.usable = dict.fromkeys(sites.capacity, 1.0)  # part of each site's capacity
        self.refusal_order = [operations.index(name) for name in sites.refusal_order()]
        self.work = [sites.classes[name].work for name in operations]
        self.fleet_work = sum(map(sites.work, sites.traffic.values()))
        self.usual_ratios = None  # {site: its capacity over that of all others} while all are healthy
        self.requests, self.window = Counter(), deque(maxlen=WINDOW_TICKS)
        self.usual_latency = 0.1  # of dispatches, as a share of the SLO time
        self.capacity_missing = False
        self.scale = None  # of the plan's figures, by this proxy's traffic; None while not known
        self.planned_refusal = 0.0  # part of the requested work that the plan refuses
        self.correction = 0.0  # part refused beyond the plan
        self.shares = {}
        self.judge_from(now)

    # ---- observations ----

    def on_request(self, operation):
        """Counts a request for the operation, by its index."""
        self.requests[operation] += 1

    def on_outcome(self, site, sent_at, late, latency):
        """Records the end of a dispatch; `late`: not answered in time, or rejected by a full server;
        `latency`: its time as a share of the SLO time."""
        if not self.weights.get(site):
            return
        self.ramps[site].on_outcome(sent_at, late)
        # Only dispatches sent after the last increase tell whether that increase was enough.
        if sent_at >= self.judged_from:
            self.outcomes += 1
            self.late_outcomes += late
            self.latency_sum += latency
        if not self.capacity_missing:
            self.usual_latency += (latency - self.usual_latency) / LATENCY_OUTCOMES

    def on_orders(self, now, orders):
        """Takes the orders of the leader of the return: {site: ReturnOrder or its value}."""
        for site, order in orders.items():
            if site in self.ramps:
                self.ramps[site].on_order(now, order)

    def orders_to_give(self, states):
        """{site: ReturnOrder} that this proxy gives to all as the leader of the return; `states` as for
        `tick`."""
        return {site: ramp.order_to_give(states.get(site)) for site, ramp in self.ramps.items()}

    # ---- decisions ----

    def tick(self, now, states, capacities, leading=False):
        """Updates weights and shares; True if weights changed. `states` as in FailureDetector.for_dispatches,
        `capacities` {site: capacity of its usable servers, as warm as they are}, `leading`: this proxy leads
        the return."""
        self.window.append(self.requests)
        self.requests = Counter()
        for site, ramp in self.ramps.items():
            ramp.tick(now, states.get(site), leading)
        before = self.weights
        weights = {site: ramp.weight for site, ramp in self.ramps.items()}
        # If all sites look lost, this proxy is wrong or has no alternative: all are tried, as before.
        self.weights = weights if any(weights.values()) else dict.fromkeys(weights, 1.0)
        self.usable = self.usable_parts(capacities)
        self.update_shares(now)
        return self.weights != before

    def usable_parts(self, capacities):
        """{site: usable part of its capacity}: its capacity relative to the other sites', compared with the
        usual ratio. Ratios are used because capacities are not in the settings' unit, and because a rollout
        raises the capacity of all sites for a while."""
        total = sum(capacities.get(site, 0.0) for site in self.ramps)
        ratios = {
            site: capacities.get(site, 0.0) / max(EPSILON, total - capacities.get(site, 0.0))
            for site in self.ramps
        }
        if self.usual_ratios is None:
            if not all(ratios.values()):
                return dict.fromkeys(self.ramps, 1.0)  # not all sites have been seen yet
            self.usual_ratios = ratios
        if len(ratios) == 1:
            usable = dict.fromkeys(ratios, 1.0)
        else:
            usable = {site: min(1.0, ratios[site] / self.usual_ratios[site]) for site in ratios}
        if min(usable.values()) > MIN_USUAL_SHARE and min(self.weights.values()) == 1:
            gain = self.period / USUAL_TIME_CONSTANT
            self.usual_ratios = {
                site: usual + (ratios[site] - usual) * gain for site, usual in self.usual_ratios.items()
            }
        return usable

    def request_rates(self):
        """{operation's index: requests a tick}, averaged over the window."""
        total = Counter()
        for requests in self.window:
            total.update(requests)
        return {operation: count / len(self.window) for operation, count in total.items()}

    def remaining_work(self):
        """Work, in ms a ms, that the fleet can take now."""
        return sum(
            self.sites.fill * capacity * self.weights[site] * self.usable[site]
            for site, capacity in self.sites.capacity.items()
        )

    def update_shares(self, now):
        """Recomputes the refused share of each operation."""
        rates = self.request_rates()
        requested_work = sum(rate * self.work[operation] for operation, rate in rates.items())
        self.ticks_unjudged += 1
        self.update_planned_refusal(now, requested_work)
        self.update_correction(now)
        excess, self.shares = (self.planned_refusal + self.correction) * requested_work, {}
        for operation in self.refusal_order:
            if excess <= EPSILON:
                break
            requested = rates.get(operation, 0.0) * self.work[operation]
            self.shares[operation] = min(1.0, excess / requested) if requested else 1.0
            excess -= self.shares[operation] * requested

    def update_planned_refusal(self, now, requested_work):
        """Sets `planned_refusal`, the part of the requested work that the plan refuses."""
        capacity_missing = min(self.weights.values()) < 1 or min(self.usable.values()) < PARTLY_LOST_SHARE
        if capacity_missing and not self.capacity_missing:
            self.scale = None
            self.judge_from(now)
        self.capacity_missing = capacity_missing
        if capacity_missing and self.scale is None and len(self.window) >= MIN_WINDOW_TICKS:
            # By the traffic until the loss: in a quiet hour nothing need be refused. Right after its start a
            # proxy does not know its traffic, as its clients are still reconnecting: the plan's figures count
            # until then (docs/incidents/plan-from-empty-window.md).
            rate = requested_work / self.period
            self.scale = min(MAX_SCALE, rate / self.planned_work) if self.planned_work else 1.0
        demand = self.fleet_work * (self.scale or 1.0)
        self.planned_refusal = (
            max(0.0, 1 - self.remaining_work() / demand) if capacity_missing and demand else 0.0
        )

    def update_correction(self, now):
        """Adjusts the share refused on top of the plan by how late the surviving sites answer."""
        if not self.capacity_missing:
            towards_zero = min(INCREASE, abs(self.correction))
            self.correction += -towards_zero if self.correction > 0 else towards_zero
        elif self.outcomes >= MIN_OUTCOMES or self.ticks_unjudged >= MAX_TICKS_UNJUDGED:
            judge_from = self.judged_from
            if self.late_outcomes > max(1, HIGH_LATE_SHARE * self.outcomes):
                self.correction += INCREASE
                judge_from = now
            elif self.late_outcomes <= LOW_LATE_SHARE * self.outcomes:
                # In proportion to the ticks since the last judgement: a proxy that refuses nearly everything
                # gets few outcomes, and must not keep refusing for that reason.
                idle = self.latency_sum <= IDLE_LATENCY * self.usual_latency * self.outcomes
                self.correction -= DECREASE * self.ticks_unjudged * (IDLE_FACTOR if idle else 1)
            self.judge_from(judge_from)
        self.correction = min(1 - self.planned_refusal, max(-self.planned_refusal, self.correction))

    def judge_from(self, sent_at):
        """Starts a new judgement, of dispatches sent at `sent_at` or later."""
        self.outcomes = self.late_outcomes = self.ticks_unjudged = 0
        self.latency_sum, self.judged_from = 0.0, sent_at

    # ---- queries of the runner ----

    def refuses(self, operation, sample):
        """True if a request is refused; `sample` is a random number from 0 to 1."""
        return sample < self.shares.get(operation, 0.0)

    def status_for_decisions(self, site, status):
        """The status by which the decisions are notified of a dispatch that ended with `status`. No answer
        from an unavailable site says nothing of its build or of what other sites can carry. Whether the
        dispatch may have run is preserved."""
        if self.weights.get(site, 1.0):
            return status
        return {TIMEOUT: CANCELLED, RESET: CANCELLED, UNCONNECTED: MOOT}.get(status, status)

    def withholds_vote(self, verdict, sites):
        """True if no vote on a build may be cast now; `sites` are those with servers of it. No stage is
        promoted while one of them is not fully in use, and a build that is sent no dispatches at all cannot
        be judged either way."""
        weights = [self.weights.get(site, 1.0) for site in sites]
        return verdict == PROMOTE and min(weights, default=1.0) < 1 or bool(weights) and max(weights) == 0
