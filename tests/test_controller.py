"""The controller whole: who acts, what operators order, what receivers are told, and that no interleaving breaks its word."""

import hmac
import importlib
import json
import sqlite3
import threading
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from types import SimpleNamespace

import pytest
from click.testing import CliRunner
from hypothesis import settings as how, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from gannetfront import host
from gannetfront.cli.release import main
from gannetfront.config import load, schema_pb2 as schema
from gannetfront.interface import BACK, GOING_BACK, ON, RELEASED, TRIAL, WITHDRAWN, Rollout
from gannetfront.proxy.links import Epochs, Outdated
from gannetfront.release import store as store_module
from gannetfront.release.calendar import Calendar, parse_date
from gannetfront.release.outbox import Outbox, event_body, signed_headers
from gannetfront.release.sending import Sender
from gannetfront.release.serve import Controller
from gannetfront.release.stages import Stages
from gannetfront.release.store import MIGRATIONS, ThreadedStore, BadStore, Fenced, Store
from gannetfront.release.turns import LeaderLease
from gannetfront.release.webhooks import Pipeline
from gannetfront.wire import control_pb2 as c, frames, http
from rig import FLEET, Log

SECRET = b"a secret of enough bytes"


def stages(**how):
    facts = Rollout(
        (0.25, 1.0),
        (0.3, 1.0),
        1000.0,
        2000.0,
        2.0,
        False,
        0,
        False,
        2,
        1,
        0,
        False,
        5000.0,
        500.0,
        4000.0,
        0,
        0,
        0,
        0,
        0,
    )
    facts.__dict__["vote_allowance"] = 1000
    return Stages(facts, 4, 2, 4, **how)


class Out:
    """A fleet that does what it is told, a round later."""

    def __init__(self):
        self.events, self.said, self.answers, self.stages_told = [], [], [], 0

    def place(self, slot, *_):
        self.events.append(("node", slot, True))

    def remove(self, slot):
        self.events.append(("gone", slot))

    def stage(self):
        self.stages_told += 1

    def answer(self, *_):
        pass

    def ordered(self, *answer):
        self.answers.append(answer)

    def log(self, what, facts):
        self.said.append((what, facts))


class Played:
    def __init__(self, **how):
        self.one, self.out, self.now = stages(**how), Out(), 0.0
        self.round(("begin",))

    def round(self, *events, step=100.0):
        self.now += step
        come, self.out.events = self.out.events, []
        self.one.round(self.now, [*come, *events], self.out)
        return self.one

    def on(self, *proxies):
        return self.round(*[("vote", p, 1, self.one.stage, self.one.version, ON) for p in proxies])

    def soaked(self, *there):
        for _ in range(13):
            self.round(*[("heard", p) for p in there])


@pytest.fixture
def leased():
    one = Played(lease=3000.0, known_for=60000.0, quorum=0.5)
    one.round(*[("heard", p) for p in "abcd"], ("offered", 2))
    return one


def test_votes_of_a_vanished_proxy_do_not_count(leased):
    leased.on("a")
    leased.soaked("b", "c", "d")
    for _ in range(2):
        leased.soaked("b", "c", "d")  # a's lease is over, its vote is not
    leased.on("b")
    assert leased.one.stage == 0, "a vote of nobody moved a stage"
    leased.on("c")
    assert leased.one.stage == 1


def test_vanished_proxies_do_not_hold_up_those_that_are_left(leased):
    leased.one.quorum = 0.0
    for _ in range(3):
        leased.soaked("a")
    leased.on("a")
    assert leased.one.stage == 1, "two votes were waited for where one proxy is there"


def test_no_move_on_while_most_are_out_of_touch_but_back_counts(leased):
    for _ in range(3):
        leased.soaked("a")
    leased.on("a")
    assert leased.one.stage == 0 and leased.out.said[-1] == (
        "waits",
        dict(build=2, why="1 of 4 proxies in touch"),
    )
    leased.round(("vote", "a", 9, 0, 2, BACK, "12/0.80/0.4"))
    assert leased.one.phase == GOING_BACK and leased.out.said[-1][1]["why"] == "proxy a 12/0.80/0.4"


def test_hold_freeze_and_resume(leased):
    leased.round(("order", 1, "hold", None, "ops", "a look at the logs"))
    leased.soaked(*"abcd")
    leased.on("a", "b")
    assert leased.one.stage == 0 and leased.one.blocking_reason() == "held by ops: a look at the logs"
    leased.round(("order", 2, "resume", None, "ops", "fine"), ("frozen", "holidays"))
    assert leased.one.stage == 0
    leased.round(("frozen", None))
    assert leased.one.stage == 1
    assert [a[:2] for a in leased.out.answers] == [(1, True), (2, True)]


def test_an_operator_takes_back_also_what_is_held_or_released(leased):
    for _ in (0, 1):
        leased.soaked(*"abcd")
        leased.on("a", "b")
    assert leased.one.phase == RELEASED
    leased.round(
        ("order", 1, "hold", None, "ops", "x"),
        ("order", 2, "back", 3, "ops", "x"),
        ("order", 3, "back", 2, "ops", "it leaks"),
    )
    assert leased.one.phase == GOING_BACK and [a[1] for a in leased.out.answers] == [True, False, True]
    leased.soaked(*"abcd")
    assert leased.one.phase == WITHDRAWN
    leased.round(("order", 4, "offer", 2, "ops", "once more"), ("order", 5, "offer", 3, "ops", "mended"))
    assert [a[1] for a in leased.out.answers[-2:]] == [False, True] and leased.one.queue == [3], (
        "begun while held"
    )


def test_a_queued_build_waits_for_the_trial_where_so_set():
    one = Played(supersede=False)
    one.round(("offered", 2))
    one.round(("offered", 3))
    assert (one.one.version, one.one.phase, one.one.queue) == (2, TRIAL, [3])
    for _ in (0, 1):
        one.soaked()
        one.on("a", "b")
    one.round()
    assert (one.one.version, one.one.released_version) == (3, 2)


class Interleavings(RuleBasedStateMachine):
    """Votes, lapses, crashes, orders, offers and clocks in any order."""

    @initialize(supersede=st.booleans())
    def begin(self, supersede):
        self.played = Played(lease=3000.0, known_for=20000.0, quorum=0.5, supersede=supersede)
        self.stage_before, self.told_caps, self.count = (1, RELEASED, 1), [], 0

    def step(self, *events, step=50.0):
        before = len(self.played.out.said)
        one, was = self.played.one, (self.played.one.version, self.played.one.phase, self.played.one.stage)
        standing = (
            one.version > 1
            and one.phase in (TRIAL, RELEASED)
            and any(
                v == BACK
                and self.played.now + step - at < one.vote_life
                and self.played.now + step - one.last_seen.get(p, -1e18) <= one.lease
                for p, (v, at) in one.votes.items()
            )
        )
        held = one.hold
        self.played.round(*events, step=step)
        moves = [f for what, f in self.played.out.said[before:] if what == "stage"]
        now = one.version, one.phase, one.stage
        assert len(moves) <= 2, "two stages in one round"
        if standing:
            assert now[:2] not in ((was[0], TRIAL), (was[0], RELEASED)), "past a standing 'back'"
        if held and not any(e[0] == "order" for e in events):
            assert not (
                now[0] == was[0] and (now[1] == RELEASED != was[1] or now[1] == TRIAL and now[2] > was[2])
            )
            assert now[0] == was[0], "a trial began on hold"
        if now[0] == was[0] and was[1] == now[1] == TRIAL:
            assert was[2] <= now[2] <= was[2] + 1
        if was[1] in (GOING_BACK, WITHDRAWN) and now[0] == was[0]:
            assert now[1] in (GOING_BACK, WITHDRAWN), "a build came back from its withdrawal"

    @rule(
        proxy=st.sampled_from("abcd"),
        verdict=st.sampled_from([ON, ON, BACK]),
        off=st.sampled_from([0, 0, 0, 1]),
    )
    def vote(self, proxy, verdict, off):
        self.step(("vote", proxy, 1, self.played.one.stage + off, self.played.one.version, verdict, ""))

    @rule(some=st.sets(st.sampled_from("abcd")), step=st.sampled_from([25.0, 1000.0, 2600.0]))
    def time(self, some, step):
        self.step(*[("heard", p) for p in sorted(some)], step=step)

    @rule(ahead=st.integers(0, 3))
    def offer(self, ahead):
        self.step(("offered", self.played.one.version + ahead))

    @rule(kind=st.sampled_from(["hold", "resume", "back", "resume"]))
    def order(self, kind):
        self.count += 1
        self.step(("order", self.count, kind, self.played.one.version, "ops", "x"))

    @rule(away=st.floats(0, 9000))
    def crash(self, away):
        """Saved and taken up, as plain JSON; what was told between the two is told again."""
        old = self.played.one
        saved = json.loads(json.dumps(old.saved()))
        self.played.now += away
        self.played.one = stages(lease=3000.0, known_for=20000.0, quorum=0.5, supersede=old.supersede)
        self.played.one.restore(self.played.now, saved, away)
        assert self.played.one.cap == old.cap and set(self.played.one.slots) == set(old.slots)
        self.played.one.resend_slots(self.played.out)
        self.step()

    @invariant()
    def sound(self):
        one = getattr(self, "played", None) and self.played.one
        if one:
            trial = {
                s.version
                for s in one.slots.values()
                if s.version not in (one.released_version, 1) and not s.leaving
            }
            assert len(trial) <= 1 and trial <= {one.version}, "two builds on trial"
            assert one.phase in (TRIAL, RELEASED) or one.cap == 0.0
            assert sum(s.version == one.version and not s.leaving for s in one.slots.values()) <= one.size


Interleavings.TestCase.settings = how(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)
test_any_interleaving = Interleavings.TestCase


# ---- the calendar and the turns ----


def freeze(begin, end, why="x"):
    return SimpleNamespace(begin=begin, end=end, why=why)


def test_calendar():
    one = Calendar(
        [freeze("2026-12-24", "2027-01-02 06:00", "holidays"), freeze("fri 18:00", "mon 06:00", "weekend")]
    )
    assert Calendar([]).freeze_reason(0) is None
    for text, why in (
        ("2026-12-24", "holidays"),
        ("2027-01-02 05:59", "holidays"),
        ("2026-12-04 17:59", None),
        ("2026-12-04 18:00", "weekend"),
        ("2026-12-06 23:59", "weekend"),
        ("2026-12-07 05:59", "weekend"),
        ("2026-12-07 06:00", None),
    ):
        assert one.freeze_reason(parse_date(text)) == why, text
    for bad in (
        freeze("2026-13-01", "2027-01-01"),
        freeze("fri 25:00", "mon 06:00"),
        freeze("2027-01-02", "2027-01-01"),
        freeze("fri 18", "mon 06:00"),
    ):
        with pytest.raises(ValueError):
            Calendar([bad])


def test_turns_go_by_beats_not_by_calendar():
    one = LeaderLease("b", 1000.0)
    assert not one.poll(0.0, 5, "a", 1) and not one.poll(900.0, 5, "a", 2) and not one.poll(1800.0, 5, "a", 2)
    assert one.poll(1900.0, 5, "a", 2)
    assert LeaderLease("a", 1000.0).poll(0.0, 5, "a", 1) and LeaderLease("b", 1000.0).poll(0.0, 5, "", 1)
    twin = LeaderLease("a", 1000.0)
    twin.poll(0.0, 5, "a", 1)
    twin.record_acquisition(0.0, 0.0, 6)
    assert twin.is_valid(500.0) and not twin.is_valid(700.0), "acts on though it left no sign"
    # A write that came back long after it was made: others may have seen its sign at its beginning.
    twin.record_renewal(1000.0, 3000.0)
    assert twin.is_valid(1990.0) and not twin.is_valid(2010.0)
    twin.record_loss(800.0)
    assert not twin.poll(810.0, 7, "a", 1), "two of one name take the turn from each other for ever"


def test_word_of_an_earlier_turn_is_refused():
    epochs = Epochs()
    epochs.check(c.Stage(epoch=5))
    epochs.check(c.Alive())
    with pytest.raises(Outdated):
        epochs.check(c.NodeList(epoch=4))


# ---- two controllers on one store ----


@pytest.fixture
def controller():
    made = []

    def make(*how):
        made.append(started(*how))
        return made[-1]

    yield make
    for one in made:
        if not one.listener.open:
            continue
        one.close()


def started(path, name, log=None, patience=1200):
    facts = load.parse(schema.Fleet, FLEET, "f")
    mine = load.parse(schema.Controller, f'name: "{name}" patience: {patience}', "c")
    one = Controller(facts, mine, load.deployment(facts, 0, "", 1.0).rollout, 2, log or Log())
    one.store = ThreadedStore(Store(path))
    one.start()
    one.join_election()
    return one


def until(true, limit=5000):
    end = host.now() + limit
    while not true():
        assert host.now() < end, "never came about"
        host.sleep(5)


def link(one):
    stream = host.connect(one.listener.where, 1000)
    stream.send(frames.pack(hello=c.Hello(role=c.PROXY, id="7")), 1000)
    return stream, frames.FrameReader(), []


def heard(stream, reader, waiting, name):
    while True:
        while waiting:
            kind, message = waiting.pop(0)
            if kind == name:
                return message
        data = stream.recv(65536, 3000)
        assert data, f"ended without a {name}"
        waiting += reader.feed(data)


def test_standby_takes_over_with_the_votes_and_the_old_one_is_silent(tmp_path, controller):
    log = Log()
    first = controller(tmp_path / "s", "a")
    second = controller(tmp_path / "s", "b", log)
    assert first.is_leader() and not second.is_leader()
    assert heard(*link(second), "refusal").why
    first.event("offered", 2)
    until(lambda: first.stages.version == 2)
    peer = link(first)
    peer[0].send(frames.pack(vote=c.Vote(number=1, stage=0, ver=2, verdict=ON)), 1000)
    while not heard(*peer, "stage").answer:
        pass
    epoch = first.epoch
    # Stopped, as a process that is paused: it renews nothing, says nothing, and does not know that time went by.
    first.store.__dict__["renew_lease"] = lambda: host.sleep(1e9)
    until(second.is_leader)
    assert second.stages.version == 2 and second.stages.votes["7"][0] == ON and second.epoch > epoch
    assert not first.is_leader(), "two act"
    first.leader_lease.renewed_at = (
        1e18  # even one that believes in its turn writes nothing, and tells nothing
    )
    first.event("offered", 3)
    until(lambda: not first.leading)
    assert first.stages.version == 1 and second.store.restore()[0]["ver"] == 2
    assert heard(*link(second), "welcome").epoch == second.epoch
    assert ask(second, 4)[0] == 202 and ask(first, 4)[0] == 202 and ask(first, 5, "d5")[0] == 503
    second.close()
    assert Store(tmp_path / "s").lease_state()[1] == ""  # left in order: whoever stands by takes it at once


@pytest.mark.parametrize("somebody", [True, False], ids=["told to one", "told to nobody yet"])
def test_a_commit_that_stands_still_holds_up_no_list_and_tells_no_stage(tmp_path, controller, somebody):
    one, disk = controller(tmp_path / "s", "a", None, 60000), threading.Event()
    old, new = link(one) if somebody else None, None
    until(lambda: one.stages.version == 1 and not one.writing and not one.moves)
    real, one.store.store.record = (
        one.store.store.record,
        lambda moves, saved, *rest: (saved["ver"] == 2 and disk.wait(), real(moves, saved, *rest)),
    )
    try:
        one.event("offered", 2)
        until(lambda: one.writing and one.stages.version == 2)
        one.apply_report(
            c.Report(slot=0, node=c.Node(id="n", state=c.READY, build=1, incarnation=1, age=1.0))
        )
        while old and not heard(*old, "list").nodes:
            pass
        new = link(one)
        assert heard(*new, "list").nodes[0].id == "n" and one.writing and one.stages.version == 2
        assert not any(kind == "stage" for kind, _ in new[2]), "told before it is on disk"
    finally:
        disk.set()
    assert heard(*new, "stage").ver == 2 and Store(tmp_path / "s").restore()[0]["ver"] == 2


def test_a_controller_whose_store_is_held_at_its_start_stands_by_and_then_acts(tmp_path, monkeypatch):
    monkeypatch.setattr(store_module, "BUSY_TIMEOUT_S", 0.01)
    Store(tmp_path / "s").close()
    other = sqlite3.connect(tmp_path / "s", isolation_level=None)
    other.execute("BEGIN IMMEDIATE")
    one = started(tmp_path / "s", "a")
    assert not one.leading
    other.execute("ROLLBACK")
    until(one.is_leader)
    one.close()


def test_two_deliveries_of_one_id_at_once_on_a_slow_disk_are_one(tmp_path, controller):
    one, disk = controller(tmp_path / "s", "a", None, 60000), threading.Event()
    real, one.store.store.deliver = one.store.store.deliver, lambda *fields: (disk.wait(), real(*fields))
    both = [host.Once(), host.Once()]
    for once in both:
        host.spawn(lambda once=once: once.set(ask(one, 4)))
    host.sleep(20)
    disk.set()
    assert both[0].wait(5000) == both[1].wait(5000) and both[0].value()[0] == 202


def test_a_store_that_another_holds_at_the_start_is_waited_for(tmp_path, monkeypatch):
    monkeypatch.setattr(store_module, "BUSY_TIMEOUT_S", 0.01)
    monkeypatch.setattr(store_module, "OPEN_ATTEMPTS", 10**6)
    other = sqlite3.connect(tmp_path / "s", isolation_level=None)
    other.execute("BEGIN EXCLUSIVE")
    host.later(60, other.execute, "COMMIT")
    assert Store(tmp_path / "s").lease_state() == (0, "", 0)
    monkeypatch.setattr(store_module, "OPEN_ATTEMPTS", 2)
    other = sqlite3.connect(tmp_path / "t", isolation_level=None)
    other.execute("BEGIN EXCLUSIVE")
    with pytest.raises(BadStore, match="locked"):
        Store(tmp_path / "t")


def ask(one, build, ident="d4"):
    body = json.dumps(dict(build=build)).encode()
    headers = [
        (b"x-delivery-id", ident.encode()),
        (b"x-hub-signature-256", b"sha256=" + hmac.digest(SECRET, body, "sha256").hex().encode()),
    ]
    return one.handle_delivery({"ci": Pipeline("ci", [SECRET])}, 300.0, b"POST", b"/hooks/ci", headers, body)


@pytest.mark.parametrize(
    "sent, status",
    [
        (
            b"POST /hooks/ci HTTP/1.1\r\nhost: x\r\ncontent-length: 104857600\r\n\r\n",
            b"413",
        ),  # 100 MiB announced
        (
            b"POST /hooks/ci HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
            + b"8000\r\n"
            + b"x" * 32768
            + b"\r\n"
            + b"8001\r\n"
            + b"x" * 32769
            + b"\r\n",
            b"413",
        ),
        (b"POST /hooks/ci HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nabc", None),
    ],
)  # and then nothing more
def test_deliveries_too_large_or_too_slow_are_let_go(tmp_path, controller, sent, status):
    one = controller(tmp_path / "s", "a")
    one.webhook_timeout = 150.0
    door = host.Listener("127.0.0.1:0")
    host.spawn(
        host.serve,
        door,
        lambda stream: one.serve_webhook({"ci": Pipeline("ci", [SECRET])}, 300.0, stream),
        Log(),
    )
    stream = host.connect(door.where, 1000)
    stream.send(sent, 1000)
    got = stream.recv(65536, 3000)
    assert got == b"" if status is None else got.split()[1] == status
    stream.close()
    door.close()


def test_a_clock_stepped_back_does_not_turn_back_a_stage(tmp_path, monkeypatch):
    store, played = Store(tmp_path / "s"), Played()
    played.round(("offered", 2))
    played.round(step=900.0)
    store.record([], played.one.saved())
    wall = host.wall()
    monkeypatch.setattr(host, "wall", lambda: wall - 3600)
    saved, away = Store(tmp_path / "s").restore()
    again = stages()
    again.restore(5000.0, saved, 1000 * away)
    assert away == 0 and 0 <= 5000.0 - again.soak_start <= 1100.0
    assert store.acquire_lease("a", store.lease_state()) < store.acquire_lease("b", store.lease_state()), (
        "epochs fell with the clock"
    )


def test_one_back_is_heard_in_a_flood_of_on():
    played = Played()
    played.one.allowance, played.one.tokens = 10, [(20, 0.0)] * 2
    played.round(("offered", 2))
    played.round(
        *[("vote", str(n), 1, 0, 2, ON) for n in range(300)],
        ("vote", "x", 1, 0, 2, BACK),
        *[("vote", str(n), 1, 0, 2, ON) for n in range(300, 600)],
    )
    assert played.one.phase == GOING_BACK


def test_migration_killed_at_any_step_is_taken_up(tmp_path):
    for done in range(len(MIGRATIONS)):
        path = tmp_path / f"s{done}"
        db = sqlite3.connect(path, isolation_level=None)
        for number in range(done):
            db.executescript(MIGRATIONS[number] + f"PRAGMA user_version={number + 1};")
        # the next step begun and not committed, as a kill within it leaves
        db.execute("BEGIN IMMEDIATE")
        for statement in MIGRATIONS[done].split(";")[:1]:
            db.execute(statement)
        db.close()
        one = Store(path)
        assert one.lease_state() == (0, "", 0) and one.restore() is None


def test_fenced_store_writes_nothing(tmp_path):
    one, other = Store(tmp_path / "s"), Store(tmp_path / "s")
    one.acquire_lease("a", one.lease_state())
    assert other.acquire_lease("b", (1, "x", 1)) is None, "took a turn that had moved on"
    other.acquire_lease("b", other.lease_state())
    with pytest.raises(Fenced):
        one.record([("stage", dict(build=2))], {})
    assert one.history() == []


# ---- operators ----


def run(*words):
    return CliRunner().invoke(main, [str(w) for w in words])


def test_orders_reach_whichever_acts_and_are_answered(tmp_path, controller):
    one = controller(tmp_path / "s", "a")
    until(lambda: one.stages.slots)
    number = Store(tmp_path / "s").add_order("offer", 5, "ops", "by hand")
    until(lambda: one.stages.version == 5)
    assert one.store.order_result(number) == ("done", "build 5 is offered")
    number = Store(tmp_path / "s").add_order("back", 4, "ops", "x")
    until(lambda: one.store.order_result(number)[0] != "new")
    assert one.store.order_result(number)[0] == "refused"
    asked = run("status", tmp_path / "s", "--json")
    facts = json.loads(asked.output)
    assert asked.exit_code == 0 and (facts["build"], facts["phase"], facts["acting"]) == (5, "on trial", "a")
    one.close()


def test_orders_that_nobody_takes_are_withdrawn(tmp_path):
    Store(tmp_path / "s")
    asked = run("hold", tmp_path / "s", "--by", "ops", "--why", "x", "--limit", "50")
    assert asked.exit_code == 3 and Store(tmp_path / "s").new_orders() == []
    assert run("hold", tmp_path / "s", "--by", " ", "--why", "x").exit_code == 2
    assert run("status", tmp_path / "s").exit_code == 1


def test_snapshot_and_restore_by_command(tmp_path, controller):
    one = controller(tmp_path / "s", "a")
    one.event("offered", 2)
    until(lambda: one.stages.version == 2)
    assert run("snapshot", tmp_path / "s", tmp_path / "copy").exit_code == 0
    one.event("offered", 3)
    until(lambda: one.stages.queue == [3])
    words = "restore", tmp_path / "copy", tmp_path / "s", "--by", "ops", "--why", "x"
    assert run(*words).exit_code == 1, "under a controller that acts"
    before = one.epoch
    one.close()
    assert run(*words).exit_code == 0
    again = controller(tmp_path / "s", "a")
    until(again.is_leader)  # its own watch of turns may come before its start does
    assert (
        again.stages.version == 2 and again.epoch > before and again.store.history()[-1]["what"] == "restored"
    )
    again.close()


# ---- webhooks out ----


class Letters:
    def __init__(self):
        self.sent, self.kept = [], []

    def send(self, number):
        self.sent.append(number)

    def record_state(self, *what):
        self.kept.append(what)


def test_letters_of_a_build_go_in_order_and_are_given_up_in_the_end():
    one, out = Outbox(SimpleNamespace(random=lambda: 0.5), 3, 100.0, 150.0, 2), Letters()
    one.round(0.0, [("added", n, build, 0) for n, build in ((1, 2), (2, 2), (3, 3), (4, 4))], out)
    assert out.sent == [1, 3], "out of order, or more at once than set"
    assert one.round(10.0, [("failed", 1, "no answer"), ("delivered", 3)], out) == 110.0
    assert out.sent == [1, 3, 4] and one.round(109.0, [], out) == 110.0
    one.round(110.0, [], out)
    assert one.round(120.0, [("failed", 1, "x")], out) == 270.0, "the longest wait"
    one.round(270.0, [], out)
    one.round(280.0, [("failed", 1, "x")], out)
    assert out.sent == [1, 3, 4, 1, 1, 2] and (1, 3, "dead", "x") in out.kept
    one.round(300.0, [("failed", 2, "gone", True), ("delivered", 4)], out)
    assert (2, 1, "dead", "gone") in out.kept and len(one) == 0


def test_receiver_hears_each_at_least_once_signed_and_in_order(tmp_path, controller):
    acts, got = ["hang", "reset", 500, 200, 200, 200, 200], []

    def handle(stream):
        act, reader = acts.pop(0) if len(acts) > 1 else acts[0], http.RequestReader(16384, 65536)
        while not reader.ready:
            reader.feed(stream.recv(65536, 2000))
        _, url, headers, body, _ = reader.ready.pop(0)
        got.append((act, body))
        signed(headers, body)
        if act == "hang":
            stream.recv(1, 5000)
        elif act == "reset":
            stream.reset()
        else:
            stream.send(http.answer(act, [], b"", False), 1000)
        stream.close()

    listener = host.Listener("127.0.0.1:0")
    host.spawn(host.serve, listener, handle, Log())
    (tmp_path / "key").write_bytes(SECRET)
    told = load.parse(
        schema.Receiver,
        f'name: "r" url: "http://{listener.where}/x?y" secret_file: "{tmp_path / "key"}" '
        "first_wait: 20 longest_wait: 30 answer_limit: 300",
        "r",
    )
    one = controller(tmp_path / "s", "a")
    one.senders = [Sender(told, one.store, host.chance(1), Log())]
    one.senders[0].start()
    one.event("offered", 2)
    until(lambda: one.stages.version == 2)
    one.event("order", 77, "back", 2, "ops", "it leaks")
    until(lambda: len([a for a, _ in got if a == 200]) >= 2)
    kinds = [json.loads(body)["type"] for _, body in got]
    assert kinds == ["build.stage"] * 4 + ["build.going_back"] and len({body for _, body in got[:4]}) == 1
    assert json.loads(got[-1][1])["data"]["why"] == "ops: it leaks"
    until(lambda: not one.store.messages("due"))
    one.close()
    listener.close()


def signed(headers, body):
    told = dict(headers)
    want = dict(signed_headers(int(told[b"webhook-id"][4:]), body, SECRET, int(told[b"webhook-timestamp"])))
    assert told[b"webhook-signature"] == want[b"webhook-signature"]


def test_dead_letters_are_listed_and_sent_again(tmp_path):
    store = Store(tmp_path / "s")
    store.record(
        [],
        {},
        messages=[
            ("r", 2, event_body("build.stage", dict(build=2), 0)),
            ("r", 2, event_body("build.released", dict(build=2), 0)),
        ],
    )
    store.store_message_state(1, 12, "dead", "no connection: econnrefused")
    listed = run("letters", tmp_path / "s", "--json")
    assert json.loads(listed.output)["why"] == "no connection: econnrefused"
    assert run("letters", tmp_path / "s", "--again").exit_code == 0
    assert [row[0] for row in store.messages("due")] == [1, 2]


# ---- killed at random points: the short version of bench/release.py ----


@pytest.fixture
def bench(monkeypatch):
    monkeypatch.syspath_prepend(str(Path(__file__).parents[1] / "bench"))
    return importlib.import_module("release")


def test_killed_controllers_keep_what_was_told(bench):
    with ThreadPoolExecutor(3) as pool:
        for answers, wrong in pool.map(bench.kill, range(3)):
            assert answers and not wrong


def test_killed_proxies_keep_what_was_sent(bench):
    kills, acknowledged, ran, wrong = bench.worker((0, 4))
    assert kills == 4 and ran >= acknowledged and not wrong
