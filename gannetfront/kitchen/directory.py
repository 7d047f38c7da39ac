"""A stand-in directory on loopback, from RFC 4511, 2696 and 4533: entries, changes, and whatever may go wrong with it.

`change` and `remove` are what an administrator does; the attributes of `faults` are what the world does to it.
"""

import uuid

from .. import host
from ..secured import Secured
from ..tenants import messages as m
from ..tenants.filters import matches


class Faults:
    """Each holds for as long as it is set."""

    def __init__(self):
        self.lag, self.trickle, self.half_after = (
            0.0,
            0,
            None,
        )  # ms an answer; bytes a second; bytes, then it breaks
        self.refuse_bind, self.search_code, self.size_limit, self.range_limit = None, None, None, None
        self.forget_sync = self.garbage = self.silent = False


class Directory:
    def __init__(self, at="127.0.0.1:0", password="secret", context=None, start_tls=None, history=1000):
        """`context` for LDAPS, `start_tls` a context offered by StartTLS."""
        self.entries, self.csn, self.log_of, self.history = (
            {},
            0,
            [],
            history,
        )  # dn -> (uuid, attrs); [(csn, uuid, dn, kind)]
        self.faults, self.password, self.context, self.start_tls = Faults(), password, context, start_tls
        self.streams, self.watchers, self.searches, self.binds, self.most_links = set(), [], 0, 0, 4096
        self.listener = host.Listener(at)
        self.at = self.listener.where
        host.spawn(host.serve, self.listener, self.handle, self, self.most_links)

    def warning(self, event, **facts):
        """As a log: nothing of a stand-in's is kept."""

    # ---- its content ----

    def change(self, dn, **attrs):
        """Adds or replaces an entry; values are text, bytes or lists of them."""

        def raw(v):
            return v if isinstance(v, bytes) else str(v).encode()

        values = {
            k.lower(): [raw(x) for x in (v if isinstance(v, (list, tuple)) else [v])]
            for k, v in attrs.items()
        }
        known = self.entries.get(dn)
        ident = known[0] if known else uuid.uuid5(uuid.NAMESPACE_OID, f"{dn} {self.csn}").bytes
        self.csn += 1
        values.setdefault("objectclass", [b"top"])
        values["modifytimestamp"] = [b"2026%014d.000000Z" % self.csn]
        values["entryuuid"] = [str(uuid.UUID(bytes=ident)).encode()]
        self.entries[dn] = ident, values
        self.told(ident, dn, "modify" if known else "add")

    def remove(self, dn):
        ident, _ = self.entries.pop(dn)
        self.csn += 1
        self.told(ident, dn, "delete")

    def rename(self, dn, new):
        ident, values = self.entries.pop(dn)
        self.csn += 1
        self.entries[new] = ident, values | {"modifytimestamp": [b"2026%014d.000000Z" % self.csn]}
        self.told(ident, new, "modify")

    def told(self, ident, dn, kind):
        self.log_of = (self.log_of + [(self.csn, ident, dn, kind)])[-self.history :]
        for watcher in list(self.watchers):
            watcher(ident, dn, kind)

    def copy(self):
        return dict(self.entries), self.csn

    def restore(self, copied):
        """Restarted with an older copy of its data."""
        self.entries, self.csn = dict(copied[0]), copied[1]
        self.log_of = []
        self.cut()

    def cut(self):
        for stream in list(self.streams):
            stream.reset()

    def stop(self):
        self.listener.close()
        self.cut()

    def back(self):
        self.listener = host.Listener(self.at)
        host.spawn(host.serve, self.listener, self.handle, self, self.most_links)

    # ---- the protocol ----

    def handle(self, stream):
        self.streams.add(stream)
        talk = Talk(self, stream)
        try:
            if self.context:
                talk.stream = Secured(stream, self.context, server=True)
            talk.run()
        except (OSError, host.Timeout, m.BadMessage):
            pass
        finally:
            self.watchers = [w for w in self.watchers if getattr(w, "__self__", None) is not talk]
            self.streams.discard(stream)
            stream.close()


class Talk:
    def __init__(self, directory, stream):
        self.d, self.stream, self.reader, self.bound, self.wrote, self.persist = (
            directory,
            stream,
            m.MessageReader(),
            False,
            0,
            {},
        )

    def run(self):
        while True:
            data = self.stream.recv(65536, 600000)
            if not data:
                return
            for ident, name, value, controls in self.reader.feed(data):
                while self.d.faults.silent:
                    host.sleep(20)
                host.sleep(self.d.faults.lag)
                if name == "unbind":
                    return
                getattr(self, "on_" + name)(ident, value, controls)

    def put(self, ident, name, value, controls=()):
        data, faults = m.encode(ident, name, value, controls), self.d.faults
        if faults.garbage:
            data = b"\x30\x84\xff\xff\xff\xff" + data
        if faults.half_after is not None and self.wrote + len(data) > faults.half_after:
            self.stream.send(data[: len(data) // 2], 5000)
            self.stream.reset()
            raise ConnectionResetError()
        self.wrote += len(data)
        if faults.trickle:
            for byte in data:
                self.stream.send(bytes([byte]), 5000)
                host.sleep(1000 / faults.trickle)
        else:
            self.stream.send(data, 60000)

    @staticmethod
    def result(code="success", message=""):
        return {"code": code, "matched": b"", "message": message.encode()}

    def on_bind(self, ident, value, controls):
        self.d.binds += 1
        way = value["authentication"]
        external = isinstance(way, dict)  # SASL EXTERNAL: who it is stands in the certificate of its TLS
        good = self.certified() if external else not value["name"] or way == self.d.password.encode()
        code = self.d.faults.refuse_bind or ("success" if good else "invalidCredentials")
        self.bound = code == "success"
        self.put(ident, "bound", self.result(code))

    def certified(self):
        return isinstance(self.stream, Secured) and bool(self.stream.tls.getpeercert())

    def on_extended(self, ident, value, controls):
        if value["name"] == m.START_TLS.encode() and self.d.start_tls:
            self.put(ident, "extended_done", self.result())
            self.stream = Secured(self.stream, self.d.start_tls, server=True)
        else:
            self.put(ident, "extended_done", self.result("unwillingToPerform"))

    def on_abandon(self, ident, value, controls):
        self.persist.pop(value, None)

    def fits(self, dn, base, filter):
        return (dn.lower() == base.lower() or dn.lower().endswith("," + base.lower())) and matches(
            filter, self.d.entries[dn][1]
        )

    def entry(self, ident, dn, attributes, controls=()):
        attrs = self.d.entries[dn][1]
        rows, most = [], self.d.faults.range_limit
        for asked in attributes:
            name, _, span = asked.partition(";range=")
            vals, at = attrs.get(name.lower()), int(span.partition("-")[0] or 0)
            if vals and most and len(vals) > most:
                part = vals[at : at + most]
                last = "*" if at + most >= len(vals) else at + most - 1
                rows.append({"type": f"{name};range={at}-{last}".encode(), "vals": part})
            elif vals:
                rows.append({"type": name.encode(), "vals": vals})
        self.put(ident, "entry", {"dn": dn.encode(), "attributes": rows}, controls)

    def on_search(self, ident, value, controls):
        self.d.searches += 1
        faults = self.d.faults
        base = value["base"].native.decode()
        filter, attributes = value["filter"], [a.native.decode() for a in value["attributes"]]
        if not self.bound:
            self.put(ident, "done", self.result("insufficientAccessRights"))
            return
        if faults.search_code:
            self.put(ident, "done", self.result(faults.search_code))
            return
        if m.SYNC_REQUEST in controls:
            self.sync(
                ident, m.SyncRequestValue.load(controls[m.SYNC_REQUEST]).native, base, filter, attributes
            )
            return
        found = [dn for dn in sorted(self.d.entries) if self.fits(dn, base, filter)]
        if value["scope"].native == "base":
            found = [dn for dn in found if dn.lower() == base.lower()]
        if faults.size_limit is not None and len(found) > faults.size_limit:
            for dn in found[: faults.size_limit]:
                self.entry(ident, dn, attributes)
            self.put(ident, "done", self.result("sizeLimitExceeded"))
            return
        done = ()
        if m.PAGED in controls:
            paged = m.PagedValue.load(controls[m.PAGED]).native
            at = int(paged["cookie"] or b"0")
            page, more = found[at : at + paged["size"]], at + paged["size"] < len(found)
            done = [
                (
                    m.PAGED,
                    False,
                    m.PagedValue(
                        {"size": len(found), "cookie": b"%d" % (at + paged["size"]) if more else b""}
                    ).dump(),
                )
            ]
            found = page
        for dn in found:
            self.entry(ident, dn, attributes)
        self.put(ident, "done", self.result(), done)

    def cookie(self):
        return b"csn=%d" % self.d.csn

    def sync(self, ident, asked, base, filter, attributes):
        def state(word, who):
            return [(m.SYNC_STATE, False, m.SyncStateValue({"state": word, "uuid": who}).dump())]

        def fits(dn):
            return dn in self.d.entries and self.fits(dn, base, filter)

        since = int(asked["cookie"][4:]) if (asked["cookie"] or b"").startswith(b"csn=") else None
        known = (
            since is not None
            and not self.d.faults.forget_sync
            and (since == self.d.csn or any(c == since + 1 for c, *_ in self.d.log_of))
        )
        if since is not None and not known:
            self.put(ident, "done", self.result("syncRefreshRequired"))
            return
        # What comes in while the refresh is written must follow it, not cross it.
        self.persist[ident] = (base, filter, attributes, late := [])
        self.d.watchers.append(self.watch)
        at = self.cookie()
        if known:
            changed = {}
            for csn, who, dn, kind in self.d.log_of:
                if csn > since:
                    changed[who] = dn
            for who, dn in changed.items():
                if fits(dn) and self.d.entries[dn][0] == who:
                    self.entry(ident, dn, attributes, state("add", who))
                else:
                    self.put(ident, "entry", {"dn": dn.encode(), "attributes": []}, state("delete", who))
            word = "refresh_delete"
        else:
            for dn in sorted(self.d.entries):
                if fits(dn):
                    self.entry(ident, dn, attributes, state("add", self.d.entries[dn][0]))
            word = "refresh_present"
        self.put(
            ident,
            "intermediate",
            {"name": m.SYNC_INFO.encode(), "value": m.SyncInfoValue(name=word, value={"cookie": at}).dump()},
        )
        self.persist[ident] = (base, filter, attributes, None)
        for who, dn, kind in late:
            self.tell(ident, who, dn, kind)

    def watch(self, who, dn, kind):
        for ident, (base, filter, attributes, late) in list(self.persist.items()):
            if late is not None:
                late.append((who, dn, kind))
            else:
                host.spawn(self.tell_safely, ident, who, dn, kind)

    def tell_safely(self, *what):
        try:
            self.tell(*what)
        except (OSError, host.Timeout):
            pass

    def tell(self, ident, who, dn, kind):
        base, filter, attributes, _ = self.persist[ident]

        def control(word):
            return [
                (
                    m.SYNC_STATE,
                    False,
                    m.SyncStateValue({"state": word, "uuid": who, "cookie": self.cookie()}).dump(),
                )
            ]

        if kind != "delete" and dn in self.d.entries and self.fits(dn, base, filter):
            self.entry(ident, dn, attributes, control(kind))
        else:
            self.put(ident, "entry", {"dn": dn.encode(), "attributes": []}, control("delete"))
