"""Every decision of gannetfront: where an invocation goes, when it is given up, how a build is judged.

One Balancer a proxy. The carrier calls `round(now, events, out)`: each event is the name of a method below
and its fields; decisions go straight into `out`. Types and writer: interface.py.
"""

from bisect import bisect_right
from collections import Counter, deque
from itertools import accumulate
from math import exp, log, log2, sqrt
from statistics import NormalDist
from zlib import crc32

from .interface import (
    BACK,
    CANCELLED,
    ERROR,
    FINGERPRINTED,
    FULL,
    GONE,
    IDEMPOTENT,
    MOOT,
    ON,
    READY,
    RELEASED,
    RESET,
    SIDE_EFFECTING,
    SUCCEEDED,
    TIMEOUT,
    TRIAL,
    UNCONNECTED,
)

NEVER_RAN, BROKEN, WORDS = (FULL, UNCONNECTED, MOOT), (ERROR, RESET), {ON: "on", BACK: "back"}
TOLD = SUCCEEDED, ERROR, RESET, TIMEOUT
JUDGES = 3  # balancers that the others tell what they saw, where messages are allowed
GROUPS = 10  # the paper's R
LEAST = 20  # outcomes per build before any vote, by all who must agree together
# Slow has wider ones: a good build on a few slower machines, in a burst, went back at 0.15.
BACK_MARGIN, ON_MARGIN, SLOW_BACK, SLOW_ON = 0.03, 0.05, 0.25, 0.2
YOUTH = 5000.0  # a younger server's times are not its build's
LOADED = 0.25  # weight of the earlier machines beside a build that may have all
SETTLE = 3000.0  # after the newest start, before 'on'; at the last stage after that one is warm
MEMORY = 6000.0  # a server's own samples older than this say nothing of it now
COUNT = 4000.0  # over which traffic and answers in time are counted
SWEEP = 100.0


def come_back(longest, slo_time, draw):
    """When a throttled client is to try again: spread, lest all come at once; `longest` is what they heed."""
    return min(longest, slo_time / 2) * (0.3 + 0.7 * draw)


class Server:  # slots, and lists that begin empty: each of thousands of proxies holds all of a thousand
    __slots__ = "zone build kind cell state heft launched flying load recent sent since".split()

    def __init__(self, listed, unknown={}):
        _, self.zone, self.build, self.kind, self.cell, self.state, self.heft, self.launched = listed
        self.flying, self.load = {}, unknown  # (inv, seq) -> time sent
        self.recent = []  # last 16 of (time, time taken, went wrong)
        self.sent, self.since = [], self.launched  # last 200 dispatches while cold; last start

    def health(self, now, usual, failing=0.0):
        since, times, timed, bad, fresh = now - MEMORY, 0.0, 0, 0, 0
        for at, took, wrong in self.recent:
            if at > since:
                fresh, bad = fresh + 1, bad + wrong
                if took:
                    times, timed = times + took, timed + 1
        for sent in self.flying.values():  # oldest first
            if now - sent <= 2 * usual:
                break
            times, timed = times + now - sent, timed + 1
        return (2 * usual + times) / (2 + timed), (2 * failing + bad) / (2 + fresh)


class Pool:  # ready servers, of earlier builds or on trial, weighed once: a draw is a search
    def __init__(self, picks, weigh, zone):
        home = [p for p in picks if p[1].zone == zone]
        self.picks, self.draws = (
            picks,
            [
                (some, list(accumulate(weigh(some))))
                for some in (picks, home if len(home) < len(picks) else [])
                if some
            ],
        )
        self.size = self.draws[0][1][-1] if picks else 0.0
        self.part = self.draws[1][1][-1] / self.size if len(self.draws) > 1 else 1.0  # that is at home


class Window:  # what came within a span, counted as it comes and goes: a dispatch must not cost a recount
    def __init__(self, span, most=None):
        self.span, self.most, self.kept, self.counts = span, most, deque(), Counter()

    def add(self, now, what):
        if len(self.kept) == self.most:
            self.counts[self.kept.popleft()[1]] -= 1
        self.kept.append((now, what))
        self.counts[what] += 1

    def trim(self, now):
        while self.kept and self.kept[0][0] <= now - self.span:
            self.counts[self.kept.popleft()[1]] -= 1
        return self

    def forget(self, at, what):
        if (at, what) in self.kept:
            self.kept.remove((at, what))
            self.counts[what] -= 1


class Invocation:
    def __init__(self, op, tenant, key, taken, deadline):
        self.op, self.tenant, self.key, self.taken, self.deadline = op, tenant, key, taken, deadline
        self.tries = []  # [server id, zone, cell, time sent, status or None, build]


class Balancer:
    def __init__(self, seed, site):
        self.chance_state = seed & (2**64 - 1)
        r, self.ops, self.zone, self.tick = site.rollout, site.operations, site.zone, site.tick
        self.tenants, self.over_value = site.tenants, site.over_share_value
        self.may_cancel, self.may_duplicate, self.subscribe, self.retry_advice = (
            site.may_cancel,
            site.may_duplicate,
            site.must_subscribe,
            site.retry_advice,
        )
        self.cross_price, self.cold_share, self.warm_within, self.overload_for, self.dispatch_cap = (
            site.cross_zone_price,
            site.cold_share,
            site.warm_within,
            site.overload_for,
            site.dispatch_cap,
        )
        # Half of what it stands, but not less than the fair part of its ramp, which cold_room() grants.
        self.home, self.stand = self.zone if self.cross_price else None, max(1.0, site.fall_multiple / 2)
        # Dispatches are counted over slightly more than the exposure window, intake over slightly less.
        self.made_for, self.taken = r.window + 2 * site.tick, Window(r.window - 2 * site.tick)
        self.free, self.first_cap, self.guarded = r.free, r.caps[0], r.guarded
        self.by_operation, self.no_return = r.by_operation, r.no_return
        self.renew_after, self.answer_wait = 0.6 * r.vote_life, r.answer_wait + 50
        # Alpha is shared so that the false 'back' votes it takes come together one time in twenty (the lower
        # end of a Poisson's rate). The interval has tau = z2 * V: a factor times the square root of V.
        ops, ons, backs = len(self.ops), max(1, r.on_votes), max(1, r.back_votes)
        false = max(0.05, backs * (1 - 1 / (9 * backs) - 1.645 / (3 * sqrt(backs))) ** 3)
        alphas = [a / ops for a in (false / site.balancers, 0.05)]
        z2s = [NormalDist().inv_cdf(1 - a / 2) ** 2 for a in alphas]
        self.own_width, self.all_width = (
            sqrt((1 + z2) / z2 * (-2 * log(a) + log(1 + z2))) for a, z2 in zip(alphas, z2s)
        )
        # The least sample grows with the share of machines that an 'on' would hand over; of tallies, which
        # are few and late, with the share of traffic that the present stage gets.
        shares = *r.machine_shares[1:], 1.0
        self.need = (
            [2 * LEAST * share / ons for share in shares],
            [2 * LEAST * share / (1 + share) / ons for share in r.machine_shares],
        )
        self.spare = [1 - share for share in shares]
        self.judging, self.untold, self.told_at = site.may_signal and site.me < JUDGES, b"", 0.0
        self.least, self.many_backs = LEAST / backs, backs > 1
        self.votes_on = r.on_votes > 0 and not r.timed and self.judging >= site.may_signal
        self.quiet_after = SETTLE * (1 + 4 / ons) if ons > 1 else 1e18
        self.much = LEAST * site.balancers / 2  # of one among many, whose own bad luck proves nothing
        # Where one of hundreds is enough, few cast 'on': a flood would crowd out the 'back' that counts.
        self.vote_chance = 1.0 if self.judging else min(1.0, 5 * ons / site.balancers)
        self.tell = [str(j) for j in range(min(JUDGES, site.balancers)) if site.may_signal and j != site.me]
        self.slo_mean = sum(o.slo_time for o in self.ops) / ops
        # As many as would push a cold server of one slot over by sending it one dispatch each.
        self.many = site.balancers * 0.15 * self.slo_mean > self.stand * self.cold_share * self.overload_for
        self.servers, self.invs, self.pools = {}, {}, (Pool([], None, 0),) * 2
        self.ver, self.stage, self.cap, self.phase, self.told = None, 0, 0.0, None, False
        # build -> operations dispatched there, as those taken; key -> build that answered it
        self.at_trial, self.answered = {}, {}
        self.arrivals, self.answers, self.good = Window(COUNT, 1000), deque(maxlen=1000), deque(maxlen=1000)
        self.times, self.typical, self.zones = deque(maxlen=64), None, {}
        self.means = [deque(maxlen=6) for _ in self.ops]  # (time, mean time taken) by operation
        self.seen, self.tallied = {}, {}  # (build, operation) -> deque of (time, group, status, time taken)
        self.proof, self.proof_due, self.voted = None, False, None
        self.started = {}  # build -> start of its newest ready server
        self.weigh_at, self.woken, self.cut_at = 0.0, -1.0, -1e9
        self.sweep_at = self.eased_at = self.vote_at = self.vote_due = self.staged_at = 0.0
        self.rate = self.good_before = self.released_at = 0.0
        self.heft, self.trial_share, self.earliest, self.limit, self.room = 0.0, 0.0, 0, 1e9, 1.0
        self.zone_count, self.loaded = 1, False

    def round(self, now, events, out):
        self.now, self.out = now, out
        for name, *fields in events:
            getattr(self, name)(*fields)
        if now >= self.sweep_at:
            self.sweep()
            self.sweep_at = now + SWEEP
        # One proxy of hundreds is mostly idle: it wakes for what is open or for a vote that is due.
        wake = self.sweep_at if self.invs else max(self.sweep_at, self.vote_due)
        if (self.invs or self.seen) and not now < self.woken <= wake:
            self.woken = wake
            out.timer(wake, "sweep")

    def chance(self):
        self.chance_state = (self.chance_state * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.chance_state >> 33) / 2**31

    # ---- what is told ----

    def listed(self, kind, entries):
        if kind in ("failed", "kept") and self.subscribe:
            self.out.subscribe(True)
        if kind == "failed":
            return
        for entry in entries:
            old, new = self.servers.get(entry[0]), Server(entry)
            self.servers[entry[0]] = new
            if old:
                new.flying = old.flying
                if (old.build, old.launched) == (new.build, new.launched):
                    new.recent, new.sent, new.load, new.since = old.recent, old.sent, old.load, old.since
            if new.state == READY:
                self.started[new.build] = max(self.started.get(new.build, new.launched), new.launched)
        if kind != "changes":
            for addr in self.servers.keys() - {entry[0] for entry in entries}:
                self.servers[addr].state = GONE  # a full list that leaves a server out has told of its end
        self.weigh_at = 0.0  # when first needed: most news reach proxies that have nothing to send

    def stage_told(self, answer, stage, since, cap, status, ver, phase):
        if answer and status != SUCCEEDED:
            # moot: the news that explains it is on its way; full, error, timeout: ask again soon, not in step
            self.voted, self.vote_due = None, self.now + 150 + 300 * self.chance()
            return
        if answer and self.voted:
            self.vote_due = max(self.vote_due, self.vote_at + self.renew_after)
        if (phase, self.phase, ver) == (RELEASED, TRIAL, self.ver):
            self.released_at, self.good_before = self.now, sum(1 for t in self.good if t > self.now - COUNT)
        if (ver, stage, phase) != (self.ver, self.stage, self.phase):
            self.vote_due = self.staged_at = self.now
        if ver != self.ver:
            # The last two builds are what this one is judged against: numbers may jump, a long day has more.
            last = sorted({b for b, _ in (*self.seen, *self.tallied) if b < ver})[-2:]
            self.untold, (self.seen, self.tallied) = (
                b"",
                (
                    {k: v for k, v in some.items() if k[0] >= ver or k[0] in last}
                    for some in (self.seen, self.tallied)
                ),
            )
        self.ver, self.stage, self.cap, self.phase, self.told = ver, stage, cap, phase, True
        self.weigh_at = 0.0

    def tenants_listed(self, tenants):
        """Portions by number, as the directory has them now; a number stays with its tenant or group."""
        self.tenants = tenants

    begun = timer = probed = lambda self, *fields: None

    def tally(self, attempts, since, bad, took, op, build):
        """The same sample at all balancers, a group a period; a mean time stands for exponential ones."""
        end = self.now - since
        young = self.on_trial(build) and end - self.started.get(build, -1e9) < YOUTH
        if attempts > bad:
            self.means[op].append((self.now, took))
        unit = (end, int(end / 1000) % GROUPS)
        self.tallied.setdefault((build, op), deque(maxlen=400)).extend(
            [(*unit, ERROR, None)] * bad + [(*unit, None, None if young else took)] * (attempts - bad)
        )
        self.proof_due = self.proof_due or build == self.ver

    def peer(self, sender, payload):
        ver, size = int.from_bytes(payload[:2], "big"), len(payload)
        for what, op, took in zip(payload[2:size:3], payload[3:size:3], payload[4:size:3]):
            self.keep(ver - 1 + (what & 1), op, what >> 4, TOLD[what >> 1 & 3], 2 ** (took / 16) * (took > 0))

    def contested(self, since, op, addr):
        if addr in self.servers:  # a wrong answer that looked like any other
            self.note(addr, self.servers[addr], op, self.now, ERROR, None)

    # ---- routing: proposals only ----

    def on_trial(self, build):
        newest = self.told and build == self.ver and self.phase != RELEASED
        return newest or build > (self.ver if self.told else self.earliest)

    def cold(self, server):
        return server.since and self.now - server.since < self.warm_within

    def ramp(self, server):
        age = self.now - server.since if server.since else self.warm_within
        return min(1.0, self.cold_share + (1 - self.cold_share) * max(0.0, age) / max(1.0, self.warm_within))

    def sort_pools(self):
        if self.now < self.weigh_at:
            return
        self.earliest = min((s.build for s in self.servers.values()), default=0)
        ready = [p for p in self.servers.items() if p[1].state == READY]
        trial = {build: self.on_trial(build) for build in {s.build for _, s in ready}}
        self.pools = old, new = [
            Pool([p for p in ready if trial[p[1].build] == part], self.weigh, self.home)
            for part in (False, True)
        ]
        self.heft, self.zone_count = sum(s.heft for _, s in ready) or 1.0, len({s.zone for _, s in ready})
        # At the last stage, where it may have all, a build gets most before its release: one that fails only
        # when loaded would else show it once nothing is left to go to.
        self.loaded = self.phase == TRIAL and self.cap >= 1 and self.stage >= len(self.spare) - 1
        spared = LOADED if self.loaded else 1.0
        # Its warm servers alone, each with no more than once all of it is up: the cold keep to their ramp.
        warm, size = sum(s.heft for _, s in new.picks if not self.cold(s)), old.size + new.size or 1.0
        more = min(size / (spared * old.size + new.size or 1.0), 2 / (1 + spared)) - 1
        self.trial_share = (new.size + more * warm) / size
        # Where most of what may be used is cold, what all ask for is too much for it: only such a part goes
        # there as would were all that is ready warm, times half of what a cold server stands. Against
        # hundreds of proxies none of which sends it more than one.
        self.room = self.stand * (old.size + (new.size if self.cap > 0 else 0.0)) / self.heft
        self.weigh_at = self.now + 4 * SWEEP if any(self.cold(s) for _, s in ready) else 1e18

    def weigh(self, some):
        return [s.heft * (self.ramp(s) if s.since else 1.0) for _, s in some]

    def loss(self, server, op):
        """Expected share of worth lost there: failing, late, crossing at half price, as it relieves home."""
        usual = self.typical or 0.15 * op.slo_time
        pace, fail = server.health(self.now, *self.zones.get(server.zone, (usual, 0.0)))
        pace += usual * (0.4 * len(server.flying) + 0.33 * server.load.get("queue", 0.0))
        late = exp(-op.slo_time / pace)
        crossing = 0.5 * self.cross_price * (server.zone != self.zone)
        return fail + (1 - fail) * late + 0.05 * pace / op.slo_time + crossing

    def stuck(self, op):
        """One operation waits at every server, in the places of the others, which do not: all but a trickle
        is throttled. It hurts an operation that really takes so much longer than the rest. By the middle of
        the last few: a mean would take one dispatch that fell silent for all servers."""
        took = [sorted(t for at, t in means if at > self.now - 2 * MEMORY) for means in self.means]
        usual = [x[len(x) // 2] if len(x) > 2 else 1e18 for x in took]
        return 1e18 > usual[op] > min(usual) + 0.6 * self.ops[op].slo_time

    def choose(self, pool, op, inv):
        """Two random choices by size, two more from home where crossing is priced; all if none will do, but
        for a cold one: as yet without a fault, it would be the best of all for hundreds at once."""
        fits = lambda p: all(p[0] != t[0] for t in inv.tries) and self.admits(inv, p[1])
        at = lambda steps: min(bisect_right(steps, self.chance() * steps[-1]), len(steps) - 1)
        draw = lambda draws: [some[at(steps)] for some, steps in draws for _ in (0, 1)]
        picks, room = [p for p in draw(pool.draws) if fits(p)], self.room
        if not picks:
            rest = Pool([p for p in pool.picks if fits(p)], self.weigh, self.home)
            picks, room = rest.picks, min(room, self.stand * rest.size / self.heft)
            if picks and self.cold(min(picks, key=lambda p: self.loss(p[1], op))[1]):
                picks = draw(rest.draws)
            pool = rest
        # Those of a zone that has just come back meet all that is asked for at home before the others are up.
        room *= min(1.0, pool.part * self.zone_count)
        if self.many and room < 1 and any(self.cold(s) for _, s in picks) and self.chance() > room:
            warm = lambda some: [p for p in some if not self.cold(p[1])]
            rest = () if warm(picks) else [p for p in warm(pool.picks) if fits(p)]
            picks = warm(picks) or draw(Pool(rest, self.weigh, self.home).draws)
        return min(picks, key=lambda p: self.loss(p[1], op)) if picks else None

    def invocation(self, ident, key, op, tenant, left):
        self.sort_pools()
        inv = self.invs[ident] = Invocation(op, tenant, key, self.now, self.now + left)
        self.taken.add(self.now, op)
        self.arrivals.add(self.now, (op, tenant))
        # A tenth of an operation that is held off goes on, to see when it is well again.
        held_off = self.crowded(inv) or self.stuck(op) and self.chance() > 0.1
        if held_off or not self.propose(ident, inv, self.chance() < self.trial_share):
            self.give_up(ident, inv)

    def propose(self, ident, inv, trial):
        for pool in (self.pools[::-1] if trial else self.pools) if self.may_go(inv) else ():
            pick = self.choose(pool, self.ops[inv.op], inv)
            if pick:
                return self.send(ident, inv, *pick)
        return False

    # ---- the rule ledgers ----

    def may_go(self, inv):
        op, ran = self.ops[inv.op], [t for t in inv.tries if t[4] not in NEVER_RAN]
        return (
            len(inv.tries) < self.dispatch_cap
            and inv.deadline - self.now >= self.tick
            and not (ran and op.effect == SIDE_EFFECTING)
            and (self.may_duplicate or all(t[4] is not None for t in ran))
            and (
                op.effect != FINGERPRINTED
                or not ran
                or self.now < min(t[3] for t in ran) + op.window - 2 * self.tick
            )
        )

    def admits(self, inv, server):
        op = self.ops[inv.op]
        at, home = (1, server.zone) if op.group == "zone" else (2, server.cell)
        # Servers that stopped answering still take in: what piles up there they work through when they go on,
        # for clients long gone. One dispatch at a time until one is answered.
        silent = (
            server.flying
            and len(server.recent) > 2
            and all(wrong and took for _, took, wrong in server.recent[-3:])
        )
        if (
            server.state != READY
            or silent
            or (
                op.effect == FINGERPRINTED
                and op.group != "all"
                and any(t[at] != home for t in inv.tries if t[4] not in NEVER_RAN)
            )
        ):
            return False
        if self.on_trial(server.build):
            return self.exposed(server.build, inv.op) and self.cold_room(server)
        kept = self.no_return and self.phase in (TRIAL, RELEASED) and inv.key is not None
        return not (kept and self.answered.get(inv.key, -1) > server.build) and self.cold_room(server)

    def exposed(self, build, op):
        stage, cap = (self.stage, self.cap) if self.told and build == self.ver else (0, self.first_cap)
        if cap <= 0 or (stage < self.guarded and self.ops[op].effect != IDEMPOTENT):
            return False
        made, took = self.at_trial.get(build), self.taken.trim(self.now)
        count = lambda kept: kept.counts[op] if self.by_operation else len(kept.kept)
        return (count(made.trim(self.now)) if made else 0) + 1 <= self.free + cap * count(took)

    def cold_room(self, server):
        """A cold server falls to what all proxies send together: each keeps to its fair part of its ramp."""
        if not self.cold(server):
            return True
        fair = self.rate * server.heft / self.heft * self.ramp(server)
        lately = sum(t > self.now - self.overload_for for t in server.sent)
        return lately + 1 <= max(1.0, fair * self.overload_for)

    def send(self, ident, inv, addr, server):
        """The only way out: whatever proposes a dispatch, the ledgers above decide here."""
        op = self.ops[inv.op]
        if not (self.may_go(inv) and self.admits(inv, server)):
            return False
        inv.tries.append([addr, server.zone, server.cell, self.now, None, server.build])
        self.enter(ident, len(inv.tries) - 1, inv, server)
        # An answer past the SLO time that earns nothing is not worth a server's work.
        end = inv.deadline if op.late_value else min(inv.deadline, inv.taken + op.slo_time)
        self.out.dispatch(ident, addr, max(self.tick, end - self.now))
        return True

    def enter(self, ident, seq, inv, server):
        server.flying[ident, seq] = self.now
        if self.cold(server):
            server.sent = server.sent[-199:] + [self.now]
        if self.on_trial(server.build):
            self.at_trial.setdefault(server.build, Window(self.made_for)).add(self.now, inv.op)

    def stands(self, now, ident, seq):
        """Asked between rounds, before the first byte of a dispatch that waited for a disk or a connection:
        would it be sent now? If so the ledgers count it from now; if not it never ran."""
        inv = self.invs.get(ident)
        tried = inv.tries[seq] if inv else None
        server = self.servers[tried[0]] if inv else None
        if not inv or server.build != tried[5]:
            return False
        self.now, before = now, tried[3]
        # As though it had not been sent: what was let go together by one disk must not meet a window as one.
        server.flying.pop((ident, seq), None)
        if before in server.sent:
            server.sent.remove(before)
        if server.build in self.at_trial:
            self.at_trial[server.build].forget(before, inv.op)
        tries, inv.tries = inv.tries, inv.tries[:seq] + inv.tries[seq + 1 :]
        fine, inv.tries = self.may_go(inv) and self.admits(inv, server), tries
        if fine:
            tried[3] = now
            self.enter(ident, seq, inv, server)
        return fine

    def give_up(self, ident, inv):
        """Answered at once, never held: throttled where trying again is harmless, else terminated."""
        op, ran = self.ops[inv.op], any(t[4] not in NEVER_RAN for t in inv.tries)
        if not ran or op.effect == IDEMPOTENT or (op.effect == FINGERPRINTED and op.group == "all"):
            self.out.throttle(ident, come_back(self.retry_advice, op.slo_time, self.chance()))
        else:
            self.out.terminate(ident)
        self.client_gone(ident)

    def client_gone(self, ident):
        inv = self.invs.pop(ident, None)
        for seq, tried in enumerate(inv.tries if inv and self.may_cancel else ()):
            if tried[4] is None:
                self.out.cancel(ident, seq)

    def outcome(self, ident, seq, addr, status, time_taken, closed, load):
        server, inv = self.servers[addr], self.invs.get(ident)  # a server once listed stays known
        sent, server.load = server.flying.pop((ident, seq), None), load or server.load
        if inv is None:
            return
        self.sort_pools()
        tried, op = inv.tries[seq], self.ops[inv.op]
        tried[4] = status
        if server.build == tried[5] and sent is not None and status not in (MOOT, CANCELLED):
            # A failure that comes at once is not quick: it must not draw more to where it came from.
            if status == UNCONNECTED:  # its process is gone; what answers there next is cold
                server.since, self.weigh_at = self.now, min(self.weigh_at, self.now + 4 * SWEEP)
            took = time_taken if status in (SUCCEEDED, TIMEOUT) else None
            server.recent = server.recent[-15:] + [(self.now, took, status != SUCCEEDED)]
            self.times.append((self.now, took, server.zone, status != SUCCEEDED))
            if status in (SUCCEEDED, TIMEOUT):
                self.means[inv.op].append((self.now, time_taken))
                self.answers.append((tried[3], time_taken / op.slo_time))
                if status == SUCCEEDED and time_taken <= op.slo_time:
                    self.good.append(self.now)
            if status in (SUCCEEDED, *BROKEN) or (status == TIMEOUT and time_taken > 0.9 * op.slo_time):
                # A young server is slow whatever it runs: its times say nothing, its errors do.
                young = server.launched and self.now - server.launched < YOUTH
                self.note(addr, server, inv.op, inv.key or ident, status, None if young else time_taken)
        if status == SUCCEEDED and self.no_return:
            self.answered[inv.key] = max(self.answered.get(inv.key, 0), tried[5])
        if closed:
            self.client_gone(ident)
        elif all(t[4] is not None for t in inv.tries):
            spent = not op.late_value and self.now >= inv.taken + 0.9 * op.slo_time
            if spent or not self.propose(ident, inv, False):
                self.give_up(ident, inv)

    def note(self, addr, server, op, unit, status, took):
        group, new = crc32(f"{addr}{unit}".encode()) % GROUPS, server.build == self.ver
        self.keep(server.build, op, group, status, took)
        # Judges pool what hundreds saw, none of whom can prove a thing; of the earlier build's, a part.
        if self.tell and self.phase in (TRIAL, RELEASED) and (new or self.chance() < 4 * self.trial_share):
            size = min(255, round(16 * log2(max(1.1, took or 1))))
            self.untold += bytes((group << 4 | TOLD.index(status) << 1 | new, op, size * (took is not None)))

    def keep(self, build, op, group, status, took):
        self.seen.setdefault((build, op), deque(maxlen=800)).append((self.now, group, status, took))
        self.proof_due = self.proof_due or build == self.ver

    def sweep(self):
        for kept in (self.taken, *self.at_trial.values(), self.arrivals):
            kept.trim(self.now)
        while self.answers and self.answers[0][0] < self.now - 4 * self.slo_mean:
            self.answers.popleft()
        span = self.now - self.arrivals.kept[0][0] if self.arrivals.kept else 0.0
        self.rate = len(self.arrivals.kept) / max(span, 1000.0)
        if self.invs:
            self.sort_pools()
        for ident in [i for i, inv in self.invs.items() if self.now >= inv.deadline]:
            self.invs.pop(ident)
            self.out.terminate(ident)
        fresh = sorted(x[1] for x in self.times if x[1] and x[0] > self.now - MEMORY)
        if len(fresh) >= 3:
            # A mean from the middle of a skewed time: a few sick servers do not move it.
            usual = self.typical = 1.4 * fresh[len(fresh) // 2]
            # A proxy that meets a server once a minute knows more of its zone: a jam, a slow link.
            for zone in {x[2] for x in self.times}:
                of = [x for x in self.times if x[2] == zone and x[0] > self.now - 2 * MEMORY]
                took = [usual] * 3 + [x[1] for x in of if x[1]]
                self.zones[zone] = sum(took) / len(took), sum(x[3] for x in of) / (3 + len(of))
        self.rescue(self.typical or 0.15 * self.slo_mean)
        self.pressure()
        if self.untold and (self.now > self.told_at or len(self.untold) > 200):
            for judge in self.tell:
                self.out.signal(judge, self.ver.to_bytes(2, "big") + self.untold[:252])
            self.untold, self.told_at = b"", self.now + 5 * SWEEP
        self.judge()

    def rescue(self, guess):
        """An attempt stuck at a sick or silent server is copied or, where two may not run, moved."""
        for ident, inv in list(self.invs.items()) if len(self.invs) <= 0.6 * self.limit else ():
            op, (addr, _, _, sent, status, _) = self.ops[inv.op], inv.tries[0]
            age = self.now - sent
            if (
                op.effect == SIDE_EFFECTING
                or len(inv.tries) > 1
                or status
                or not 0.3 * op.slo_time <= age <= op.slo_time
            ):
                continue
            pace, fail = self.servers[addr].health(self.now, guess)
            suspect = pace > 2.5 * guess or fail > 0.4
            if self.may_duplicate and (suspect or age > 0.5 * op.slo_time):
                self.propose(ident, inv, False)
            elif suspect and self.may_cancel and not self.may_duplicate:
                self.out.cancel(ident, 0)

    def pressure(self):
        """Against queues at all servers: a bound on open invocations shrinks while one answer in five (of a
        few, one in three) takes most of its SLO time. It hurts where load does not move what is late."""
        if not self.invs:
            return
        for few in (False, True):
            since = max(self.now - (4 if few else 2) * self.slo_mean, self.cut_at)
            fresh = [x for t, x in self.answers if t > since]
            if len(fresh) >= 8:
                break
        fresh = (fresh[-8:] if few else fresh) + [
            2.0 for inv in self.invs.values() if since < inv.taken < self.now - self.ops[inv.op].slo_time
        ]
        slow = sum(1 for x in fresh if x > 0.8)
        if len(fresh) >= 4 and slow > (0.35 if few else 0.2) * len(fresh):
            # Where nobody answers in time at all, what goes out piles up for when they go on: one at a time.
            least, part = (1.0, 0.5) if slow == len(fresh) else (4.0, 0.8)
            floor = min(least, 0.25 * self.rate * self.slo_mean)  # below one: by chance
            self.limit, self.cut_at = max(floor, part * min(self.limit, len(self.invs) + 1 + few)), self.now
        elif len(self.invs) + 1 > 0.5 * self.limit and slow < len(fresh):
            # By what is answered in half its time too, as a sender's window grows: a hundredth a sweep alone
            # leaves a fleet half idle for long after a cut.
            quick = sum(1 for x in fresh if x < 0.5) * SWEEP / max(SWEEP, self.now - since)
            self.limit = self.limit * 1.01 + 0.05 + min(0.1 * self.limit, quick / self.limit)
        if few and (slow < len(fresh) or not fresh):  # late answers alone are no reason to ease
            self.limit *= 1.01 ** min(10, (self.now - self.eased_at) / SWEEP)
        self.eased_at = self.now

    def crowded(self, inv):
        if len(self.invs) + 1 <= 0.6 * self.limit:
            return False  # the least worth gives way first: it may fill only so much of the limit
        came, seen, count = self.arrivals.counts, len(self.arrivals.kept), Counter()
        for (_, tenant), n in came.items():
            count[tenant] += n
        over = {t for t, (part, _) in enumerate(self.tenants) if count[t] > 1.3 * seen * part}
        worth = lambda op, tenant: self.ops[op].billed_value * (self.over_value if tenant in over else 1.0)
        mine = worth(inv.op, inv.tenant)
        below = sum(n for pair, n in came.items() if worth(*pair) < mine) / seen
        return len(self.invs) + self.chance() * (self.limit < 4) > self.limit * (0.6 + 0.4 * below)

    def spread(self, kept, usual=None):
        """Weight, mean and delete-a-group jackknife variance of (group, bad, weight) outcomes."""
        size, bads = [0.0] * GROUPS, [0.0] * GROUPS
        for group, bad, w in kept:
            size[group] += w
            bads[group] += w * bad
        n, x = sum(size), sum(bads)
        mean = x / n
        jack = (
            (GROUPS - 1)
            / GROUPS
            * sum(((x - b) / (n - m) - mean) ** 2 for m, b in zip(size, bads) if n - m > 1e-9)
        )
        # Without failures, or with few filled groups, the jackknife vanishes: never less than a binomial's
        # with a failure and a success added, or with the usual share where a few outcomes must speak.
        real = n * n / sum(w * w for _, _, w in kept)
        guess = (mean * real + 1) / (real + 2) if usual is None else usual
        return real, mean, max(jack if real >= LEAST or usual is None else 0.0, guess * (1 - guess) / real)

    def compare(self, new, old, usual=None):
        """New outcomes, difference (one bad outcome forgiven), lower end of the interval, standard error."""
        if not new or not old:
            return len(new), 0.0, -1.0, 0.0
        (n, mean, v), (m, base, w) = self.spread(new, usual), self.spread(old, usual)
        proof = n >= (LEAST if usual is None else self.least) <= m
        low = mean - base - self.width * sqrt(v + w) if proof else -1.0
        return n, mean - base - (0.0 if self.many_backs else 1 / n), low, sqrt(v + w)

    def evidence(self):
        """Per operation: failed or late, slower than four fifths of the earlier answers, errors, failed."""
        rows = [], [], [], []
        # The larger sample judges the trial: the platform's tallies, or what this balancer saw.
        mine, told = (
            sum(len(kept) for (b, _), kept in source.items() if b == self.ver)
            for source in (self.seen, self.tallied)
        )
        ops, pooled = range(len(self.ops)), self.phase == TRIAL and told > mine
        source = self.tallied if pooled else self.seen
        self.width = self.all_width if pooled or self.judging else self.own_width
        earlier = lambda source, op: [
            k for (b, o), kept in source.items() if o == op and b < self.ver for k in kept
        ]
        known = [k[2] == ERROR for op in ops for k in earlier(self.seen, op)]
        usual = (sum(known) + 1) / (len(known) + 2) if self.many_backs else None
        late = lambda k, than: (exp(-than / k[3]) if pooled else k[3] > than) if k[3] else 0.0
        pair = lambda mark, two, *usual: self.compare(
            *([(k[1], mark(k), k[4]) for k in kept] for kept in two), *usual
        )
        for op in ops:
            # Against bursts and slowdowns of all servers at once: the earlier build's outcomes weigh as much
            # in each two seconds as the new one's do there; what has no counterpart is left out.
            new, old = source.get((self.ver, op), ()), earlier(source, op)
            news, olds = (Counter(k[0] // 2000 for k in kept) for kept in (new, old))
            both = (
                [(*k, 1) for k in new if k[0] // 2000 in olds],
                [(*k, news[k[0] // 2000] / olds[k[0] // 2000]) for k in old if k[0] // 2000 in news],
            )
            times = sorted(k[3] for k in both[1] if k[3])
            mark = times[int(0.8 * len(times))] if times else 0.0
            mark = 1.6 * sum(times) / len(times) if pooled and times else mark  # of exponential times
            slo = 0.9 * self.ops[op].slo_time
            rows[0].append(pair(lambda k: 1.0 if k[2] in BROKEN else late(k, slo), both))
            fair = ([], []) if self.loaded and self.stage else both  # under more load any is slower
            rows[1].append(pair(lambda k: late(k, mark), [[k for k in kept if k[3]] for kept in fair]))
            # Not resets, which a broken link brings any build; since the stage began, lest idle ones hide it.
            own = [(*k, 1) for k in self.seen.get((self.ver, op), ()) if k[0] > self.staged_at]
            old = [(*k, 1) for k in earlier(self.seen, op)]
            # And of the last seconds alone: a release told late leaves idle ones of the trial in the count.
            last = [k for k in own if k[0] > self.now - MEMORY]
            rows[2].append(
                max(
                    (pair(lambda k: k[2] == ERROR, (some, old), usual) for some in (own, last)),
                    key=lambda row: row[2],
                )
            )
            rows[3].append(pair(lambda k: k[2] in BROKEN, both))
        return pooled, *rows

    def collapsed(self):
        """After the release there is only before to compare with: two counts on end under two fifths of the
        answers in time, most of what is asked unanswered; deeper than the slowdowns of all servers seen."""
        if self.phase != RELEASED or self.now < self.released_at + 3 * COUNT or self.good_before < self.much:
            return False
        first, last = (sum(a < t - self.now <= a + COUNT for t in self.good) for a in (-2 * COUNT, -COUNT))
        return max(first, last) < 0.4 * self.good_before and last < 0.3 * len(self.arrivals.kept)

    def judge(self):
        if self.now < self.vote_due or self.phase not in (TRIAL, RELEASED):
            return
        if self.proof_due or not self.proof or self.now > self.proof[0] + 1000:
            self.proof, self.proof_due = (self.now, *self.evidence()), False
        _, pooled, wrong, slow, hard, failed = self.proof
        verdict, newest = None, self.started.get(self.ver, self.now) + self.loaded * self.warm_within
        step = min(self.stage, len(self.spare) - 1)  # against news of more stages than the settings had
        proven = lambda rows, margin: any(row[2] > margin for row in rows)
        # After a release the last answers of draining machines are no fair sample to be late or slow by.
        if (
            self.phase == TRIAL
            and (proven(wrong, BACK_MARGIN) or proven(slow, SLOW_BACK))
            or proven(hard, BACK_MARGIN)
            or self.collapsed()
        ):
            verdict = BACK
        elif self.phase == TRIAL and self.votes_on:
            quiet, seen = self.now >= newest + self.quiet_after, sum(row[0] for row in wrong)
            # Late and slow answers of a burst are forgiven by their error, the less the more is handed over;
            # one failure in all, not one an operation: against builds that fail a little of each.
            excess = sum(n * d + (not self.many_backs) for n, d, _, error in failed if error) - 1
            fine = excess < ON_MARGIN * seen and all(
                d - part * error < most
                for part, most, rows in (
                    (0, ON_MARGIN, failed),
                    (self.spare[step], ON_MARGIN, wrong),
                    (self.spare[step], SLOW_ON, slow),
                )
                for _, d, _, error in rows
            )
            if (quiet or seen >= self.need[pooled][step]) and fine and self.now >= newest + SETTLE:
                self.sort_pools()
                verdict = ON if self.pools[1].picks and self.chance() < self.vote_chance else None
        self.vote_due = self.now + (2 if self.invs else 10) * SWEEP
        if verdict:
            if (verdict, self.ver, self.stage) != self.voted:  # first: the vote carries what it rests on
                seen = " ".join(f"{n:.0f}/{d:.2f}/{low:.2f}" for n, d, low, _ in wrong + slow + hard)
                self.out.log(f"{WORDS[verdict]} build {self.ver} stage {self.stage}: {seen}")
            self.out.vote(self.stage, self.ver, verdict)
            self.voted, self.vote_at = (verdict, self.ver, self.stage), self.now
            self.vote_due = self.now + self.answer_wait
