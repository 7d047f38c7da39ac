"""All decisions of gannetfront: routing, retries, throttling and the verdict on a new build.

There is one Balancer per proxy. The carrier calls `round(now, events, out)`, where each event is the name of
a method below followed by its fields, and receives the decisions through `out`. The types, constants and the
writer's protocol are in interface.py. All times and durations are float milliseconds.
"""

from bisect import bisect_right
from collections import Counter, OrderedDict, deque
from itertools import accumulate
from math import exp, log, log2, sqrt
from statistics import NormalDist
from zlib import crc32

from .interface import (
    ROLL_BACK,
    CANCELLED,
    ERROR,
    FINGERPRINTED,
    FULL,
    GONE,
    IDEMPOTENT,
    MOOT,
    PROMOTE,
    READY,
    RELEASED,
    RESET,
    SIDE_EFFECTING,
    SUCCEEDED,
    TIMEOUT,
    TRIAL,
    UNCONNECTED,
)

NEVER_RAN = (FULL, UNCONNECTED, MOOT)  # statuses after which no server has run the invocation
FAILURES = (ERROR, RESET)
VERDICT_NAMES = {PROMOTE: "on", ROLL_BACK: "back"}
REPORTED_STATUSES = SUCCEEDED, ERROR, RESET, TIMEOUT  # a report to the judges holds the index
JUDGE_COUNT = 3  # balancers that collect the outcomes of all others, where signals are allowed
JACKKNIFE_GROUPS = 10  # R in the paper
MINIMUM_OUTCOMES = 20  # per build before any vote, summed over all balancers that must agree
# The margins for slowness are wider: at 0.15 a good build on a few slow machines was rolled back by a burst.
ROLLBACK_MARGIN = 0.03
PROMOTE_MARGIN = 0.05
SLOW_ROLLBACK_MARGIN = 0.25
SLOW_PROMOTE_MARGIN = 0.2
YOUNG_SERVER_MS = 5000.0  # response times of a younger server are not attributed to its build
EARLIER_BUILD_WEIGHT = 0.25  # weight of earlier builds' servers while the trial may take all traffic
# From the newest server's start to a vote to promote; at the last stage, from when that server is warm.
SETTLE_MS = 3000.0
MAX_TALLIED = 400  # outcomes of a build and operation that are kept of the platform's tallies
SAMPLE_LIFETIME_MS = 6000.0  # older samples of a server no longer describe it
COUNTING_SPAN_MS = 4000.0  # over which arrivals and timely answers are counted
SWEEP_PERIOD_MS = 100.0
MAX_GONE_SERVERS = 4000  # remembered after they have ended
MAX_REMEMBERED_KEYS = 20000  # keys that may not return to an earlier build


def retry_delay(longest, slo_time, random):
    """Retry delay in ms for a throttled client, randomised so that clients do not retry at the same time.

    `longest` is the longest delay that clients honour; `random` is uniform in [0, 1).
    """
    return min(longest, slo_time / 2) * (0.3 + 0.7 * random)


class Server:
    """One listed server as this balancer sees it.

    Uses slots and lists that start empty, because thousands of proxies each hold a thousand servers.
    """

    __slots__ = (
        "zone build kind cell state weight started_at "
        "in_flight load recent_outcomes recent_dispatches last_start"
    ).split()

    def __init__(self, entry, no_load={}):
        _, self.zone, self.build, self.kind, self.cell, self.state, self.weight, self.started_at = entry
        self.in_flight = {}  # (invocation id, sequence number) -> time sent
        self.load = no_load
        self.recent_outcomes = []  # last 16 of (time, time taken or None, failed)
        self.recent_dispatches = []  # times of the last 200 while cold
        self.last_start = self.started_at  # as listed or after a refused connection

    def health(self, now, typical_time, failure_rate=0.0):
        """Returns (expected time taken in ms, expected failure rate), smoothed by two typical outcomes."""
        oldest = now - SAMPLE_LIFETIME_MS
        times = 0.0
        timed = 0
        failures = 0
        outcomes = 0
        for at, took, failed in self.recent_outcomes:
            if at > oldest:
                outcomes, failures = outcomes + 1, failures + failed
                if took:
                    times, timed = times + took, timed + 1
        for sent_at in self.in_flight.values():  # oldest first
            if now - sent_at <= 2 * typical_time:
                break
            times, timed = times + now - sent_at, timed + 1
        return (2 * typical_time + times) / (2 + timed), (2 * failure_rate + failures) / (2 + outcomes)


class Pool:
    """Ready servers of released builds or on trial, with cumulative weights for sampling by bisection."""

    def __init__(self, candidates, weigh, home_zone):
        home = [candidate for candidate in candidates if candidate[1].zone == home_zone]
        self.candidates = candidates
        self.samples = [
            (subset, list(accumulate(weigh(subset))))
            for subset in (candidates, home if len(home) < len(candidates) else [])
            if subset
        ]
        self.total_weight = self.samples[0][1][-1] if candidates else 0.0
        # Share of the weight that is in the home zone.
        self.home_share = self.samples[1][1][-1] / self.total_weight if len(self.samples) > 1 else 1.0


class Window:
    """Items of the last `span` ms, at most `maximum` of them.

    Counts are kept up to date as items enter and leave, so that a dispatch does not cost a recount.
    """

    def __init__(self, span, maximum=None):
        self.span = span
        self.maximum = maximum
        self.entries = deque()
        self.counts = Counter()

    def add(self, now, item):
        if len(self.entries) == self.maximum:
            self.counts[self.entries.popleft()[1]] -= 1
        self.entries.append((now, item))
        self.counts[item] += 1

    def trim(self, now):
        """Removes the items that are older than the span; returns the window."""
        while self.entries and self.entries[0][0] <= now - self.span:
            self.counts[self.entries.popleft()[1]] -= 1
        return self

    def remove(self, at, item):
        if (at, item) in self.entries:
            self.entries.remove((at, item))
            self.counts[item] -= 1


class Invocation:
    """An invocation that has not been answered yet."""

    def __init__(self, operation_index, tenant, key, accepted_at, deadline):
        self.operation_index = operation_index
        self.tenant = tenant
        self.key = key
        self.accepted_at = accepted_at
        self.deadline = deadline
        self.attempts = []  # [server id, zone, cell, time sent, status or None, build]


class Balancer:
    """Decides for one proxy. Deterministic for a given seed, deployment and sequence of rounds."""

    def __init__(self, seed, deployment):
        self.random_state = seed & (2**64 - 1)
        rollout = deployment.rollout
        self.operations = deployment.operations
        self.zone = deployment.zone
        self.tick = deployment.tick
        self.tenants = deployment.tenants
        self.over_share_value = deployment.over_share_value
        self.may_cancel = deployment.may_cancel
        self.may_duplicate = deployment.may_duplicate
        self.must_subscribe = deployment.must_subscribe
        self.retry_advice = deployment.retry_advice
        self.cross_zone_price = deployment.cross_zone_price
        self.cold_share = deployment.cold_share
        self.warm_within = deployment.warm_within
        self.overload_for = deployment.overload_for
        self.dispatch_cap = deployment.dispatch_cap
        self.home_zone = self.zone if self.cross_zone_price else None
        # A cold server is planned for half of the load at which it fails, but for no less than the fair share
        # of its ramp, which has_cold_capacity() grants.
        self.cold_load_factor = max(1.0, deployment.fall_multiple / 2)
        # Dispatches are counted over slightly more than the exposure window, accepted invocations over
        # slightly less, which errs on the side of fewer dispatches.
        self.exposure_span = rollout.window + 2 * deployment.tick
        self.accepted = Window(rollout.window - 2 * deployment.tick)
        self.free_dispatches = rollout.free
        self.first_cap = rollout.caps[0]
        self.guarded_stages = rollout.guarded
        self.by_operation = rollout.by_operation
        self.no_return = rollout.no_return
        self.renew_vote_after = 0.6 * rollout.vote_life
        self.answer_wait = rollout.answer_wait + 50
        # Alpha is shared so that enough false roll-back votes come together one time in twenty (the lower end
        # of the interval of a Poisson rate). The mSPRT interval has tau = z2 * V: a factor times the square
        # root of V.
        operation_count = len(self.operations)
        promote_votes = max(1, rollout.on_votes)
        rollback_votes = max(1, rollout.back_votes)
        false_votes = max(
            0.05, rollback_votes * (1 - 1 / (9 * rollback_votes) - 1.645 / (3 * sqrt(rollback_votes))) ** 3
        )
        alphas = [alpha / operation_count for alpha in (false_votes / deployment.balancers, 0.05)]
        z2s = [NormalDist().inv_cdf(1 - alpha / 2) ** 2 for alpha in alphas]
        self.own_interval_factor, self.pooled_interval_factor = (
            sqrt((1 + z2) / z2 * (-2 * log(alpha) + log(1 + z2))) for alpha, z2 in zip(alphas, z2s)
        )
        # The minimum sample grows with the share of machines that a promotion would hand over. Tallies are
        # few and late, so for them it grows with the share of traffic that the present stage gets.
        shares = *rollout.machine_shares[1:], 1.0
        self.required_outcomes = (
            [2 * MINIMUM_OUTCOMES * share / promote_votes for share in shares],
            [2 * MINIMUM_OUTCOMES * share / (1 + share) / promote_votes for share in rollout.machine_shares],
        )
        # Share of machines that earlier builds keep after a promotion, by stage.
        self.remaining_shares = [1 - share for share in shares]
        self.is_judge = deployment.may_signal and deployment.me < JUDGE_COUNT
        self.unsent_reports = b""
        self.next_report_at = 0.0
        self.minimum_outcomes = MINIMUM_OUTCOMES / rollback_votes
        self.several_rollback_votes = rollback_votes > 1
        self.votes_to_promote = (
            rollout.on_votes > 0 and not rollout.timed and self.is_judge >= deployment.may_signal
        )
        self.quiet_time = SETTLE_MS * (1 + 4 / promote_votes) if promote_votes > 1 else 1e18
        # A single balancer among many that had a run of bad luck proves nothing: it needs more answers.
        self.collapse_minimum = MINIMUM_OUTCOMES * deployment.balancers / 2
        # Where one vote of hundreds is enough, few balancers vote to promote: a flood of such votes would
        # crowd out the roll-back vote that counts.
        self.promote_probability = (
            1.0 if self.is_judge else min(1.0, 5 * promote_votes / deployment.balancers)
        )
        self.other_judges = [
            str(judge)
            for judge in range(min(JUDGE_COUNT, deployment.balancers))
            if deployment.may_signal and judge != deployment.me
        ]
        self.mean_slo_time = sum(operation.slo_time for operation in self.operations) / operation_count
        # So many that a cold server with one slot would be overloaded by a single dispatch from each.
        self.many_balancers = (
            deployment.balancers * 0.15 * self.mean_slo_time
            > self.cold_load_factor * self.cold_share * self.overload_for
        )
        self.servers = {}
        self.invocations = {}
        self.pools = (Pool([], None, 0),) * 2
        self.version = None
        self.stage = 0
        self.cap = 0.0
        self.phase = None
        self.stage_known = False
        self.trial_blocked = False  # a state of the rollout arrived that could not be read
        self.trial_dispatches = {}  # build -> Window of the operations dispatched to it
        self.answered_by = OrderedDict()  # key -> newest build that answered it, the newest answer last
        self.arrivals = Window(COUNTING_SPAN_MS, 1000)  # (operation, tenant)
        self.answers = deque(maxlen=1000)  # (time sent, time taken / SLO time)
        self.timely = deque(maxlen=1000)  # times of the answers within the SLO time
        self.outcomes = deque(maxlen=64)  # (time, time taken or None, zone, failed)
        self.typical_time = None  # ms
        self.zone_health = {}  # zone -> (mean time taken, failure rate)
        self.times_taken = [deque(maxlen=6) for _ in self.operations]  # (time, mean time taken) by operation
        # Own outcomes and the platform's: (build, operation) -> deque of (time, group, status, time taken)
        self.observed = {}
        self.tallied = {}
        self.latest_evidence = None  # (time, result of evidence())
        self.evidence_stale = False
        self.last_vote = None  # (verdict, version, stage)
        self.newest_start = {}  # build -> start of its newest ready server
        self.pools_due = 0.0
        self.wake_at = -1.0
        self.limit_cut_at = -1e9
        self.next_sweep_at = 0.0
        self.limit_updated_at = 0.0
        self.voted_at = 0.0
        self.vote_due = 0.0
        self.stage_began_at = 0.0
        self.arrival_rate = 0.0  # invocations per ms
        self.timely_before_release = 0.0
        self.released_at = 0.0
        self.ready_weight = 0.0
        self.trial_share = 0.0
        self.earliest_build = 0
        self.open_limit = 1e9  # on open invocations
        self.usable_share = 1.0
        self.zone_count = 1
        self.last_stage_loaded = False

    def round(self, now, events, out):
        """Processes the events of one round and writes the decisions to `out`."""
        self.now = now
        self.out = out
        for name, *fields in events:
            getattr(self, name)(*fields)
        if now >= self.next_sweep_at:
            self.sweep()
            self.next_sweep_at = now + SWEEP_PERIOD_MS
        # One proxy of hundreds is mostly idle: it wakes only for open invocations or for a vote that is due.
        wake = self.next_sweep_at if self.invocations else max(self.next_sweep_at, self.vote_due)
        if (self.invocations or self.observed) and not now < self.wake_at <= wake:
            self.wake_at = wake
            out.timer(wake, "sweep")

    def random(self):
        """A uniform number in [0, 1) from a linear congruential generator."""
        self.random_state = (self.random_state * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.random_state >> 33) / 2**31

    # ---- events from the platform and from other balancers ----

    def listed(self, kind, entries):
        """The server list: a full list, changes to it, the cached list ("kept") or a failed subscription."""
        if kind in ("failed", "kept") and self.must_subscribe:
            self.out.subscribe(True)
        if kind == "failed":
            return
        for entry in entries:
            old = self.servers.get(entry[0])
            new = Server(entry)
            self.servers[entry[0]] = new
            if old:
                new.in_flight = old.in_flight
                if (old.build, old.started_at) == (new.build, new.started_at):
                    new.recent_outcomes = old.recent_outcomes
                    new.recent_dispatches = old.recent_dispatches
                    new.load = old.load
                    new.last_start = old.last_start
            if new.state == READY:
                self.newest_start[new.build] = max(
                    self.newest_start.get(new.build, new.started_at), new.started_at
                )
        if kind != "changes":
            for address in self.servers.keys() - {entry[0] for entry in entries}:
                self.servers[address].state = GONE  # a full list omits only servers that have ended
        if len(self.servers) > MAX_GONE_SERVERS:
            self.forget_gone_servers()
        # Rebuilt when first needed: most updates reach proxies that have nothing to send.
        self.pools_due = 0.0

    def forget_gone_servers(self):
        """Drops the servers that are gone past the newest MAX_GONE_SERVERS, unless something open refers to them."""
        in_use = {attempt[0] for invocation in self.invocations.values() for attempt in invocation.attempts}
        gone = [
            address
            for address, server in self.servers.items()
            if server.state == GONE and not server.in_flight and address not in in_use
        ]
        for address in gone[:-MAX_GONE_SERVERS]:
            del self.servers[address]

    def stage_told(self, answer, stage, since, cap, status, version, phase):
        """The rollout's stage, either announced or as the answer to a vote of this balancer."""
        if answer and status != SUCCEEDED:
            # After moot the update that explains it is on its way; after full, error or timeout the vote is
            # repeated soon, at random so that the balancers are not in step.
            self.last_vote = None
            self.vote_due = self.now + 150 + 300 * self.random()
            return
        if answer and self.last_vote:
            self.vote_due = max(self.vote_due, self.voted_at + self.renew_vote_after)
        if (phase, self.phase, version) == (RELEASED, TRIAL, self.version):
            self.released_at = self.now
            self.timely_before_release = sum(1 for at in self.timely if at > self.now - COUNTING_SPAN_MS)
        if (version, stage, phase) != (self.version, self.stage, self.phase):
            self.vote_due = self.stage_began_at = self.now
        if version != self.version:
            # A build is judged against the last two earlier ones. Build numbers may have gaps, and a long day
            # has more builds than need to be held.
            last = sorted({build for build, _ in (*self.observed, *self.tallied) if build < version})[-2:]
            self.unsent_reports = b""
            self.observed, self.tallied = (
                {key: outcomes for key, outcomes in source.items() if key[0] >= version or key[0] in last}
                for source in (self.observed, self.tallied)
            )
        self.version = version
        self.stage = stage
        self.cap = cap
        self.phase = phase
        self.stage_known = True
        self.pools_due = 0.0

    def block_trial(self, blocked):
        """While blocked, nothing is dispatched to a build on trial and no vote promotes it: the release state is
        not known, and the cap may have fallen to 0."""
        self.trial_blocked = blocked
        self.pools_due = 0.0

    def tenants_listed(self, tenants):
        """The directory's present portions by tenant number; a number stays with its tenant or group."""
        self.tenants = tenants

    def begun(self, *fields):
        """Handles events that need no decision of their own: they only cause a round."""

    timer = probed = begun

    def tally(self, attempts, since, bad, took, operation, build):
        """A sample from the platform, the same at all balancers: one jackknife group per period.

        `took` is a mean time; it stands for exponentially distributed times.
        """
        end = self.now - since
        young = self.on_trial(build) and end - self.newest_start.get(build, -1e9) < YOUNG_SERVER_MS
        if attempts > bad:
            self.times_taken[operation].append((self.now, took))
        unit = (end, int(end / 1000) % JACKKNIFE_GROUPS)
        if attempts > MAX_TALLIED:
            # In proportion: the successes of a large tally would push all of its failures out.
            attempts, bad = MAX_TALLIED, -(-bad * MAX_TALLIED // attempts)
        self.tallied.setdefault((build, operation), deque(maxlen=MAX_TALLIED)).extend(
            [(*unit, ERROR, None)] * bad + [(*unit, None, None if young else took)] * (attempts - bad)
        )
        self.evidence_stale = self.evidence_stale or build == self.version

    def peer(self, sender, payload):
        """Outcomes that another balancer reported to this judge, three bytes each; see record_outcome(). A report
        on an unknown operation or group is ignored."""
        version = int.from_bytes(payload[:2], "big")
        size = len(payload)
        for flags, operation, took in zip(payload[2:size:3], payload[3:size:3], payload[4:size:3]):
            group = flags >> 4
            if operation >= len(self.operations) or group >= JACKKNIFE_GROUPS:
                continue
            self.store_outcome(
                version - 1 + (flags & 1),
                operation,
                group,
                REPORTED_STATUSES[flags >> 1 & 3],
                2 ** (took / 16) * (took > 0),
            )

    def contested(self, since, operation, address):
        """An answer that had looked like a success turned out to be wrong."""
        if address in self.servers:
            self.record_outcome(address, self.servers[address], operation, self.now, ERROR, None)

    # ---- routing: these methods only propose dispatches ----

    def on_trial(self, build):
        """Whether a build is not yet released; before the first stage is known, any but the earliest."""
        newest = self.stage_known and build == self.version and self.phase != RELEASED
        return newest or build > (self.version if self.stage_known else self.earliest_build)

    def is_cold(self, server):
        """Whether the server started less than the warm-up time ago."""
        return server.last_start and self.now - server.last_start < self.warm_within

    def warm_fraction(self, server):
        """The fraction of its full load that a server takes: grows linearly from the cold share to 1."""
        age = self.now - server.last_start if server.last_start else self.warm_within
        return min(1.0, self.cold_share + (1 - self.cold_share) * max(0.0, age) / max(1.0, self.warm_within))

    def update_pools(self):
        """Rebuilds the two pools and the figures derived from them, if the servers or weights changed."""
        if self.now < self.pools_due:
            return
        self.earliest_build = min((server.build for server in self.servers.values()), default=0)
        ready = [candidate for candidate in self.servers.items() if candidate[1].state == READY]
        trial = {build: self.on_trial(build) for build in {server.build for _, server in ready}}
        self.pools = old, new = [
            Pool(
                [candidate for candidate in ready if trial[candidate[1].build] == part],
                self.weights,
                self.home_zone,
            )
            for part in (False, True)
        ]
        self.ready_weight = sum(server.weight for _, server in ready) or 1.0
        self.zone_count = len({server.zone for _, server in ready})
        # At the last stage, where the build may take all traffic, it gets most of it before its release: a
        # build that fails only under load would otherwise show it when no earlier servers are left.
        self.last_stage_loaded = (
            self.phase == TRIAL
            and not self.trial_blocked
            and self.cap >= 1
            and self.stage >= len(self.remaining_shares) - 1
        )
        old_factor = EARLIER_BUILD_WEIGHT if self.last_stage_loaded else 1.0
        # Only warm trial servers take the extra load, each no more than it will once all of the build runs;
        # cold servers keep to their ramp.
        warm = sum(server.weight for _, server in new.candidates if not self.is_cold(server))
        total = old.total_weight + new.total_weight or 1.0
        extra = (
            min(total / (old_factor * old.total_weight + new.total_weight or 1.0), 2 / (1 + old_factor)) - 1
        )
        self.trial_share = (new.total_weight + extra * warm) / total
        # Where most usable servers are cold, they cannot take the whole demand. They get the part that would
        # go to them if all ready servers were warm, times the load factor of a cold server. This also bounds
        # hundreds of proxies that send one dispatch each.
        self.usable_share = (
            self.cold_load_factor
            * (old.total_weight + (new.total_weight if self.cap > 0 and not self.trial_blocked else 0.0))
            / self.ready_weight
        )
        self.pools_due = (
            self.now + 4 * SWEEP_PERIOD_MS if any(self.is_cold(server) for _, server in ready) else 1e18
        )

    def weights(self, candidates):
        return [
            server.weight * (self.warm_fraction(server) if server.last_start else 1.0)
            for _, server in candidates
        ]

    def expected_loss(self, server, operation):
        """Expected share of an answer's value lost at a server: by failure, lateness and crossing zones.

        Crossing counts at half its price, because it takes load off the home zone.
        """
        typical = self.typical_time or 0.15 * operation.slo_time
        pace, failure_rate = server.health(self.now, *self.zone_health.get(server.zone, (typical, 0.0)))
        pace += typical * (0.4 * len(server.in_flight) + 0.33 * server.load.get("queue", 0.0))
        late = exp(-operation.slo_time / pace)
        crossing = 0.5 * self.cross_zone_price * (server.zone != self.zone)
        return failure_rate + (1 - failure_rate) * late + 0.05 * pace / operation.slo_time + crossing

    def is_stuck(self, operation):
        """Whether one operation waits at every server, occupying the slots of the others, which do not wait.

        All but a trickle of it is then throttled. This also affects an operation that really takes so much
        longer than the rest. The median of the last few times is used: a mean would take a single unanswered
        dispatch for a fault of all servers.
        """
        times = [
            sorted(took for at, took in samples if at > self.now - 2 * SAMPLE_LIFETIME_MS)
            for samples in self.times_taken
        ]
        medians = [x[len(x) // 2] if len(x) > 2 else 1e18 for x in times]
        return 1e18 > medians[operation] > min(medians) + 0.6 * self.operations[operation].slo_time

    def choose_server(self, pool, operation, invocation):
        """Returns the best of two servers sampled by weight, or None.

        Where crossing zones is priced, two more are sampled from the home zone. If none of them is allowed,
        all allowed servers of the pool are compared. Should the best of those be cold, the choice is among
        samples again: without a failure so far, it would be the best for hundreds of balancers at once.
        """

        def is_allowed(candidate):
            return all(candidate[0] != attempt[0] for attempt in invocation.attempts) and self.admits(
                invocation, candidate[1]
            )

        def index(steps):
            return min(bisect_right(steps, self.random() * steps[-1]), len(steps) - 1)

        def sample(samples):
            return [subset[index(steps)] for subset, steps in samples for _ in (0, 1)]

        def warm(some):
            return [candidate for candidate in some if not self.is_cold(candidate[1])]

        candidates = [candidate for candidate in sample(pool.samples) if is_allowed(candidate)]
        usable_share = self.usable_share
        if not candidates:
            rest = Pool(
                [candidate for candidate in pool.candidates if is_allowed(candidate)],
                self.weights,
                self.home_zone,
            )
            candidates, usable_share = (
                rest.candidates,
                min(usable_share, self.cold_load_factor * rest.total_weight / self.ready_weight),
            )
            if candidates and self.is_cold(
                min(candidates, key=lambda candidate: self.expected_loss(candidate[1], operation))[1]
            ):
                candidates = sample(rest.samples)
            pool = rest
        # The first servers of a zone that has just returned would get all of the home zone's demand before
        # the other servers there are up.
        usable_share *= min(1.0, pool.home_share * self.zone_count)
        if (
            self.many_balancers
            and usable_share < 1
            and any(self.is_cold(server) for _, server in candidates)
            and self.random() > usable_share
        ):
            rest = (
                ()
                if warm(candidates)
                else [candidate for candidate in warm(pool.candidates) if is_allowed(candidate)]
            )
            candidates = warm(candidates) or sample(Pool(rest, self.weights, self.home_zone).samples)
        return (
            min(candidates, key=lambda candidate: self.expected_loss(candidate[1], operation))
            if candidates
            else None
        )

    def invocation(self, invocation_id, key, operation, tenant, time_left):
        """A new invocation, to be dispatched or refused at once."""
        self.update_pools()
        invocation = self.invocations[invocation_id] = Invocation(
            operation, tenant, key, self.now, self.now + time_left
        )
        self.accepted.add(self.now, operation)
        self.arrivals.add(self.now, (operation, tenant))
        # A tenth of a throttled operation is still sent, to detect its recovery.
        refused = self.exceeds_limit(invocation) or self.is_stuck(operation) and self.random() > 0.1
        if refused or not self.propose(invocation_id, invocation, self.random() < self.trial_share):
            self.reject(invocation_id, invocation)

    def propose(self, invocation_id, invocation, trial):
        """Dispatches to a server of the preferred pool or else of the other one; returns whether it did."""
        for pool in (self.pools[::-1] if trial else self.pools) if self.may_dispatch(invocation) else ():
            pick = self.choose_server(pool, self.operations[invocation.operation_index], invocation)
            if pick:
                return self.send(invocation_id, invocation, *pick)
        return False

    # ---- rules that every dispatch must meet ----

    def may_dispatch(self, invocation):
        """Whether the invocation may have another dispatch now, at any server."""
        operation = self.operations[invocation.operation_index]
        ran = [attempt for attempt in invocation.attempts if attempt[4] not in NEVER_RAN]
        return (
            len(invocation.attempts) < self.dispatch_cap
            and invocation.deadline - self.now >= self.tick
            and not (ran and operation.effect == SIDE_EFFECTING)
            and (self.may_duplicate or all(attempt[4] is not None for attempt in ran))
            and (
                operation.effect != FINGERPRINTED
                or not ran
                or self.now < min(attempt[3] for attempt in ran) + operation.window - 2 * self.tick
            )
        )

    def admits(self, invocation, server):
        """Whether the rules allow a dispatch of the invocation to this server now."""
        operation = self.operations[invocation.operation_index]
        column, location = (1, server.zone) if operation.group == "zone" else (2, server.cell)
        # An unresponsive server still accepts dispatches and will work through the backlog when it resumes,
        # for clients that have left. It gets one dispatch at a time until it answers one.
        unresponsive = (
            server.in_flight
            and len(server.recent_outcomes) > 2
            and all(failed and took for _, took, failed in server.recent_outcomes[-3:])
        )
        if (
            server.state != READY
            or unresponsive
            or (
                operation.effect == FINGERPRINTED
                and operation.group != "all"
                and any(
                    attempt[column] != location
                    for attempt in invocation.attempts
                    if attempt[4] not in NEVER_RAN
                )
            )
        ):
            return False
        if self.on_trial(server.build):
            return self.within_exposure_cap(
                server.build, invocation.operation_index
            ) and self.has_cold_capacity(server)
        bound = self.no_return and self.phase in (TRIAL, RELEASED) and invocation.key is not None
        return not (
            bound and self.answered_by.get(invocation.key, -1) > server.build
        ) and self.has_cold_capacity(server)

    def within_exposure_cap(self, build, operation):
        """Whether the exposure cap allows one more dispatch of the operation to a build on trial."""
        if self.trial_blocked:
            return False
        stage, cap = (
            (self.stage, self.cap) if self.stage_known and build == self.version else (0, self.first_cap)
        )
        if cap <= 0 or (stage < self.guarded_stages and self.operations[operation].effect != IDEMPOTENT):
            return False
        dispatched = self.trial_dispatches.get(build)
        accepted = self.accepted.trim(self.now)

        def count(window):
            return window.counts[operation] if self.by_operation else len(window.entries)

        return (
            count(dispatched.trim(self.now)) if dispatched else 0
        ) + 1 <= self.free_dispatches + cap * count(accepted)

    def has_cold_capacity(self, server):
        """Whether a cold server may get one more dispatch.

        What overloads a cold server is the sum over all proxies: each keeps to its fair share of the ramp.
        """
        if not self.is_cold(server):
            return True
        fair_rate = self.arrival_rate * server.weight / self.ready_weight * self.warm_fraction(server)
        recent = sum(at > self.now - self.overload_for for at in server.recent_dispatches)
        return recent + 1 <= max(1.0, fair_rate * self.overload_for)

    def send(self, invocation_id, invocation, address, server):
        """Dispatches if the rules above allow it; every dispatch passes here. Returns whether it was sent."""
        operation = self.operations[invocation.operation_index]
        if not (self.may_dispatch(invocation) and self.admits(invocation, server)):
            return False
        invocation.attempts.append([address, server.zone, server.cell, self.now, None, server.build])
        self.record_dispatch(invocation_id, len(invocation.attempts) - 1, invocation, server)
        # An answer past the SLO time that earns nothing is not worth a server's work.
        end = (
            invocation.deadline
            if operation.late_value
            else min(invocation.deadline, invocation.accepted_at + operation.slo_time)
        )
        self.out.dispatch(invocation_id, address, max(self.tick, end - self.now))
        return True

    def record_dispatch(self, invocation_id, seq, invocation, server):
        server.in_flight[invocation_id, seq] = self.now
        if self.is_cold(server):
            server.recent_dispatches = server.recent_dispatches[-199:] + [self.now]
        if self.on_trial(server.build):
            self.trial_dispatches.setdefault(server.build, Window(self.exposure_span)).add(
                self.now, invocation.operation_index
            )

    def stands(self, now, invocation_id, seq):
        """Whether a dispatch that waited for a disk or a connection may still be sent.

        If so the rules count it as sent now; if not it never ran.
        """
        invocation = self.invocations.get(invocation_id)
        attempt = invocation.attempts[seq] if invocation else None
        server = self.servers[attempt[0]] if invocation else None
        if not invocation or server.build != attempt[5]:
            return False
        self.now = now
        before = attempt[3]
        # The dispatch is first taken out of the counts: those that one disk releases together must not be
        # counted together in a window.
        server.in_flight.pop((invocation_id, seq), None)
        if before in server.recent_dispatches:
            server.recent_dispatches.remove(before)
        if server.build in self.trial_dispatches:
            self.trial_dispatches[server.build].remove(before, invocation.operation_index)
        attempts, invocation.attempts = (
            invocation.attempts,
            invocation.attempts[:seq] + invocation.attempts[seq + 1 :],
        )
        allowed = self.may_dispatch(invocation) and self.admits(invocation, server)
        invocation.attempts = attempts
        if allowed:
            attempt[3] = now
            self.record_dispatch(invocation_id, seq, invocation, server)
        return allowed

    def reject(self, invocation_id, invocation):
        """Answers at once instead of queueing: throttled where a retry is harmless, otherwise terminated."""
        operation = self.operations[invocation.operation_index]
        ran = any(attempt[4] not in NEVER_RAN for attempt in invocation.attempts)
        if (
            not ran
            or operation.effect == IDEMPOTENT
            or (operation.effect == FINGERPRINTED and operation.group == "all")
        ):
            self.out.throttle(
                invocation_id, retry_delay(self.retry_advice, operation.slo_time, self.random())
            )
        else:
            self.out.terminate(invocation_id)
        self.client_gone(invocation_id)

    def client_gone(self, invocation_id):
        """Drops the invocation and cancels its open dispatches where that is possible."""
        invocation = self.invocations.pop(invocation_id, None)
        for seq, attempt in enumerate(invocation.attempts if invocation and self.may_cancel else ()):
            if attempt[4] is None:
                self.out.cancel(invocation_id, seq)

    def outcome(self, invocation_id, seq, address, status, time_taken, closed, load):
        """The end of a dispatch. `closed` means that the client has its answer; else it may be retried."""
        # A server that a dispatch is out to stays in self.servers.
        server = self.servers[address]
        invocation = self.invocations.get(invocation_id)
        sent_at, server.load = server.in_flight.pop((invocation_id, seq), None), load or server.load
        if invocation is None:
            return
        self.update_pools()
        attempt = invocation.attempts[seq]
        operation = self.operations[invocation.operation_index]
        attempt[4] = status
        if server.build == attempt[5] and sent_at is not None and status not in (MOOT, CANCELLED):
            if status == UNCONNECTED:  # its process has ended; the next one at this address starts cold
                server.last_start, self.pools_due = (
                    self.now,
                    min(self.pools_due, self.now + 4 * SWEEP_PERIOD_MS),
                )
            # The time of an immediate failure is not counted: it must not attract more dispatches.
            took = time_taken if status in (SUCCEEDED, TIMEOUT) else None
            server.recent_outcomes = server.recent_outcomes[-15:] + [(self.now, took, status != SUCCEEDED)]
            self.outcomes.append((self.now, took, server.zone, status != SUCCEEDED))
            if status in (SUCCEEDED, TIMEOUT):
                self.times_taken[invocation.operation_index].append((self.now, time_taken))
                self.answers.append((attempt[3], time_taken / operation.slo_time))
                if status == SUCCEEDED and time_taken <= operation.slo_time:
                    self.timely.append(self.now)
            if status in (SUCCEEDED, *FAILURES) or (
                status == TIMEOUT and time_taken > 0.9 * operation.slo_time
            ):
                # A young server is slow whichever build it runs: only its errors count against the build.
                young = server.started_at and self.now - server.started_at < YOUNG_SERVER_MS
                self.record_outcome(
                    address,
                    server,
                    invocation.operation_index,
                    invocation.key or invocation_id,
                    status,
                    None if young else time_taken,
                )
        if status == SUCCEEDED and self.no_return:
            self.remember_answer(invocation.key, attempt[5])
        if closed:
            self.client_gone(invocation_id)
        elif all(other[4] is not None for other in invocation.attempts):
            worthless = (
                not operation.late_value and self.now >= invocation.accepted_at + 0.9 * operation.slo_time
            )
            if worthless or not self.propose(invocation_id, invocation, False):
                self.reject(invocation_id, invocation)

    def remember_answer(self, key, build):
        """Remembers which build answered a key; the key that was answered longest ago is forgotten past the limit."""
        self.answered_by[key] = max(self.answered_by.get(key, 0), build)
        self.answered_by.move_to_end(key)
        if len(self.answered_by) > MAX_REMEMBERED_KEYS:
            self.answered_by.popitem(last=False)

    def record_outcome(self, address, server, operation, unit, status, took):
        """Stores an outcome as evidence on its build and queues it for the judges.

        A report is three bytes: group, status and whether the build is the newest; operation; 16 times
        log2 of the time in ms.
        """
        group = crc32(f"{address}{unit}".encode()) % JACKKNIFE_GROUPS
        new = server.build == self.version
        self.store_outcome(server.build, operation, group, status, took)
        # The judges pool the outcomes of hundreds of balancers, none of which has enough for a proof. Of
        # earlier builds' outcomes a sample is reported.
        if (
            self.other_judges
            and self.phase in (TRIAL, RELEASED)
            and (new or self.random() < 4 * self.trial_share)
        ):
            size = min(255, round(16 * log2(max(1.1, took or 1))))
            self.unsent_reports += bytes(
                (
                    group << 4 | REPORTED_STATUSES.index(status) << 1 | new,
                    operation,
                    size * (took is not None),
                )
            )

    def store_outcome(self, build, operation, group, status, took):
        self.observed.setdefault((build, operation), deque(maxlen=800)).append(
            (self.now, group, status, took)
        )
        self.evidence_stale = self.evidence_stale or build == self.version

    def sweep(self):
        """Periodic work: time-outs, statistics, rescue of stuck attempts, the limit on load, the verdict."""
        for window in (self.accepted, *self.trial_dispatches.values(), self.arrivals):
            window.trim(self.now)
        while self.answers and self.answers[0][0] < self.now - 4 * self.mean_slo_time:
            self.answers.popleft()
        span = self.now - self.arrivals.entries[0][0] if self.arrivals.entries else 0.0
        self.arrival_rate = len(self.arrivals.entries) / max(span, 1000.0)
        if self.invocations:
            self.update_pools()
        for invocation_id in [
            i for i, invocation in self.invocations.items() if self.now >= invocation.deadline
        ]:
            self.invocations.pop(invocation_id)
            self.out.terminate(invocation_id)
        times = sorted(x[1] for x in self.outcomes if x[1] and x[0] > self.now - SAMPLE_LIFETIME_MS)
        if len(times) >= 3:
            # Estimates the mean of a skewed distribution from its median, which a few slow servers do not
            # move.
            typical = self.typical_time = 1.4 * times[len(times) // 2]
            # A proxy that uses a server once a minute learns more from its zone as a whole: congestion there,
            # a slow link.
            for zone in {x[2] for x in self.outcomes}:
                recent = [
                    x for x in self.outcomes if x[2] == zone and x[0] > self.now - 2 * SAMPLE_LIFETIME_MS
                ]
                took = [typical] * 3 + [x[1] for x in recent if x[1]]
                self.zone_health[zone] = sum(took) / len(took), sum(x[3] for x in recent) / (3 + len(recent))
        self.rescue(self.typical_time or 0.15 * self.mean_slo_time)
        self.update_limit()
        if self.unsent_reports and (self.now > self.next_report_at or len(self.unsent_reports) > 200):
            for judge in self.other_judges:
                self.out.signal(judge, self.version.to_bytes(2, "big") + self.unsent_reports[:252])
            self.unsent_reports = b""
            self.next_report_at = self.now + 5 * SWEEP_PERIOD_MS
        self.judge()

    def rescue(self, typical_time):
        """Duplicates an attempt stuck at a failing server; cancels it where two may not run at once."""
        for invocation_id, invocation in (
            list(self.invocations.items()) if len(self.invocations) <= 0.6 * self.open_limit else ()
        ):
            operation = self.operations[invocation.operation_index]
            address, _, _, sent_at, status, _ = invocation.attempts[0]
            age = self.now - sent_at
            if (
                operation.effect == SIDE_EFFECTING
                or len(invocation.attempts) > 1
                or status
                or not 0.3 * operation.slo_time <= age <= operation.slo_time
            ):
                continue
            pace, failure_rate = self.servers[address].health(self.now, typical_time)
            suspect = pace > 2.5 * typical_time or failure_rate > 0.4
            if self.may_duplicate and (suspect or age > 0.5 * operation.slo_time):
                self.propose(invocation_id, invocation, False)
            elif suspect and self.may_cancel and not self.may_duplicate:
                self.out.cancel(invocation_id, 0)

    def update_limit(self):
        """Adapts the limit on open invocations, against queues that build up at all servers.

        The limit shrinks while one answer in five (one in three where there are few answers) takes most of
        its SLO time. It does harm where less load does not make the answers faster.
        """
        if not self.invocations:
            return
        for few in (False, True):
            since = max(self.now - (4 if few else 2) * self.mean_slo_time, self.limit_cut_at)
            ratios = [ratio for at, ratio in self.answers if at > since]
            if len(ratios) >= 8:
                break
        ratios = (ratios[-8:] if few else ratios) + [
            2.0
            for invocation in self.invocations.values()
            if since
            < invocation.accepted_at
            < self.now - self.operations[invocation.operation_index].slo_time
        ]
        slow = sum(1 for ratio in ratios if ratio > 0.8)
        if len(ratios) >= 4 and slow > (0.35 if few else 0.2) * len(ratios):
            # Where no answer at all is fast enough, dispatches pile up until the servers resume: the limit
            # may then fall to one.
            minimum, factor = (1.0, 0.5) if slow == len(ratios) else (4.0, 0.8)
            # A limit below one admits at random.
            floor = min(minimum, 0.25 * self.arrival_rate * self.mean_slo_time)
            self.open_limit, self.limit_cut_at = (
                max(floor, factor * min(self.open_limit, len(self.invocations) + 1 + few)),
                self.now,
            )
        elif len(self.invocations) + 1 > 0.5 * self.open_limit and slow < len(ratios):
            # The limit also grows by the answers within half their SLO time, as a TCP sender's window does:
            # growth by a hundredth per sweep alone leaves a fleet half idle for long after a cut.
            quick = (
                sum(1 for ratio in ratios if ratio < 0.5)
                * SWEEP_PERIOD_MS
                / max(SWEEP_PERIOD_MS, self.now - since)
            )
            self.open_limit = (
                self.open_limit * 1.01 + 0.05 + min(0.1 * self.open_limit, quick / self.open_limit)
            )
        if few and (slow < len(ratios) or not ratios):  # slow answers alone are no reason to raise the limit
            self.open_limit *= 1.01 ** min(10, (self.now - self.limit_updated_at) / SWEEP_PERIOD_MS)
        self.limit_updated_at = self.now

    def exceeds_limit(self, invocation):
        """Whether the limit on open invocations leaves no place for this one.

        The less valuable an invocation, the smaller the part of the limit that it may fill.
        """
        if len(self.invocations) + 1 <= 0.6 * self.open_limit:
            return False
        arrived = self.arrivals.counts
        total = len(self.arrivals.entries)
        by_tenant = Counter()
        for (_, tenant), count in arrived.items():
            by_tenant[tenant] += count
        over_share = {
            number
            for number, (portion, _) in enumerate(self.tenants)
            if by_tenant[number] > 1.3 * total * portion
        }

        def value(operation, tenant):
            return self.operations[operation].billed_value * (
                self.over_share_value if tenant in over_share else 1.0
            )

        own_value = value(invocation.operation_index, invocation.tenant)
        less_valuable = sum(count for pair, count in arrived.items() if value(*pair) < own_value) / total
        return len(self.invocations) + self.random() * (self.open_limit < 4) > self.open_limit * (
            0.6 + 0.4 * less_valuable
        )

    # ---- the verdict on a build ----

    def estimate(self, outcomes, typical_rate=None):
        """Effective size, mean and delete-a-group jackknife variance of (group, bad, weight) outcomes."""
        sizes = [0.0] * JACKKNIFE_GROUPS
        bad_sums = [0.0] * JACKKNIFE_GROUPS
        for group, bad, weight in outcomes:
            sizes[group] += weight
            bad_sums[group] += weight * bad
        size = sum(sizes)
        bad_sum = sum(bad_sums)
        mean = bad_sum / size
        jackknife = (
            (JACKKNIFE_GROUPS - 1)
            / JACKKNIFE_GROUPS
            * sum(
                ((bad_sum - b) / (size - m) - mean) ** 2 for m, b in zip(sizes, bad_sums) if size - m > 1e-9
            )
        )
        # Without failures, or with few groups in use, the jackknife variance vanishes. It is bounded from
        # below by a binomial variance, with one failure and one success added, or of the typical rate where a
        # few outcomes must suffice.
        effective = size * size / sum(weight * weight for _, _, weight in outcomes)
        rate = (mean * effective + 1) / (effective + 2) if typical_rate is None else typical_rate
        return (
            effective,
            mean,
            max(
                jackknife if effective >= MINIMUM_OUTCOMES or typical_rate is None else 0.0,
                rate * (1 - rate) / effective,
            ),
        )

    def compare(self, new, old, typical_rate=None):
        """Compares the bad share of a new build's outcomes with that of earlier builds.

        Returns (number of new outcomes, difference, lower end of its confidence interval, standard error).
        The difference forgives one bad outcome; the lower end is -1 while there are too few outcomes.
        """
        if not new or not old:
            return len(new), 0.0, -1.0, 0.0
        new_size, new_mean, new_variance = self.estimate(new, typical_rate)
        old_size, old_mean, old_variance = self.estimate(old, typical_rate)
        enough = new_size >= (MINIMUM_OUTCOMES if typical_rate is None else self.minimum_outcomes) <= old_size
        low = (
            new_mean - old_mean - self.interval_factor * sqrt(new_variance + old_variance) if enough else -1.0
        )
        return (
            new_size,
            new_mean - old_mean - (0.0 if self.several_rollback_votes else 1 / new_size),
            low,
            sqrt(new_variance + old_variance),
        )

    def evidence(self):
        """Returns whether tallies were used, then four lists with a result of compare() for each operation.

        The lists compare failed or late outcomes, outcomes slower than four fifths of the earlier ones,
        errors, and failures.
        """
        rows = [], [], [], []
        # A trial is judged by the larger sample: the platform's tallies, or what this balancer observed.
        observed_count, tallied_count = (
            sum(len(outcomes) for (build, _), outcomes in source.items() if build == self.version)
            for source in (self.observed, self.tallied)
        )
        indices = range(len(self.operations))
        pooled = self.phase == TRIAL and tallied_count > observed_count
        source = self.tallied if pooled else self.observed
        self.interval_factor = (
            self.pooled_interval_factor if pooled or self.is_judge else self.own_interval_factor
        )

        def earlier(source, operation):
            return [
                x
                for (build, o), outcomes in source.items()
                if o == operation and build < self.version
                for x in outcomes
            ]

        earlier_errors = [x[2] == ERROR for operation in indices for x in earlier(self.observed, operation)]
        typical_rate = (
            (sum(earlier_errors) + 1) / (len(earlier_errors) + 2) if self.several_rollback_votes else None
        )

        def late(x, limit):
            return (exp(-limit / x[3]) if pooled else x[3] > limit) if x[3] else 0.0

        def comparison(is_bad, two, *rate):
            return self.compare(*([(x[1], is_bad(x), x[4]) for x in outcomes] for outcomes in two), *rate)

        for operation in indices:
            # Against bursts and slowdowns of all servers at once, the earlier builds' outcomes are given the
            # weight that the new build's have in each two seconds. Where only one side has outcomes they are
            # left out.
            new = source.get((self.version, operation), ())
            old = earlier(source, operation)
            new_counts, old_counts = (Counter(x[0] // 2000 for x in outcomes) for outcomes in (new, old))
            both = (
                [(*x, 1) for x in new if x[0] // 2000 in old_counts],
                [
                    (*x, new_counts[x[0] // 2000] / old_counts[x[0] // 2000])
                    for x in old
                    if x[0] // 2000 in new_counts
                ],
            )
            times = sorted(x[3] for x in both[1] if x[3])
            slow_mark = times[int(0.8 * len(times))] if times else 0.0
            # The same quantile of exponential times, estimated from their mean.
            slow_mark = 1.6 * sum(times) / len(times) if pooled and times else slow_mark
            slo = 0.9 * self.operations[operation].slo_time
            rows[0].append(comparison(lambda x: 1.0 if x[2] in FAILURES else late(x, slo), both))
            fair = (
                ([], []) if self.last_stage_loaded and self.stage else both
            )  # any build is slower under more load
            rows[1].append(
                comparison(lambda x: late(x, slow_mark), [[x for x in outcomes if x[3]] for outcomes in fair])
            )
            # Resets are left out, as a broken link causes them for any build. Only outcomes since the stage
            # began count, so that an idle trial before it does not hide the errors.
            own = [
                (*x, 1)
                for x in self.observed.get((self.version, operation), ())
                if x[0] > self.stage_began_at
            ]
            old = [(*x, 1) for x in earlier(self.observed, operation)]
            # The last seconds are also judged alone: where the release was announced late, outcomes of the
            # idle trial are still in the count.
            last = [x for x in own if x[0] > self.now - SAMPLE_LIFETIME_MS]
            rows[2].append(
                max(
                    (comparison(lambda x: x[2] == ERROR, (some, old), typical_rate) for some in (own, last)),
                    key=lambda row: row[2],
                )
            )
            rows[3].append(comparison(lambda x: x[2] in FAILURES, both))
        return pooled, *rows

    def collapsed(self):
        """Whether timely answers collapsed after the release.

        Only the time before the release remains to compare with. Asks for two successive counts below two
        fifths of the former count, with most arrivals unanswered: a deeper drop than slowdowns of all servers
        have caused.
        """
        if (
            self.phase != RELEASED
            or self.now < self.released_at + 3 * COUNTING_SPAN_MS
            or self.timely_before_release < self.collapse_minimum
        ):
            return False
        first, last = (
            sum(start < at - self.now <= start + COUNTING_SPAN_MS for at in self.timely)
            for start in (-2 * COUNTING_SPAN_MS, -COUNTING_SPAN_MS)
        )
        return max(first, last) < 0.4 * self.timely_before_release and last < 0.3 * len(self.arrivals.entries)

    def judge(self):
        """Votes to roll back or to promote the newest build, if a vote is due and the evidence suffices."""
        if self.now < self.vote_due or self.phase not in (TRIAL, RELEASED):
            return
        if self.evidence_stale or not self.latest_evidence or self.now > self.latest_evidence[0] + 1000:
            self.latest_evidence = (self.now, *self.evidence())
            self.evidence_stale = False
        _, pooled, wrong, slow, errors, failed = self.latest_evidence
        verdict = None
        build_up_at = (
            self.newest_start.get(self.version, self.now) + self.last_stage_loaded * self.warm_within
        )
        # The release may have more stages than the settings of this balancer.
        step = min(self.stage, len(self.remaining_shares) - 1)

        def proven(rows, margin):
            return any(row[2] > margin for row in rows)

        # After a release the last answers of draining servers are no fair sample for lateness or slowness.
        if (
            self.phase == TRIAL
            and (proven(wrong, ROLLBACK_MARGIN) or proven(slow, SLOW_ROLLBACK_MARGIN))
            or proven(errors, ROLLBACK_MARGIN)
            or self.collapsed()
        ):
            verdict = ROLL_BACK
        elif self.phase == TRIAL and self.votes_to_promote and not self.trial_blocked:
            quiet = self.now >= build_up_at + self.quiet_time
            outcomes = sum(row[0] for row in wrong)
            # Late and slow answers in a burst are forgiven by their standard error, less so the more machines
            # are handed over. One failure is forgiven in all, not one for each operation, against builds that
            # fail a little of each.
            excess = (
                sum(
                    size * difference + (not self.several_rollback_votes)
                    for size, difference, _, error in failed
                    if error
                )
                - 1
            )
            fine = excess < PROMOTE_MARGIN * outcomes and all(
                difference - share * error < maximum
                for share, maximum, rows in (
                    (0, PROMOTE_MARGIN, failed),
                    (self.remaining_shares[step], PROMOTE_MARGIN, wrong),
                    (self.remaining_shares[step], SLOW_PROMOTE_MARGIN, slow),
                )
                for _, difference, _, error in rows
            )
            if (
                (quiet or outcomes >= self.required_outcomes[pooled][step])
                and fine
                and self.now >= build_up_at + SETTLE_MS
            ):
                self.update_pools()
                verdict = (
                    PROMOTE if self.pools[1].candidates and self.random() < self.promote_probability else None
                )
        self.vote_due = self.now + (2 if self.invocations else 10) * SWEEP_PERIOD_MS
        if verdict:
            if (
                verdict,
                self.version,
                self.stage,
            ) != self.last_vote:  # logged first: the vote carries its evidence
                outcomes = " ".join(
                    f"{size:.0f}/{difference:.2f}/{low:.2f}"
                    for size, difference, low, _ in wrong + slow + errors
                )
                self.out.log(f"{VERDICT_NAMES[verdict]} build {self.version} stage {self.stage}: {outcomes}")
            self.out.vote(self.stage, self.version, verdict)
            self.last_vote = (verdict, self.version, self.stage)
            self.voted_at = self.now
            self.vote_due = self.now + self.answer_wait
