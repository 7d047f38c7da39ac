"""One duty at one proxy, without I/O: its elector and its candidate, who tries first, handing on, and what is told of it.

Everybody may hold a duty, but not all try alike: those of a preferred zone first, then in an order of the duty's own, so that many
duties spread over many proxies; one with much to do waits longer, one that has just started waits until it has settled. A proxy far
back in the order asks seldom. All of this is only about when to try: whoever holds keeps it, so nothing moves back and forth.

Handing on is two words: the holder lets go, then tells a successor of its choice that its token is over, with the state of the work.
The successor need not wait for the lease's end, as its holder itself said so; does the word get lost, the electors know of the end.
"""

from math import ceil

import xxhash

from .lease import Candidate, Elector

FIRST = 5  # so many stand ready; the next so many ask half as often, and so on
KEPT_OFF = 2.0  # spans for which one that gave the duty away does not want it back
AGAIN = 5.0  # spans in which a holder has told everyone once more that it holds
STATE, WHY = 64, 60  # bytes, characters
BUSY = 0.5  # spans that a proxy waits longer where all its room is taken
TO_ELECTOR = "prepare", "propose", "release"


class Post:
    """`mates` is {number: zone}, this one among them. `out` gets send(number, message) · gained(token, state) · lost(token, why) ·
    heard(token): somebody holds. `zones` are the preferred ones; the rest is as in lease.py. Times are ms of its own clock."""

    def __init__(
        self,
        name,
        me,
        life,
        mates,
        electors,
        span,
        rate,
        chance,
        now,
        before=(),
        generation=0,
        zones=(),
        settle=0.0,
    ):
        self.name, self.me, self.mates, self.span, self.settled_at = name, me, mates, span, now + settle
        self.candidate = Candidate(
            me, life, electors, span, rate, chance, now, previous_electors=before, generation=generation
        )
        self.candidate.wants = False
        # At each proxy, whoever its own settings name: while electors are changed one proxy after the other, the first with the new
        # settings already asks those that do not know yet that they are to be electors; without them nobody could win.
        self.elector = Elector(now, span, rate)
        self.order = sorted(
            mates,
            key=lambda n: (
                bool(zones) and mates[n] not in zones,
                xxhash.xxh32(f"{name} {n}".encode()).intdigest(),
            ),
        )
        self.state, self.since, self.last, self.holder = b"", None, "none held it yet", None
        self.handed, self.seen_at = None, now
        self.kept_off, self.leaving, self.way, self.events = now, False, [], []
        self.to_tell, self.told_at = [], now

    # ---- what the candidate writes into ----

    def send(self, elector, message):
        self.way.append((elector, message))

    def gained(self, token):
        self.events.append(("gained", token, self.state))

    def lost(self, why):
        self.events.append(("lost", self.holder, why))

    # ---- in ----

    def due_at(self):
        due = (
            self.candidate.due_at()
            if self.candidate.wants or self.candidate.token or self.candidate.phase
            else self.wants_at()
        )
        return min(due, self.told_at) if self.to_tell else due

    def wants_at(self):
        return 1e18 if self.leaving else max(self.settled_at, self.kept_off)

    def tick(self, now, busy, alive, out):
        """`busy` is how much of its room is taken, 0 to 1; `alive` the numbers of those not known to be gone, for the order only."""
        one = self.candidate
        if not one.wants and now >= self.wants_at():
            one.wants, one.next_attempt_at = True, max(one.next_attempt_at, now + self.behind(busy, alive))
        one.start_delay = self.behind(busy, alive)
        one.tick(now, self)
        if one.token and now >= self.told_at:
            self.tell_some(now)
        self.flush(now, out)

    def behind(self, busy, alive):
        """ms that this one waits longer than the first in the order does, before it tries for what is free."""
        rank = 0
        for number in self.order:
            if number == self.me:
                break
            rank += number in alive
        return self.span * (rank / (2 * FIRST) if rank < FIRST else rank // FIRST) + self.span * BUSY * busy

    def hear(self, now, source, message, out):
        kind = message[0]
        if kind in TO_ELECTOR:
            answer = self.elector.receive(now, source, message)
            if answer:
                out.send(source, answer)
        elif kind == "holds":
            if message[1][1] == source:
                self.seen(now, message[1])
                out.heard(message[1])
        elif kind == "over":
            # Only of its own token can a proxy say so.
            if message[1][1] == source and not self.leaving and self.candidate.lease_ended(now, message[1]):
                self.handed, self.state, self.candidate.wants, self.kept_off = (
                    f"handed on by {source}: {message[3]}",
                    message[2],
                    True,
                    now,
                )
                self.candidate.tick(now, self)
        elif source in self.candidate.electors:
            self.candidate.receive(now, source, message, self)
            if self.candidate.immediate_retries and not self.candidate.phase:
                self.candidate.tick(now, self)
            if self.candidate.reported_token:
                self.seen(now, self.candidate.reported_token)
                self.candidate.reported_token = None
        self.flush(now, out)

    def seen(self, now, token):
        if self.holder is None or token >= self.holder:
            self.holder, self.seen_at = token, now
            if token[1] != self.me:
                self.handed, self.state = (
                    None,
                    b"",
                )  # another was there before this one, if it was handed on to it

    def refused(self, now, token, out):
        """Whoever was acted upon knows of a higher token than this one's."""
        self.candidate.superseded(now, token, self)
        self.flush(now, out)

    def flush(self, now, out):
        """What the candidate wrote goes out; words to the elector beside it are heard at once, but not in its middle."""
        while self.way:
            to, message = self.way.pop(0)
            if to != self.me:
                out.send(to, message)
                continue
            answer = self.elector.receive(now, self.me, message)
            if answer:
                self.candidate.receive(now, self.me, answer, self)
        events, self.events = self.events, []
        for what, token, fact in events:
            if what == "gained":
                self.holder, self.since, self.seen_at, self.last, self.handed = (
                    token,
                    now,
                    now,
                    self.handed or "taken as it was free",
                    None,
                )
                self.to_tell, self.told_at = [n for n in self.mates if n != self.me], now
                self.tell_some(now, len(self.to_tell))
                out.gained(token, fact)
                self.state = b""
            else:
                self.to_tell, self.since, self.last = [], None, fact
                out.lost(token, fact)
        for to, message in self.way:
            out.send(to, message)
        self.way = []

    def tell_some(self, now, many=None):
        """Who holds is told to all at first, then to each once in `AGAIN` spans, some at a time."""
        if not self.to_tell:
            self.to_tell = [n for n in self.mates if n != self.me]
        many = many or ceil(len(self.mates) / (AGAIN * 4))
        some, self.to_tell = self.to_tell[:many], self.to_tell[many:]
        self.way += [(n, ("holds", self.candidate.token)) for n in some]
        self.told_at = now + self.span / 4

    # ---- handing on ----

    def successor(self, alive):
        return next((n for n in self.order if n != self.me and n in alive), None)

    def hand(self, now, to, why, state, out):
        """True where it was held and is let go, for `to` or, None, for whoever comes first."""
        token = self.candidate.holds(now)
        if token is None:
            return False
        self.candidate.release(now, why, self)
        self.candidate.wants, self.kept_off = False, now + KEPT_OFF * self.span
        if to is not None:
            self.way.append((to, ("over", token, state[:STATE], why[:WHY])))
        self.flush(now, out)
        return True

    def leave(self, now, alive, state, out):
        """An orderly end of the proxy: the duty goes to a successor, and is not wanted any more."""
        self.leaving = True
        held = self.hand(now, self.successor(alive), "its proxy ends", state, out)
        self.candidate.wants = False
        return held

    # ---- told to whoever asks ----

    def status(self, now):
        token, left = self.candidate.holds(now), self.candidate.expires_at - now
        return dict(
            duty=self.name,
            holder=self.holder and self.holder[1],
            token=self.holder and list(self.holder),
            here=token is not None,
            seen_ms=0 if token else round(now - self.seen_at),
            outdated=self.candidate.outdated,
            since_ms=round(now - self.since) if self.since is not None else None,
            left_ms=round(left) if token else None,
            last=self.last,
            electors=list(self.candidate.electors),
            elector=self.me in self.candidate.electors,
            wants=self.candidate.wants,
        )
