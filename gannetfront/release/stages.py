"""When a stage moves and what a vote counts for. No I/O: events in, decisions into a writer, once a round.

`Stages.round(now, events, out)`; events are tuples of a method's name and its fields:
  offered(ver) · node(slot, ver, zone, cell, state, at) · gone(slot) · vote(proxy, number, stage, ver, verdict)
The writer gets: place(slot, ver, zone, cell, warm) · remove(slot) · stage() · answer(proxy, number, status) ·
log(what, facts). One build is on trial at a time; one offered meanwhile sends it back first.
"""
from ..interface import BACK, FULL, GOING_BACK, MOOT, NO_VOTE, ON, RELEASED, SUCCEEDED, TRIAL, WITHDRAWN

RUNNING_BY = 8000.0     # a stage's clock starts by then though some of its nodes do not run


class Slot:
    def __init__(self, slot, ver, zone, cell):
        self.slot, self.ver, self.zone, self.cell, self.ready, self.leaving = slot, ver, zone, cell, False, False


class Stages:
    def __init__(self, facts, size, zones, cell_size):
        """`facts` is an interface.Rollout with `vote_allowance` beside it; `size` nodes in `zones` zones, at rest."""
        self.shares, self.caps, self.soak, self.life = facts.machine_shares, facts.caps, facts.soak, facts.vote_life
        self.on_votes, self.back_votes, self.told_every = facts.on_votes, facts.back_votes, facts.told_every
        self.allowance, self.tokens, self.filled = facts.vote_allowance, 2 * facts.vote_allowance, 0.0
        self.size, self.zones, self.cell_size = size, zones, cell_size
        self.slots, self.next_slot, self.queue, self.votes = {}, 0, [], {}
        self.ver, self.released, self.phase, self.stage = 1, 1, RELEASED, len(facts.caps) - 1
        self.now = self.since = self.placed = self.told = 0.0
        self.clock = None

    cap = property(lambda self: {TRIAL: self.caps[self.stage], RELEASED: 1.0}.get(self.phase, 0.0))

    def saved(self):
        """All that a restart must know, as plain values; spans, not clock readings."""
        span = lambda t: None if t is None else self.now - t
        return dict(ver=self.ver, released=self.released, phase=self.phase, stage=self.stage, queue=self.queue,
                    since=span(self.since), placed=span(self.placed), clock=span(self.clock), next_slot=self.next_slot,
                    votes=[[proxy, v, span(at)] for proxy, (v, at) in sorted(self.votes.items())],
                    slots=[[s.slot, s.ver, s.zone, s.cell, s.leaving] for _, s in sorted(self.slots.items())])

    def restore(self, now, saved, away):
        """Takes up where `saved` was, `away` ms ago: the stage's clock and the votes' lives went on meanwhile."""
        self.now = now
        at = lambda span: None if span is None else now - away - span
        self.ver, self.released, self.phase, self.stage = (saved[k] for k in ("ver", "released", "phase", "stage"))
        self.queue, self.next_slot = list(saved["queue"]), saved["next_slot"]
        self.since, self.placed, self.clock = at(saved["since"]), at(saved["placed"]), at(saved["clock"])
        self.votes = {proxy: (v, at(span)) for proxy, v, span in saved["votes"]}
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

    def enter(self, phase, stage):
        self.phase, self.stage, self.since, self.placed, self.clock, self.votes = (
            phase, stage, self.now, self.now, None, {})
        self.out.log("stage", dict(build=self.ver, stage=stage, phase=phase, cap=self.cap))
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

    def vote(self, proxy, number, stage, ver, verdict):
        self.tokens = min(2 * self.allowance, self.tokens + (self.now - self.filled) * self.allowance / 1000)
        self.filled = self.now
        if self.tokens < 1:
            self.out.answer(proxy, number, FULL)
            return
        self.tokens -= 1
        fits = ver == self.ver and (
            verdict == ON and self.phase == TRIAL and stage == self.stage or verdict == NO_VOTE
            or verdict == BACK and self.phase in (TRIAL, RELEASED) and self.ver > 1)
        if fits:
            self.votes[proxy] = verdict, self.now
            self.out.log("vote", dict(proxy=proxy, stage=stage, build=ver, verdict=verdict))
        self.out.answer(proxy, number, SUCCEEDED if fits else MOOT)

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
        return sum(v == verdict and self.now - at < self.life for v, at in self.votes.values())

    def move(self):
        new = [s for s in self.slots.values() if s.ver == self.ver]
        if self.phase in (TRIAL, RELEASED) and self.ver > 1 and self.standing(BACK) >= self.back_votes:
            self.take_back("votes")
        elif self.phase == TRIAL:
            if self.queue:
                self.take_back("the next build is due")
            elif self.clock is None:
                if all(s.ready for s in new) or self.now - self.placed >= RUNNING_BY:
                    self.clock = self.now
            elif self.now - self.clock >= self.soak and self.standing(ON) >= self.on_votes:
                self.advance()
        elif self.phase == GOING_BACK:
            # Where the earlier machines have gone, new ones come first: the fleet is never without.
            back = [s for s in self.slots.values() if s.ver == self.released and not s.leaving]
            if sum(s.ready for s in back) >= self.size or self.now - self.placed >= RUNNING_BY:
                self.empty(self.ver)
                if not new:
                    self.enter(WITHDRAWN, self.stage)
        if self.phase in (RELEASED, WITHDRAWN) and self.queue:
            if self.phase == RELEASED:
                self.released = self.ver
            self.ver = self.queue.pop(0)
            self.out.log("offered", dict(build=self.ver))
            self.enter(TRIAL, 0)
            self.grow()

    def grow(self):
        self.fill(self.ver, max(1, round(self.shares[self.stage] * self.size)))

    def advance(self):
        if self.stage + 1 < len(self.caps):
            self.enter(TRIAL, self.stage + 1)
            self.grow()
        else:
            self.enter(RELEASED, self.stage)
            self.empty(self.released)

    def take_back(self, why):
        self.out.log("back", dict(build=self.ver, why=why))
        self.enter(GOING_BACK, self.stage)
        self.fill(self.released, self.size)
