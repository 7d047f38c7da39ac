"""Agents of the discovery service that answer slowly, each in its own way, for proxies as processes."""

import json

from edge_rig import NEWS, Platform
from gannetfront import host
from gannetfront.wire import http

LONGEST_WATCH = 60000.0  # ms


class SlowAgent(Platform):
    """Discovery whose watches end after `timeout_ms`; subclasses delay what it says. `calls` holds when calls came."""

    def __init__(self, hosts):
        self.calls = []
        self.most_connections = 0  # open at a time
        self.changed = host.Once()
        self.changes = []  # (version, entry)
        super().__init__(hosts)

    def change(self, *hosts):
        super().change(*hosts)
        self.changes += [(self.version, entry) for entry in hosts]
        changed, self.changed = self.changed, host.Once()
        changed.set()

    def answer_listing(self, stream, path):
        self.calls.append(host.now())
        connections = [stream for stream in self.open if stream.open and not stream.ended()]
        self.most_connections = max(self.most_connections, len(connections))
        number, whole = len(self.calls), b"since" not in path
        since, limit = 0, 0.0
        if not whole:
            since, limit = (int(field.split(b"=")[1]) for field in path.partition(b"?")[2].split(b"&"))
        if not whole and since >= self.version:
            self.wait(self.changed, min(limit, LONGEST_WATCH))
        self.send_slowly(stream, self.body(since, whole), number, whole)

    def wait(self, changed, limit):
        try:
            changed.wait(limit)
        except host.Timeout:
            pass

    def body(self, since, whole):
        if whole:
            return self.listing()
        return self.listing(False, [entry for version, entry in self.changes if version > since])

    def send_slowly(self, stream, body, number, whole):
        """Sends the answer to the call of this number."""
        raise NotImplementedError


class LateHead(SlowAgent):
    """Each answer begins `wait` ms late."""

    wait_ms = 4000.0

    def send_slowly(self, stream, body, number, whole):
        host.sleep(self.wait_ms)
        stream.send(http.answer(200, [], body), 1000)


class VeryLateHead(LateHead):
    """Answers come later than any watch lasts."""

    wait_ms = 15000.0


class BodyInPieces(SlowAgent):
    """The head comes at once, the body in pieces over 4 s."""

    pieces, pause_ms = 40, 100.0

    def send_slowly(self, stream, body, number, whole):
        answer = http.answer(200, [], body)
        head = answer[: -len(body)]
        stream.send(head, 1000)
        size = -(-len(body) // self.pieces)
        for start in range(0, len(body), size):
            host.sleep(self.pause_ms)
            stream.send(body[start : start + size], 1000)


class SlowWholeLists(SlowAgent):
    """Watches are answered at once, the complete list after 9 s."""

    wait_ms = 9000.0

    def send_slowly(self, stream, body, number, whole):
        host.sleep(self.wait_ms if whole else 0.0)
        stream.send(http.answer(200, [], body), 1000)


class OneAtATime(SlowAgent):
    """Calls are served one after another, `turn_ms` each, also those whose connection has been closed."""

    turn_ms = 2000.0

    def __init__(self, hosts):
        self.free_at = 0.0
        super().__init__(hosts)

    def send_slowly(self, stream, body, number, whole):
        self.free_at = max(self.free_at, host.now()) + self.turn_ms
        host.sleep(self.free_at - host.now())
        stream.send(http.answer(200, [], body), 1000)


class OneLongTurnAtATime(OneAtATime):
    """The same with turns longer than any wait of a client would be."""

    turn_ms = 5000.0


class SilentNowAndThen(LateHead):
    """Every third call is never answered, the others late."""

    def send_slowly(self, stream, body, number, whole):
        if number % 3 == 1:
            host.sleep(10 * LONGEST_WATCH)
        super().send_slowly(stream, body, number, whole)


class DrawnDelays(SlowAgent):
    """Each answer takes another time, so that a later one may overtake it."""

    def __init__(self, hosts):
        self.chance = host.Jitter(57)
        super().__init__(hosts)

    def send_slowly(self, stream, body, number, whole):
        host.sleep(5000.0 * self.chance.random())
        stream.send(http.answer(200, [], body), 1000)


def configuration(at, agent, settings, api):
    """A configuration file's content for a proxy that listens at `at`."""
    return {
        "name": "n0",
        "listen": at,
        "discovery": agent.at,
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "peers": [],
        "settings": settings,
        "release_api": {"address": api.at, "news": NEWS},
        "known": json.loads(agent.listing()),
    }
