"""Policies to compare the module against, as plain as the textbooks have them. Baselines only: none is ever run by a proxy.

Each has the Balancer's call: `round(now, events, out)`. They keep exposure by the cap's count, send each invocation
once (a refused one once more where nothing ran) and vote by their rule.
"""

from collections import deque

from .. import host
from ..interface import (
    ROLL_BACK,
    ERROR,
    FULL,
    MOOT,
    PROMOTE,
    READY,
    RELEASED,
    RESET,
    SUCCEEDED,
    TIMEOUT,
    TRIAL,
    UNCONNECTED,
)


class Plain:
    """Random choice within the cap, no vote."""

    def __init__(self, seed, site):
        r = site.rollout
        self.draw, self.ops, self.r, self.grace = host.chance(seed, 3), site.operations, r, site.drain_grace
        self.nodes, self.invs, self.open = {}, {}, {}
        self.ver, self.stage, self.cap, self.phase, self.since = None, 0, 0.0, None, 0.0
        self.took, self.made = deque(), deque()
        self.vote_due, self.seen, self.ring, self.pools = 0.0, {}, 0, None
        self.woken = -1.0

    def round(self, now, events, out):
        self.now, self.out = now, out
        for name, *fields in events:
            getattr(self, name, lambda *x: None)(*fields)
        while (
            self.invs and now >= next(iter(self.invs.values()))[3] - 0.5
        ):  # nearly in the order of their deadlines
            ident = next(iter(self.invs))
            del self.invs[ident]
            out.terminate(ident)
        if now >= self.vote_due and self.phase in (TRIAL, RELEASED):
            verdict = self.verdict()
            if verdict:
                out.vote(self.stage, self.ver, verdict)
            self.vote_due = now + 500
        if (self.invs or self.phase == TRIAL) and now >= self.woken:  # one alarm at a time
            self.woken = now + 250
            out.timer(self.woken, "tick")

    def timer(self, key):
        pass

    def listed(self, kind, entries):
        self.pools = None
        if kind != "changes":
            self.nodes = {}
        for e in entries:
            self.nodes[e[0]] = e

    def stage_told(self, answer, stage, since, cap, status, ver, phase):
        if not answer:
            if (ver, stage, phase) != (self.ver, self.stage, self.phase):
                self.since = self.now
            self.ver, self.stage, self.cap, self.phase, self.pools = ver, stage, cap, phase, None

    def on_trial(self, build):
        return self.ver is not None and (build > self.ver or build == self.ver and self.phase != RELEASED)

    def exposed(self, op):
        for kept in (self.took, self.made):
            while (
                kept
                and kept[0] < self.now - self.r.window - (kept is self.made) * 20 + (kept is self.took) * 20
            ):
                kept.popleft()
        return self.cap > 0 and len(self.made) + 1 <= self.r.free + self.cap * len(self.took)

    def invocation(self, ident, key, op, tenant, left):
        self.invs[ident] = [op, 0, set(), self.now + left]
        self.took.append(self.now)
        self.go(ident)

    def go(self, ident):
        op, _, tried, deadline = self.invs[ident]
        if self.pools is None:
            ready = [e for e in self.nodes.values() if e[5] == READY]
            self.pools = [[e for e in ready if self.on_trial(e[2]) == trial] for trial in (False, True)]
        old, new = ([e for e in p if e[0] not in tried] if tried else p for p in self.pools)
        share = len(new) / max(1, len(old) + len(new))
        pool = new if new and (self.draw.random() < share or not old) and self.exposed(op) else old
        if not pool or deadline - self.now < 5:
            del self.invs[ident]
            self.out.throttle(ident, 0.0)
            return
        if pool is new:
            self.made.append(self.now)
        addr = self.pick(pool)
        tried.add(addr)
        self.open[addr] = self.open.get(addr, 0) + 1
        self.out.dispatch(ident, addr, deadline - self.now)

    def pick(self, pool):
        return pool[int(self.draw.integers(len(pool)))][0]

    def client_gone(self, ident):
        self.invs.pop(ident, None)

    def outcome(self, ident, seq, addr, status, took, closed, load):
        self.open[addr] = self.open.get(addr, 1) - 1
        if status not in (MOOT,) and addr in self.nodes:
            self.note(addr, status, took)
        inv = self.invs.get(ident)
        if closed or inv is None:
            self.invs.pop(ident, None)
        elif status in (FULL, UNCONNECTED) and inv[1] < 1:
            inv[1] += 1
            self.go(ident)
        else:
            del self.invs[ident]
            self.out.throttle(ident, 0.0) if status in (FULL, UNCONNECTED) else self.out.terminate(ident)

    def note(self, addr, status, took):
        self.seen.setdefault(self.nodes[addr][2], deque(maxlen=400)).append(status != SUCCEEDED)

    def verdict(self):
        return None


class Clock(Plain):
    """Random choice; moves a stage on after three seconds, whatever is seen."""

    def verdict(self):
        return PROMOTE if self.phase == TRIAL and self.now - self.since > 3000 else None


class LeastLoaded(Clock):
    """The node with the fewest of this proxy's own dispatches open; by the clock."""

    def pick(self, pool):
        least = min(self.open.get(e[0], 0) for e in pool)
        some = [e[0] for e in pool if self.open.get(e[0], 0) == least]
        return some[int(self.draw.integers(len(some)))]


class Outliers(Clock):
    """Round robin; a node with five failures on end is left out for ten seconds; by the clock."""

    def __init__(self, seed, site):
        super().__init__(seed, site)
        self.failed, self.out_until = {}, {}

    def note(self, addr, status, took):
        super().note(addr, status, took)
        bad = status in (ERROR, RESET, TIMEOUT, UNCONNECTED)
        self.failed[addr] = self.failed.get(addr, 0) + 1 if bad else 0
        if self.failed[addr] >= 5:
            self.failed[addr], self.out_until[addr] = 0, self.now + 10000

    def pick(self, pool):
        fit = [e for e in pool if self.out_until.get(e[0], 0.0) <= self.now] or pool
        self.ring += 1
        return fit[self.ring % len(fit)][0]


class Budget(LeastLoaded):
    """A fixed budget for repeats: a proxy cannot tell most of them apart, so what comes past 1.2 times the usual (the mean of
    the last minute's calm seconds) is taken for them and throttled."""

    def __init__(self, seed, site):
        super().__init__(seed, site)
        self.second, self.count, self.let_in, self.usual = 0, 0, 0, deque(maxlen=60)

    def invocation(self, ident, key, op, tenant, left):
        if int(self.now / 1000) != self.second:
            if self.count and (len(self.usual) < 5 or self.count < 1.5 * sum(self.usual) / len(self.usual)):
                self.usual.append(self.count)
            self.second, self.count, self.let_in = int(self.now / 1000), 0, 0
        self.count += 1
        if len(self.usual) >= 5 and self.let_in >= 1.2 * sum(self.usual) / len(self.usual):
            self.out.throttle(ident, 1000.0)
            return
        self.let_in += 1
        super().invocation(ident, key, op, tenant, left)


class Adaptive(LeastLoaded):
    """An adaptive concurrency limit a proxy: up by one for each limit's worth of answers in time, down by a tenth for a failure
    or an answer slower than three times the median of the last ones; past it throttled."""

    def __init__(self, seed, site):
        super().__init__(seed, site)
        self.limit, self.lately = 20.0, deque(maxlen=200)

    def invocation(self, ident, key, op, tenant, left):
        if len(self.invs) >= self.limit:
            self.out.throttle(ident, 1000.0)
            return
        super().invocation(ident, key, op, tenant, left)

    def note(self, addr, status, took):
        super().note(addr, status, took)
        if status == SUCCEEDED:
            self.lately.append(took)
            fine = took <= 3 * sorted(self.lately)[len(self.lately) // 2]
        else:
            fine = False
        self.limit = min(1000.0, self.limit + 1 / self.limit) if fine else max(1.0, 0.9 * self.limit)


class Canary(Plain):
    """Random choice; back when the new build fails more than the earlier by a fixed 5%, on after 20 outcomes."""

    def verdict(self):
        new = self.seen.get(self.ver, ())
        old = [x for ver, kept in self.seen.items() if ver < self.ver for x in kept]
        if len(new) < 20 or len(old) < 20:
            return None
        if sum(new) / len(new) > sum(old) / len(old) + 0.05:
            return ROLL_BACK
        return PROMOTE if self.phase == TRIAL and self.now - self.since > 3000 else None


POLICIES = {
    "module": None,
    "random": Plain,
    "clock": Clock,
    "least-loaded": LeastLoaded,
    "outliers": Outliers,
    "canary": Canary,
    "budget": Budget,
    "adaptive": Adaptive,
}
