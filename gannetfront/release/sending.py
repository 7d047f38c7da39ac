"""Delivery of outgoing webhooks over sockets: one greenlet per receiver, each attempt with a time limit.

The outcome of an attempt is stored before anything else follows from it. A receiver that hangs delays only
its own messages: stage changes never wait for a delivery.
"""

import sqlite3
import ssl
from urllib.parse import urlsplit

from .. import host
from ..wire import http
from ..wire.asking import ask
from .outbox import Outbox, signed_headers, classify_status
from .store import Fenced
from .webhooks import parse_secret

MAX_LOADED = 256  # messages of one receiver that are read from the store at once
POLL_INTERVAL_MS = 1000.0  # longest time between two reads of the messages that are due


class Sender:
    """Sends the stored messages of one receiver. It is the writer of that receiver's Outbox."""

    def __init__(self, settings, store, random, log):
        """`settings` is a validated Receiver message; `random` spreads the retries. Raises ValueError or
        OSError where the settings cannot work."""
        self.name = settings.name
        self.store = store
        self.log = log
        self.answer_timeout = settings.answer_limit  # ms
        url = urlsplit(settings.url)
        if url.scheme not in ("http", "https") or not url.hostname:
            raise ValueError(f"receiver {self.name}: '{settings.url}' is not an http or https URL")
        self.host_and_port = f"{url.hostname}:{url.port or {'http': 80, 'https': 443}[url.scheme]}"
        host.address(self.host_and_port)  # raises where the address is invalid
        self.host_name = url.hostname
        self.path = (url.path or "/") + (f"?{url.query}" if url.query else "")
        self.tls = (
            ssl.create_default_context(cafile=settings.ca_file or None) if url.scheme == "https" else None
        )
        self.secret = parse_secret((host.read_file(settings.secret_file) or b"").decode().strip())
        self.outbox = Outbox(
            random, settings.most_tries, settings.first_wait, settings.longest_wait, settings.at_once
        )
        # Results of attempts, as (generation, event); None only wakes up the sender.
        self.results = host.Mailbox(4 * MAX_LOADED)
        self.messages = {}  # rows of the store by the message's number
        self.stopped = False
        # Grows with each reload from the store; results of attempts of an earlier generation are ignored.
        self.generation = 0
        # Decisions of a round of the outbox. They are carried out after the round, because they wait for the
        # store's disk.
        self.actions = []

    def start(self):
        """Starts sending when this controller becomes the leader; messages that are due are read from the
        store."""
        self.outbox.clear()
        self.messages, self.generation = {}, self.generation + 1
        host.spawn(self.run)

    def wake(self):
        """Makes the sender look into the store at once."""
        if not len(self.results):
            self.results.put(None)

    def run(self):
        """Sends until stopped, fenced off by a new leader, or replaced by the next `start`."""
        events, generation = [], self.generation
        while not self.stopped and self.generation == generation:
            try:
                events += self.load()
                batch, events = events, []
                next_due, actions = self.outbox.round(host.now(), batch, self), self.actions
                self.actions = []
                for action, *fields in actions:
                    action(*fields)
                    if self.generation != generation:
                        return
            except Fenced:
                return
            except sqlite3.Error as error:
                # An attempt whose outcome could not be stored is repeated. Delivery is at least once; the
                # receiver recognises repeats by the message's id.
                self.log.error("webhook delivery outcome not stored", receiver=self.name, why=str(error))
                self.outbox.clear()
                self.messages, self.generation, next_due = {}, self.generation + 1, None
                generation = self.generation
            wait = (
                POLL_INTERVAL_MS
                if next_due is None
                else max(1.0, min(POLL_INTERVAL_MS, next_due - host.now()))
            )
            first = self.results.take(wait)
            events += [
                e[1]
                for e in ([first] if first else []) + self.results.drain()
                if e and e[0] == self.generation
            ]

    def load(self):
        """Events for the outbox about stored messages that are due and not in memory yet."""
        if len(self.outbox) >= MAX_LOADED // 2:
            return []
        rows = [r for r in self.store.messages("due", self.name, MAX_LOADED) if r[0] not in self.messages]
        for row in rows:
            self.messages[row[0]] = row
        return [("added", number, build, attempts) for number, _, build, _, _, attempts, _ in rows]

    # ---- the writer of Outbox ----

    def send(self, number):
        """Decides that message `number` is attempted now."""
        self.actions.append((self.start_attempt, number))

    def record_state(self, *fields):
        """Decides that a message's new state is stored."""
        self.actions.append((self.store_state, *fields))

    # ---- carrying out the decisions ----

    def start_attempt(self, number):
        host.spawn(self.attempt, number, self.messages[number][3].encode(), self.generation)

    def store_state(self, number, attempts, state, why):
        self.store.store_message_state(number, attempts, state, why)
        if state != "due":
            del self.messages[number]
        if state == "dead":
            self.log.error("webhook given up", receiver=self.name, number=number, tries=attempts, why=why)

    # ---- one attempt ----

    def attempt(self, number, body, generation):
        """Sends a message once and queues the result as an event for the outbox."""
        try:
            headers = signed_headers(number, body, self.secret, host.wall())
            status, _ = ask(
                self.host_and_port,
                self.path.encode(),
                headers,
                body,
                self.answer_timeout,
                self.host_name,
                self.tls,
            )
            delivered, permanent = classify_status(status)
            event = (
                ("delivered", number) if delivered else ("failed", number, f"answered {status}", permanent)
            )
        except host.Refused as error:
            event = "failed", number, f"no connection: {error.kind}"
        except host.Timeout:
            event = "failed", number, f"no answer within {self.answer_timeout:g} ms"
        except (OSError, http.BadAnswer) as error:
            event = "failed", number, str(error)[:150] or type(error).__name__
        self.results.put((generation, event))  # never full: it has more places than there are attempts
