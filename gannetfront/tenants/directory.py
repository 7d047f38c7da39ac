"""One session with a directory, without I/O: bytes in, bytes out, the entries known afterwards.

Two kinds are read, tenants and groups, each by content synchronization (RFC 4533: refresh, then persist) where asked for,
else by sweeps of pages (RFC 2696) with looks at what changed in between. A refresh is staged: what is known changes in one
step when it is whole, and not at all when it breaks off or shows an older copy than the one read before.
"""

from . import messages as m
from .filters import escaped, parse

KINDS = "tenants", "groups"
MOST_ENTRIES = 2_000_000
STAMP = "modifytimestamp"


class Ended(Exception):
    """The session is of no more use; `code` is the directory's word or one of ours."""

    def __init__(self, code, why=""):
        super().__init__(f"{code}: {why}" if why else code)
        self.code = code


class Known:
    """What outlives a session: entries by kind and uuid, cookies, and how often a copy went back."""

    def __init__(self):
        self.entries, self.cookies, self.latest = {k: {} for k in KINDS}, dict.fromkeys(KINDS), ""


class Session:
    """`ask` maps each kind to (base, filter text, attribute names). Call `begin`, then `feed`; both give bytes to send.
    `changed` and `confirmed` are set as whole refreshes or changes are taken up; the caller clears them."""

    def __init__(self, known, ask, name, password, sync, page, may_go_back=False):
        self.known, self.ask, self.name, self.password, self.sync, self.page = (
            known,
            ask,
            name,
            password,
            sync,
            page,
        )
        self.reader, self.may_go_back = m.MessageReader(), may_go_back
        self.next, self.running, self.staged, self.present = 1, {}, {}, {}
        self.changed = self.confirmed = self.bound = False
        self.refreshed, self.referrals, self.incremental = set(), [], set()
        self.rest, self.whole = (
            {},
            {},
        )  # searches for further ranges; kinds that wait for them: all of it was named

    def send(self, name, value, controls=()):
        ident, self.next = self.next, self.next + 1
        return ident, m.encode(ident, name, value, controls)

    def begin(self, external=False):
        """Bind: by name and password, or by the certificate of the TLS session (SASL EXTERNAL)."""
        way = (
            m.Authentication(name="sasl", value={"mechanism": b"EXTERNAL"})
            if external
            else m.Authentication(name="simple", value=self.password.encode())
        )
        return self.send("bind", {"version": 3, "name": self.name.encode(), "authentication": way})[1]

    def start_tls(self):
        return self.send("extended", {"name": m.START_TLS.encode()})[1]

    # ---- searches ----

    def search(self, kind, cookie=None, since=None):
        base, text, attributes = self.ask[kind]
        if since:
            text = f"(&{text}({STAMP}>={escaped(since)}))"
        value = {
            "base": base.encode(),
            "scope": "sub",
            "deref": "never",
            "size_limit": 0,
            "time_limit": 0,
            "types_only": False,
            "filter": parse(text),
            "attributes": [a.encode() for a in attributes],
        }
        if self.sync:
            fields = {"mode": "refreshAndPersist"}
            if self.known.cookies[kind] is not None:
                fields["cookie"] = self.known.cookies[kind]
            controls = [(m.SYNC_REQUEST, True, m.SyncRequestValue(fields).dump())]
        else:
            controls = [(m.PAGED, True, m.PagedValue({"size": self.page, "cookie": cookie or b""}).dump())]
        ident, data = self.send("search", value, controls)
        self.running[ident] = kind
        if cookie is None:
            self.staged[kind], self.present[kind] = {}, set()
            self.incremental.discard(kind)
            if since:
                self.incremental.add(kind)
            self.refreshed.discard(kind)
        return data

    def sweep(self, whole):
        """The next look of a session that does not synchronize: all of it, or what changed since."""
        since = None if whole else self.known.latest or None
        return b"".join(self.search(kind, since=since) for kind in KINDS if kind in self.ask)

    def busy(self):
        return bool(self.running or self.rest)

    # ---- what comes back ----

    def feed(self, data):
        """Bytes to send; raises Ended or messages.BadMessage."""
        out = b""
        for ident, name, value, controls in self.reader.feed(data):
            if ident == 0:  # RFC 4511 4.4.1: the directory says that it ends this
                raise Ended(
                    "disconnected", (value.get("message") or b"").decode("utf-8", "replace") if value else ""
                )
            out += getattr(self, "on_" + name, self.on_other)(ident, value, controls) or b""
        return out

    def on_other(self, ident, value, controls):
        raise Ended("protocolError", "a message that no reader asked for")

    def on_bound(self, ident, value, controls):
        if value["code"] != "success":
            raise Ended(value["code"], (value["message"] or b"").decode("utf-8", "replace"))
        self.bound = True
        return b"".join(self.search(kind) for kind in KINDS if kind in self.ask)

    def on_extended_done(self, ident, value, controls):
        raise Ended(value["code"], "an answer to no extended request")

    def on_reference(self, ident, value, controls):
        # Referrals are not followed: another server's word is another directory. They are named for the operator.
        if len(self.referrals) < 16:
            self.referrals.append((value or [b""])[0].decode("utf-8", "replace"))

    def ranged(self, kind, uuid, dn, attrs):
        """Bytes that ask for the rest of attributes which the directory gives in ranges (`member;range=0-1499`)."""
        out = b""
        for name in [n for n in attrs if ";range=" in n]:
            plain, _, span = name.partition(";range=")
            last = span.partition("-")[2]
            held = attrs.setdefault(plain, [])
            held += attrs.pop(name)
            if last == "*":
                continue
            if not last.isdigit() or len(held) > MOST_ENTRIES:
                raise Ended("protocolError", f"a range '{span[:40]}'")
            # By presence alone: the entry is known to be there, and may fit the filter no longer.
            value = {
                "base": dn,
                "scope": "base",
                "deref": "never",
                "size_limit": 0,
                "time_limit": 0,
                "types_only": False,
                "filter": parse("(objectClass=*)"),
                "attributes": [f"{plain};range={int(last) + 1}-*".encode()],
            }
            ident, data = self.send("search", value)
            self.rest[ident] = kind, uuid, plain
            out += data
        return out

    def on_rest(self, ident, dn, attrs):
        kind, uuid, plain = self.rest[ident]
        entry = self.staged[kind].get(uuid)
        if entry is None:
            return b""
        more = {n: v for n, v in attrs.items() if n.partition(";")[0] == plain}
        merged = {plain: entry[1].get(plain, []), **more}
        if plain in more:
            merged[plain] = entry[1].get(plain, []) + more[plain]
        out = self.ranged(kind, uuid, dn, merged)
        entry[1][plain] = merged[plain]
        return out

    def on_entry(self, ident, value, controls):
        if ident in self.rest:
            return self.on_rest(ident, *value)
        kind = self.running.get(ident)
        if kind is None:
            return
        dn, attrs = value
        state, uuid = "add", None
        if m.SYNC_STATE in controls:
            told = m.SyncStateValue.load(controls[m.SYNC_STATE] or b"").native
            state, uuid = told["state"], told["uuid"]
            self.note_cookie(kind, told["cookie"])
        if uuid is None:
            uuid = (attrs.get("entryuuid") or [dn])[0]
        if len(self.staged[kind]) + len(self.known.entries[kind]) > MOST_ENTRIES:
            raise Ended("too many entries", f"past {MOST_ENTRIES}")
        if kind in self.refreshed:
            if state == "delete":
                self.known.entries[kind].pop(uuid, None)
            elif state != "present":
                self.known.entries[kind][uuid] = dn, attrs
            self.changed = True
        elif state == "delete":
            self.present[kind].discard(uuid)
            self.staged[kind][uuid] = None
        else:
            self.present[kind].add(uuid)
            if state != "present":
                self.staged[kind][uuid] = dn, attrs
                return self.ranged(kind, uuid, dn, attrs)

    def on_intermediate(self, ident, value, controls):
        kind = self.running.get(ident)
        if kind is None or value["name"] != m.SYNC_INFO.encode():
            return
        info = m.SyncInfoValue.load(value["value"] or b"")
        told = info.chosen.native
        if info.name == "cookie":
            self.note_cookie(kind, told)
            return
        self.note_cookie(kind, told["cookie"])
        if info.name == "id_set":
            for uuid in told["uuids"]:
                if not told["deletes"]:
                    self.present[kind].add(uuid)
                elif kind in self.refreshed:
                    self.known.entries[kind].pop(uuid, None)
                    self.changed = True
                else:
                    self.staged[kind][uuid] = None
        elif told["done"]:
            self.commit(kind, info.name == "refresh_present")
        else:
            self.only_deletes = info.name == "refresh_delete"

    def on_done(self, ident, value, controls):
        code = value["code"]
        if ident in self.rest:
            kind = self.rest.pop(ident)[0]
            if code not in ("success", "noSuchObject"):  # gone between the two looks: the next sweep says so
                raise Ended(code, "in a range")
            if kind in self.whole and not any(k == kind for k, *_ in self.rest.values()):
                self.commit(kind, self.whole.pop(kind))
            return
        kind = self.running.pop(ident, None)
        if kind is None:
            return
        if code == "syncRefreshRequired" and self.sync:
            # Its history no longer holds our cookie: all of it anew. What is known stays until that is whole.
            if self.known.cookies[kind] is None:
                raise Ended(code, "asked again without a cookie")
            self.known.cookies[kind] = None
            return self.search(kind)
        if code != "success":
            raise Ended(code, (value["message"] or b"").decode("utf-8", "replace"))
        if self.sync:
            if kind in self.refreshed:
                raise Ended("sync ended", "the directory stopped to persist")
            done = m.SyncDoneValue.load(controls[m.SYNC_DONE]).native if controls.get(m.SYNC_DONE) else {}
            self.note_cookie(kind, done.get("cookie"))
            self.commit(kind, not done.get("refresh_deletes"))
            return
        paged = m.PagedValue.load(controls[m.PAGED]).native if controls.get(m.PAGED) else {"cookie": b""}
        if paged["cookie"]:
            return self.search(kind, paged["cookie"])
        if any(k == kind for k, *_ in self.rest.values()):
            self.whole[kind] = kind not in self.incremental
        else:
            self.commit(kind, kind not in self.incremental)

    def note_cookie(self, kind, cookie):
        if cookie is not None:
            self.pending = getattr(self, "pending", {})
            self.pending[kind] = cookie
            if kind in self.refreshed:
                self.known.cookies[kind] = cookie

    def commit(self, kind, unnamed_gone):
        """A refresh is whole: taken up in one step."""
        known, staged = self.known.entries[kind], self.staged[kind]

        def stamp(entry):
            return (entry[1].get(STAMP) or [b""])[0]

        back = [u for u, e in staged.items() if e and u in known and stamp(e) < stamp(known[u])]
        if back and not self.may_go_back:
            raise Ended(
                "older copy",
                f"{len(back)} entries, {staged[back[0]][0][:80].decode('utf-8', 'replace')} among them, "
                "are older than those read before",
            )
        fresh = {u: e for u, e in known.items() if not unnamed_gone or u in self.present[kind]}
        for uuid, entry in staged.items():
            if entry is None:
                fresh.pop(uuid, None)
            else:
                fresh[uuid] = entry
        self.changed = self.changed or fresh != known
        self.known.entries[kind] = fresh
        self.known.cookies[kind] = getattr(self, "pending", {}).get(kind, self.known.cookies[kind])
        stamps = [stamp(e).decode("ascii", "replace") for e in staged.values() if e]
        self.known.latest = max([self.known.latest, *stamps])
        self.staged[kind], self.present[kind] = {}, set()
        self.refreshed.add(kind)
        if self.refreshed >= {k for k in KINDS if k in self.ask}:
            self.confirmed = True
