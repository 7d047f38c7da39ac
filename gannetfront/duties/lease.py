"""Leader election for a duty: a lease granted by a majority of electors, without I/O and without a disk.

The protocol is PaxosLease (Trencseni, Gazso, Reinhardt 2012). A candidate prepares a ballot, proposes itself
under that ballot for `span` ms, and holds the lease once a majority has accepted. Its own expiry is counted
from before it proposed. Electors persist nothing: after a start an elector stays silent until every lease
that it may have granted before has expired. Clocks may run fast or slow by the fraction `rate`; wall-clock
time is not used. All times are ms of the caller's monotonic clock.

A valid lease alone does not make an act safe, because a process may stall between the check and the act.
Every act therefore carries the holder's token, and the proxy acted upon rejects any token below the highest
that it has seen (`Fence`). Tokens increase from one holder to the next as long as the electors remember them.
When all electors have restarted, the proxy acted upon reports its higher token, and the holder steps down and
acquires the duty again above it (`Candidate.superseded`).

Electors are replaced by way of settings that name both sets (`Candidate(previous_electors=)`). A majority of
each set is needed, so no step, from the old set to both or from both to the new set, allows two disjoint
majorities. Each step has a later `generation`. Rounds of a generation begin above all rounds of earlier ones,
so a fence rejects a candidate whose settings are two steps behind.

A ballot, and a token, is (round, number, life). `life` is drawn at random at each start, so that an answer to
an earlier process of the same proxy is not taken for an answer to this one. Requests: prepare(ballot),
propose(ballot, token, span), release(token). Answers: promise(ballot, holder, token, ms left),
accepted(ballot), refused(ballot, highest round, token, ms left).
"""

GENERATION = 2**32  # rounds of one generation of electors
IMMEDIATE_RETRIES = 3  # consecutive immediate retries after a hand-over
OUTDATED_RETRY_SPANS = 10  # spans between attempts while the settings are outdated


def span_upper_bound(span, rate):
    """ms that a local clock must count so that at least `span` ms have passed on every clock whose rate is
    within `rate` of true time."""
    return span * (1 + rate) / (1 - rate)


def span_lower_bound(span, rate):
    """ms that a local clock may count while at most `span` ms have passed on any clock whose rate is within
    `rate` of true time."""
    return span * (1 - rate) / (1 + rate)


class Elector:
    """One duty's acceptor at one elector. `max_span` (ms) is the longest lease that a candidate may ask
    for."""

    def __init__(self, now, max_span, rate):
        self.rate = rate
        self.max_span = max_span
        self.quarantined_until = now + span_upper_bound(max_span, rate)
        self.promised, self.highest, self.accepted = (0, -1, 0), 0, None  # accepted: (number, token, expiry)

    def receive(self, now, source, message):
        """Handles a candidate's request; returns the answer, or None where there is none."""
        kind, ballot, *fields = message
        self.highest = max(self.highest, ballot[0])
        if now < self.quarantined_until:
            return None
        if self.accepted and now >= self.accepted[2]:
            self.accepted = None
        if kind == "release":
            if self.accepted and self.accepted[1] == ballot:
                self.accepted = None
            return None
        lease = self.accepted
        if ballot < self.promised:
            # A candidate with an old round still learns how long the present lease lasts.
            return "refused", ballot, self.highest, lease and lease[1], lease[2] - now if lease else 0.0
        if kind == "prepare":
            self.promised = ballot
            return "promise", ballot, lease and lease[0], lease and lease[1], lease[2] - now if lease else 0.0
        token, span = fields
        if span > self.max_span:
            return "refused", ballot, self.highest, None, 0.0
        self.promised, self.accepted = ballot, (ballot[1], token, now + span)
        self.highest = max(self.highest, token[0])
        return "accepted", ballot


class Candidate:
    """One proxy's proposer for one duty, and the lease while it holds it.

    `electors` are numbers, `previous_electors` those that are being replaced; `random.random()` spreads
    retries. `out` has the callbacks send(elector, message), gained(token) and lost(why)."""

    def __init__(
        self, me, life, electors, span, rate, random, now, wants=True, previous_electors=(), generation=0
    ):
        self.me, self.life, self.span, self.rate = me, life, span, rate
        self.electors = tuple(dict.fromkeys((*electors, *previous_electors)))
        self.quorum_sets = [s for s in (tuple(electors), tuple(previous_electors)) if s]
        self.random, self.wants, self.round, self.ended_token = random, wants, generation * GENERATION, None
        self.generation, self.outdated = generation, False
        self.ballot, self.phase, self.responses, self.phase_started_at = None, None, {}, now
        self.token = None
        self.expires_at = now
        self.next_attempt_at = now
        self.lost_reason = "never held"
        self.failed_attempts = 0
        self.start_delay = 0.0  # ms added to each attempt, so that preferred candidates go first
        self.immediate_retries = 0  # that remain after a hand-over
        self.reported_token = None  # token of the holder that the electors last reported

    def holds(self, now):
        """The token while the lease is valid, else None. Check it right before each act; it may expire at any
        time after."""
        return self.token if self.token is not None and now < self.expires_at else None

    def due_at(self):
        """When `tick` is to be called next."""
        if self.phase:
            return (
                min(self.phase_started_at + self.answer_timeout(), self.expires_at)
                if self.token
                else self.phase_started_at + self.answer_timeout()
            )
        return min(self.next_attempt_at, self.expires_at) if self.token else self.next_attempt_at

    def answer_timeout(self):
        """ms in which electors are to answer: a fifth of the span, so that a renewal may fail twice."""
        return self.span / 5

    def tick(self, now, out):
        """Expires the lease, ends an attempt that timed out, and starts the next one when it is due."""
        if self.token is not None and now >= self.expires_at:
            self.step_down("it could not be renewed in time", out)
        if self.phase and now >= self.phase_started_at + self.answer_timeout():
            self.abandon_attempt(now, 0.0)
        if not self.phase and self.wants and now >= self.next_attempt_at:
            self.start_attempt(now, out)

    def abandon_attempt(self, now, remaining):
        """Ends the attempt and schedules the next; `remaining` is the ms left of another holder's lease, 0
        where there is none."""
        # The random back-off widens with each attempt that failed while nobody held the lease: thirty
        # candidates that start together must not invalidate each other's ballots for ever. The holder itself
        # retries soon.
        self.phase, self.failed_attempts = None, 0 if remaining else min(self.failed_attempts + 1, 5)
        self.next_attempt_at = (
            now
            + remaining
            + self.random.random()
            * self.answer_timeout()
            * (0.5 if self.token or remaining else 0.25 * 2.0**self.failed_attempts)
        )
        if self.token is None:
            self.next_attempt_at += self.start_delay
        if self.immediate_retries and not remaining:
            # The duty was handed over to this candidate and the electors only reported a higher round: no
            # other goes first.
            self.immediate_retries, self.next_attempt_at = self.immediate_retries - 1, now

    def start_attempt(self, now, out):
        """Sends a prepare request with a new ballot to all electors."""
        self.round += 1
        self.ballot = (self.round, self.me, self.life)
        self.phase = "prepare"
        self.responses = {}
        self.phase_started_at = now
        for elector in self.electors:
            out.send(elector, ("prepare", self.ballot))

    def has_quorum(self, responders):
        """True where `responders` are a majority, of both sets while electors are being replaced."""
        return all(sum(e in responders for e in members) > len(members) // 2 for members in self.quorum_sets)

    def receive(self, now, elector, message, out):
        """Handles an elector's answer."""
        kind, ballot, *fields = message
        if kind == "refused":
            self.observe_round(fields[0])
        # Only an answer to this very ballot counts: any other belongs to an earlier attempt or to an earlier
        # process.
        if ballot != self.ballot or elector not in self.electors:
            return
        if kind == "refused" and self.phase:
            # The round was too low, as the holder passes it with each renewal. The next attempt may start at
            # once or, while another holds the lease, as soon as that may expire.
            token, remaining = fields[1:]
            remaining = (
                remaining
                if token and token[1:] != (self.me, self.life) and token != self.ended_token
                else 0.0
            )
            self.abandon_attempt(
                now, max(remaining, OUTDATED_RETRY_SPANS * self.span) if self.outdated else remaining
            )
        elif kind == "promise" and self.phase == "prepare":
            self.promise(now, elector, *fields, out)
        elif kind == "accepted" and self.phase == "propose":
            self.responses[elector] = True
            if self.has_quorum(self.responses):
                self.acquire(now, out)

    def observe_round(self, highest):
        """Notes a round that another process knows of, to start above it. A round of a later generation is
        not adopted: a candidate whose settings are two steps behind would pass every fence with a majority of
        electors that no longer count."""
        if highest // GENERATION > self.generation:
            self.outdated = True
        else:
            self.round = max(self.round, highest)

    def promise(self, now, elector, holder, token, remaining, out):
        """Handles a promise: proposes once a majority has no lease of another holder, gives up once that is
        out of reach."""
        if token:
            self.observe_round(token[0])
        # This process's own lease does not block it, nor does one that its holder has reported as ended. A
        # lease of an earlier process of the same proxy does.
        self.responses[elector] = (
            0.0
            if token is None or token[1:] == (self.me, self.life) or token == self.ended_token
            else remaining
        )
        if self.responses[elector] > 0:
            self.reported_token = token
        if self.has_quorum([e for e, remaining in self.responses.items() if remaining <= 0]):
            token = self.holds(now) or self.ballot
            self.phase = "propose"
            self.responses = {}
            self.phase_started_at = now  # the lease counts from here: before any elector accepts
            self.proposed_token = token
            for elector in self.electors:
                out.send(elector, ("propose", self.ballot, token, self.span))
        elif not self.has_quorum([e for e in self.electors if self.responses.get(e, 0.0) <= 0]):
            self.abandon_attempt(
                now, min(remaining for remaining in self.responses.values() if remaining > 0)
            )

    def acquire(self, now, out):
        """A majority has accepted: the lease is gained or renewed, unless it has expired in the meantime."""
        self.phase = None
        self.failed_attempts = 0
        expires_at = self.phase_started_at + span_lower_bound(self.span, self.rate)
        if now >= expires_at:
            return self.abandon_attempt(now, 0.0)
        is_new, self.token, self.expires_at = (
            self.holds(now) != self.proposed_token,
            self.proposed_token,
            expires_at,
        )
        self.next_attempt_at = self.phase_started_at + 0.4 * span_lower_bound(self.span, self.rate)
        if is_new:
            self.immediate_retries = 0
            out.gained(self.token)

    def step_down(self, why, out):
        """Ends the lease at this candidate only; the electors are not notified."""
        self.token, self.lost_reason = None, why
        out.lost(why)

    def superseded(self, now, token, out):
        """The proxy acted upon knows a higher token: steps down, and acquires the duty again above that
        token."""
        self.observe_round(token[0])
        if self.token is not None and self.token < token:
            # The lease is not released at the electors: acts in flight under this token are over only when
            # the lease expires.
            self.phase = None
            self.step_down("a higher token was seen", out)
            self.next_attempt_at = now + (OUTDATED_RETRY_SPANS * self.span if self.outdated else 0.0)

    def lease_ended(self, now, token):
        """The holder has reported that its lease `token` has ended: that lease no longer blocks this
        candidate, and it tries at once. Returns False for an outdated report."""
        if self.token is None and (self.ended_token is None or token > self.ended_token):
            self.ended_token = token
            self.phase = None
            self.failed_attempts = 0
            self.next_attempt_at = now
            self.immediate_retries = IMMEDIATE_RETRIES
            self.observe_round(token[0])
            return True
        return False

    def release(self, now, why, out):
        """Gives the lease up in order: it ends here first, and then the electors are notified."""
        token, self.phase = self.token, None
        if self.token is not None:
            self.step_down(why, out)
            for elector in self.electors:
                out.send(elector, ("release", token))
        self.next_attempt_at = now + self.span


class Fence:
    """Kept by a proxy that is acted upon: the highest token seen. Lower tokens are rejected."""

    def __init__(self):
        self.highest = (0, -1, 0)

    def accepts(self, token):
        """True, and raises the fence to `token`, unless `token` is below it."""
        if token < self.highest:
            return False
        self.highest = token
        return True
