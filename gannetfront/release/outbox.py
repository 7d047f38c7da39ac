"""Outgoing webhooks: which message is sent next, and when a failed one is retried. No I/O.

Messages about one build are delivered in order: each waits until the one before it is delivered or given
up. All waits are bounded. A message that is given up becomes a dead letter, which an operator can list and
send again."""

import base64
import hmac
import json

from ..interface import ROLLING_BACK, RELEASED, TRIAL, WITHDRAWN


class Outbox:
    """The messages for one receiver. `round(now, events, out)` accepts the events added(number, build,
    attempts) · delivered(number) · failed(number, why, permanent). The writer implements send(number) ·
    record_state(number, attempts, state, why), where state is one of due, done and dead."""

    def __init__(self, random, max_attempts, first_wait, longest_wait, max_in_flight):
        """`random.random()` spreads the retries; waits are in ms; messages of up to `max_in_flight` builds
        are sent concurrently."""
        self.random = random
        self.max_attempts = max_attempts
        self.first_wait = first_wait
        self.longest_wait = longest_wait
        self.max_in_flight = max_in_flight
        self.clear()

    def round(self, now, events, out):
        """Applies `events` and sends what is due at `now`. Returns the time (ms) of the next retry, or
        None."""
        self.now, self.out = now, out
        for name, *fields in events:
            getattr(self, name)(*fields)
        next_due = None
        for build in sorted(self.queues):
            queue = self.queues[build]
            if not queue:
                del self.queues[build]
                continue
            number, _, due = queue[0]
            if build in self.in_flight:
                continue
            if due <= now and len(self.in_flight) < self.max_in_flight:
                self.in_flight.add(build)
                out.send(number)
            elif due > now:
                next_due = due if next_due is None else min(due, next_due)
        return next_due

    def clear(self):
        """Drops all messages from memory; the owner adds them again from the store."""
        self.queues, self.in_flight, self.build_of = {}, set(), {}

    def __len__(self):
        return len(self.build_of)

    def added(self, number, build, attempts):
        """Queues a message that was attempted `attempts` times; one that is queued already is ignored."""
        if number not in self.build_of:
            self.build_of[number] = build
            queue = self.queues.setdefault(build, [])
            queue.append((number, attempts, self.now))
            queue.sort()  # a dead letter that is sent again may have the lower number

    def finish(self, number, *outcome):
        build = self.build_of.pop(number)
        self.queues[build] = [entry for entry in self.queues[build] if entry[0] != number]
        self.in_flight.discard(build)
        self.out.record_state(number, *outcome)

    def find(self, number):
        """(index in its build's queue, that queue) of a message."""
        queue = self.queues[self.build_of[number]]
        return next(index for index, entry in enumerate(queue) if entry[0] == number), queue

    def delivered(self, number):
        """The receiver accepted the message."""
        index, queue = self.find(number)
        self.finish(number, queue[index][1] + 1, "done", "")

    def failed(self, number, why, permanent=False):
        """An attempt failed; the message is retried unless the failure is permanent or its attempts are
        used up."""
        index, queue = self.find(number)
        attempts = queue[index][1] + 1
        if permanent or attempts >= self.max_attempts:
            self.finish(number, attempts, "dead", why)
            return
        self.in_flight.discard(self.build_of[number])
        # Jitter of 0.5 to 1.5: a receiver that comes back must not get all messages at one moment.
        delay = min(self.longest_wait, self.first_wait * 2 ** min(attempts - 1, 30)) * (
            0.5 + self.random.random()
        )
        queue[index] = number, attempts, self.now + delay
        self.out.record_state(number, attempts, "due", why)


EVENT_TYPES = {
    TRIAL: "build.stage",
    ROLLING_BACK: "build.going_back",
    RELEASED: "build.released",
    WITHDRAWN: "build.withdrawn",
}


def event_body(kind, facts, unix_time):
    """The event as JSON text. It is stored, so that each attempt sends the same bytes."""
    return json.dumps(dict(type=kind, timestamp=unix_time, data=facts), sort_keys=True)


def signed_headers(number, body, secret, unix_time):
    """Headers after Standard Webhooks: a stable id, the time of this attempt, and the signature over both
    and the body."""
    message_id, timestamp = f"msg_{number}", int(unix_time)
    digest = hmac.digest(secret, f"{message_id}.{timestamp}.".encode() + body, "sha256")
    return [
        (b"content-type", b"application/json"),
        (b"webhook-id", message_id.encode()),
        (b"webhook-timestamp", b"%d" % timestamp),
        (b"webhook-signature", b"v1," + base64.b64encode(digest)),
    ]


def classify_status(status):
    """(delivered, permanent failure) for an HTTP status: after Standard Webhooks only 410 Gone rules out a
    retry."""
    return 200 <= status < 300, status == 410
