"""Webhooks out, without I/O: what goes to a receiver next, and when what failed is tried again.

In order for each build: a message waits until the one before it is delivered or given up. Every wait is bounded; what is
given up lies among the dead letters, where an operator sees it and may send it again.
"""

import base64
import hmac
import json

from ..interface import ROLLING_BACK, RELEASED, TRIAL, WITHDRAWN


class Outbox:
    """One receiver. `round(now, events, out)` with added(number, build, tries) · delivered(number) · failed(number, why,
    for_good); the writer gets send(number) · keep(number, tries, state, why), state one of due, done, dead."""

    def __init__(self, chance, most_tries, first_wait, longest_wait, at_once):
        """`chance.random()` spreads what is tried again; waits in ms; `at_once` builds are served side by side."""
        self.chance, self.most_tries, self.first, self.longest = chance, most_tries, first_wait, longest_wait
        self.at_once = at_once
        self.forget()

    def round(self, now, events, out):
        """Returns the time of the next thing due, or None."""
        self.now, self.out = now, out
        for name, *fields in events:
            getattr(self, name)(*fields)
        next_due = None
        for build in sorted(self.builds):
            line = self.builds[build]
            if not line:
                del self.builds[build]
                continue
            number, _, due = line[0]
            if build in self.flying:
                continue
            if due <= now and len(self.flying) < self.at_once:
                self.flying.add(build)
                out.send(number)
            elif due > now:
                next_due = due if next_due is None else min(due, next_due)
        return next_due

    def forget(self):
        self.builds, self.flying, self.build_of = {}, set(), {}

    def __len__(self):
        return len(self.build_of)

    def added(self, number, build, tries):
        if number not in self.build_of:
            self.build_of[number] = build
            line = self.builds.setdefault(build, [])
            line.append((number, tries, self.now))
            line.sort()  # a dead letter sent again may have the lower number

    def end(self, number, *kept):
        build = self.build_of.pop(number)
        self.builds[build] = [x for x in self.builds[build] if x[0] != number]
        self.flying.discard(build)
        self.out.keep(number, *kept)

    def head(self, number):
        line = self.builds[self.build_of[number]]
        return next(n for n, x in enumerate(line) if x[0] == number), line

    def delivered(self, number):
        at, line = self.head(number)
        self.end(number, line[at][1] + 1, "done", "")

    def failed(self, number, why, for_good=False):
        at, line = self.head(number)
        tries = line[at][1] + 1
        if for_good or tries >= self.most_tries:
            self.end(number, tries, "dead", why)
            return
        self.flying.discard(self.build_of[number])
        # Spread over half its length: receivers that were down are not met by all messages at one moment.
        wait = min(self.longest, self.first * 2 ** min(tries - 1, 30)) * (0.5 + self.chance.random())
        line[at] = number, tries, self.now + wait
        self.out.keep(number, tries, "due", why)


TYPES = {
    TRIAL: "build.stage",
    ROLLING_BACK: "build.going_back",
    RELEASED: "build.released",
    WITHDRAWN: "build.withdrawn",
}


def body_of(kind, facts, wall):
    """Bytes of the event; they are kept, so that each try sends the same ones."""
    return json.dumps(dict(type=kind, timestamp=wall, data=facts), sort_keys=True)


def headers_of(number, body, secret, wall):
    """Standard Webhooks: a stable id, the time of this try, the signature over both and the body."""
    ident, at = f"msg_{number}", int(wall)
    digest = hmac.digest(secret, f"{ident}.{at}.".encode() + body, "sha256")
    return [
        (b"content-type", b"application/json"),
        (b"webhook-id", ident.encode()),
        (b"webhook-timestamp", b"%d" % at),
        (b"webhook-signature", b"v1," + base64.b64encode(digest)),
    ]


def judged(status):
    """(delivered, for good) for a receiver's answer: only 'gone' says that no repeat is wanted (Standard Webhooks)."""
    return 200 <= status < 300, status == 410
