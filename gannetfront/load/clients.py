"""Open-loop clients on sockets: each arrival is its own greenlet, timed from when it was due.

A row a try of what its client saw: the answer, when, and whether anything came after it.
"""
from .. import host
from ..records import Table
from ..wire import http
from .arrivals import draw

LINGER = 1500.0     # a client listens on for so long past its patience, to see an answer that comes too late
SETTLED = {"succeeded", "terminated"}


class Load:
    def __init__(self, day, addresses, folder, start, log):
        """`addresses(proxy)` gives 'host:port' of a proxy by number."""
        self.day, self.addresses, self.start, self.log = day, addresses, start, log
        self.table, self.idle = Table(folder, "tries", "load"), {}
        self.chance, self.open, self.most = host.chance(day.seed, 61), 0, 20000

    def run(self):
        arrivals, started, missed = draw(self.day), [], 0
        for arrival in arrivals:
            wait = self.start + arrival.due - host.now()
            if wait > 0:
                host.sleep(wait)
            if self.open >= self.most:
                missed += 1     # bounded; said at the end, as it would hide what the fleet was not asked
                continue
            self.open += 1
            started.append(host.spawn(self.live, arrival))
            if len(started) > 4096:
                started = [one for one in started if not one.ready()]
        host.join(started, 1e4 + max(op["limit"] for op in self.day.operations.values()))
        self.table.close()
        self.log.info("load ends", arrivals=len(arrivals), missed=missed, unfinished=self.open)
        return missed

    def retries(self, at):
        return max([t.retries for t in self.day.during("retry_abuse", at)], default=self.day.traffic["retries"])

    def live(self, arrival):
        try:
            op, nth = self.day.operations[arrival.operation], 0
            end, first = self.start + arrival.due + op["limit"], None
            honours = self.chance.random() < self.day.traffic["honour"]
            while True:
                first = first or host.now()
                answer, advice = self.attempt(arrival, nth, min(arrival.patience, end - host.now()))
                nth += 1
                abused = bool(self.day.during("retry_abuse", host.now() - self.start))
                again = {"idempotent": answer not in ("succeeded", "left"),
                         "fingerprinted": answer == "throttled" or op["group"] == "all" and answer not in (
                             "succeeded", "left") and host.now() < first + op["window"] - 2 * LINGER}.get(
                                 op["effect"], answer == "throttled") or answer == "unreachable"
                if not again or nth > self.retries(host.now() - self.start):
                    return
                wait = 0.0 if abused else self.day.traffic["backoff"] * (0.5 + self.chance.random())
                host.sleep(max(wait, advice if honours and not abused else 0.0))
                if host.now() > end - 50:
                    return
        finally:
            self.open -= 1

    def attempt(self, arrival, nth, patience):
        """One try, recorded: (answer, advice in ms)."""
        op, ident = self.day.operations[arrival.operation], f"{arrival.nth}.{nth}"
        mark = f"m{arrival.nth}" if op["effect"] == "fingerprinted" else ""
        sent, reader, after, answer, status = host.now(), None, 0, "unreachable", 0
        stream = None
        try:
            stream = self.connect(arrival.proxy, patience)
            headers = [(b"x-request-id", ident.encode()), (b"x-work-ms", b"%.3f" % arrival.work),
                       (b"gannet-patience-ms", b"%.0f" % max(1.0, patience - (host.now() - sent)))]
            for name, value in ((b"gannet-tenant", arrival.tenant), (b"gannet-key", arrival.key),
                                (b"idempotency-key", mark)):
                if value:
                    headers.append((name, value.encode()))
            answer = "reset"
            stream.send(http.request(b"/" + arrival.operation.encode(), b"gannet", headers,
                                     b"x" * self.day.traffic["body"]), patience)
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
        except host.Late:
            answer = "left" if arrival.leaves is not None else "none"
        except host.Refused:
            pass
        except (OSError, http.BadAnswer):
            answer = "reset"
        ended = host.now()
        if stream:
            if reader and reader.reusable and not after:
                self.idle.setdefault(arrival.proxy, []).append(stream)
            else:
                stream.close()
        advice = float(http.header(reader.headers, b"gannet-retry-after-ms") or 0) if reader and reader.whole else 0.0
        self.table.add(ident, str(arrival.nth), arrival.proxy, arrival.operation, arrival.tenant, mark,
                       self.start + arrival.due, sent, patience, ended, answer, status, advice, nth, after)
        return answer, advice

    def connect(self, proxy, limit):
        idle = self.idle.setdefault(proxy, [])
        while idle:
            stream = idle.pop()
            if not stream.waiting():
                return stream
            stream.close()
        return host.connect(self.addresses(proxy), max(1.0, min(limit, 1000)))
