"""The reader of the directory: keeps a session with it and serves numbered views to many proxies.

It runs as the program gannet-tenants, or inside a proxy that holds the duty `tenants`.
"""

import ssl

from .. import host
from ..keptfile import KeptFile
from ..secured import Secured
from ..wire import control_pb2 as c, frames
from . import kept, messages as m
from .directory import Ended, Known, Session
from .views import DeletionGuard, Mapping, build

AGE_INTERVAL = 1000.0  # ms without a view to send after which a proxy is sent the age of its view


def attribute_mapping(settings):
    """The Mapping that the settings of a directory describe."""
    return Mapping(
        settings.id,
        settings.portion,
        settings.quota,
        settings.member_of,
        settings.member,
        settings.group_id,
        settings.nesting,
    )


def searches_of(settings):
    """The searches of a session: {kind: (base DN, filter text, attribute names)}."""
    common = [a for a in (settings.portion, settings.quota, settings.member_of) if a] + [
        "entryUUID",
        "modifyTimestamp",
    ]
    out = {"tenants": (settings.tenants_base, settings.tenants_filter, [settings.id, *common])}
    if settings.groups_base:
        out["groups"] = (
            settings.groups_base,
            settings.groups_filter,
            [settings.group_id, *([settings.member] if settings.member else []), *common],
        )
    return out


def tls_context(settings):
    """The TLS context for the directory; raises OSError for certificate files that cannot be read."""
    result = ssl.create_default_context(cafile=settings.ca_file or None)
    if settings.cert_file:
        result.load_cert_chain(settings.cert_file)
    return result


def open_session(settings, password, known, allow_older):
    """Connects to the directory. Returns (stream, session) with TLS established and the bind request sent;
    raises host.Refused, OSError, host.Timeout or Ended. `known` holds the entries read before. `allow_older`
    accepts entries that are older than those."""
    stream = host.connect(settings.address, settings.answer_limit)
    session = Session(
        known, searches_of(settings), settings.bind_name, password, settings.sync, settings.page, allow_older
    )
    try:
        if settings.security == "starttls":
            stream.send(session.start_tls(), settings.answer_limit)
            reader = m.MessageReader()
            found = []
            while not found:
                data = stream.recv(4096, settings.answer_limit)
                if not data:
                    raise Ended("disconnected", "during StartTLS")
                found = reader.feed(data)
            # Bytes after the answer arrived before TLS was established, so anyone could have inserted them.
            if (
                found[0][1] != "extended_done"
                or found[0][2]["code"] != "success"
                or len(found) > 1
                or reader.held
            ):
                raise Ended("StartTLS refused", str((found[0][2] or {}).get("code")))
        if settings.security != "none":
            stream = Secured(
                stream,
                tls_context(settings),
                settings.name_in_certificate or settings.address.rpartition(":")[0],
            )
            stream.handshake(settings.answer_limit)
        stream.send(session.begin(settings.external), settings.answer_limit)
        return stream, session
    except BaseException:
        stream.close()
        raise


class Reader:
    """Keeps the view of tenants up to date from the directory and serves it to proxies.

    `on_proxy_view(epoch, number)` is called with the view that each proxy reports when it connects; a duty
    replaces it to learn of a later view than its own.
    """

    def __init__(self, settings, log, random, max_connections=8192, term=None):
        """`settings` is a checked Directory; `random.random()` spreads the retries. `term` is (epoch, the
        view that this proxy has or None) where the reader runs under a duty. Then nothing is written to disk,
        and no view is served before the directory has confirmed it: this proxy's view may be older than those
        of other proxies. Without `term` the last view is read from `state_file` and served at once."""
        self.settings = settings
        self.log = log
        self.random = random
        self.max_connections = max_connections
        self.known = Known()
        self.guard = DeletionGuard(settings.most_gone)
        self.connections = set()
        self.password = (
            (host.read_file(settings.password_file) or b"").decode().strip() if settings.password_file else ""
        )
        self.state = "starting"
        self.operations = 0
        self.file = None
        self.on_proxy_view = lambda epoch, number: None
        if term:
            self.publisher = kept.Publisher(term[0], settings.history)
            if term[1]:
                self.guard.view = term[1]
                self.guard.next_number = term[1].number + 1
            return
        stored = kept.unpack(host.read_file(settings.state_file))
        epoch = max(int(host.wall()) << kept.LIFE_BITS, stored[1] + 1 if stored else 0)
        self.publisher = kept.Publisher(epoch, settings.history)
        self.file = KeptFile(
            settings.state_file,
            lambda: kept.pack(self.guard.view, self.publisher.epoch, self.age()),
            "view",
            log,
        )
        if stored:
            view, _, age = stored
            self.guard.view = view
            self.guard.confirmed = host.now() - age
            self.guard.next_number = view.number + 1
            self.publisher.publish(view)

    def age(self):
        """ms since the directory last confirmed the view in force; 1e15 if it never did."""
        return host.now() - self.guard.confirmed if self.guard.confirmed is not None else 1e15

    # ---- the directory ----

    def run(self):
        """Greenlet: keeps a session with the directory and reconnects after each failure, after a randomized
        delay that grows to 1 s at most (before the random factor of 0.5 to 1.5)."""
        wait = 100.0
        while True:
            started = host.now()
            try:
                self.run_session()
            except host.Refused as error:
                self.log_failure("directory unreachable", why=error.kind)
            except host.Timeout:
                self.log_failure("directory silent", for_ms=self.settings.answer_limit)
            except Ended as error:
                self.log_failure("directory refuses", why=str(error))
            except m.BadMessage as error:
                self.log_failure("directory sent garbage", why=str(error))
            except OSError as error:
                self.log_failure("directory broke", why=str(error)[:200])
            self.state = "disconnected"
            wait = 100.0 if host.now() - started > 5000 else min(1000.0, 1.6 * wait)
            host.sleep(wait * (0.5 + self.random.random()))

    def log_failure(self, event, **fields):
        self.log.warning(event, view=self.guard.view.number if self.guard.view else None, **fields)

    def run_session(self):
        """One session with the directory, until it fails; raises as `open_session` does, or
        messages.BadMessage."""
        settings, polls, next_poll = self.settings, 0, None
        stream, session = open_session(settings, self.password, self.known, self.accepted_number() != 0)
        try:
            self.operations += 1
            while True:
                if session.confirmed and not session.busy() and next_poll is None:
                    next_poll = host.now() + settings.poll_every
                # A directory that persists a synchronization may send nothing for long. A poll is
                # answered within the limit or fails.
                limit = (
                    settings.answer_limit
                    if session.busy() and not (settings.sync and session.confirmed)
                    else None
                )
                if next_poll is not None:
                    limit = max(1.0, next_poll - host.now())
                elif limit is None:
                    limit = settings.poll_every
                try:
                    data = stream.recv(65536, limit)
                except host.Timeout:
                    if next_poll is not None:
                        polls, next_poll = polls + 1, None
                        self.operations += 2
                        stream.send(session.sweep(polls % settings.sweep_every == 0), settings.answer_limit)
                        session.confirmed = False
                    elif settings.sync and session.confirmed:
                        self.guard.confirmed = host.now()  # the stream is open and nothing changed
                    else:
                        raise
                    continue
                if not data:
                    raise Ended("disconnected")
                out = session.feed(data)
                if out:
                    stream.send(out, settings.answer_limit)
                if session.confirmed:
                    if session.changed or self.state != "connected":
                        session.changed = False
                        self.update_view()
                    self.guard.confirmed = host.now() if self.guard.held is None else self.guard.confirmed
        finally:
            stream.close()

    def accepted_number(self):
        """The number of the held view that an operator has accepted, from the file `STATE_FILE.accept`; 0 for
        none."""
        text = (
            (host.Apart(host.read_file, self.settings.state_file + ".accept").wait() or b"0")
            .decode("ascii", "replace")
            .strip()
        )
        return int(text) if text.isdigit() else 0

    def update_view(self):
        """Builds a view of the entries known now and publishes it, unless it is unchanged or held."""
        # Waits for the disk. Nothing after it waits, so that no other view can be built in between.
        accepted = self.accepted_number()
        entries = self.known.entries
        view = build(attribute_mapping(self.settings), entries["tenants"], entries["groups"], 0)
        verdict = self.guard.offer(host.now(), view, accepted)
        self.state = "connected"
        if verdict == "same" and not self.publisher.views:
            # Confirmed for the first time under this epoch: proxies are sent it with that epoch.
            self.publish_view()
        if verdict == "held":
            self.log.error(
                "view held",
                number=self.guard.held.number if self.guard.held else 0,
                tenants=len(view.members),
                before=len(self.guard.view.members) if self.guard.view else 0,
            )
        elif verdict == "new":
            self.log.info(
                "view",
                number=view.number,
                tenants=len(view.members),
                groups=len(view.groups),
                quarantined=len(view.errors),
            )
            for dn, why in view.errors[:20]:
                self.log.warning("entry quarantined", dn=dn, why=why)
            self.publish_view()

    def publish_view(self):
        """Sends the view in force to all connected proxies and has it written to disk."""
        self.publisher.publish(self.guard.view)
        if self.file:
            self.file.mark_changed()
        for connection in list(self.connections):
            self.send_view(connection)

    def poll_acceptance(self):
        """Greenlet: checks whether an operator has accepted the held view, and puts it in force then."""
        while True:
            host.sleep(AGE_INTERVAL / 2)
            if self.guard.held and self.accepted_number() == self.guard.held.number:
                self.update_view()

    # ---- proxies ----

    def start(self):
        """Listens for proxies and starts the greenlets of a standalone reader; raises OSError or
        ValueError."""
        self.listener = host.Listener(self.settings.listen)
        self.greenlets = [host.spawn(call) for call in (self.run, self.poll_acceptance, self.file.run)]
        self.greenlets.append(
            host.spawn(host.serve, self.listener, self.handle, self.log, self.max_connections)
        )
        self.log.info(
            "serving", at=self.listener.where, view=self.guard.view.number if self.guard.view else 0
        )

    def send_view(self, connection):
        """Queues what a proxy needs to reach the newest view; closes its stream when the queue is full."""
        if self.publisher.views:
            view = self.publisher.views[-1]
            for data in self.publisher.frames_for(*connection.view_id, self.age()):
                if not connection.out.put(data):
                    connection.stream.close()
                    return
            connection.view_id = self.publisher.epoch, view.number

    def handle(self, stream, reader=None, hello=None):
        """Serves one proxy until it disconnects. `hello` is its first message where the caller has already
        read it."""
        connection, reader = Connection(stream), reader or frames.FrameReader(1 << 16)
        writer, first = host.spawn(self.write, connection), [("hello", hello)] if hello else []
        try:
            while True:
                data = first or stream.recv(4096, 10000)
                if not data:
                    return
                found, first = first or reader.feed(data), []
                for name, message in found:
                    if name == "hello":
                        connection.view_id = kept.epoch_of_message(message), message.revision
                        self.on_proxy_view(*connection.view_id)
                        self.connections.add(connection)
                        self.send_view(connection)
                    elif name == "ask":
                        connection.view_id = 0, 0
                        self.send_view(connection)
        except (OSError, host.Timeout, frames.BadFrame) as error:
            self.log.info("proxy connection lost", why=str(error) or "time-out")
        finally:
            self.connections.discard(connection)
            host.stop(writer)
            stream.close()

    def write(self, connection):
        """Greenlet: sends a proxy its queued frames and, while there are none, the age of its view."""
        try:
            while True:
                data = connection.out.take(AGE_INTERVAL)
                if data is None:
                    data = (
                        frames.pack(
                            tenants_age=c.TenantAge(
                                number=connection.view_id[1],
                                **kept.epoch_fields(connection.view_id[0]),
                                age=self.age(),
                            )
                        )
                        if self.publisher.views
                        else frames.pack(alive=c.Alive())
                    )
                connection.stream.send(data, 10000)
        except (OSError, host.Timeout):
            connection.stream.close()


class Connection:
    """A connected proxy: its stream, its queue of frames, and (epoch, number) of the view that it has
    once the queue is sent."""

    def __init__(self, stream):
        self.stream = stream
        self.out = host.Mailbox(256)
        self.view_id = (0, 0)


def check(settings, password):
    """(View, referrals) of one complete read of the directory, for `gannet-tenants check`; raises as
    `open_session` does, or messages.BadMessage."""
    known = Known()
    stream, session = open_session(settings, password, known, False)
    try:
        while not session.confirmed:
            data = stream.recv(65536, settings.answer_limit)
            if not data:
                raise Ended("disconnected")
            out = session.feed(data)
            if out:
                stream.send(out, settings.answer_limit)
    finally:
        stream.close()
    return build(
        attribute_mapping(settings), known.entries["tenants"], known.entries["groups"], 0
    ), session.referrals
