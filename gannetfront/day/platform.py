"""A day's release controllers, one or two on one store; the pipeline that offers builds to them by webhook, each delivery
twice at once and once more later; and the receiver of what they send, which fails now and then."""

import base64
import hmac
import json
import os
import signal

from .. import host
from ..release.store import Store
from ..wire import http
from ..wire.asking import ask, receive_request

SECRET = "a day's secret, of enough bytes"
AGAIN = 3000.0  # ms until a delivery comes once more


class Platform:
    def __init__(self, day, fleet, facts):
        self.day, self.fleet, self.facts, self.release = day, fleet, facts, day.day.release
        self.names = ("a", "b") if self.release["standby"] else ("a",)
        self.stored = self.release["hooks"] or self.release["standby"]
        self.addresses, self.hooks, self.got, self.open = {}, [], 0, []

    def start(self):
        """Addresses for proxies and machines."""
        if self.stored:
            (self.day.folder / "day.secret").write_text(SECRET)
            self.receiver = host.Listener("127.0.0.1:0")
            host.spawn(host.serve, self.receiver, self.receive, None)
        for name in self.names:
            self.write(name, "127.0.0.1:0", "127.0.0.1:0")
            self.spawn(name)
        for name in self.names:
            where = self.day.ready(f"release.{name}").split()
            self.addresses[name], self.hooks = where[0], self.hooks + where[1:]
            self.write(name, *where)  # a restart comes back where it is known
        return list(self.addresses.values())

    def write(self, name, listen, hooks="127.0.0.1:0"):
        folder = self.day.folder
        text = f'listen: "{listen}"\nname: "{name}"\n'
        if self.stored:
            text += (
                f'store: "{folder / "release.db"}"\npatience: {self.release["patience"]:g}\nhooks_listen: "{hooks}"\n'
                f'pipeline {{ name: "day" secret_file: "{folder / "day.secret"}" }}\n'
                f'receiver {{ name: "day" url: "http://{self.receiver.where}/told" secret_file: "{folder / "day.secret"}" '
                "first_wait: 50 longest_wait: 400 answer_limit: 400 most_tries: 40 }\n"
            )
        if self.release["trail"]:
            text += f'trail: "{folder / f"trail.release.{name}"}"\n'
        (folder / f"controller.{name}.textproto").write_text(text)

    def spawn(self, name):
        self.day.start(
            f"release.{name}",
            "release",
            "run",
            self.fleet,
            self.day.folder / f"controller.{name}.textproto",
            "--script",
            self.day.script,
            *self.facts,
            "--ready-file",
            self.day.folder / f"release.{name}.ready",
        )

    # ---- the day ----

    def play(self):
        begin = self.day.begin
        for nth, offer in enumerate(self.day.day.offers if self.release["hooks"] else ()):
            for copy in range(2):
                for at in self.hooks:
                    for later in (0.0, AGAIN):
                        host.later(begin + offer.at + later - host.now(), self.deliver, nth, at, copy)
        for trouble in self.day.day.troubles:
            if trouble.kind in ("controller_kill", "controller_pause"):
                host.later(
                    begin + trouble.at - host.now(), self.strike, trouble.kind, trouble.until - trouble.at
                )

    def strike(self, kind, span):
        """The one that acts is killed or stopped; it comes back after `span`."""
        name = Store(self.day.folder / "release.db").lease_state()[1]
        process = self.day.processes[f"release.{name}"]
        self.day.events.add(host.now(), kind.replace("_", " "), name, "")
        if kind == "controller_pause":
            os.kill(process.pid, signal.SIGSTOP)
            host.sleep(span)
            os.kill(process.pid, signal.SIGCONT)
        else:
            self.day.stopped.add(f"release.{name}")
            process.kill()
            while process.poll() is None:
                host.sleep(5)
            host.sleep(span)
            self.spawn(name)
            self.day.stopped.discard(f"release.{name}")
        self.day.events.add(host.now(), "controller back", name, "")

    def settle(self):
        """Until all deliveries are answered and all that is due to the receiver is sent: at most a few seconds."""
        store, end = Store(self.day.folder / "release.db") if self.stored else None, host.now() + 5000
        while store and host.now() < end and (self.open or store.messages("due")):
            host.sleep(50)
        for ident, at in self.open:
            self.day.events.add(host.now(), "webhook unanswered", ident, at)

    # ---- the pipeline ----

    def deliver(self, nth, at, copy):
        """As a pipeline does: until it is answered with something other than 'try again'."""
        body = json.dumps(dict(build=nth + 2)).encode()
        ident = f"delivery-{nth}"
        self.open.append((ident, at))
        while True:
            try:
                status, text = ask(at, b"/hooks/day", self.signed(nth, ident, body), body, 2000)
            except (OSError, host.Refused, host.Timeout, http.BadAnswer):
                status = 0
            if status not in (0, 503):
                self.day.events.add(
                    host.now(), "webhook answered", ident, f"{status} {text.decode().strip()}"
                )
                return self.open.remove((ident, at))
            host.sleep(200)

    def signed(self, nth, ident, body):
        def digest(data):
            return hmac.digest(SECRET.encode(), data, "sha256")

        if nth % 2:
            return [
                (b"x-delivery-id", ident.encode()),
                (b"x-hub-signature-256", b"sha256=" + digest(body).hex().encode()),
            ]
        at = b"%d" % host.wall()
        return [
            (b"webhook-id", ident.encode()),
            (b"webhook-timestamp", at),
            (
                b"webhook-signature",
                b"v1," + base64.b64encode(digest(ident.encode() + b"." + at + b"." + body)),
            ),
        ]

    # ---- the receiver ----

    def receive(self, stream):
        try:
            request = receive_request(stream, http.RequestReader(16384, 65536), 2000)
            if request is None:
                return
            _, _, headers, body, _ = request
            self.got += 1
            ident, at = (http.header(headers, n) or b"" for n in (b"webhook-id", b"webhook-timestamp"))
            want = base64.b64encode(hmac.digest(SECRET.encode(), ident + b"." + at + b"." + body, "sha256"))
            fine, told = http.header(headers, b"webhook-signature") == b"v1," + want, json.loads(body)
            self.day.events.add(
                host.now(),
                "letter" if fine else "letter badly signed",
                ident.decode(),
                f"{told['data']['build']} {told['type']}",
            )
            if self.got % 5 == 2:
                return stream.reset()
            if self.got % 5 == 4:
                host.sleep(1000)  # it hangs: longer than it is waited for
            stream.send(http.answer(500 if self.got % 5 == 0 else 204, [], b"", False), 1000)
        except (OSError, host.Timeout, http.BadRequest, ValueError, KeyError):
            pass
        finally:
            stream.close()
