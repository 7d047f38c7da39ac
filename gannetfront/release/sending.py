"""Webhooks out on sockets: one greenlet a receiver, each try with a time limit; what became of it is written down first.

A receiver that hangs holds up its own messages only: nothing of this is waited for where stages move.
"""

import sqlite3
import ssl
from urllib.parse import urlsplit

from .. import host
from ..wire import http
from ..wire.asking import ask
from .outbox import Outbox, signed_headers, classify_status
from .store import Fenced
from .webhooks import secret_of

HELD, LOOK = 256, 1000.0


class Sender:
    def __init__(self, settings, store, chance, log):
        """`settings` is a checked Receiver; raises ValueError or OSError for one that cannot work."""
        self.name, self.store, self.log, self.limit = settings.name, store, log, settings.answer_limit
        url = urlsplit(settings.url)
        if url.scheme not in ("http", "https") or not url.hostname:
            raise ValueError(f"receiver {self.name}: '{settings.url}' is no http or https address")
        self.at = f"{url.hostname}:{url.port or {'http': 80, 'https': 443}[url.scheme]}"
        host.address(self.at)
        self.host_name = url.hostname
        self.path = (url.path or "/") + (f"?{url.query}" if url.query else "")
        self.tls = (
            ssl.create_default_context(cafile=settings.ca_file or None) if url.scheme == "https" else None
        )
        self.secret = secret_of((host.read_file(settings.secret_file) or b"").decode().strip())
        self.outbox = Outbox(
            chance, settings.most_tries, settings.first_wait, settings.longest_wait, settings.at_once
        )
        self.box, self.letters, self.stopped, self.life = host.Mailbox(4 * HELD), {}, False, 0
        self.acts = []  # what a round of the outbox decided: done after it, as it waits for the store's disk

    def begin(self):
        """With each turn: what is due is read from the store."""
        self.outbox.clear()
        self.letters, self.life = {}, self.life + 1
        host.spawn(self.run)

    def wake(self):
        if not len(self.box):
            self.box.put(None)

    def run(self):
        events, life = [], self.life
        while not self.stopped and self.life == life:
            try:
                events += self.load()
                some, events = events, []
                due, acts = self.outbox.round(host.now(), some, self), self.acts
                self.acts = []
                for act, *fields in acts:
                    act(*fields)
                    if self.life != life:
                        return
            except Fenced:
                return
            except sqlite3.Error as trouble:
                # A try that could not be written down is made again: at least once, and the receiver knows its id.
                self.log.error("webhook's fate not kept", receiver=self.name, why=str(trouble))
                self.outbox.clear()
                self.letters, self.life, due = {}, self.life + 1, None
                life = self.life
            wait = LOOK if due is None else max(1.0, min(LOOK, due - host.now()))
            first = self.box.take(wait)
            events += [e[1] for e in ([first] if first else []) + self.box.drain() if e and e[0] == self.life]

    def load(self):
        if len(self.outbox) >= HELD // 2:
            return []
        rows = [r for r in self.store.letters("due", self.name, HELD) if r[0] not in self.letters]
        for row in rows:
            self.letters[row[0]] = row
        return [("added", number, build, tries) for number, _, build, _, _, tries, _ in rows]

    # ---- the writer of Outbox ----

    def send(self, number):
        self.acts.append((self.begin_try, number))

    def record_state(self, *fields):
        self.acts.append((self.written, *fields))

    # ---- what was decided ----

    def begin_try(self, number):
        host.spawn(self.deliver, number, self.letters[number][3].encode(), self.life)

    def written(self, number, tries, state, why):
        self.store.keep_letter(number, tries, state, why)
        if state != "due":
            del self.letters[number]
        if state == "dead":
            self.log.error("webhook given up", receiver=self.name, number=number, tries=tries, why=why)

    # ---- one try ----

    def deliver(self, number, body, life):
        try:
            told = signed_headers(number, body, self.secret, host.wall())
            status, _ = ask(self.at, self.path.encode(), told, body, self.limit, self.host_name, self.tls)
            fine, for_good = classify_status(status)
            event = ("delivered", number) if fine else ("failed", number, f"answered {status}", for_good)
        except host.Refused as trouble:
            event = "failed", number, f"no connection: {trouble.kind}"
        except host.Timeout:
            event = "failed", number, f"no answer within {self.limit:g} ms"
        except (OSError, http.BadAnswer) as trouble:
            event = "failed", number, str(trouble)[:150] or type(trouble).__name__
        self.box.put((life, event))  # there are fewer tries out than places
