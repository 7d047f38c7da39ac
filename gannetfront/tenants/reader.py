"""gannet-tenants on sockets: one reader of the directory, many proxies served with numbered views."""

import ssl

from .. import host
from ..keptfile import KeptFile
from ..wire import control_pb2 as c, frames
from . import kept, messages as m
from .directory import Ended, Known, Session
from .views import Holder, Mapping, build

AGE_EVERY = 1000.0


def mapping(d):
    return Mapping(d.id, d.portion, d.quota, d.member_of, d.member, d.group_id, d.nesting)


def asked(d):
    """What a session asks for: {kind: (base, filter, attributes)}."""
    common = [a for a in (d.portion, d.quota, d.member_of) if a] + ["entryUUID", "modifyTimestamp"]
    out = {"tenants": (d.tenants_base, d.tenants_filter, [d.id, *common])}
    if d.groups_base:
        out["groups"] = (
            d.groups_base,
            d.groups_filter,
            [d.group_id, *([d.member] if d.member else []), *common],
        )
    return out


def context(d):
    """The TLS context of the settings; raises OSError for files that cannot be read."""
    made = ssl.create_default_context(cafile=d.ca_file or None)
    if d.cert_file:
        made.load_cert_chain(d.cert_file)
    return made


def connected(d, password, known, may_go_back):
    """(stream, session) after TLS and with the bind sent; raises Refused, OSError, Timeout or Ended."""
    stream = host.connect(d.address, d.answer_limit)
    session = Session(known, asked(d), d.bind_name, password, d.sync, d.page, may_go_back)
    try:
        if d.security == "starttls":
            stream.send(session.start_tls(), d.answer_limit)
            reader = m.MessageReader()
            found = []
            while not found:
                data = stream.recv(4096, d.answer_limit)
                if not data:
                    raise Ended("disconnected", "during StartTLS")
                found = reader.feed(data)
            # Bytes behind the answer were sent before TLS stood: they could be anyone's.
            if (
                found[0][1] != "extended_done"
                or found[0][2]["code"] != "success"
                or len(found) > 1
                or reader.held
            ):
                raise Ended("StartTLS refused", str((found[0][2] or {}).get("code")))
        if d.security != "none":
            stream = host.Secured(stream, context(d), d.name_in_certificate or d.address.rpartition(":")[0])
            stream.handshake(d.answer_limit)
        stream.send(session.begin(d.external), d.answer_limit)
        return stream, session
    except BaseException:
        stream.close()
        raise


class Reader:
    def __init__(self, d, log, chance, most_links=8192, term=None):
        """`term` is (epoch, the view held so far or None) where a duty gives it out: then nothing is kept on disk, and no view is
        handed on before the directory has confirmed it: what this one held so far may be older than what others hold."""
        self.d, self.log, self.chance, self.most_links = d, log, chance, most_links
        self.known, self.holder, self.links = Known(), Holder(d.most_gone), set()
        self.password = (host.read_file(d.password_file) or b"").decode().strip() if d.password_file else ""
        self.state, self.operations, self.file, self.ahead = "starting", 0, None, lambda epoch, number: None
        if term:
            self.publisher = kept.Publisher(term[0], d.history)
            if term[1]:
                self.holder.view, self.holder.next = term[1], term[1].number + 1
            return
        stored = kept.unpack(host.read_file(d.state_file))
        epoch = max(int(host.wall()) << kept.LIFE, stored[1] + 1 if stored else 0)
        self.publisher = kept.Publisher(epoch, d.history)
        self.file = KeptFile(
            d.state_file, lambda: kept.pack(self.holder.view, self.publisher.epoch, self.age()), "view", log
        )
        if stored:
            view, _, age = stored
            self.holder.view, self.holder.confirmed, self.holder.next = (
                view,
                host.now() - age,
                view.number + 1,
            )
            self.publisher.publish(view)

    def age(self):
        return host.now() - self.holder.confirmed if self.holder.confirmed is not None else 1e15

    # ---- the directory ----

    def run(self):
        wait = 100.0
        while True:
            begun = host.now()
            try:
                self.session()
            except host.Refused as trouble:
                self.say("directory unreachable", why=trouble.kind)
            except host.Timeout:
                self.say("directory silent", for_ms=self.d.answer_limit)
            except Ended as trouble:
                self.say("directory refuses", why=str(trouble))
            except m.BadMessage as trouble:
                self.say("directory sent garbage", why=str(trouble))
            except OSError as trouble:
                self.say("directory broke", why=str(trouble)[:200])
            self.state = "away"
            wait = 100.0 if host.now() - begun > 5000 else min(1000.0, 1.6 * wait)
            host.sleep(wait * (0.5 + self.chance.random()))

    def say(self, event, **facts):
        self.log.warning(event, view=self.holder.view.number if self.holder.view else None, **facts)

    def session(self):
        d, looks, due = self.d, 0, None
        stream, session = connected(d, self.password, self.known, self.accepted() != 0)
        try:
            self.operations += 1
            while True:
                if session.confirmed and not session.busy() and due is None:
                    due = host.now() + d.poll_every
                # One that persists may say nothing for long; a look of ours is answered or ends in time.
                limit = d.answer_limit if session.busy() and not (d.sync and session.confirmed) else None
                if due is not None:
                    limit = max(1.0, due - host.now())
                elif limit is None:
                    limit = d.poll_every
                try:
                    data = stream.recv(65536, limit)
                except host.Timeout:
                    if due is not None:
                        looks, due = looks + 1, None
                        self.operations += 2
                        stream.send(session.sweep(looks % d.sweep_every == 0), d.answer_limit)
                        session.confirmed = False
                    elif d.sync and session.confirmed:
                        self.holder.confirmed = host.now()  # it holds the stream open and has nothing new
                    else:
                        raise
                    continue
                if not data:
                    raise Ended("disconnected")
                out = session.feed(data)
                if out:
                    stream.send(out, d.answer_limit)
                if session.confirmed:
                    if session.changed or self.state != "here":
                        session.changed = False
                        self.take()
                    self.holder.confirmed = host.now() if self.holder.held is None else self.holder.confirmed
        finally:
            stream.close()

    def accepted(self):
        """The number of a held view that an operator has accepted; 0: none."""
        text = (
            (host.Apart(host.read_file, self.d.state_file + ".accept").wait() or b"0")
            .decode("ascii", "replace")
            .strip()
        )
        return int(text) if text.isdigit() else 0

    def take(self):
        accepted = (
            self.accepted()
        )  # waits for a disk: from here on nothing does, so that no other view comes between
        entries = self.known.entries
        view = build(mapping(self.d), entries["tenants"], entries["groups"], 0)
        verdict = self.holder.offer(host.now(), view, accepted)
        self.state = "here"
        if verdict == "same" and not self.publisher.views:
            self.give_out()  # confirmed for the first time in this term: proxies hear of it under its epoch
        if verdict == "held":
            self.log.error(
                "view held",
                number=self.holder.held.number if self.holder.held else 0,
                tenants=len(view.members),
                before=len(self.holder.view.members) if self.holder.view else 0,
            )
        elif verdict == "new":
            self.log.info(
                "view",
                number=view.number,
                tenants=len(view.members),
                groups=len(view.groups),
                quarantined=len(view.troubles),
            )
            for dn, why in view.troubles[:20]:
                self.log.warning("entry quarantined", dn=dn, why=why)
            self.give_out()

    def give_out(self):
        self.publisher.publish(self.holder.view)
        if self.file:
            self.file.mark_changed()
        for link in list(self.links):
            self.give(link)

    def watch(self):
        """Looks whether a held view has been accepted."""
        while True:
            host.sleep(AGE_EVERY / 2)
            if self.holder.held and self.accepted() == self.holder.held.number:
                self.take()

    # ---- proxies ----

    def start(self):
        self.listener = host.Listener(self.d.listen)
        self.greenlets = [host.spawn(call) for call in (self.run, self.watch, self.file.run)]
        self.greenlets.append(host.spawn(host.serve, self.listener, self.handle, self.log, self.most_links))
        self.log.info(
            "serving", at=self.listener.where, view=self.holder.view.number if self.holder.view else 0
        )

    def give(self, link):
        if self.publisher.views:
            view = self.publisher.views[-1]
            for data in self.publisher.frames_for(*link.held, self.age()):
                if not link.out.put(data):
                    link.stream.close()
                    return
            link.held = self.publisher.epoch, view.number

    def handle(self, stream, reader=None, hello=None):
        """One proxy; `hello` is its first word, where another has read it already."""
        link, reader = Link(stream), reader or frames.FrameReader(1 << 16)
        writer, first = host.spawn(self.write, link), [("hello", hello)] if hello else []
        try:
            while True:
                data = first or stream.recv(4096, 10000)
                if not data:
                    return
                found, first = first or reader.feed(data), []
                for name, message in found:
                    if name == "hello":
                        link.held = kept.epoch_in(message), message.revision
                        self.ahead(*link.held)
                        self.links.add(link)
                        self.give(link)
                    elif name == "ask":
                        link.held = 0, 0
                        self.give(link)
        except (OSError, host.Timeout, frames.BadFrame) as trouble:
            self.log.info("proxy link broke", why=str(trouble) or "silent")
        finally:
            self.links.discard(link)
            host.stop(writer)
            stream.close()

    def write(self, link):
        try:
            while True:
                data = link.out.take(AGE_EVERY)
                if data is None:
                    data = (
                        frames.pack(
                            tenants_age=c.TenantAge(
                                number=link.held[1], **kept.wired(link.held[0]), age=self.age()
                            )
                        )
                        if self.publisher.views
                        else frames.pack(alive=c.Alive())
                    )
                link.stream.send(data, 10000)
        except (OSError, host.Timeout):
            link.stream.close()


class Link:
    def __init__(self, stream):
        self.stream, self.out, self.held = stream, host.Mailbox(256), (0, 0)


def check(d, password):
    """(View, referrals) of a fresh read, for `gannet-tenants check`; raises as `connected` does."""
    known = Known()
    stream, session = connected(d, password, known, False)
    try:
        while not session.confirmed:
            data = stream.recv(65536, d.answer_limit)
            if not data:
                raise Ended("disconnected")
            out = session.feed(data)
            if out:
                stream.send(out, d.answer_limit)
    finally:
        stream.close()
    return build(mapping(d), known.entries["tenants"], known.entries["groups"], 0), session.referrals
