"""Unit tests of the duties' parts: lease messages, settings, the gate, rounds, the candidates' order, the
judge of acts."""

from types import SimpleNamespace

import pytest
from hypothesis import given, settings, strategies as st

from gannetfront import host
from gannetfront.audit.duties import judge
from gannetfront.config import load, schema_pb2 as schema
from gannetfront.duties.acts import MAX_NONCES, NONCE_TTL, Gate, Rounds
from gannetfront.duties.lease import GENERATION, Candidate, Elector
from gannetfront.duties.post import Post
from gannetfront.duties.shell import Duties, Lost
from gannetfront.duties.tokens import epoch_of, token_of
from gannetfront.host import Jitter
from gannetfront.lab.town import Council
from gannetfront.tenants import kept
from gannetfront.tenants.views import View
from gannetfront.wire import duties as wire
from gannetfront.wire.members import MAX_DATAGRAM_BYTES, Bad, body
from rig import Log

NUMBER = st.integers(0, 2**48)
TOKEN = st.tuples(NUMBER, st.integers(0, 9999), st.integers(0, 2**31))
WORDS = st.one_of(
    st.tuples(st.sampled_from(["prepare", "release", "accepted", "holds"]), TOKEN),
    st.tuples(st.just("propose"), TOKEN, TOKEN, st.floats(0, 1e6)),
    st.builds(lambda b, t, left: ("promise", b, t[1], t, left), TOKEN, TOKEN, st.floats(0, 1e6)),
    st.builds(lambda b: ("promise", b, None, None, 0.0), TOKEN),
    st.tuples(st.just("refused"), TOKEN, NUMBER, TOKEN, st.floats(0, 1e6)),
    st.builds(lambda b, n: ("refused", b, n, None, 0.0), TOKEN, NUMBER),
    st.tuples(st.just("over"), TOKEN, st.binary(max_size=64), st.text("abc", max_size=60)),
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(WORDS)
def test_words_come_as_they_were_sent(message):
    data = wire.pack(7, 3, "a-duty", message)
    name, told = body(data)
    assert (
        len(data) <= MAX_DATAGRAM_BYTES
        and name == "lease"
        and wire.unpack(7, told, range(9)) == (3, "a-duty", message)
    )
    for fleet, members, why in ((8, range(9), "fleet"), (7, range(2), "stranger")):
        with pytest.raises(Bad, match=why):
            wire.unpack(fleet, told, members)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(WORDS, st.integers(0, 200), st.integers(0, 255))
def test_a_word_with_any_byte_changed_is_a_word_or_dropped(message, at, byte):
    data = bytearray(wire.pack(7, 3, "a-duty", message))
    data[at % len(data)] = byte
    try:
        name, told = body(bytes(data))
        if name == "lease":
            source, duty, (kind, ballot, *_) = wire.unpack(7, told, range(9))
            assert source in range(9) and kind in wire.KINDS and len(ballot) == 3
    except Bad as bad:
        assert str(bad) in ("garbage", "version", "fleet", "stranger")


MATES = "".join(
    f'mate {{ number: {n} zone: "{"ab"[n % 2]}" address: "127.0.0.1:{n + 1}" duties: "127.0.0.1:{n + 9}" }}\n'
    for n in range(4)
)


@pytest.mark.parametrize(
    "duty, wrong",
    [
        ('name: "sweep" elector: 0', "duty.name: 'sweep' is none of"),
        ('name: "seal" elector: 0 elector: 0', "duty.elector: 0 stands twice"),
        ('name: "seal" elector: 7', "duty.elector: 7 is not among"),
        ('name: "seal"', "duty.elector: is needed"),
        ('name: "seal" elector: 0 elector_before: 1', "duty.generation"),
        ('name: "tenants" elector: 0', "duty.directory"),
        ('name: "seal" elector: 0 lease: 5', "duty.lease: 5 is outside 100"),
    ],
)
def test_settings_that_are_wrong_are_named(duty, wrong):
    with pytest.raises(load.BadSetting, match=wrong):
        load.parse(schema.Proxy, f'me: 0 control: "x:1"\n{MATES}duty {{ {duty} }}', "p")


@pytest.mark.parametrize(
    "electors, expected",
    [
        ((0,), ["while its one elector is away"]),
        ((0, 1), ["while any of its electors is away", "zone a", "zone b"]),
        ((0, 1, 2), ["zone a is away"]),
        ((0, 1, 2, 3), ["no more of them away than 3 do", "zone a", "zone b"]),
    ],
)
def test_check_names_the_failures_that_a_duty_does_not_survive(electors, expected):
    mine = load.parse(
        schema.Proxy,
        f'me: 0 control: "x:1"\n{MATES}duty {{ name: "seal" {" ".join(f"elector: {e}" for e in electors)} }}',
        "p",
    )
    advice = list(load.advice_on_duties(mine))
    assert len(advice) == len(expected) and all(part in line for part, line in zip(expected, advice)), advice


def test_a_nonce_expires_and_a_step_is_done_once():
    gate, old, new = Gate(), (3, 1, 5), (4, 2, 6)

    def nonce_at(now):
        return gate.issue_nonce(now)[0]

    assert gate.act(10.0, nonce_at(0.0), old, 1) == ("do", "") and gate.act(10.0, nonce_at(0.0), old, 2) == (
        "refused",
        "busy",
    )
    gate.done(1)
    assert gate.act(10.0, nonce_at(0.0), old, 1)[0] == "again"
    nonce = nonce_at(20.0)
    assert gate.act(20.0 + NONCE_TTL + 1, nonce, old, 2) == ("refused", "late") and gate.act(
        20.0, nonce, old, 2
    ) == ("refused", "late")
    gate.observe_token(new)
    assert gate.act(30.0, nonce_at(30.0), old, 2) == ("refused", "token") and gate.act(
        30.0, nonce_at(30.0), new, 0
    ) == ("refused", "order")
    assert gate.act(30.0, nonce_at(30.0), new, 2) == ("do", "")
    gate.done(2, succeeded=False)
    assert gate.issue_nonce(40.0)[1:] == (new, 1)
    for _ in range(3 * MAX_NONCES):
        nonce_at(50.0)
    assert len(gate.nonces) <= MAX_NONCES


def test_a_round_ends_everywhere_before_the_next_and_unreachable_proxies_are_skipped():
    rounds = Rounds([0, 1, 2], 100.0)
    assert rounds.next(0.0, ()) is None
    for proxy, step in ((0, 7), (1, 6), (2, 7)):
        rounds.record_step(proxy, step)
    assert rounds.next(0.0, ()) == (1, 7) and rounds.next(0.0, {1}) is None
    rounds.record_step(1, 7)
    assert rounds.next(50.0, ()) is None and rounds.next(150.0, ()) == (0, 8)
    rounds.record_step(0, 8)
    assert rounds.next(151.0, {1}) == (2, 8)
    # The last holder reported step 9, and the proxy that did it is unreachable.
    successor = Rounds([0, 1], 100.0, started_step=9)
    successor.record_step(0, 8)
    assert successor.next(0.0, {1}) == (0, 9)


def test_the_first_candidate_is_in_a_preferred_zone_and_idle_and_the_others_wait():
    mates = {n: "ab"[n % 2] for n in range(40)}
    posts = {
        n: Post("d", n, 1, mates, (0, 1, 2), 1000.0, 0.01, Jitter(n), 0.0, zones=("b",), settle=500.0)
        for n in mates
    }
    first = posts[0].order[0]
    assert mates[first] == "b" and all(p.order == posts[0].order for p in posts.values())
    assert posts[first].behind(0.0, set(mates)) == 0.0 < posts[posts[0].order[1]].behind(0.0, set(mates))
    assert (
        posts[posts[0].order[1]].behind(0.0, set(mates) - {first}) == 0.0
        and posts[first].behind(1.0, set(mates)) > 0
    )
    assert posts[posts[0].order[-1]].behind(0.0, set(mates)) >= 5000.0 and posts[first].due_at() == 500.0


TOKENS = st.tuples(st.integers(0, 2**48 - 1), st.integers(0, 2**16 - 1), st.integers(0, 2**31 - 1))


@given(TOKENS, TOKENS, st.integers(0, 2**16 - 1))
def test_an_epoch_compares_as_its_token(one, other, number):
    """An epoch includes the life: where all electors have restarted, a proxy may win a round again that it
    had won before, and then gives out other views of the same number."""
    for a, b in ((one, other), ((5, number, 1), (5, number, 2))):
        assert token_of(epoch_of(a)) == a and (epoch_of(a) < epoch_of(b)) == (a < b)
    held = kept.ViewCopy()
    for life, member in ((1, "before"), (2, "after")):
        data = kept.pack(View(4, {member: ("g", 0.0)}, {"g": 1.0}, []), epoch_of((5, number, life)), 0.0)
        assert kept.unpack(data)[1] == epoch_of((5, number, life))
        for told in kept.view_messages(kept.unpack(data)[0], kept.unpack(data)[1], 0.0):
            held.take(told)
    assert list(held.members) == ["after"]
    with pytest.raises(ValueError, match="older"):
        held.take(next(kept.view_messages(View(9, {}, {}, []), epoch_of((5, number, 1)), 0.0)))


def act(at, place="0", token=(1, 1, 1), step=1, duty="seal", how="done"):
    return dict(
        at=at,
        place=place,
        duty=duty,
        round=token[0],
        number=token[1],
        life=token[2],
        step=step,
        how=how,
        why="",
    )


LATER = (2, 2, 2)
JUDGED = {
    None: [act(0), act(1, "1"), act(2, token=LATER, step=2), act(3, "1", LATER, 2), act(4, how="refused")],
    "tokens": [act(0, token=LATER), act(1, step=2)],
    "holders": [act(0, token=LATER), act(1, "1")],
    "steps": [act(0), act(1)],
    "held": [act(0), act(5000, step=2)],
}


@pytest.mark.parametrize("rule", JUDGED)
def test_the_judge_finds_each_violation(rule):
    verdict = judge(
        JUDGED[rule],
        faults=[(500.0, 1000.0)] if rule == "held" else (),
        bound=2000.0,
        end=9000.0,
        duties=["seal"],
    )
    violated = {name for name, (_, violations) in verdict.items() if violations}
    assert violated - ({"holders"} if rule == "tokens" else set()) == ({rule} if rule else set())


@pytest.mark.parametrize("many", [3, 30, 300])
def test_standby_candidates_take_a_free_lease_at_once_and_disturb_no_holder(many):
    """However long the lease was held: by then the rounds of standby candidates are far behind those of the
    holder's renewals."""
    town = Council({n: "abc"[n % 3] for n in range(many)}, (0, 1, 2), span=3000.0)
    town.run(20000.0)
    for _ in range(3):
        held = town.holders()
        town.seen.clear()
        town.run(60000.0)
        assert town.holders() == held and not town.seen
        town.kill(held[0])
        town.run(1.7 * 3000.0)
        assert [token for _, _, token, what in town.seen if what == "gained"] and len(town.holders()) == 1, (
            town.seen
        )
        town.start(held[0])
        town.run(10000.0)


def test_thirty_candidates_that_start_together():
    town = Council({n: "abc"[n % 3] for n in range(30)}, (0, 1, 2), span=1000.0)
    town.run(4000.0)
    assert len(town.holders()) == 1


def test_a_holder_whose_renewal_came_late_continues_its_work():
    """A late renewal leaves a lease too short for an act for a moment. The work then raises Lost although the
    lease is still held; it must start again, or the duty stays held with nobody working."""
    left = [500.0, 500.0, 0.0]
    held, checked = SimpleNamespace(left=lambda: left[0]), []

    def work(held):
        checked.append(left.pop(0))
        raise Lost()

    shell = SimpleNamespace(
        made={"d": SimpleNamespace(work=work)},
        log=Log(),
        doors={"d": {"a visit": host.now() + 50.0, "another": host.now()}},
    )
    shell.wait_for_doors = lambda name: Duties.wait_for_doors(shell, name)
    started_at = host.now()
    Duties.work(shell, "d", held)
    assert checked == [500.0, 500.0]
    # Work does not start while a proxy may still allow an act of this proxy's earlier work.
    assert host.now() - started_at >= 50.0 and not shell.doors


def test_settings_two_steps_behind_never_pass_a_fence():
    """A candidate with outdated settings learns of rounds of a later generation from its electors and must
    not go above them."""
    sent, now = [], 0.0
    out = SimpleNamespace(
        send=lambda elector, message: sent.append(message), gained=lambda token: 1 / 0, lost=lambda why: None
    )
    old, elector = Candidate(1, 5, ["e"], 100.0, 0.0, Jitter(1), 0.0, generation=1), Elector(-1e9, 100.0, 0.0)
    elector.receive(0.0, 2, ("prepare", (3 * GENERATION + 7, 2, 9)))
    for _ in range(50):
        now = old.due_at()
        old.tick(now, out)
        while sent:
            message = sent.pop(0)
            assert message[1][0] < 2 * GENERATION
            answer = elector.receive(now, 1, message)
            if answer:
                old.receive(now, "e", answer, out)
    assert old.outdated and now > 20 * old.span


def test_a_duty_regained_before_its_loss_was_noticed_is_worked_once_only():
    """A late renewal can arrive after the lease has expired but before the expiry was noticed: the old work
    must be stopped."""
    working = []

    def work(held):
        working.append(held.token)
        try:
            host.sleep(60000)
        finally:
            working.remove(held.token)

    shell = SimpleNamespace(
        counts={"d": dict(held=0)},
        gates={"d": Gate()},
        log=Log(),
        posts={"d": SimpleNamespace(last="")},
        me=0,
        jobs={},
        rates={"d": 0.0},
        made={"d": SimpleNamespace(hint=lambda n: None, work=work)},
    )
    shell.work = lambda name, held: work(held)
    for _ in range(3):
        Duties.gained(shell, "d", (5, 0, 1), b"")
        host.sleep(1)
    assert working == [(5, 0, 1)]
    host.stop(shell.jobs["d"])
