"""Who holds a duty: a lease by a majority of electors, without I/O and without a disk.

PaxosLease (Trencseni, Gazso, Reinhardt 2012): a candidate prepares a ballot, proposes itself under it for a span, and holds from a
majority's word on, by its own clock counted from before it proposed. Electors keep nothing over a restart: one that has just started
says nothing until whatever it may have said before has ended. Clocks may run fast or slow by `rate`; calendars count for nothing.

Holding is not enough to act: a process may stop between the look and the act. Every act carries the token, and whoever is acted upon
refuses one below the highest that it saw (`Fence`). Tokens rise with each holder as far as the electors remember; where all of them
forgot, whoever is acted upon tells the holder, which takes the duty anew above it (`Candidate.refused`).

Electors are changed by way of settings that name both sets (`Candidate(before=)`): a majority of each is needed, so that the step from
the old ones to both, and from both to the new ones, never has two majorities side by side. Each step is a later `generation`; rounds
begin above all of an earlier one's, so that a fence refuses whoever missed two steps.

A ballot, and a token, is (round, number, life): `life` is drawn at each start, so that no word to an earlier life is taken for one to
this. Messages: prepare(ballot) · propose(ballot, token, span) · release(token), answered by promise(ballot, held by, token, ms left) ·
accepted(ballot) · refused(ballot, highest round, token, ms left).
"""

GENERATION = 2**32  # rounds of one generation of electors
PRESSED, OUTDATED = (
    3,
    10,
)  # tries on end of who was handed it; spans between tries of one whose settings are behind


def surely(span, rate):
    """What a clock must show before `span` is over by every clock that runs within `rate` of it."""
    return span * (1 + rate) / (1 - rate)


def at_most(span, rate):
    """What a clock may show at the latest while `span` is not over by any clock within `rate` of it."""
    return span * (1 - rate) / (1 + rate)


class Elector:
    """One duty at one elector. `longest` is the longest span that any candidate may ask for, ms."""

    def __init__(self, now, longest, rate):
        self.rate, self.longest, self.quiet_until = rate, longest, now + surely(longest, rate)
        self.promised, self.highest, self.accepted = (0, -1, 0), 0, None  # accepted: (number, token, end)

    def hear(self, now, source, message):
        """The answer, or None."""
        kind, ballot, *fields = message
        self.highest = max(self.highest, ballot[0])
        if now < self.quiet_until:
            return None
        if self.accepted and now >= self.accepted[2]:
            self.accepted = None
        if kind == "release":
            if self.accepted and self.accepted[1] == ballot:
                self.accepted = None
            return None
        held = self.accepted
        if ballot < self.promised:
            # Who asks with a round from long ago hears all the same how long it has to wait.
            return "refused", ballot, self.highest, held and held[1], held[2] - now if held else 0.0
        if kind == "prepare":
            self.promised = ballot
            return "promise", ballot, held and held[0], held and held[1], held[2] - now if held else 0.0
        token, span = fields
        if span > self.longest:
            return "refused", ballot, self.highest, None, 0.0
        self.promised, self.accepted = ballot, (ballot[1], token, now + span)
        self.highest = max(self.highest, token[0])
        return "accepted", ballot


class Candidate:
    """`electors` are numbers; `chance.random()` spreads tries. `out` gets send(elector, message) · gained(token) · lost(why)."""

    def __init__(self, me, life, electors, span, rate, chance, now, wants=True, before=(), generation=0):
        self.me, self.life, self.span, self.rate = me, life, span, rate
        self.electors, self.sets = (
            tuple(dict.fromkeys((*electors, *before))),
            [s for s in (tuple(electors), tuple(before)) if s],
        )
        self.chance, self.wants, self.round, self.ended = chance, wants, generation * GENERATION, None
        self.generation, self.outdated = generation, False
        self.ballot, self.phase, self.said, self.begun = None, None, {}, now
        self.token, self.until, self.next_try, self.why, self.failed = None, now, now, "never held", 0
        self.behind = 0.0  # ms that it leaves others a start, before it tries for what may be free
        self.pressed = 0  # tries yet that follow one another at once
        self.seen = None  # the token of whom electors last told that it holds

    def holds(self, now):
        """The token while it holds, else None. To be asked right before each act, and not relied on after."""
        return self.token if self.token is not None and now < self.until else None

    def due_at(self):
        if self.phase:
            return min(self.begun + self.wait(), self.until) if self.token else self.begun + self.wait()
        return min(self.next_try, self.until) if self.token else self.next_try

    def wait(self):
        """ms in which electors are to answer: a fifth of the span, so that a renewal may fail twice."""
        return self.span / 5

    def tick(self, now, out):
        if self.token is not None and now >= self.until:
            self.lose("it could not be renewed in time", out)
        if self.phase and now >= self.begun + self.wait():
            self.give_up(now, 0.0)
        if not self.phase and self.wants and now >= self.next_try:
            self.try_for_it(now, out)

    def give_up(self, now, more):
        # Spread, wider with each try that led to nothing though nobody held (`more` is what another's lease has left): thirty
        # that wake together must not undo each other's ballots for ever. Soon for who holds.
        self.phase, self.failed = None, 0 if more else min(self.failed + 1, 5)
        self.next_try = (
            now
            + more
            + self.chance.random() * self.wait() * (0.5 if self.token or more else 0.25 * 2.0**self.failed)
        )
        if self.token is None:
            self.next_try += self.behind
        if self.pressed and not more:
            # It was handed on to this one: its electors only named a higher round, and nobody else is to be left a start.
            self.pressed, self.next_try = self.pressed - 1, now

    def try_for_it(self, now, out):
        self.round += 1
        self.ballot, self.phase, self.said, self.begun = (self.round, self.me, self.life), "prepare", {}, now
        for elector in self.electors:
            out.send(elector, ("prepare", self.ballot))

    def enough(self, those):
        """A majority, of both sets while electors are changed."""
        return all(sum(e in those for e in some) > len(some) // 2 for some in self.sets)

    def hear(self, now, elector, message, out):
        kind, ballot, *fields = message
        if kind == "refused":
            self.learn(fields[0])
        # Only what answers this very ballot counts: the rest was said to an earlier try, or to an earlier life.
        if ballot != self.ballot or elector not in self.electors:
            return
        if kind == "refused" and self.phase:
            # By a round that others have passed, as a holder does with each renewal: that says nothing against trying again
            # at once, or, while it holds, as soon as its lease may end.
            token, left = fields[1:]
            left = left if token and token[1:] != (self.me, self.life) and token != self.ended else 0.0
            self.give_up(now, max(left, OUTDATED * self.span) if self.outdated else left)
        elif kind == "promise" and self.phase == "prepare":
            self.promise(now, elector, *fields, out)
        elif kind == "accepted" and self.phase == "propose":
            self.said[elector] = True
            if self.enough(self.said):
                self.gain(now, out)

    def learn(self, highest):
        """A round that another knows of. One of a later generation is not gone above: whoever did, with settings that are two steps
        behind, would pass every fence with a majority that counts no more."""
        if highest // GENERATION > self.generation:
            self.outdated = True
        else:
            self.round = max(self.round, highest)

    def promise(self, now, elector, holder, token, left, out):
        if token:
            self.learn(token[0])
        # One's own lease is open to oneself, but an earlier life's is another's; so is one whose holder said that it has ended.
        self.said[elector] = (
            0.0 if token is None or token[1:] == (self.me, self.life) or token == self.ended else left
        )
        if self.said[elector] > 0:
            self.seen = token
        if self.enough([e for e, left in self.said.items() if left <= 0]):
            token = self.holds(now) or self.ballot
            self.phase, self.said, self.begun = "propose", {}, now  # counted from here: before anyone accepts
            self.proposed = token
            for elector in self.electors:
                out.send(elector, ("propose", self.ballot, token, self.span))
        elif not self.enough([e for e in self.electors if self.said.get(e, 0.0) <= 0]):
            self.give_up(now, min(left for left in self.said.values() if left > 0))

    def gain(self, now, out):
        self.phase, self.failed, until = None, 0, self.begun + at_most(self.span, self.rate)
        if now >= until:
            return self.give_up(now, 0.0)
        news, self.token, self.until = self.holds(now) != self.proposed, self.proposed, until
        self.next_try = self.begun + 0.4 * at_most(self.span, self.rate)
        if news:
            self.pressed = 0
            out.gained(self.token)

    def lose(self, why, out):
        self.token, self.why = None, why
        out.lost(why)

    def refused(self, now, token, out):
        """Whoever was acted upon knows a higher token: the duty is let go, and taken anew above it if need be."""
        self.learn(token[0])
        if self.token is not None and self.token < token:
            # Not told to the electors: what is still on its way under this token is over with its lease, not before.
            self.phase = None
            self.lose("a higher token was seen", out)
            self.next_try = now + (OUTDATED * self.span if self.outdated else 0.0)

    def over(self, now, token):
        """Its holder says that it has let go of `token`: that lease is in nobody's way, and this one is to try at once. False for a
        word that is old."""
        if self.token is None and (self.ended is None or token > self.ended):
            self.ended, self.phase, self.failed, self.next_try, self.pressed = token, None, 0, now, PRESSED
            self.learn(token[0])
            return True
        return False

    def let_go(self, now, why, out):
        """First it holds no more, then others are told: an orderly end."""
        token, self.phase = self.token, None
        if self.token is not None:
            self.lose(why, out)
            for elector in self.electors:
                out.send(elector, ("release", token))
        self.next_try = now + self.span


class Fence:
    """At whoever is acted upon: the highest token seen, from below which nothing is accepted."""

    def __init__(self):
        self.highest = (0, -1, 0)

    def accepts(self, token):
        if token < self.highest:
            return False
        self.highest = token
        return True
