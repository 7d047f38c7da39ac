"""The five rules, judged from what clients, nodes and the controller recorded at their sockets. No I/O.

Nothing here is a proxy's own word. Times are of one clock. A dispatch is seen when it reaches a node, a little after
it was sent; `slack` (ms) is what that way may take, and every rule gives it to the proxy: what is called a breach is
one however the way went. Each `rule_*` yields (breach, story) and counts what it looked at in `checked`.
"""

from bisect import bisect_left, bisect_right
from collections import defaultdict

from ..records import CLIENT_LATE

LOOK = 20.0  # ms that a witness's look at who waits for a core goes back
NEAR = 1000.0  # ms before a dispatch came in which a hold-up may have made it late: not any since the news of the drain
RAN = (
    "ok",
    "error",
    "lost",
    "running",
    "cancelled",
)  # outcomes of a dispatch that its node had begun or may have


class Judge:
    def __init__(self, fleet, tries, dispatches, nodes, told, events, grace=20.0, slack=60.0):
        """`fleet` is a checked Fleet; the others lists of dicts as records.TABLES names their columns."""
        self.fleet, self.grace, self.slack = fleet, grace, slack
        self.tries, self.dispatches = tries, sorted(dispatches, key=lambda d: d["came"])
        self.nodes, self.events = sorted(nodes, key=lambda n: n["at"]), events
        self.ops = {o.name: o for o in fleet.operation}
        self.by_request = defaultdict(list)
        for d in self.dispatches:
            self.by_request[d["request"]].append(d)
        self.lives = defaultdict(list)  # proxy -> times at which it was started or killed
        for e in sorted(events, key=lambda e: e["at"]):
            if e["what"] in ("proxy killed", "proxy started", "proxy stopped"):
                self.lives[e["who"]].append((e["at"], e["what"]))
        self.checked = dict.fromkeys("answered effects drains cold exposure".split(), 0)
        # A process that a script stopped: it can neither hear nor answer until it goes on.
        self.stalls = defaultdict(list)
        for e in sorted(events, key=lambda e: e["at"]):
            if e["what"] == "stalled":
                self.stalls[e["who"]].append((e["at"], float("inf")))
            elif e["what"] == "continued" and self.stalls[e["who"]]:
                self.stalls[e["who"]][-1] = self.stalls[e["who"]][-1][0], e["at"]
        self.told = (
            [
                dict(
                    row,
                    at=next(
                        (
                            end
                            for begin, end in self.stalls.get(row["proxy"], ())
                            if begin - slack <= row["at"] < end
                        ),
                        row["at"],
                    ),
                )
                for row in told
            ]
            if self.stalls
            else told
        )
        self.kept_from = defaultdict(list)  # process -> (looked at from, ms that it waited for a core)
        for e in events:
            if e["what"] == "kept from running":
                self.kept_from[e["who"]].append((e["at"], float(e["detail"])))
        # When the machine itself stood still, by processes that do nothing but look: (begin, end), in order, apart.
        self.held_up, self.not_judged = [], {}
        late_clients = sum(e["what"] == CLIENT_LATE for e in events)
        if late_clients:
            self.not_judged["answered"] = (
                late_clients  # never sent: no proxy owes an answer, and the day was not asked in full
            )
        for e in sorted((e for e in events if e["what"] == "machine held up"), key=lambda e: e["at"]):
            begin, end = e["at"], e["at"] + float(e["detail"])
            if self.held_up and begin <= self.held_up[-1][1]:
                self.held_up[-1] = self.held_up[-1][0], max(end, self.held_up[-1][1])
            else:
                self.held_up.append((begin, end))

    def verdict(self):
        """{rule: (checked, [story, ...])} in the order of the rules."""
        rules = (
            ("answered", self.rule_answered),
            ("effects", self.rule_effects),
            ("drains", self.rule_drains),
            ("cold", self.rule_cold),
            ("exposure", self.rule_exposure),
        )
        found = {name: list(rule()) for name, rule in rules}
        return {name: (self.checked[name], stories) for name, stories in found.items()}

    def excused(self, rule, begin, end, over, *names):
        """True where the machine stood still for as long between `begin` and `end` as something came too late, or kept the
        processes named from running: then it says nothing of the program, and is counted as not judged."""
        still = sum(max(0.0, min(end, until) - max(begin, since)) for since, until in self.held_up)
        still += sum(ms for name in names for at, ms in self.kept_from[name] if begin - LOOK <= at <= end)
        if still < over:
            return False
        self.not_judged[rule] = self.not_judged.get(rule, 0) + 1
        return True

    def stalled(self, proxy, begin, end):
        """ms of that time for which a script had the proxy stopped."""
        return sum(
            max(0.0, min(end, until) - max(begin, since)) for since, until in self.stalls.get(str(proxy), ())
        )

    def died_within(self, proxy, begin, end):
        return any(
            begin - self.slack <= at <= end + self.slack and what != "proxy started"
            for at, what in self.lives.get(str(proxy), ())
        )

    def down_at(self, proxy, at):
        last = [what for t, what in self.lives.get(str(proxy), ()) if t <= at + self.slack]
        return bool(last) and last[-1] != "proxy started"

    def story(self, request):
        seen = "; ".join(
            f"dispatch {d['seq']} by {d['proxy']} at {d['node']} build {d['build']} came {d['came']:.1f} "
            f"{d['outcome']}{' with effect' if d['effect'] else ''}"
            for d in self.by_request.get(request, ())
        )
        return f"invocation {request}: {seen or 'no dispatch reached a node'}"

    # ---- 1: one final answer, in time, nothing after it ----

    def rule_answered(self):
        for t in self.tries:
            if t["answer"] in ("left", "unreachable"):
                continue  # a client that went is owed nothing; one that was not let in was never taken
            self.checked["answered"] += 1
            took = t["ended"] - t["sent"]
            at = f"proxy {t['proxy']} {t['operation']} sent {t['sent']:.1f} patience {t['patience']:.0f} ms"
            if t["after"]:
                yield f"bytes after the final answer: {at}; {self.story(t['request'])}"
            if t["answer"] in ("succeeded", "throttled", "terminated"):
                # The client's clock starts before the first byte reaches the proxy: that way is slack as well.
                over = (
                    took
                    - (t["patience"] + self.grace + self.slack)
                    - self.stalled(t["proxy"], t["sent"], t["ended"])
                )
                if over > 0 and not self.excused(
                    "answered", t["sent"], t["ended"], over, f"proxy{t['proxy']}", "load"
                ):
                    yield f"{t['answer']} after {took:.0f} ms: {at}; {self.story(t['request'])}"
            elif (
                t["answer"] in ("none", "reset")
                and not self.died_within(t["proxy"], t["sent"], t["ended"])
                and not self.stalled(t["proxy"], t["sent"], t["ended"])
            ):
                yield f"no answer ({t['answer']}): {at}; {self.story(t['request'])}"
            elif (
                t["answer"] == "other" and t["status"] != 403
            ):  # whom the directory does not know: admission.py
                yield f"an answer that is none of three (status {t['status']}): {at}"

    # ---- 2: no effect twice ----

    def rule_effects(self):
        throttled = {t["request"] for t in self.tries if t["answer"] == "throttled"}
        for request, sent in self.by_request.items():
            op = self.ops.get(sent[0]["operation"])
            if op is None or op.effect == "idempotent":
                continue
            self.checked["effects"] += 1
            ran = [d for d in sent if d["outcome"] in RAN]
            if op.effect == "side-effecting":
                if sum(d["effect"] for d in sent) > 1:
                    yield f"side-effecting, had its effect twice: {self.story(request)}"
                elif ran and any(d["came"] > ran[0]["came"] for d in sent):
                    yield f"side-effecting, sent again after it may have run: {self.story(request)}"
                if request in throttled and any(d["effect"] for d in sent):
                    yield f"side-effecting, throttled though it had its effect: {self.story(request)}"
                continue
            home = {"all": lambda d: 0, "zone": lambda d: d["zone"], "cell": lambda d: d["cell"]}[op.group]
            for d in sent:
                if ran and d["came"] > ran[0]["came"]:
                    if home(d) != home(ran[0]):
                        yield f"fingerprinted, sent outside the group that may have run it: {self.story(request)}"
                    elif d["came"] - self.slack > ran[0]["came"] + op.window:
                        yield f"fingerprinted, sent after its mark's time: {self.story(request)}"
            if request in throttled and ran and op.group != "all":
                yield f"fingerprinted, throttled though it may have run: {self.story(request)}"
        marks = defaultdict(list)
        for d in self.dispatches:
            if d["mark"] and d["effect"]:
                marks[d["mark"]].append(d)
        for mark, had in marks.items():
            if len(had) > 1:
                yield f"mark {mark} had its effect {len(had)} times: " + "; ".join(
                    sorted({self.story(d["request"]) for d in had})
                )

    # ---- 3: nothing new to a draining or gone node after the grace ----

    def rule_drains(self):
        ends = defaultdict(list)  # (proxy, node) -> (told, is listed ready from then on, incarnation)
        known = defaultdict(dict)
        listed = defaultdict(set)
        for row in sorted(self.told, key=lambda r: r["at"]):
            proxy = row["proxy"]
            if row["kind"] == "whole":
                listed[proxy] = set(known[proxy])
                for node in known[proxy]:
                    ends[proxy, node].append((row["at"], False))  # until the same list names it again
                known[proxy] = {}
            elif row["kind"] == "node":
                ready = row["state"] == "ready"
                ends[proxy, row["node"]].append((row["at"], ready))
                known[proxy][row["node"]] = ready
        for d in self.dispatches:
            news = ends.get((d["proxy"].rpartition("/")[2], d["node"]))
            if not news:
                continue
            self.checked["drains"] += 1
            limit = d["came"] - self.slack - self.fleet.drain_grace
            at = bisect_right(news, (limit, True))
            # Ready again since, in time to have been sent for: the last word that counts is any after the limit.
            if (
                at
                and not news[at - 1][1]
                and not any(ready and t <= d["came"] for t, ready in news[at:])
                and not self.excused(
                    "drains",
                    max(news[at - 1][0], d["came"] - NEAR),
                    d["came"],
                    limit - news[at - 1][0],
                    f"proxy{d['proxy'].rpartition('/')[2]}",
                    "kitchen",
                )
            ):
                yield (
                    f"{d['proxy']} sent to {d['node']} {d['came'] - news[at - 1][0]:.0f} ms after it was told that "
                    f"it ends: {self.story(d['request'])}"
                )

    # ---- 4: no cold node pushed over ----

    def rule_cold(self):
        rules, by_life = self.fleet, defaultdict(list)
        for d in self.dispatches:
            by_life[d["node"], d["incarnation"]].append(d)
        heard = defaultdict(list)  # node, incarnation -> when each proxy was told of that start
        for row in self.told:
            if row["kind"] == "node" and row["state"] == "ready":
                heard[row["node"], row["incarnation"]].append((row["proxy"], row["at"]))
        for up in (n for n in self.nodes if n["what"] == "up" and n["cold_for"] > 0):
            key, born = (up["node"], up["incarnation"]), up["at"]
            sent = [d for d in by_life.get(key, ()) if d["came"] <= born + up["cold_for"]]
            self.checked["cold"] += 1
            toppled = any(n["what"] == "toppled" and (n["node"], n["incarnation"]) == key for n in self.nodes)
            first = {}
            for proxy, at in heard.get(key, ()):
                first[proxy] = min(at, first.get(proxy, at))

            def informed(d):
                return first.get(d["proxy"].rpartition("/")[2], 1e18) <= d["came"]

            span, at = rules.overload_for, [d["came"] for d in sent]
            for n, d in enumerate(sent):
                window = sent[bisect_right(at, d["came"] - span) : n + 1]
                work = sum(x["work"] for x in window)
                ramp = min(1.0, up["cold"] + (1 - up["cold"]) * (d["came"] - born) / up["cold_for"])
                if work > 1.02 * rules.fall_multiple * up["power"] * ramp * span:
                    by_told = sum(x["work"] for x in window if informed(x))
                    if by_told >= 2 / 3 * work:
                        yield (
                            f"node {up['node']} ({d['came'] - born:.0f} ms after its start) was sent {work:.0f} ms "
                            f"of work in {span:.0f} ms, {by_told / work:.0%} by proxies that knew of the start"
                            f"{'; it fell over' if toppled else ''}"
                        )
                        break

    # ---- 5: exposure within the cap ----

    def rule_exposure(self):
        r = self.fleet.rollout
        stages, taken = defaultdict(list), defaultdict(list)
        for row in sorted(self.told, key=lambda x: x["at"]):
            if row["kind"] == "stage":
                stages[row["proxy"]].append((row["at"], row["build"], row["stage"], row["cap"], row["phase"]))
        for t in self.tries:
            # Throttled before it was taken counts as taken too: the proxy cannot be told apart from outside, and
            # the more it took the more it may send.
            # What came to a stopped process it took as it went on, for all that its client's watch said.
            proxy = str(t["proxy"])
            at = next(
                (end for begin, end in self.stalls.get(proxy, ()) if begin - self.slack <= t["sent"] < end),
                t["sent"],
            )
            taken[proxy].append((at, t["operation"]))
        for kept in taken.values():
            kept.sort()
        sent = defaultdict(list)
        for d in self.dispatches:
            sent[d["proxy"].rpartition("/")[2]].append(d)
        for proxy, all_sent in sorted(sent.items()):
            news, lives = stages[proxy], self.lives.get(proxy, ())
            starts = [at for at, what in lives if what == "proxy started"]
            at_new = defaultdict(list)
            for d in all_sent:
                # Whatever of it the proxy heard within the way's slack may have been in force when it sent.
                terms = self.terms(news, d["came"], d["build"])
                if terms is None:
                    continue
                stage, cap, since = terms
                op = self.ops.get(d["operation"])
                self.checked["exposure"] += 1
                if stage < r.guarded and op and op.effect != "idempotent":
                    yield f"{proxy}: {d['operation']} at build {d['build']} in a guarded stage: {self.story(d['request'])}"
                group = d["operation"] if r.by_operation else ""
                kept = at_new[d["build"], group]
                kept.append(d["came"])
                life = max([s for s in starts if s <= d["came"]], default=0.0)
                begin = max(d["came"] - (r.window - 2 * self.slack), since, life)
                made = len(kept) - bisect_left(kept, begin)
                first = (d["came"] - r.window - 2 * self.slack, "")
                took = sum(
                    not r.by_operation or o == group
                    for _, o in taken[proxy][
                        bisect_left(taken[proxy], first) : bisect_right(taken[proxy], (d["came"], "~"))
                    ]
                )
                if cap <= 0 or made > r.free + cap * took + 1e-9:
                    yield (
                        f"{proxy} sent {made} to build {d['build']} on trial, {r.free:g} + {cap:g} x {took} allowed: "
                        f"{self.story(d['request'])}"
                    )

    def terms(self, news, at, build):
        """(stage, cap, counted since) the proxy was under for `build`, the kindest reading; None: not on trial."""
        r, grace = self.fleet.rollout, self.fleet.drain_grace
        end = bisect_right(news, (at, 1 << 60))
        if not end:
            return None  # never told of any stage: the judge knows nothing of its terms
        last = news[end - 1]
        if build < last[1] or build == last[1] and last[4] == 2:
            return None
        # News within the grace and the way: what held before may still have been in force.
        recent = [n for n in news[max(0, end - 8) : end] if n[0] > at - grace - self.slack]
        before = news[end - len(recent) - 1 : end] if len(recent) < end else recent
        caps, since, stage = [], 0.0, 0
        for n in before:
            if build < n[1] or build == n[1] and n[4] == 2:
                return None
            caps.append((n[3] if n[1] == build else r.cap[0], n[2] if n[1] == build else 0))
        for n, m in zip(news[:end], news[1:end]):
            if m[1] == build and m[3] < (n[3] if n[1] == build else r.cap[0]) and m[0] + grace <= at:
                since = m[0] + grace  # a lower cap binds after the grace, counted afresh from then
        cap, stage = max(caps)
        return max(s for _, s in caps), cap, since


def service(fleet, tries):
    """Value answered within the SLO time over the value asked for, by work (a client's tries belong together)."""
    ops, first, best = {o.name: o for o in fleet.operation}, {}, {}
    for t in tries:
        op = ops[t["operation"]]
        first.setdefault(t["work"], op.billed_value)
        if t["answer"] == "succeeded":
            took = t["ended"] - t["due"]
            value = op.billed_value * (1.0 if took <= op.slo_time else op.late_value)
            best[t["work"]] = max(best.get(t["work"], 0.0), value)
    asked = sum(first.values())
    return sum(best.values()) / asked if asked else 0.0
