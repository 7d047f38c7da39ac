"""When a stage moves and what a vote counts for. No I/O: events in, decisions into a writer, once a round.

`Stages.round(now, events, out)`; events are tuples of a method's name and its fields:
  offered(ver) · node(slot, ready) · gone(slot) · vote(proxy, number, stage, ver, verdict) · heard(proxy) ·
  frozen(why or None) · order(number, kind, build, by, why): an operator's offer, hold, resume or back
The writer gets: place(slot, ver, zone, cell, warm) · remove(slot) · stage() · answer(proxy, number, status) ·
ordered(number, fine, text) · log(what, facts). One build is on trial at a time; one offered meanwhile sends it back first
or waits for its end, as set. Nothing but a move on is ever held up: votes 'back' and an operator's take-back always count. 'hold' is said
by proxies that see a site away which carries the build: while most of those that are there say so, earlier votes 'on' move nothing.
"""

from ..interface import (
    ROLL_BACK,
    FULL,
    ROLLING_BACK,
    HOLD,
    MOOT,
    NO_VOTE,
    PROMOTE,
    RELEASED,
    SUCCEEDED,
    TRIAL,
    WITHDRAWN,
)

RUNNING_BY = 8000.0  # a stage's clock starts by then though some of its nodes do not run


class Slot:
    def __init__(self, slot, ver, zone, cell):
        self.slot, self.ver, self.zone, self.cell, self.ready, self.leaving = (
            slot,
            ver,
            zone,
            cell,
            False,
            False,
        )


class Stages:
    def __init__(
        self, facts, size, zones, cell_size, lease=None, known_for=600000.0, quorum=0.0, supersede=True
    ):
        """`facts` is an interface.Rollout with `vote_allowance` beside it; `size` nodes in `zones` zones, at rest. A proxy is
        there while it was heard within `lease` ms (None: all always are), known for `known_for`; a stage moves on while
        `quorum` of the known ones are there."""
        self.lease, self.known_for, self.quorum, self.supersede = lease, known_for, quorum, supersede
        self.members, self.held, self.freeze, self.waits_for = {}, None, None, None
        self.shares, self.caps, self.soak, self.life = (
            facts.machine_shares,
            facts.caps,
            facts.soak,
            facts.vote_life,
        )
        self.on_votes, self.back_votes, self.told_every = facts.on_votes, facts.back_votes, facts.told_every
        self.allowance, self.tokens = facts.vote_allowance, [(2 * facts.vote_allowance, 0.0)] * 2
        self.size, self.zones, self.cell_size = size, zones, cell_size
        self.slots, self.next_slot, self.queue, self.votes = {}, 0, [], {}
        self.ver, self.released, self.phase, self.stage = 1, 1, RELEASED, len(facts.caps) - 1
        self.now = self.since = self.placed = self.told = 0.0
        self.clock, self.figures = None, {}

    cap = property(lambda self: {TRIAL: self.caps[self.stage], RELEASED: 1.0}.get(self.phase, 0.0))

    def saved(self):
        """All that a restart must know, as plain values; spans, not clock readings."""

        def span(t):
            return None if t is None else self.now - t

        return dict(
            ver=self.ver,
            released=self.released,
            phase=self.phase,
            stage=self.stage,
            queue=self.queue,
            since=span(self.since),
            placed=span(self.placed),
            clock=span(self.clock),
            next_slot=self.next_slot,
            votes=[[proxy, v, span(at)] for proxy, (v, at) in sorted(self.votes.items())],
            slots=[[s.slot, s.ver, s.zone, s.cell, s.leaving] for _, s in sorted(self.slots.items())],
            members=[[proxy, span(at)] for proxy, at in sorted(self.members.items())],
            held=self.held,
        )

    def restore(self, now, saved, away):
        """Takes up where `saved` was, `away` ms ago: the stage's clock and the votes' lives went on meanwhile."""
        self.now = now

        def at(span):
            return None if span is None else now - away - span

        self.ver, self.released, self.phase, self.stage = (
            saved[k] for k in ("ver", "released", "phase", "stage")
        )
        self.queue, self.next_slot = list(saved["queue"]), saved["next_slot"]
        self.since, self.placed, self.clock = at(saved["since"]), at(saved["placed"]), at(saved["clock"])
        self.votes = {proxy: (v, at(span)) for proxy, v, span in saved["votes"]}
        self.members = {proxy: at(span) for proxy, span in saved.get("members", ())}
        self.held = saved.get("held")
        for slot, ver, zone, cell, leaving in saved["slots"]:
            self.slots[slot] = Slot(slot, ver, zone, cell)
            self.slots[slot].leaving = leaving

    def again(self, out):
        """What machines that come (back) must know: places they have already are passed over by them."""
        for _, s in sorted(self.slots.items()):
            if s.leaving:
                out.remove(s.slot)
            else:
                out.place(s.slot, s.ver, s.zone, s.cell, False)

    def round(self, now, events, out):
        self.now, self.out = now, out
        for name, *fields in events:
            getattr(self, name)(*fields)
        self.move()
        if now - self.told >= self.told_every:
            self.tell()

    def tell(self):
        self.told = self.now
        self.out.stage()

    def enter(self, phase, stage, why):
        self.phase, self.stage, self.since, self.placed, self.clock, self.votes = (
            phase,
            stage,
            self.now,
            self.now,
            None,
            {},
        )
        self.figures = {}
        self.out.log("stage", dict(build=self.ver, stage=stage, phase=phase, cap=self.cap, why=why))
        self.tell()

    # ---- events ----

    def begin(self):
        """The fleet at rest: its slots are numbered from 0, warm."""
        self.fill(1, self.size, True)

    def offered(self, ver):
        if ver > self.ver and ver not in self.queue:
            self.queue.append(ver)
            self.queue.sort()

    def node(self, slot, ready):
        if slot in self.slots:
            self.slots[slot].ready = ready

    def gone(self, slot):
        """Its place is empty for good only if it was told to leave: else its machine starts it anew."""
        if slot in self.slots:
            self.slots[slot].ready = False
            if self.slots[slot].leaving:
                del self.slots[slot]

    def vote(self, proxy, number, stage, ver, verdict, figures=""):
        # 'back' has an allowance of its own: a flood of 'on' must not crowd out the one that counts.
        kind = verdict == ROLL_BACK
        tokens, filled = self.tokens[kind]
        tokens = min(2 * self.allowance, tokens + (self.now - filled) * self.allowance / 1000)
        self.tokens[kind] = max(tokens - 1, 0.0) if tokens >= 1 else tokens, self.now
        self.heard(proxy)
        if tokens < 1:
            self.out.answer(proxy, number, FULL)
            return
        fits = ver == self.ver and (
            verdict in (PROMOTE, HOLD)
            and self.phase == TRIAL
            and stage == self.stage
            or verdict == NO_VOTE
            or verdict == ROLL_BACK
            and self.phase in (TRIAL, RELEASED)
            and self.ver > 1
        )
        if fits:
            again = verdict == HOLD and self.votes.get(proxy, (None,))[0] == HOLD
            self.votes[proxy] = verdict, self.now
            self.figures[proxy] = figures
            if not again:
                self.out.log(
                    "vote", dict(proxy=proxy, stage=stage, build=ver, verdict=verdict, figures=figures)
                )
        self.out.answer(proxy, number, SUCCEEDED if fits else MOOT)

    def kept_waiting(self):
        """Most of the proxies that are there say that a site that carries the build is not whole: one alone may see wrong."""
        return 2 * len(self.standing(HOLD)) > sum(map(self.there, self.members))

    def heard(self, proxy):
        self.members[proxy] = self.now

    def frozen(self, why):
        self.freeze = why

    def order(self, number, kind, build, by, why):
        fine, text = getattr(self, "to_" + kind)(build, by, why)
        self.out.log("order", dict(kind=kind, build=build, by=by, why=why, done=fine, answer=text))
        self.out.ordered(number, fine, text)

    def to_offer(self, build, by, why):
        if build <= self.ver or build in self.queue:
            return False, f"build {build} is not newer than what was offered before"
        self.offered(build)
        return True, f"build {build} is offered"

    def to_hold(self, build, by, why):
        self.held = [by, why]
        return True, "no stage moves on until it is resumed"

    def to_resume(self, build, by, why):
        if not self.held:
            return False, "nothing is on hold"
        self.held = None
        return True, "stages move on again"

    def to_back(self, build, by, why):
        if build != self.ver or self.phase not in (TRIAL, RELEASED) or self.ver < 2:
            return False, f"build {build} is neither on trial nor the one released"
        self.take_back(f"{by}: {why}")
        return True, f"build {build} goes back"

    # ---- who is there ----

    def there(self, proxy):
        return self.lease is None or self.now - self.members.get(proxy, -1e18) <= self.lease

    def blocked(self):
        """Why no stage moves on and no trial begins just now, or None."""
        if self.held:
            return "held by {}: {}".format(*self.held)
        if self.freeze:
            return f"frozen: {self.freeze}"
        if self.lease is not None:
            # Against a stage that moves on by the word of a few while the rest do not even hear of it.
            for proxy in [p for p, at in self.members.items() if self.now - at > self.known_for]:
                del self.members[proxy]
            there = sum(map(self.there, self.members))
            if there < self.quorum * len(self.members):
                return f"{there} of {len(self.members)} proxies in touch"
        return None

    def enough(self):
        """Votes 'on' that a move needs: a proxy that has vanished does not hold it up."""
        if self.lease is None:
            return self.on_votes
        return min(self.on_votes, max(1, sum(map(self.there, self.members))))

    # ---- moves ----

    def fill(self, ver, target, warm=False):
        have = sum(s.ver == ver and not s.leaving for s in self.slots.values())
        for n in range(have, target):
            slot = self.next_slot
            self.next_slot += 1
            self.slots[slot] = Slot(slot, ver, n % self.zones, n // self.cell_size)
            self.out.place(slot, ver, n % self.zones, n // self.cell_size, warm)

    def empty(self, ver):
        for slot in self.slots.values():
            if slot.ver == ver and not slot.leaving:
                slot.leaving = True
                self.out.remove(slot.slot)

    def standing(self, verdict):
        return [
            proxy
            for proxy, (v, at) in self.votes.items()
            if v == verdict and self.now - at < self.life and self.there(proxy)
        ]

    def said(self, verdict):
        """Who stands for it and by what figures, for those who read the reason later: the first few of many."""
        who = sorted(self.standing(verdict))
        return "; ".join(f"proxy {p} {self.figures.get(p, '')}".strip() for p in who[:5]) + (
            f"; and {len(who) - 5} more" if len(who) > 5 else ""
        )

    def move(self):
        new = [s for s in self.slots.values() if s.ver == self.ver]
        if (
            self.phase in (TRIAL, RELEASED)
            and self.ver > 1
            and len(self.standing(ROLL_BACK)) >= self.back_votes
        ):
            self.take_back(self.said(ROLL_BACK))
        elif self.phase == TRIAL:
            if self.queue and self.supersede:
                self.take_back("the next build is due")
            elif self.clock is None:
                if all(s.ready for s in new) or self.now - self.placed >= RUNNING_BY:
                    self.clock = self.now
            elif (
                self.now - self.clock >= self.soak
                and len(self.standing(PROMOTE)) >= self.enough()
                and self.free()
                and not self.kept_waiting()
            ):
                self.advance()
        elif self.phase == ROLLING_BACK:
            # Where the earlier machines have gone, new ones come first: the fleet is never without.
            back = [s for s in self.slots.values() if s.ver == self.released and not s.leaving]
            if sum(s.ready for s in back) >= self.size or self.now - self.placed >= RUNNING_BY:
                self.empty(self.ver)
                if not new:
                    self.enter(WITHDRAWN, self.stage, "its machines are gone")
        if self.phase in (RELEASED, WITHDRAWN) and self.queue and self.free():
            if self.phase == RELEASED:
                self.released = self.ver
            self.ver = self.queue.pop(0)
            self.out.log("offered", dict(build=self.ver))
            self.enter(TRIAL, 0, "offered")
            self.grow()

    def free(self):
        """True where a move that is due may be made; else what it waits for is told once."""
        why, before, self.waits_for = self.blocked(), self.waits_for, None
        if why:
            self.waits_for = why
            if why != before:
                self.out.log("waits", dict(build=self.ver, why=why))
        return not why

    def grow(self):
        self.fill(self.ver, max(1, round(self.shares[self.stage] * self.size)))

    def advance(self):
        why = self.said(PROMOTE) or "by the clock"
        if self.stage + 1 < len(self.caps):
            self.enter(TRIAL, self.stage + 1, why)
            self.grow()
        else:
            self.enter(RELEASED, self.stage, why)
            self.empty(self.released)

    def take_back(self, why):
        self.out.log("back", dict(build=self.ver, why=why))
        self.enter(ROLLING_BACK, self.stage, why)
        self.fill(self.released, self.size)
