"""Detects overload incidents ("storms") at one proxy, and their kind, from its own figures of each second.

A storm is a time in which few requests are answered in time. Its kind is found by symptom, so that an outage,
the loss of a zone or a reconnection of clients is not mistaken for growth or for a bad build: growth within
capacity is answered in time, and a bad build fails while the earlier one does not. Storms are only reported;
the decisions use their own figures.
"""

from collections import Counter, deque

SECOND_MS = 1000.0
STORM_BELOW, CALM_FROM = 0.6, 0.9  # shares answered in time
CALM_SECONDS = 3  # seconds of calm that end a storm
MIN_REQUESTS = 5  # in a second; a share of fewer says nothing
MAX_ROWS = 64  # of a report


class Second:
    """Counts of one second that began at `at`, ms."""

    def __init__(self, at):
        self.at = at
        self.requests = 0
        self.timely = 0
        self.repeats = 0
        self.keyed = 0
        self.connects = 0
        self.failures = Counter()  # dispatches without an answer, by status
        self.by_build = Counter()  # dispatches by (build, answered or not)


class StormDetector:
    """Storm detector of one proxy. It is notified of requests, connections, dispatches, answers and nodes;
    `tick` reports storms."""

    def __init__(self, now):
        self.second = Second(now)
        self.seconds = deque(maxlen=30)
        self.usual = deque(maxlen=60)  # requests of seconds without a storm
        self.keys = {}  # {idempotency key: when it came last, ms}
        self.ready = 0
        self.cold = 0
        self.listed = 0
        self.storm = None  # kind and begin, during one
        self.calm_seconds = 0
        self.refused = Counter()

    def on_request(self, now, idempotency_key):
        """Records a request with its idempotency key, or none."""
        self.second.requests += 1
        if idempotency_key:
            # Without the key a repeated request cannot be told from a new one.
            self.second.repeats += now - self.keys.get(idempotency_key, -1e18) < 10000.0  # ms
            self.second.keyed += 1
            self.keys[idempotency_key] = now

    def on_connection(self):
        """Records a new connection of a client."""
        self.second.connects += 1

    def on_dispatch(self, build, status, answered):
        """Records the end of a dispatch to a node of `build`, and whether it was answered."""
        self.second.by_build[build, answered] += 1
        if not answered:
            self.second.failures[status] += 1

    def on_answer(self, kind, timely, tenant, operation):
        """Records an answer to a client; `kind` is succeeded, throttled or terminated, `timely` whether it
        came within the SLO time."""
        self.second.timely += timely
        if kind != "succeeded":
            cause = self.storm["kind"] if self.storm else "pressure"
            if len(self.refused) < MAX_ROWS or (tenant, operation, kind, cause) in self.refused:
                self.refused[tenant, operation, kind, cause] += 1
            else:
                self.refused["others", "", kind, cause] += 1

    def on_nodes(self, ready, cold, listed):
        """Records how many nodes are ready, how many of those are cold, and how many are listed."""
        self.ready, self.cold, self.listed = ready, cold, listed

    def tick(self, now):
        """Evaluates the seconds that have ended by `now`, ms: a list of ("storm", facts) where a storm began
        and ("calm", facts) where one ended."""
        reports = []
        while now - self.second.at >= SECOND_MS:
            ended, self.second = self.second, Second(self.second.at + SECOND_MS)
            self.seconds.append(ended)
            reports += self.evaluate(ended)
            if now - self.second.at > 60 * SECOND_MS:  # stalled or idle: skip the gap, it was no storm
                self.second = Second(now)
        return reports

    def evaluate(self, ended):
        """Reports of the second `ended`, as `tick` returns them."""
        if len(self.keys) > 20000:
            self.keys = {key: at for key, at in self.keys.items() if ended.at - at < 10000.0}
        # An answer may come in the second after its request: two seconds are evaluated together.
        last = list(self.seconds)[-2:]
        requests, timely = sum(s.requests for s in last), sum(s.timely for s in last)
        if self.storm is None:
            if requests >= 2 * MIN_REQUESTS and timely < STORM_BELOW * requests and len(last) == 2:
                self.calm_seconds = 0
                self.storm = dict(kind=self.kind(last), since=ended.at)
                return [("storm", dict(self.facts(last), kind=self.storm["kind"]))]
            self.usual.append(ended.requests)
            return []
        self.calm_seconds = (
            self.calm_seconds + 1 if requests < 2 * MIN_REQUESTS or timely >= CALM_FROM * requests else 0
        )
        if self.calm_seconds < CALM_SECONDS:
            self.storm["kind"] = self.kind(last)
            return []
        storm, self.storm, refused = self.storm, None, sum(self.refused.values())
        return [
            (
                "calm",
                dict(self.facts(last), after_s=round((ended.at - storm["since"]) / 1000, 1), refused=refused),
            )
        ]

    def kind(self, last):
        """Kind of the storm, by the symptoms in the seconds `last`."""
        failures, outcomes = Counter(), Counter()
        for s in last:
            failures.update(s.failures)
            outcomes.update(s.by_build)

        def failed_share(build):
            return outcomes[build, False] / max(1, outcomes[build, False] + outcomes[build, True])

        shares = {build: failed_share(build) for build in {b for b, _ in outcomes}}
        if not self.ready:
            return "nodes gone"
        if len(shares) > 1 and max(shares.values()) > 0.5 and min(shares.values()) < 0.1:
            return "a build fails"
        if failures["timeout"] > 0.5 * sum(failures.values()) and sum(failures.values()) >= MIN_REQUESTS:
            return "nodes silent"
        if self.cold > 0.3 * self.ready:
            return "nodes cold"
        if self.ready < 0.7 * self.listed:
            return "some nodes gone"
        usual = sum(self.usual) / len(self.usual) if self.usual else 0.0
        requests = sum(s.requests for s in last) / len(last)
        # Of the requests with an idempotency key: most clients send none.
        if sum(s.repeats for s in last) > 0.3 * max(MIN_REQUESTS, sum(s.keyed for s in last)):
            return "repeats"
        return "more than usual" if usual and requests > 1.5 * usual else "late answers"

    def facts(self, last):
        """Fields of the log event, over the seconds `last`."""
        requests = sum(s.requests for s in last)
        return dict(
            asked=requests,
            timely=sum(s.timely for s in last),
            again=sum(s.repeats for s in last),
            connects=sum(s.connects for s in last),
            usual=round(sum(self.usual) / len(self.usual), 1) if self.usual else None,
            ready=self.ready,
            cold=self.cold,
            listed=self.listed,
        )

    def report(self, operations):
        """Lines of text that count the answers other than success by tenant, operation, answer and kind of
        storm, most frequent first. `operations` are names by index."""
        rows = sorted(self.refused.items(), key=lambda r: (-r[1], r[0]))
        return (
            "\n".join(
                [f"{'count':>8}  tenant, operation, answer, while"]
                + [
                    f"{n:8}  {tenant}, {operations[op] if op != '' else '-'}, {kind}, {cause}"
                    for (tenant, op, kind, cause), n in rows
                ]
            )
            + "\n"
        )
