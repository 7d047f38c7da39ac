"""The rollout state machine: when a build's stage changes and which votes count. No I/O.

`Stages.round(now, events, out)` applies events once a round and writes its decisions to `out`. Times are in
ms. An event is a tuple of a method's name and its arguments:
  offered(version) · node(slot, ready) · gone(slot) · vote(proxy, number, stage, version, verdict) ·
  heard(proxy) · frozen(why or None) · order(number, kind, build, by, why), an order of an operator
The writer implements: place(slot, version, zone, cell, warm) · remove(slot) · stage() ·
answer(proxy, number, status) · ordered(number, accepted, text) · log(what, facts).

One build is on trial at a time. A build that is offered meanwhile rolls back the trial or waits for its end,
depending on `supersede`. Only promotion is ever held up: ROLL_BACK votes and an operator's rollback always count.
Proxies vote HOLD while a site that carries the build is unreachable for them; while a majority of the present
proxies vote HOLD, earlier PROMOTE votes promote nothing.
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

NODE_START_TIMEOUT = 8000.0  # ms; after it a stage proceeds although some of its nodes are not ready


class Slot:
    """A place for one node of one build in the fleet."""

    def __init__(self, slot, version, zone, cell):
        self.slot = slot
        self.version = version
        self.zone = zone
        self.cell = cell
        self.ready = False
        self.leaving = False


class Stages:
    """State of the rollout: slots of the fleet, build on trial, stage, votes and known proxies."""

    def __init__(
        self, rollout, size, zones, cell_size, lease=None, known_for=600000.0, quorum=0.0, supersede=True
    ):
        """`rollout` is an interface.Rollout with an additional `vote_allowance` (votes a second); the fleet
        at rest has `size` nodes in `zones` zones. A proxy is present if it was heard from within `lease` ms
        (None: always) and is forgotten after `known_for` ms. A stage is promoted only while `quorum` (a
        fraction) of the known proxies are present."""
        self.lease, self.known_for, self.quorum, self.supersede = lease, known_for, quorum, supersede
        self.last_seen, self.hold, self.freeze_reason, self.logged_reason = {}, None, None, None
        self.machine_shares = rollout.machine_shares
        self.caps = rollout.caps
        self.soak = rollout.soak
        self.vote_life = rollout.vote_life
        self.on_votes = rollout.on_votes
        self.back_votes = rollout.back_votes
        self.notify_interval = rollout.told_every
        self.allowance, self.tokens = rollout.vote_allowance, [(2 * rollout.vote_allowance, 0.0)] * 2
        self.size, self.zones, self.cell_size = size, zones, cell_size
        self.slots, self.next_slot, self.queue, self.votes = {}, 0, [], {}
        self.version, self.released_version, self.phase, self.stage = 1, 1, RELEASED, len(rollout.caps) - 1
        self.now = self.entered_at = self.nodes_placed_at = self.notified_at = 0.0
        self.soak_start, self.figures = None, {}

    @property
    def cap(self):
        """Exposure cap of the current build, as a fraction."""
        return {TRIAL: self.caps[self.stage], RELEASED: 1.0}.get(self.phase, 0.0)

    def saved(self):
        """The state that must survive a restart, as JSON values. Times are stored as elapsed ms, because
        clock readings mean nothing to another process."""

        def elapsed_since(timestamp):
            return None if timestamp is None else self.now - timestamp

        return dict(
            ver=self.version,
            released=self.released_version,
            phase=self.phase,
            stage=self.stage,
            queue=self.queue,
            since=elapsed_since(self.entered_at),
            placed=elapsed_since(self.nodes_placed_at),
            clock=elapsed_since(self.soak_start),
            next_slot=self.next_slot,
            votes=[
                [proxy, verdict, elapsed_since(cast_at)]
                for proxy, (verdict, cast_at) in sorted(self.votes.items())
            ],
            slots=[[s.slot, s.version, s.zone, s.cell, s.leaving] for _, s in sorted(self.slots.items())],
            members=[[proxy, elapsed_since(seen_at)] for proxy, seen_at in sorted(self.last_seen.items())],
            held=self.hold,
        )

    def restore(self, now, saved, downtime):
        """Restores the state `saved` that was written `downtime` ms ago. The soak time and the lifetimes of
        the votes went on during the downtime."""
        self.now = now

        def timestamp(elapsed):
            return None if elapsed is None else now - downtime - elapsed

        self.version, self.released_version, self.phase, self.stage = (
            saved[key] for key in ("ver", "released", "phase", "stage")
        )
        self.queue, self.next_slot = list(saved["queue"]), saved["next_slot"]
        self.entered_at = timestamp(saved["since"])
        self.nodes_placed_at = timestamp(saved["placed"])
        self.soak_start = timestamp(saved["clock"])
        self.votes = {proxy: (verdict, timestamp(elapsed)) for proxy, verdict, elapsed in saved["votes"]}
        self.last_seen = {proxy: timestamp(elapsed) for proxy, elapsed in saved.get("members", ())}
        self.hold = saved.get("held")
        for slot, version, zone, cell, leaving in saved["slots"]:
            self.slots[slot] = Slot(slot, version, zone, cell)
            self.slots[slot].leaving = leaving

    def resend_slots(self, out):
        """Repeats all placements and removals for machines that have (re)connected; they ignore placements
        that they already have."""
        for _, s in sorted(self.slots.items()):
            if s.leaving:
                out.remove(s.slot)
            else:
                out.place(s.slot, s.version, s.zone, s.cell, False)

    def round(self, now, events, out):
        """Applies `events` in order, then makes the transitions that are due; decisions go to `out`."""
        self.now, self.out = now, out
        for name, *fields in events:
            getattr(self, name)(*fields)
        self.apply_transitions()
        if now - self.notified_at >= self.notify_interval:
            self.notify()

    def notify(self):
        self.notified_at = self.now
        self.out.stage()

    def enter(self, phase, stage, why):
        self.phase = phase
        self.stage = stage
        self.entered_at = self.now
        self.nodes_placed_at = self.now
        self.soak_start = None
        self.votes = {}
        self.figures = {}
        self.out.log("stage", dict(build=self.version, stage=stage, phase=phase, cap=self.cap, why=why))
        self.notify()

    # ---- events ----

    def begin(self):
        """Places the fleet at rest: warm nodes of build 1, slots numbered from 0."""
        self.place_nodes(1, self.size, True)

    def offered(self, version):
        """A build is offered by a pipeline or an operator; ignored unless newer than the current one."""
        if version > self.version and version not in self.queue:
            self.queue.append(version)
            self.queue.sort()

    def node(self, slot, ready):
        """The node in `slot` is running; `ready` says whether it accepts invocations."""
        if slot in self.slots:
            self.slots[slot].ready = ready

    def gone(self, slot):
        """The node in `slot` has ended. The slot is freed only if its removal was ordered: otherwise its
        machine restarts the node."""
        if slot in self.slots:
            self.slots[slot].ready = False
            if self.slots[slot].leaving:
                del self.slots[slot]

    def vote(self, proxy, number, stage, version, verdict, figures=""):
        """A proxy's verdict on a build; answered with SUCCEEDED, with MOOT if the vote does not apply to the
        present stage, or with FULL above the rate limit. `figures` is the evidence as text, for the log."""
        # ROLL_BACK votes have a token bucket of their own: a flood of PROMOTE votes must not crowd them out.
        bucket = verdict == ROLL_BACK
        tokens, refilled_at = self.tokens[bucket]
        tokens = min(2 * self.allowance, tokens + (self.now - refilled_at) * self.allowance / 1000)
        self.tokens[bucket] = max(tokens - 1, 0.0) if tokens >= 1 else tokens, self.now
        self.heard(proxy)
        if tokens < 1:
            self.out.answer(proxy, number, FULL)
            return
        valid = version == self.version and (
            verdict in (PROMOTE, HOLD)
            and self.phase == TRIAL
            and stage == self.stage
            or verdict == NO_VOTE
            or verdict == ROLL_BACK
            and self.phase in (TRIAL, RELEASED)
            and self.version > 1
        )
        if valid:
            repeated_hold = verdict == HOLD and self.votes.get(proxy, (None,))[0] == HOLD
            self.votes[proxy] = verdict, self.now
            self.figures[proxy] = figures
            if not repeated_hold:
                self.out.log(
                    "vote", dict(proxy=proxy, stage=stage, build=version, verdict=verdict, figures=figures)
                )
        self.out.answer(proxy, number, SUCCEEDED if valid else MOOT)

    def majority_holds(self):
        """True if a majority of the present proxies vote HOLD. A single proxy may be wrong about a site."""
        return 2 * len(self.valid_votes(HOLD)) > sum(map(self.present, self.last_seen))

    def heard(self, proxy):
        """A sign of life from a proxy; renews its lease."""
        self.last_seen[proxy] = self.now

    def frozen(self, why):
        """A calendar freeze began for the reason `why`, or ended (None)."""
        self.freeze_reason = why

    def order(self, number, kind, build, by, why):
        """An operator's order of kind offer, hold, resume or back; `by` and `why` go into the log."""
        accepted, text = getattr(self, "to_" + kind)(build, by, why)
        self.out.log("order", dict(kind=kind, build=build, by=by, why=why, done=accepted, answer=text))
        self.out.ordered(number, accepted, text)

    # Each `to_` method carries out one kind of order and returns (accepted, text for the operator).

    def to_offer(self, build, by, why):
        if build <= self.version or build in self.queue:
            return False, f"build {build} is not newer than what was offered before"
        self.offered(build)
        return True, f"build {build} is offered"

    def to_hold(self, build, by, why):
        self.hold = [by, why]
        return True, "no stage moves on until it is resumed"

    def to_resume(self, build, by, why):
        if not self.hold:
            return False, "nothing is on hold"
        self.hold = None
        return True, "stages move on again"

    def to_back(self, build, by, why):
        if build != self.version or self.phase not in (TRIAL, RELEASED) or self.version < 2:
            return False, f"build {build} is neither on trial nor the one released"
        self.roll_back(f"{by}: {why}")
        return True, f"build {build} goes back"

    # ---- presence of the proxies ----

    def present(self, proxy):
        return self.lease is None or self.now - self.last_seen.get(proxy, -1e18) <= self.lease

    def blocking_reason(self):
        """The reason for which no stage may be promoted and no trial may begin at present, or None."""
        if self.hold:
            return "held by {}: {}".format(*self.hold)
        if self.freeze_reason:
            return f"frozen: {self.freeze_reason}"
        if self.lease is not None:
            # Without a quorum a few connected proxies could promote a stage unknown to all others.
            for proxy in [p for p, seen_at in self.last_seen.items() if self.now - seen_at > self.known_for]:
                del self.last_seen[proxy]
            present = sum(map(self.present, self.last_seen))
            if present < self.quorum * len(self.last_seen):
                return f"{present} of {len(self.last_seen)} proxies in touch"
        return None

    def required_on_votes(self):
        """Number of PROMOTE votes that a promotion needs; never more than there are present proxies, so that
        vanished ones do not block it."""
        if self.lease is None:
            return self.on_votes
        return min(self.on_votes, max(1, sum(map(self.present, self.last_seen))))

    # ---- transitions ----

    def place_nodes(self, version, target, warm=False):
        """Places nodes of build `version` until `target` of them are placed and not leaving."""
        count = sum(s.version == version and not s.leaving for s in self.slots.values())
        for n in range(count, target):
            slot = self.next_slot
            self.next_slot += 1
            self.slots[slot] = Slot(slot, version, n % self.zones, n // self.cell_size)
            self.out.place(slot, version, n % self.zones, n // self.cell_size, warm)

    def remove_nodes(self, version):
        for slot in self.slots.values():
            if slot.version == version and not slot.leaving:
                slot.leaving = True
                self.out.remove(slot.slot)

    def valid_votes(self, verdict):
        """The present proxies whose latest vote is `verdict` and has not expired."""
        return [
            proxy
            for proxy, (latest, cast_at) in self.votes.items()
            if latest == verdict and self.now - cast_at < self.vote_life and self.present(proxy)
        ]

    def describe_votes(self, verdict):
        """The voters and their figures as text for the log; at most five of them are named."""
        voters = sorted(self.valid_votes(verdict))
        return "; ".join(f"proxy {p} {self.figures.get(p, '')}".strip() for p in voters[:5]) + (
            f"; and {len(voters) - 5} more" if len(voters) > 5 else ""
        )

    def apply_transitions(self):
        current = [s for s in self.slots.values() if s.version == self.version]
        if (
            self.phase in (TRIAL, RELEASED)
            and self.version > 1
            and len(self.valid_votes(ROLL_BACK)) >= self.back_votes
        ):
            self.roll_back(self.describe_votes(ROLL_BACK))
        elif self.phase == TRIAL:
            if self.queue and self.supersede:
                self.roll_back("the next build is due")
            elif self.soak_start is None:
                if all(s.ready for s in current) or self.now - self.nodes_placed_at >= NODE_START_TIMEOUT:
                    self.soak_start = self.now
            elif (
                self.now - self.soak_start >= self.soak
                and len(self.valid_votes(PROMOTE)) >= self.required_on_votes()
                and self.may_promote()
                and not self.majority_holds()
            ):
                self.promote()
        elif self.phase == ROLLING_BACK:
            # Where nodes of the previous build were already removed, their replacements start first: the
            # fleet must never be empty.
            previous = [
                s for s in self.slots.values() if s.version == self.released_version and not s.leaving
            ]
            if (
                sum(s.ready for s in previous) >= self.size
                or self.now - self.nodes_placed_at >= NODE_START_TIMEOUT
            ):
                self.remove_nodes(self.version)
                if not current:
                    self.enter(WITHDRAWN, self.stage, "its machines are gone")
        if self.phase in (RELEASED, WITHDRAWN) and self.queue and self.may_promote():
            if self.phase == RELEASED:
                self.released_version = self.version
            self.version = self.queue.pop(0)
            self.out.log("offered", dict(build=self.version))
            self.enter(TRIAL, 0, "offered")
            self.place_stage_nodes()

    def may_promote(self):
        """True if a transition that is due may be made; otherwise each new reason for the wait is logged
        once."""
        why, before, self.logged_reason = self.blocking_reason(), self.logged_reason, None
        if why:
            self.logged_reason = why
            if why != before:
                self.out.log("waits", dict(build=self.version, why=why))
        return not why

    def place_stage_nodes(self):
        self.place_nodes(self.version, max(1, round(self.machine_shares[self.stage] * self.size)))

    def promote(self):
        why = self.describe_votes(PROMOTE) or "by the clock"
        if self.stage + 1 < len(self.caps):
            self.enter(TRIAL, self.stage + 1, why)
            self.place_stage_nodes()
        else:
            self.enter(RELEASED, self.stage, why)
            self.remove_nodes(self.released_version)

    def roll_back(self, why):
        self.out.log("back", dict(build=self.version, why=why))
        self.enter(ROLLING_BACK, self.stage, why)
        self.place_nodes(self.released_version, self.size)
