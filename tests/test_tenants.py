"""Tenants from a directory: the codec, views, what a view's age may decide, and the reader against a directory that fails."""

import datetime
import ssl
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given, settings, strategies as st

from gannetfront import host
from gannetfront.config import load, schema_pb2 as schema
from gannetfront.interface import IDEMPOTENT, SIDE_EFFECTING
from gannetfront.kitchen.directory import Directory
from gannetfront.tenants import filters, kept, messages as m
from gannetfront.tenants.reader import Reader, check
from gannetfront.tenants.tenancy import ADMIT, LATER, UNKNOWN, Tenancy
from gannetfront.tenants.views import Holder, Mapping, Slots, View, build
from rig import Log, Node, Rig, ok

SMALL = settings(max_examples=80, deadline=None, derandomize=True)
TEXT = st.text(max_size=20)


# ---- codec ----


@SMALL
@given(st.binary(max_size=300))
def test_any_bytes_are_a_message_or_refused(data):
    for raw in (data, b"\x30" + data, b"\x30\x10\x02\x01\x01\x63" + data):
        try:
            m.MessageReader().feed(raw)
        except m.BadMessage as bad:
            assert "\n" not in str(bad)


@SMALL
@given(
    st.lists(
        st.tuples(
            st.binary(min_size=1, max_size=12), st.lists(st.binary(max_size=20), min_size=1, max_size=3)
        ),
        max_size=5,
    ),
    st.lists(st.integers(0, 400), max_size=8),
)
def test_entries_read_the_same_however_they_are_cut(attrs, cuts):
    raw = m.encode(5, "entry", {"dn": b"cn=x", "attributes": [{"type": t, "vals": v} for t, v in attrs]}) * 2
    reader, got, at = m.MessageReader(), [], 0
    for cut in sorted({min(c, len(raw)) for c in cuts} | {len(raw)}):
        got += reader.feed(raw[at:cut])
        at = cut
    assert len(got) == 2 and all(g[:2] == (5, "entry") and g[2][0] == b"cn=x" for g in got)


@SMALL
@given(TEXT)
def test_any_value_survives_a_filter(text):
    made = m.Filter.load(filters.parse(f"(uid={filters.escaped(text)})").dump()) if text else None
    if made is not None and made.name == "equal":
        assert made.chosen["value"].native == text.encode()
        assert filters.matches(made, {"uid": [text.encode()]})


@pytest.mark.parametrize(
    "text",
    [
        "",
        "uid=x",
        "(uid=x",
        "(uid=x))",
        "(&)",
        "(!(a=b)(c=d))",
        "(=x)",
        "(a=\\zz)",
        "(a=\\4)",
        "(&" * 40 + "(a=b)" + ")" * 40,
    ],
)
def test_bad_filters_are_refused(text):
    with pytest.raises(filters.BadFilter):
        filters.parse(text)


@pytest.mark.parametrize(
    "text, fits",
    [
        ("(uid=ann)", True),
        ("(uid=ANN)", True),
        ("(uid=a*n)", True),
        ("(uid=*x*)", False),
        ("(!(uid=ann))", False),
        ("(&(uid=*)(n>=2))", True),
        ("(|(uid=bob)(n<=2))", False),
        ("(cn=*)", False),
        ("(uid=\\61nn)", True),
    ],
)
def test_filters_match(text, fits):
    assert filters.matches(m.Filter.load(filters.parse(text).dump()), {"uid": [b"Ann"], "n": [b"3"]}) == fits


@pytest.mark.parametrize(
    "raw, why",
    [
        (b"\x30\x85\x01\x01\x01\x01\x01", "past four bytes"),
        (b"\x30\x84\x7f\xff\xff\xff", "bytes, past"),
        (b"\x30\x80\x00\x00", "indefinite"),
        (b"GET / HTTP/1.1", "not a sequence"),
        (b"\x30\x06\x02\x01\x01\x63\x7f\x00", "longer than what holds it"),
        (
            b"\x30\x7f" + b"".join(bytes([0x30, 125 - 2 * n]) for n in range(62)) + b"\x30\x00" + b"\x00" * 3,
            "nested past",
        ),
    ],
)
def test_absurd_ber_is_refused_before_it_is_decoded(raw, why):
    with pytest.raises(m.BadMessage, match=why):
        m.MessageReader().feed(raw)


# ---- views ----

MAP = Mapping("uid", portion="portion", quota="quota", member_of="memberOf", member="member")


def entry(dn, **attrs):
    return dn.encode(), {
        k.lower(): [x if isinstance(x, bytes) else x.encode() for x in (v if isinstance(v, list) else [v])]
        for k, v in attrs.items()
    }


def view(tenants, groups=(), mapping=MAP):
    return build(
        mapping,
        {b"%d" % n: e for n, e in enumerate(tenants)},
        {b"g%d" % n: e for n, e in enumerate(groups)},
        1,
    )


def test_groups_by_member_of_and_by_member_and_nested():
    v = view(
        [
            entry("uid=a,dc=x", uid="a", memberOf="cn=k,dc=x"),
            entry("uid=b, dc=x", uid="b"),
            entry("uid=c,dc=x", uid="c", memberOf="cn=sub,dc=x"),
            entry("uid=d,dc=x", uid="d"),
        ],
        [
            entry("cn=K, dc=x", cn="k", portion="0.5", member=["uid=B,dc=x", "cn=sub,dc=x"]),
            entry("cn=sub,dc=x", cn="sub"),
        ],
    )
    assert v.members == {"a": ("k", 0.0), "b": ("k", 0.0), "c": ("k", 0.0), "d": ("-", 0.0)}
    assert v.groups == {"-": 1.0, "k": 0.5} and not v.troubles


def test_a_loop_of_three_groups_ends_and_is_named():
    ring = [entry(f"cn={a},dc=x", cn=a, memberOf=f"cn={b},dc=x") for a, b in ("ab", "bc", "ca")]
    v = view([entry("uid=t,dc=x", uid="t", memberOf="cn=a,dc=x")], ring)
    assert v.members["t"][0] == "a" and any("within itself" in why for _, why in v.troubles)


@pytest.mark.parametrize(
    "bad, why",
    [
        (entry("uid=x,dc=x"), "0 values"),
        (entry("uid=x,dc=x", uid=["x", "y"]), "2 values"),
        (entry("uid=x,dc=x", uid=b"\xff"), "UTF-8"),
        (entry("uid=x,dc=x", uid="x", portion="much"), "is no number"),
        (entry("uid=x,dc=x", uid="x", portion="nan"), "outside"),
        (entry("uid=x,dc=x", uid="x", portion="7"), "outside 0 to 1"),
        (entry("uid=x,dc=x", uid="x\ny"), "line end"),
        ((b"uid=\xff,dc=x", {"uid": [b"x"]}), "UTF-8"),
        (entry("uid=x,dc=x", uid="x" * 300), "past 256"),
    ],
)
def test_bad_entries_are_quarantined_and_the_rest_serve(bad, why):
    v = view([bad, entry("uid=good,dc=x", uid="good")])
    assert list(v.members) == ["good"] and len(v.troubles) == 1 and why in v.troubles[0][1]


def test_two_that_claim_one_id_serve_neither():
    v = view([entry("uid=a,ou=1", uid="a"), entry("uid=a,ou=2", uid="a"), entry("uid=b,ou=1", uid="b")])
    assert list(v.members) == ["b"] and len(v.troubles) == 2


def test_dn_with_escaped_commas_and_blanks():
    v = view(
        [entry("uid=t,dc=x", uid="t", memberOf="CN=Bread\\, fresh , DC=x")],
        [entry("cn=bread\\, fresh,dc=x", cn="bread", portion="0.2")],
    )
    assert v.members["t"] == ("bread", 0.0)


def test_fifty_thousand_entries_one_in_a_hundred_broken():
    v = view(
        [
            entry(f"uid=t{n},dc=x", uid=f"t{n}", **({"portion": "x"} if n % 100 == 0 else {}))
            for n in range(50000)
        ]
    )
    assert len(v.members) == 49500 and len(v.troubles) == 500


def plain(number, ids):
    return View(number, {i: ("g", 0.0) for i in ids}, {"g": 1.0}, [])


def test_mass_deletion_is_held_until_accepted():
    holder = Holder()
    assert holder.offer(0, plain(0, "abcdefghij")) == "new"
    assert holder.offer(1, plain(0, "")) == "held" and len(holder.view.members) == 10
    held = holder.held.number
    assert holder.offer(2, plain(0, "")) == "held" and holder.held.number == held
    assert holder.offer(3, plain(0, ""), accepted=held) == "new" and not holder.view.members
    assert holder.offer(4, plain(0, "abc")) == "new"


def test_small_losses_and_a_wrong_turn_taken_back_are_not_held():
    holder = Holder()
    holder.offer(0, plain(0, "abcdefghij"))
    assert holder.offer(1, plain(0, "abcdefghi")) == "new" and holder.offer(2, plain(0, "")) == "held"
    assert holder.offer(3, plain(0, "abcdefghi")) == "same" and holder.held is None


def test_first_answer_that_is_empty_is_no_view():
    assert Holder().offer(0, plain(0, "")) == "held"


def test_numbers_stay_with_their_groups():
    slots = Slots(most=3)
    assert slots.take({"a": 0.5, "b": 0.25}) == ((0.5, 0.0), (0.25, 0.0))
    assert slots.take({"b": 0.25, "c": 0.1})[1:] == ((0.25, 0.0), (0.1, 0.0)) and slots.of == {"b": 1, "c": 2}
    slots.take({"b": 0.2, "c": 0.1, "d": 0.3})
    assert slots.of == {"b": 1, "c": 2, "d": 0}  # the one freed longest ago


def test_what_an_age_may_decide():
    t = Tenancy([IDEMPOTENT, SIDE_EFFECTING], 100.0, 500.0, 900.0)
    assert t.admit(0, "a", 0) == (LATER, 0)
    t.swap((1, 1), {"a": ("g", 0.0)}, {"g": 3}, 0.0)
    assert [t.admit(now, "a", op)[0] for now in (50, 400, 600, 1000) for op in (0, 1)] == [
        ADMIT,
        ADMIT,
        ADMIT,
        ADMIT,
        ADMIT,
        LATER,
        LATER,
        LATER,
    ]
    assert (
        t.admit(50, "b", 0)[0] == UNKNOWN and t.admit(200, "b", 0)[0] == LATER and t.admit(50, "a", 0)[1] == 3
    )
    assert not t.swap((1, 0), {}, {}, 50.0) and t.members
    t.confirm((1, 1), 1000.0)
    assert t.admit(1050, "a", 1)[0] == ADMIT


# ---- views on their way ----

IDS = st.dictionaries(
    st.text("abc", min_size=1, max_size=3),
    st.tuples(st.sampled_from("gh"), st.sampled_from([0.0, 5.0])),
    max_size=8,
)


@SMALL
@given(st.lists(IDS, min_size=1, max_size=6), st.integers(0, 5), st.integers(1, 3))
def test_changes_and_wholes_lead_to_the_same_view(steps, start, history):
    pub, held = kept.Publisher(7, history), kept.Held()
    for n, members in enumerate(steps, 1):
        pub.publish(View(n, members, {g: 0.5 for g, _ in members.values()}, []))
        if n >= start:
            from gannetfront.wire import frames

            for data in pub.frames_for(held.epoch, held.number, 0.0):
                for _, told in frames.FrameReader().feed(data):
                    held.take(told)
    if start <= len(steps):
        assert (held.members, held.number) == (steps[-1], len(steps))


def test_older_views_and_gaps_are_refused():
    held = kept.Held()
    for told in kept.parts(plain(5, "ab"), 2, 0.0):
        held.take(told)
    for number, epoch in ((4, 2), (9, 1)):
        with pytest.raises(ValueError, match="older"):
            held.take(next(kept.parts(plain(number, "a"), epoch, 0.0)))
    with pytest.raises(ValueError, match="changes on view 6"):
        held.take(next(kept.parts(plain(7, "a"), 2, 0.0, base=plain(6, "ab"))))


def test_torn_view_file_is_none():
    data = kept.pack(plain(5, "ab"), 2, 3.0)
    assert kept.unpack(data)[1:] == (2, 3.0) and all(
        kept.unpack(data[:n]) is None for n in (0, 10, 30, len(data) - 1)
    )


# ---- the reader against the stand-in ----


@pytest.fixture
def place(tmp_path):
    made = []

    class Place:
        def __init__(self, tenants=6, sync=True, **settings_of):
            self.d = Directory()
            self.d.change("cn=kitchens,ou=g,dc=x", cn="kitchens", portion="0.5")
            self.d.change("cn=shops,ou=g,dc=x", cn="shops", portion="0.3")
            for n in range(tenants):
                self.tenant(f"t{n}")
            self.facts = (
                dict(
                    address=self.d.at,
                    tenants_base="ou=t,dc=x",
                    tenants_filter="(uid=*)",
                    groups_base="ou=g,dc=x",
                    portion="portion",
                    bind_name="cn=reader",
                    password_file=str(tmp_path / "pw"),
                    state_file=str(tmp_path / "tenants.kept"),
                    sync=sync,
                    poll_every=60.0,
                    sweep_every=2,
                    answer_limit=400.0,
                )
                | settings_of
            )
            (tmp_path / "pw").write_text("secret\n")
            self.log = Log()
            self.start()

        def tenant(self, name, group="kitchens"):
            self.d.change(f"uid={name},ou=t,dc=x", uid=name, memberOf=f"cn={group},ou=g,dc=x")

        def start(self):
            text = "\n".join(
                f"{k}: {chr(34) + v + chr(34) if isinstance(v, str) else str(v).lower()}"
                for k, v in self.facts.items()
            )
            self.settings = load.parse(schema.Directory, text, "d")
            self.reader = Reader(self.settings, self.log, host.chance(1))
            self.reader.start()
            made.append(self)
            return self

        @property
        def view(self):
            return self.reader.holder.view

        def until(self, true, limit=6000):
            end = host.now() + limit
            while not true():
                assert host.now() < end, f"never came about; {self.log.lines[-4:]}"
                host.sleep(5)

        def end(self):
            for one in self.reader.greenlets:
                host.stop(one)
            self.reader.listener.close()

    yield Place
    for one in made:
        one.end()
        one.d.stop()


@pytest.mark.parametrize("sync", [True, False], ids=["sync", "polling"])
def test_additions_moves_renames_and_deletions_come_through(place, sync):
    p = place(sync=sync)
    p.until(lambda: p.view and len(p.view.members) == 6)
    p.tenant("new")
    p.until(lambda: "new" in p.view.members)
    p.tenant("t1", "shops")
    p.until(lambda: p.view.members["t1"][0] == "shops")
    p.d.rename("uid=t2,ou=t,dc=x", "uid=t2,ou=elsewhere,ou=t,dc=x")
    p.d.remove("uid=new,ou=t,dc=x")
    p.until(lambda: "new" not in p.view.members)
    assert "t2" in p.view.members and p.view.number >= 4


def test_changes_during_a_cut_are_not_missed(place):
    p = place()
    p.until(lambda: p.view)
    p.d.stop()
    p.tenant("late")
    p.d.remove("uid=t0,ou=t,dc=x")
    host.sleep(100)
    assert "t0" in p.view.members  # what is known goes on serving
    p.d.back()
    p.until(lambda: "late" in p.view.members and "t0" not in p.view.members)


def test_history_gone_means_all_anew_without_a_gap(place):
    p = place()
    p.until(lambda: p.view)
    p.d.faults.forget_sync = True
    p.d.stop()
    p.d.remove("uid=t0,ou=t,dc=x")
    p.d.back()
    p.until(lambda: "t0" not in p.view.members)
    assert len(p.view.members) == 5


def test_refresh_that_breaks_off_changes_nothing(place):
    p = place(tenants=40)
    p.until(lambda: p.view)
    p.d.faults.forget_sync, p.d.faults.half_after = True, 3000
    p.d.cut()
    p.until(lambda: len(p.log.said("directory broke") + p.log.said("directory refuses")) >= 2)
    assert len(p.view.members) == 40
    p.d.faults.half_after = None
    p.tenant("after")
    p.until(lambda: "after" in p.view.members)


def test_mass_deletion_at_the_directory_is_held_then_accepted(place):
    p = place(tenants=20)
    p.until(lambda: p.view)
    for n in range(15):
        p.d.remove(f"uid=t{n},ou=t,dc=x")
    p.until(lambda: p.log.said("view held"))
    host.sleep(100)
    assert len(p.view.members) >= 15
    host.replace_file(p.facts["state_file"] + ".accept", str(p.reader.holder.held.number).encode())
    p.until(lambda: len(p.view.members) == 5)


def test_members_that_come_in_ranges_are_joined(place):
    p = place(sync=False, member="member", member_of="", sweep_every=1)
    names = [f"uid=t{n},ou=t,dc=x" for n in range(6)]
    p.d.faults.range_limit = 2
    p.d.change("cn=kitchens,ou=g,dc=x", cn="kitchens", portion="0.5", member=names)
    p.until(lambda: p.view and all(g == "kitchens" for g, _ in p.view.members.values()))
    p.d.change("cn=kitchens,ou=g,dc=x", cn="kitchens", portion="0.5", member=names[:3])
    p.until(lambda: sorted(g for g, _ in p.view.members.values()) == ["-"] * 3 + ["kitchens"] * 3)


def test_older_copy_never_replaces_a_newer_one(place):
    p = place(sync=False, sweep_every=1)
    p.until(lambda: p.view)
    old = p.d.copy()
    p.tenant("t1", "shops")
    p.until(lambda: p.view.members["t1"][0] == "shops")
    p.d.restore(old)
    p.until(lambda: any("older copy" in f["why"] for f in p.log.said("directory refuses")))
    assert p.view.members["t1"][0] == "shops"


@pytest.mark.parametrize(
    "fault, event",
    [
        (dict(refuse_bind="invalidCredentials"), "directory refuses"),
        (dict(search_code="busy"), "directory refuses"),
        (dict(silent=True), "directory silent"),
        (dict(garbage=True), "directory sent garbage"),
        (dict(half_after=10), "directory broke"),
        (dict(search_code="timeLimitExceeded"), "directory refuses"),
    ],
    ids=str,
)
def test_each_trouble_is_named_and_got_over(place, fault, event):
    p = place()
    p.until(lambda: p.view)
    vars(p.d.faults).update(fault)
    p.d.cut()
    p.until(lambda: p.log.said(event) or event == "directory broke" and p.log.said("directory refuses"))
    assert len(p.view.members) == 6
    vars(p.d.faults).update(
        dict(refuse_bind=None, search_code=None, silent=False, garbage=False, half_after=None)
    )
    p.tenant("again")
    p.until(lambda: "again" in p.view.members, 10000)


def test_size_limit_is_an_error_not_a_smaller_view(place):
    p = place(sync=False)
    p.until(lambda: p.view)
    p.d.faults.size_limit = 2
    p.until(lambda: any("sizeLimit" in f["why"] for f in p.log.said("directory refuses")))
    assert len(p.view.members) == 6


def test_trickle_is_read_to_its_end(place):
    p = place(tenants=2)
    p.until(lambda: p.view)
    p.d.faults.trickle = 2000
    p.tenant("slow")
    p.until(lambda: "slow" in p.view.members)


def test_restart_with_all_away_serves_the_last_view(place):
    p = place()
    p.until(lambda: p.view and not p.reader.file.unwritten and Path(p.facts["state_file"]).exists())
    epoch = p.reader.publisher.epoch
    p.end()
    p.d.stop()
    p.start()
    assert len(p.view.members) == 6 and p.reader.publisher.epoch > epoch


def certificate(tmp_path, names, days=1):
    from cryptography import x509
    from cryptography.hazmat.primitives import hashes, serialization
    from cryptography.hazmat.primitives.asymmetric import ec

    key, name = (
        ec.generate_private_key(ec.SECP256R1()),
        x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "directory")]),
    )
    now = datetime.datetime.now(datetime.timezone.utc)
    cert = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=3))
        .not_valid_after(now + datetime.timedelta(days=days))
        .add_extension(x509.SubjectAlternativeName([x509.DNSName(n) for n in names]), False)
        .add_extension(x509.BasicConstraints(True, None), True)
        .sign(key, hashes.SHA256())
    )
    path = tmp_path / f"{names[0]}{days}.pem"
    path.write_bytes(
        cert.public_bytes(serialization.Encoding.PEM)
        + key.private_bytes(
            serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
        )
    )
    made = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    made.load_cert_chain(path)
    return str(path), made


@pytest.mark.parametrize("security", ["ldaps", "starttls"])
@pytest.mark.parametrize(
    "names, days, fine",
    [(["directory"], 1, True), (["other"], 1, False), (["directory"], -1, False)],
    ids=["good", "wrong name", "expired"],
)
def test_certificates_are_checked(place, tmp_path, security, names, days, fine):
    path, served = certificate(tmp_path, names, days)
    p = place()
    p.d.stop()
    p.d.context, p.d.start_tls = (served, None) if security == "ldaps" else (None, served)
    p.d.back()
    settings_of = load.parse(
        schema.Directory,
        f'address: "{p.d.at}" tenants_base: "ou=t,dc=x" security: "{security}" '
        f'ca_file: "{path}" name_in_certificate: "directory"',
        "d",
    )
    if fine:
        assert len(check(settings_of, "")[0].members) == 6
    else:
        with pytest.raises(ssl.SSLCertVerificationError):
            check(settings_of, "")


@pytest.mark.parametrize("shown", [True, False], ids=["with its certificate", "without"])
def test_external_bind_is_by_the_certificate(place, tmp_path, shown):
    path, served = certificate(tmp_path, ["directory"])
    served.verify_mode = ssl.CERT_OPTIONAL
    served.load_verify_locations(path)
    p = place()
    p.d.stop()
    p.d.context = served
    p.d.back()
    settings_of = load.parse(
        schema.Directory,
        f'address: "{p.d.at}" tenants_base: "ou=t,dc=x" security: "ldaps" ca_file: "{path}" '
        'name_in_certificate: "directory" external: true ' + (f'cert_file: "{path}"' if shown else ""),
        "d",
    )
    if shown:
        assert len(check(settings_of, "")[0].members) == 6
    else:
        from gannetfront.tenants.directory import Ended

        with pytest.raises(Ended, match="invalidCredentials"):
            check(settings_of, "")


def test_starttls_refused_is_not_gone_without(place):
    p = place()
    settings_of = load.parse(
        schema.Directory, f'address: "{p.d.at}" tenants_base: "ou=t,dc=x" security: "starttls"', "d"
    )
    from gannetfront.tenants.directory import Ended

    with pytest.raises(Ended, match="StartTLS refused"):
        check(settings_of, "")


# ---- through a proxy ----


def test_moved_and_deleted_with_invocations_open(place, tmp_path):
    p = place()
    p.until(lambda: p.view)
    one = Rig(
        tmp_path, Node([150, ok()]), tenants=p.reader.listener.where, tenants_file=str(tmp_path / "view")
    )
    one.until(lambda: one.proxy.tenants.number())
    tenancy = one.proxy.tenants.tenancy
    assert one.ask(gannet_tenant="nobody")[0] == 403 and one.ask()[0] == 403
    before = tenancy.admit(host.now(), "t1", 0)
    stream = host.connect(one.at, 1000)
    from gannetfront.wire import http as codec

    stream.send(codec.request(b"/debit", b"x", [(b"gannet-tenant", b"t1")], b""), 1000)
    one.until(lambda: len(one.nodes[0].seen) == 1)
    p.tenant("t1", "shops")
    one.until(lambda: tenancy.members["t1"][0] == "shops")
    p.d.remove("uid=t1,ou=t,dc=x")
    one.until(lambda: "t1" not in tenancy.members)
    assert one.read(stream)[1] == "succeeded"  # what was admitted ends as it began
    assert one.ask(gannet_tenant="t1")[0] == 403 and before[0] == ADMIT
    assert one.proxy.rounds.balancer.tenants[before[1]][0] == 0.5
    one.close()


def test_proxy_serves_from_its_kept_view_with_all_away(place, tmp_path):
    p = place()
    p.until(lambda: p.view)
    one = Rig(tmp_path, Node(), tenants=p.reader.listener.where, tenants_file=str(tmp_path / "view"))
    one.until(lambda: (tmp_path / "view").exists())
    one.close()
    again = Rig(tmp_path, Node(), tenants="127.0.0.1:1", tenants_file=str(tmp_path / "view"))
    assert again.ask(gannet_tenant="t1")[1] == "succeeded" and again.ask(gannet_tenant="nobody")[0] in (
        403,
        429,
    )
    again.close()


def test_no_view_at_all_means_come_back(tmp_path):
    one = Rig(tmp_path, Node(), tenants="127.0.0.1:1", tenants_file=str(tmp_path / "none"))
    assert one.ask(gannet_tenant="t1")[:2] == (429, "throttled") and not one.nodes[0].seen
    one.close()


def test_many_proxies_come_back_at_once(place):
    from gannetfront.wire import control_pb2 as c, frames

    p = place(tenants=200, answer_limit=10000)  # read in this same process, which a slow machine holds up
    p.until(lambda: p.view)
    got = []

    def proxy():
        stream, reader, held = host.connect(p.reader.listener.where, 5000), frames.FrameReader(), kept.Held()
        stream.send(frames.pack(hello=c.Hello(role=c.PROXY, id="1")), 5000)
        while held.members is None:
            for name, told in reader.feed(stream.recv(65536, 5000)):
                if name == "tenants":
                    held.take(told)
        got.append(len(held.members))
        stream.close()

    host.join([host.spawn(proxy) for _ in range(1000)], 30000)
    assert got == [200] * 1000


def test_check_names_what_it_cannot_use(place, tmp_path):
    p = place()
    p.d.change("uid=bad,ou=t,dc=x", uid=["bad", "worse"])
    path = tmp_path / "d.textproto"
    path.write_text(
        "\n".join(
            f"{k}: {chr(34) + v + chr(34) if isinstance(v, str) else str(v).lower()}"
            for k, v in p.facts.items()
        )
    )
    import gevent

    done = gevent.get_hub().threadpool.apply(
        subprocess.run,
        ([sys.executable, "-m", "gannetfront.cli.tenants", "check", str(path)],),
        dict(capture_output=True, text=True, timeout=30),
    )
    assert done.returncode == 1 and "6 tenants in 1 groups" in done.stdout and "uid=bad" in done.stdout, (
        done.stderr
    )


# ---- who got in, as the judge sees it ----

HERE = [dict(at=0.0, what="directory here", who="", detail="")]
AWAY = [
    dict(at=100.0, what="directory away", who="", detail=""),
    dict(at=9000.0, what="directory here", who="", detail=""),
]


def gone(at, what="tenant gone"):
    return [dict(at=at, what=what, who="a-1", detail="")]


@pytest.mark.parametrize(
    "events, tenant, sent, answer, status, wrong",
    [
        (HERE, "a-1", 10.0, "succeeded", 200, False),
        (HERE, "nobody", 10.0, "succeeded", 200, True),
        (HERE, "nobody", 10.0, "other", 403, False),
        (HERE, "a-1", 10.0, "other", 403, True),
        (HERE + gone(1000.0), "a-1", 1500.0, "succeeded", 200, False),
        (HERE + gone(1000.0), "a-1", 4000.0, "succeeded", 200, True),
        (HERE + gone(1000.0), "a-1", 1500.0, "other", 403, False),
        (HERE + AWAY + gone(1000.0), "a-1", 8000.0, "succeeded", 200, False),  # nobody could know
        (HERE + AWAY + gone(1000.0), "a-1", 12000.0, "succeeded", 200, True),
        (HERE + gone(1000.0) + gone(2000.0, "tenant here"), "a-1", 2500.0, "other", 403, False),
        (HERE + gone(1000.0) + gone(2000.0, "tenant here"), "a-1", 9000.0, "other", 403, True),
    ],
)
def test_admission_is_judged(events, tenant, sent, answer, status, wrong):
    from gannetfront.audit.admission import judge

    checked, stories = judge(
        [dict(request="1.0", tenant=tenant, sent=sent, ended=sent + 50, answer=answer, status=status)],
        events,
        2000.0,
    )
    assert checked == 1 and bool(stories) == wrong
    assert judge([], [], 0.0) is None
