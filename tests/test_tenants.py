"""Tenants from a directory: the codec, views, admission by the age of a view, and the reader against a simulated
directory that fails."""

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
from gannetfront.tenants.views import DeletionGuard, Mapping, GroupNumbers, View, build
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
    parsed = m.Filter.load(filters.parse(f"(uid={filters.escaped(text)})").dump()) if text else None
    if parsed is not None and parsed.name == "equal":
        assert parsed.chosen["value"].native == text.encode()
        assert filters.matches(parsed, {"uid": [text.encode()]})


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
    "text, expected",
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
def test_filters_match(text, expected):
    assert (
        filters.matches(m.Filter.load(filters.parse(text).dump()), {"uid": [b"Ann"], "n": [b"3"]}) == expected
    )


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
    assert v.groups == {"-": 1.0, "k": 0.5} and not v.errors


def test_a_loop_of_three_groups_ends_and_is_named():
    ring = [entry(f"cn={a},dc=x", cn=a, memberOf=f"cn={b},dc=x") for a, b in ("ab", "bc", "ca")]
    v = view([entry("uid=t,dc=x", uid="t", memberOf="cn=a,dc=x")], ring)
    assert v.members["t"][0] == "a" and any("within itself" in why for _, why in v.errors)


@pytest.mark.parametrize(
    "bad, why",
    [
        (entry("uid=x,dc=x"), "0 values"),
        (entry("uid=x,dc=x", uid=["x", "y"]), "2 values"),
        (entry("uid=x,dc=x", uid=b"\xff"), "UTF-8"),
        (entry("uid=x,dc=x", uid="x", portion="much"), "is not a number"),
        (entry("uid=x,dc=x", uid="x", portion="nan"), "outside"),
        (entry("uid=x,dc=x", uid="x", portion="7"), "outside 0 to 1"),
        (entry("uid=x,dc=x", uid="x\ny"), "line end"),
        ((b"uid=\xff,dc=x", {"uid": [b"x"]}), "UTF-8"),
        (entry("uid=x,dc=x", uid="x" * 300), "past 256"),
    ],
)
def test_bad_entries_are_quarantined_and_the_rest_serve(bad, why):
    v = view([bad, entry("uid=good,dc=x", uid="good")])
    assert list(v.members) == ["good"] and len(v.errors) == 1 and why in v.errors[0][1]


def test_duplicate_ids_are_both_quarantined():
    v = view([entry("uid=a,ou=1", uid="a"), entry("uid=a,ou=2", uid="a"), entry("uid=b,ou=1", uid="b")])
    assert list(v.members) == ["b"] and len(v.errors) == 2


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
    assert len(v.members) == 49500 and len(v.errors) == 500


def plain(number, ids):
    return View(number, {i: ("g", 0.0) for i in ids}, {"g": 1.0}, [])


def test_mass_deletion_is_held_until_accepted():
    guard = DeletionGuard()
    assert guard.offer(0, plain(0, "abcdefghij")) == "new"
    assert guard.offer(1, plain(0, "")) == "held" and len(guard.view.members) == 10
    held = guard.held.number
    assert guard.offer(2, plain(0, "")) == "held" and guard.held.number == held
    assert guard.offer(3, plain(0, ""), accepted=held) == "new" and not guard.view.members
    assert guard.offer(4, plain(0, "abc")) == "new"


def test_few_removals_are_not_held_and_a_reverted_mass_removal_ends_the_hold():
    guard = DeletionGuard()
    guard.offer(0, plain(0, "abcdefghij"))
    assert guard.offer(1, plain(0, "abcdefghi")) == "new" and guard.offer(2, plain(0, "")) == "held"
    assert guard.offer(3, plain(0, "abcdefghi")) == "same" and guard.held is None


def test_first_answer_that_is_empty_is_no_view():
    assert DeletionGuard().offer(0, plain(0, "")) == "held"


def test_groups_keep_their_numbers():
    numbers = GroupNumbers(maximum=3)
    assert numbers.assign({"a": 0.5, "b": 0.25}) == ((0.5, 0.0), (0.25, 0.0))
    assert numbers.assign({"b": 0.25, "c": 0.1})[1:] == ((0.25, 0.0), (0.1, 0.0)) and numbers.by_name == {
        "b": 1,
        "c": 2,
    }
    numbers.assign({"b": 0.2, "c": 0.1, "d": 0.3})
    assert numbers.by_name == {"b": 1, "c": 2, "d": 0}  # the number that was freed first is reused


def test_verdicts_by_age_of_the_view():
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


# ---- encoding of views ----

IDS = st.dictionaries(
    st.text("abc", min_size=1, max_size=3),
    st.tuples(st.sampled_from("gh"), st.sampled_from([0.0, 5.0])),
    max_size=8,
)


@SMALL
@given(st.lists(IDS, min_size=1, max_size=6), st.integers(0, 5), st.integers(1, 3))
def test_changes_and_whole_views_give_the_same_copy(steps, start, history):
    publisher, copy = kept.Publisher(7, history), kept.ViewCopy()
    for n, members in enumerate(steps, 1):
        publisher.publish(View(n, members, {g: 0.5 for g, _ in members.values()}, []))
        if n >= start:
            from gannetfront.wire import frames

            for data in publisher.frames_for(copy.epoch, copy.number, 0.0):
                for _, message in frames.FrameReader().feed(data):
                    copy.take(message)
    if start <= len(steps):
        assert (copy.members, copy.number) == (steps[-1], len(steps))


def test_older_views_and_gaps_are_refused():
    copy = kept.ViewCopy()
    for message in kept.view_messages(plain(5, "ab"), 2, 0.0):
        copy.take(message)
    for number, epoch in ((4, 2), (9, 1)):
        with pytest.raises(ValueError, match="older"):
            copy.take(next(kept.view_messages(plain(number, "a"), epoch, 0.0)))
    with pytest.raises(ValueError, match="changes on view 6"):
        copy.take(next(kept.view_messages(plain(7, "a"), 2, 0.0, base=plain(6, "ab"))))


def test_torn_view_file_is_none():
    data = kept.pack(plain(5, "ab"), 2, 3.0)
    assert kept.unpack(data)[1:] == (2, 3.0) and all(
        kept.unpack(data[:n]) is None for n in (0, 10, 30, len(data) - 1)
    )


# ---- the reader against the simulated directory ----


@pytest.fixture
def environment(tmp_path):
    environments = []

    class Environment:
        def __init__(self, tenants=6, sync=True, **overrides):
            self.directory = Directory()
            self.directory.change("cn=kitchens,ou=g,dc=x", cn="kitchens", portion="0.5")
            self.directory.change("cn=shops,ou=g,dc=x", cn="shops", portion="0.3")
            for n in range(tenants):
                self.put_tenant(f"t{n}")
            self.directory_settings = (
                dict(
                    address=self.directory.at,
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
                | overrides
            )
            (tmp_path / "pw").write_text("secret\n")
            self.log = Log()
            self.start()

        def put_tenant(self, name, group="kitchens"):
            self.directory.change(f"uid={name},ou=t,dc=x", uid=name, memberOf=f"cn={group},ou=g,dc=x")

        def start(self):
            text = "\n".join(
                f"{k}: {chr(34) + v + chr(34) if isinstance(v, str) else str(v).lower()}"
                for k, v in self.directory_settings.items()
            )
            self.settings = load.parse(schema.Directory, text, "d")
            self.reader = Reader(self.settings, self.log, host.chance(1))
            self.reader.start()
            environments.append(self)
            return self

        @property
        def view(self):
            return self.reader.guard.view

        def until(self, condition, limit=6000):
            deadline = host.now() + limit
            while not condition():
                assert host.now() < deadline, (
                    f"condition not met in time; last log lines: {self.log.lines[-4:]}"
                )
                host.sleep(5)

        def close(self):
            for greenlet in self.reader.greenlets:
                host.stop(greenlet)
            self.reader.listener.close()

    yield Environment
    for running in environments:
        running.close()
        running.directory.stop()


@pytest.mark.parametrize("sync", [True, False], ids=["sync", "polling"])
def test_additions_moves_renames_and_deletions_come_through(environment, sync):
    env = environment(sync=sync)
    env.until(lambda: env.view and len(env.view.members) == 6)
    env.put_tenant("new")
    env.until(lambda: "new" in env.view.members)
    env.put_tenant("t1", "shops")
    env.until(lambda: env.view.members["t1"][0] == "shops")
    env.directory.rename("uid=t2,ou=t,dc=x", "uid=t2,ou=elsewhere,ou=t,dc=x")
    env.directory.remove("uid=new,ou=t,dc=x")
    env.until(lambda: "new" not in env.view.members)
    assert "t2" in env.view.members and env.view.number >= 4


def test_changes_while_disconnected_are_not_missed(environment):
    env = environment()
    env.until(lambda: env.view)
    env.directory.stop()
    env.put_tenant("late")
    env.directory.remove("uid=t0,ou=t,dc=x")
    host.sleep(100)
    assert "t0" in env.view.members  # the last view stays in force
    env.directory.back()
    env.until(lambda: "late" in env.view.members and "t0" not in env.view.members)


def test_lost_sync_history_leads_to_a_full_refresh(environment):
    env = environment()
    env.until(lambda: env.view)
    env.directory.faults.forget_sync = True
    env.directory.stop()
    env.directory.remove("uid=t0,ou=t,dc=x")
    env.directory.back()
    env.until(lambda: "t0" not in env.view.members)
    assert len(env.view.members) == 5


def test_interrupted_refresh_changes_nothing(environment):
    env = environment(tenants=40)
    env.until(lambda: env.view)
    env.directory.faults.forget_sync, env.directory.faults.half_after = True, 3000
    env.directory.cut()
    env.until(lambda: len(env.log.said("directory broke") + env.log.said("directory refuses")) >= 2)
    assert len(env.view.members) == 40
    env.directory.faults.half_after = None
    env.put_tenant("after")
    env.until(lambda: "after" in env.view.members)


def test_mass_deletion_at_the_directory_is_held_then_accepted(environment):
    env = environment(tenants=20)
    env.until(lambda: env.view)
    for n in range(15):
        env.directory.remove(f"uid=t{n},ou=t,dc=x")
    env.until(lambda: env.log.said("view held"))
    host.sleep(100)
    assert len(env.view.members) >= 15
    host.replace_file(
        env.directory_settings["state_file"] + ".accept", str(env.reader.guard.held.number).encode()
    )
    env.until(lambda: len(env.view.members) == 5)


def test_members_that_come_in_ranges_are_joined(environment):
    env = environment(sync=False, member="member", member_of="", sweep_every=1)
    names = [f"uid=t{n},ou=t,dc=x" for n in range(6)]
    env.directory.faults.range_limit = 2
    env.directory.change("cn=kitchens,ou=g,dc=x", cn="kitchens", portion="0.5", member=names)
    env.until(lambda: env.view and all(g == "kitchens" for g, _ in env.view.members.values()))
    env.directory.change("cn=kitchens,ou=g,dc=x", cn="kitchens", portion="0.5", member=names[:3])
    env.until(lambda: sorted(g for g, _ in env.view.members.values()) == ["-"] * 3 + ["kitchens"] * 3)


def test_older_copy_never_replaces_a_newer_one(environment):
    env = environment(sync=False, sweep_every=1)
    env.until(lambda: env.view)
    older_copy = env.directory.copy()
    env.put_tenant("t1", "shops")
    env.until(lambda: env.view.members["t1"][0] == "shops")
    env.directory.restore(older_copy)
    env.until(lambda: any("older copy" in f["why"] for f in env.log.said("directory refuses")))
    assert env.view.members["t1"][0] == "shops"


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
def test_each_failure_is_logged_and_recovered_from(environment, fault, event):
    env = environment()
    env.until(lambda: env.view)
    vars(env.directory.faults).update(fault)
    env.directory.cut()
    env.until(lambda: env.log.said(event) or event == "directory broke" and env.log.said("directory refuses"))
    assert len(env.view.members) == 6
    vars(env.directory.faults).update(
        dict(refuse_bind=None, search_code=None, silent=False, garbage=False, half_after=None)
    )
    env.put_tenant("again")
    env.until(lambda: "again" in env.view.members, 10000)


def test_size_limit_is_an_error_not_a_smaller_view(environment):
    env = environment(sync=False)
    env.until(lambda: env.view)
    env.directory.faults.size_limit = 2
    env.until(lambda: any("sizeLimit" in f["why"] for f in env.log.said("directory refuses")))
    assert len(env.view.members) == 6


def test_slow_stream_is_read_to_its_end(environment):
    env = environment(tenants=2)
    env.until(lambda: env.view)
    env.directory.faults.trickle = 2000
    env.put_tenant("slow")
    env.until(lambda: "slow" in env.view.members)


def test_restart_without_directory_serves_the_last_view(environment):
    env = environment()
    env.until(
        lambda: (
            env.view and not env.reader.file.unwritten and Path(env.directory_settings["state_file"]).exists()
        )
    )
    epoch = env.reader.publisher.epoch
    env.close()
    env.directory.stop()
    env.start()
    assert len(env.view.members) == 6 and env.reader.publisher.epoch > epoch


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
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(path)
    return str(path), context


@pytest.mark.parametrize("security", ["ldaps", "starttls"])
@pytest.mark.parametrize(
    "names, days, valid",
    [(["directory"], 1, True), (["other"], 1, False), (["directory"], -1, False)],
    ids=["good", "wrong name", "expired"],
)
def test_certificates_are_checked(environment, tmp_path, security, names, days, valid):
    path, served = certificate(tmp_path, names, days)
    env = environment()
    env.directory.stop()
    env.directory.context, env.directory.start_tls = (served, None) if security == "ldaps" else (None, served)
    env.directory.back()
    directory_settings = load.parse(
        schema.Directory,
        f'address: "{env.directory.at}" tenants_base: "ou=t,dc=x" security: "{security}" '
        f'ca_file: "{path}" name_in_certificate: "directory"',
        "d",
    )
    if valid:
        assert len(check(directory_settings, "")[0].members) == 6
    else:
        with pytest.raises(ssl.SSLCertVerificationError):
            check(directory_settings, "")


@pytest.mark.parametrize("presented", [True, False], ids=["with its certificate", "without"])
def test_external_bind_is_by_the_certificate(environment, tmp_path, presented):
    path, served = certificate(tmp_path, ["directory"])
    served.verify_mode = ssl.CERT_OPTIONAL
    served.load_verify_locations(path)
    env = environment()
    env.directory.stop()
    env.directory.context = served
    env.directory.back()
    directory_settings = load.parse(
        schema.Directory,
        f'address: "{env.directory.at}" tenants_base: "ou=t,dc=x" security: "ldaps" ca_file: "{path}" '
        'name_in_certificate: "directory" external: true ' + (f'cert_file: "{path}"' if presented else ""),
        "d",
    )
    if presented:
        assert len(check(directory_settings, "")[0].members) == 6
    else:
        from gannetfront.tenants.directory import Ended

        with pytest.raises(Ended, match="invalidCredentials"):
            check(directory_settings, "")


def test_refused_starttls_ends_the_session(environment):
    env = environment()
    directory_settings = load.parse(
        schema.Directory, f'address: "{env.directory.at}" tenants_base: "ou=t,dc=x" security: "starttls"', "d"
    )
    from gannetfront.tenants.directory import Ended

    with pytest.raises(Ended, match="StartTLS refused"):
        check(directory_settings, "")


# ---- through a proxy ----


def test_tenant_moved_and_removed_with_an_invocation_in_flight(environment, tmp_path):
    env = environment()
    env.until(lambda: env.view)
    rig = Rig(
        tmp_path, Node([150, ok()]), tenants=env.reader.listener.where, tenants_file=str(tmp_path / "view")
    )
    rig.until(lambda: rig.proxy.tenants.number())
    tenancy = rig.proxy.tenants.tenancy
    assert rig.ask(gannet_tenant="nobody")[0] == 403 and rig.ask()[0] == 403
    before = tenancy.admit(host.now(), "t1", 0)
    stream = host.connect(rig.at, 1000)
    from gannetfront.wire import http as codec

    stream.send(codec.request(b"/debit", b"x", [(b"gannet-tenant", b"t1")], b""), 1000)
    rig.until(lambda: len(rig.nodes[0].seen) == 1)
    env.put_tenant("t1", "shops")
    rig.until(lambda: tenancy.members["t1"][0] == "shops")
    env.directory.remove("uid=t1,ou=t,dc=x")
    rig.until(lambda: "t1" not in tenancy.members)
    assert rig.read(stream)[1] == "succeeded"  # an admitted invocation keeps its group to the end
    assert rig.ask(gannet_tenant="t1")[0] == 403 and before[0] == ADMIT
    assert rig.proxy.rounds.balancer.tenants[before[1]][0] == 0.5
    rig.close()


def test_proxy_serves_from_its_persisted_view_when_the_reader_is_unreachable(environment, tmp_path):
    env = environment()
    env.until(lambda: env.view)
    rig = Rig(tmp_path, Node(), tenants=env.reader.listener.where, tenants_file=str(tmp_path / "view"))
    rig.until(lambda: (tmp_path / "view").exists())
    rig.close()
    second = Rig(tmp_path, Node(), tenants="127.0.0.1:1", tenants_file=str(tmp_path / "view"))
    assert second.ask(gannet_tenant="t1")[1] == "succeeded" and second.ask(gannet_tenant="nobody")[0] in (
        403,
        429,
    )
    second.close()


def test_without_a_view_invocations_are_throttled(tmp_path):
    rig = Rig(tmp_path, Node(), tenants="127.0.0.1:1", tenants_file=str(tmp_path / "none"))
    assert rig.ask(gannet_tenant="t1")[:2] == (429, "throttled") and not rig.nodes[0].seen
    rig.close()


def test_many_proxies_connect_at_once(environment):
    from gannetfront.wire import control_pb2 as c, frames

    # The directory runs in this same process, which a slow machine delays.
    env = environment(tenants=200, answer_limit=10000)
    env.until(lambda: env.view)
    sizes = []

    def proxy():
        stream, reader, view_copy = (
            host.connect(env.reader.listener.where, 5000),
            frames.FrameReader(),
            kept.ViewCopy(),
        )
        stream.send(frames.pack(hello=c.Hello(role=c.PROXY, id="1")), 5000)
        while view_copy.members is None:
            for name, message in reader.feed(stream.recv(65536, 5000)):
                if name == "tenants":
                    view_copy.take(message)
        sizes.append(len(view_copy.members))
        stream.close()

    host.join([host.spawn(proxy) for _ in range(1000)], 30000)
    assert sizes == [200] * 1000


def test_check_names_what_it_cannot_use(environment, tmp_path):
    env = environment()
    env.directory.change("uid=bad,ou=t,dc=x", uid=["bad", "worse"])
    path = tmp_path / "d.textproto"
    path.write_text(
        "\n".join(
            f"{k}: {chr(34) + v + chr(34) if isinstance(v, str) else str(v).lower()}"
            for k, v in env.directory_settings.items()
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


# ---- the audit of admissions ----

REACHABLE = [dict(at=0.0, what="directory here", who="", detail="")]
UNREACHABLE = [
    dict(at=100.0, what="directory away", who="", detail=""),
    dict(at=9000.0, what="directory here", who="", detail=""),
]


def tenant_event(at, what="tenant gone"):
    return [dict(at=at, what=what, who="a-1", detail="")]


@pytest.mark.parametrize(
    "events, tenant, sent, answer, status, expected_finding",
    [
        (REACHABLE, "a-1", 10.0, "succeeded", 200, False),
        (REACHABLE, "nobody", 10.0, "succeeded", 200, True),
        (REACHABLE, "nobody", 10.0, "other", 403, False),
        (REACHABLE, "a-1", 10.0, "other", 403, True),
        (REACHABLE + tenant_event(1000.0), "a-1", 1500.0, "succeeded", 200, False),
        (REACHABLE + tenant_event(1000.0), "a-1", 4000.0, "succeeded", 200, True),
        (REACHABLE + tenant_event(1000.0), "a-1", 1500.0, "other", 403, False),
        (
            REACHABLE + UNREACHABLE + tenant_event(1000.0),
            "a-1",
            8000.0,
            "succeeded",
            200,
            False,
        ),  # the directory was unreachable, so the removal could not be known
        (REACHABLE + UNREACHABLE + tenant_event(1000.0), "a-1", 12000.0, "succeeded", 200, True),
        (
            REACHABLE + tenant_event(1000.0) + tenant_event(2000.0, "tenant here"),
            "a-1",
            2500.0,
            "other",
            403,
            False,
        ),
        (
            REACHABLE + tenant_event(1000.0) + tenant_event(2000.0, "tenant here"),
            "a-1",
            9000.0,
            "other",
            403,
            True,
        ),
    ],
)
def test_admission_is_judged(events, tenant, sent, answer, status, expected_finding):
    from gannetfront.audit.admission import judge

    checked, findings = judge(
        [dict(request="1.0", tenant=tenant, sent=sent, ended=sent + 50, answer=answer, status=status)],
        events,
        2000.0,
    )
    assert checked == 1 and bool(findings) == expected_finding
    assert judge([], [], 0.0) is None
