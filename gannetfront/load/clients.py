"""Open-loop clients on sockets: each arrival is its own greenlet, timed from when it was due.

A row a try of what its client saw: the answer, when, and whether anything came after it.
"""

from .. import host
from ..records import CLIENT_LATE, Table
from ..wire import http
from .arrivals import draw
from .retry import LINGER, Intent

ELSEWHERE = 2000.0  # ms for which the clients of a proxy that could not be reached go to others, before they try it again


class Load:
    def __init__(self, day, addresses, folder, start, log):
        """`addresses(proxy)` gives 'host:port' of a proxy by number."""
        self.day, self.addresses, self.start, self.log = day, addresses, start, log
        self.table, self.idle = Table(folder, "tries", "load"), {}
        self.events = Table(folder, "events", "load")
        self.arrivals = draw(day)
        self.chance, self.open, self.most = host.chance(day.seed, 61), 0, 20000
        self.gone = {}  # proxy -> until when its clients know that it is not there

    def run(self):
        started, missed = [], 0
        for arrival in self.arrivals:
            wait = self.start + arrival.due - host.now()
            if wait > 0:
                host.sleep(wait)
            if self.open >= self.most:
                missed += 1  # bounded; said at the end, as it would hide what the fleet was not asked
                continue
            self.open += 1
            started.append(host.spawn(self.live, arrival))
            if len(started) > 4096:
                started = [one for one in started if not one.ready()]
        host.join(started, 1e4 + max(op["limit"] for op in self.day.operations.values()))
        self.table.close()
        self.events.close()
        self.log.info("load ends", arrivals=len(self.arrivals), missed=missed, unfinished=self.open)
        return missed

    def live(self, arrival):
        try:
            intent, walked = Intent(self.day, arrival, self.start, self.chance), 0
            while True:
                patience = intent.patience(host.now())
                if patience <= 0:
                    # This process was late, not a proxy: what has no time left is not sent, and the judge is told.
                    self.events.add(
                        host.now(), CLIENT_LATE, f"{arrival.nth}.{intent.nth + walked}", f"{-patience:.0f}"
                    )
                    return
                proxy = self.at(arrival.proxy)
                answer, advice = self.attempt(arrival, proxy, intent.nth + walked, patience)
                if answer in ("unreachable", "reset") and self.day.traffic["failover"]:
                    self.gone[proxy] = host.now() + ELSEWHERE
                if (
                    answer == "unreachable"
                    and self.day.traffic["failover"]
                    and walked < self.day.proxies
                    and intent.patience(host.now()) > 50
                ):
                    walked += 1  # nothing was sent: the next of its list, at once
                    continue
                wait = intent.again(host.now(), answer, advice)
                if wait is None:
                    return
                host.sleep(wait)
        finally:
            self.open -= 1

    def at(self, home):
        """The proxy that a client of `home` goes to now: home, or, as far as it knows that to be gone, any other by chance."""
        now = host.now()
        there = [n for n in range(self.day.proxies) if self.gone.get(n, 0.0) <= now]
        return (
            home
            if not self.day.traffic["failover"] or home in there or not there
            else there[int(self.chance.random() * len(there))]
        )

    def attempt(self, arrival, proxy, nth, patience):
        """One try, recorded: (answer, advice in ms)."""
        op, ident = self.day.operations[arrival.operation], f"{arrival.nth}.{nth}"
        mark = f"m{arrival.nth}" if op["effect"] == "fingerprinted" else ""
        sent, reader, after, answer, status = host.now(), None, 0, "unreachable", 0
        stream = None
        try:
            stream = self.connect(proxy, patience)
            headers = [
                (b"x-request-id", ident.encode()),
                (b"x-work-ms", b"%.3f" % arrival.work),
                (b"gannet-patience-ms", b"%.0f" % max(1.0, patience - (host.now() - sent))),
            ]
            for name, value in (
                (b"gannet-tenant", arrival.tenant),
                (b"gannet-key", arrival.key),
                (b"idempotency-key", mark),
            ):
                if value:
                    headers.append((name, value.encode()))
            answer = "reset"
            stream.send(
                http.request(
                    b"/" + arrival.operation.encode(), b"gannet", headers, b"x" * self.day.traffic["body"]
                ),
                patience,
            )
            reader, end = http.AnswerReader(1 << 20), sent + patience + LINGER
            if arrival.leaves is not None:
                end, answer = sent + min(patience, arrival.leaves), "left"
            while not reader.whole:
                data = stream.recv(65536, max(1.0, end - host.now()))
                reader.feed(data)
                if not data and not reader.whole:
                    answer = "reset"
                    break
            if reader.whole:
                status = reader.status
                answer = (http.header(reader.headers, b"gannet-answer") or b"other").decode("latin-1")
                after = int(reader.extra or stream.waiting() and reader.reusable)
        except host.Timeout:
            answer = "left" if arrival.leaves is not None else "none"
        except host.Refused:
            pass
        except (OSError, http.BadAnswer):
            answer = "reset"
        ended = host.now()
        if stream:
            if reader and reader.reusable and not after:
                self.idle.setdefault(proxy, []).append(stream)
            else:
                stream.close()
        advice = (
            float(http.header(reader.headers, b"gannet-retry-after-ms") or 0)
            if reader and reader.whole
            else 0.0
        )
        self.table.add(
            ident,
            str(arrival.nth),
            proxy,
            arrival.operation,
            arrival.tenant,
            mark,
            self.start + arrival.due,
            sent,
            patience,
            ended,
            answer,
            status,
            advice,
            nth,
            after,
        )
        return answer, advice

    def connect(self, proxy, limit):
        idle = self.idle.setdefault(proxy, [])
        while idle:
            stream = idle.pop()
            if not stream.waiting():
                return stream
            stream.close()
        return host.connect(self.addresses(proxy), max(1.0, min(limit, 1000)))
