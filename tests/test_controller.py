"""Tests of the whole controller: leader election, operators' orders, outgoing webhooks, and that no
interleaving of events breaks the rules of a rollout."""

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
from hypothesis import settings as hypothesis_settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from gannetfront import host
from gannetfront.cli.release import main
from gannetfront.config import load, schema_pb2 as schema
from gannetfront.interface import ROLL_BACK, ROLLING_BACK, PROMOTE, RELEASED, TRIAL, WITHDRAWN, Rollout
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


def make_stages(**options):
    rollout = Rollout(
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
    rollout.__dict__["vote_allowance"] = 1000
    return Stages(rollout, 4, 2, 4, **options)


class FakeFleet:
    """A writer of Stages whose nodes do what they are ordered to, one round later."""

    def __init__(self):
        self.events, self.logged, self.answers, self.stage_count = [], [], [], 0

    def place(self, slot, *_):
        self.events.append(("node", slot, True))

    def remove(self, slot):
        self.events.append(("gone", slot))

    def stage(self):
        self.stage_count += 1

    def answer(self, *_):
        pass

    def ordered(self, *answer):
        self.answers.append(answer)

    def log(self, what, facts):
        self.logged.append((what, facts))


class StagesDriver:
    """Stages with a fake fleet and a clock that each round advances."""

    def __init__(self, **options):
        self.stages, self.fleet, self.now = make_stages(**options), FakeFleet(), 0.0
        self.round(("begin",))

    def round(self, *events, step=100.0):
        self.now += step
        fleet_events, self.fleet.events = self.fleet.events, []
        self.stages.round(self.now, [*fleet_events, *events], self.fleet)
        return self.stages

    def vote_on(self, *proxies):
        return self.round(*[("vote", p, 1, self.stages.stage, self.stages.version, PROMOTE) for p in proxies])

    def soak(self, *present):
        for _ in range(13):
            self.round(*[("heard", p) for p in present])


@pytest.fixture
def driver():
    """A trial of build 2 with four present proxies, whose leases are 3 s."""
    new_driver = StagesDriver(lease=3000.0, known_for=60000.0, quorum=0.5)
    new_driver.round(*[("heard", p) for p in "abcd"], ("offered", 2))
    return new_driver


def test_votes_of_a_vanished_proxy_do_not_count(driver):
    driver.vote_on("a")
    driver.soak("b", "c", "d")
    for _ in range(2):
        driver.soak("b", "c", "d")  # a's lease has expired, its vote has not
    driver.vote_on("b")
    assert driver.stages.stage == 0, "the vote of an absent proxy promoted a stage"
    driver.vote_on("c")
    assert driver.stages.stage == 1


def test_vanished_proxies_do_not_block_the_present_ones(driver):
    driver.stages.quorum = 0.0
    for _ in range(3):
        driver.soak("a")
    driver.vote_on("a")
    assert driver.stages.stage == 1, "two votes were required where one proxy is present"


def test_no_promotion_without_a_quorum_but_back_votes_count(driver):
    for _ in range(3):
        driver.soak("a")
    driver.vote_on("a")
    assert driver.stages.stage == 0 and driver.fleet.logged[-1] == (
        "waits",
        dict(build=2, why="1 of 4 proxies in touch"),
    )
    driver.round(("vote", "a", 9, 0, 2, ROLL_BACK, "12/0.80/0.4"))
    assert driver.stages.phase == ROLLING_BACK and driver.fleet.logged[-1][1]["why"] == "proxy a 12/0.80/0.4"


def test_hold_freeze_and_resume(driver):
    driver.round(("order", 1, "hold", None, "ops", "a look at the logs"))
    driver.soak(*"abcd")
    driver.vote_on("a", "b")
    assert driver.stages.stage == 0 and driver.stages.blocking_reason() == "held by ops: a look at the logs"
    driver.round(("order", 2, "resume", None, "ops", "fine"), ("frozen", "holidays"))
    assert driver.stages.stage == 0
    driver.round(("frozen", None))
    assert driver.stages.stage == 1
    assert [a[:2] for a in driver.fleet.answers] == [(1, True), (2, True)]


def test_an_operator_rolls_back_also_a_held_or_released_build(driver):
    for _ in (0, 1):
        driver.soak(*"abcd")
        driver.vote_on("a", "b")
    assert driver.stages.phase == RELEASED
    driver.round(
        ("order", 1, "hold", None, "ops", "x"),
        ("order", 2, "back", 3, "ops", "x"),
        ("order", 3, "back", 2, "ops", "it leaks"),
    )
    assert driver.stages.phase == ROLLING_BACK and [a[1] for a in driver.fleet.answers] == [True, False, True]
    driver.soak(*"abcd")
    assert driver.stages.phase == WITHDRAWN
    driver.round(("order", 4, "offer", 2, "ops", "once more"), ("order", 5, "offer", 3, "ops", "mended"))
    assert [a[1] for a in driver.fleet.answers[-2:]] == [False, True] and driver.stages.queue == [3], (
        "a trial began on hold"
    )


def test_without_supersede_a_queued_build_waits_for_the_end_of_the_trial():
    driver = StagesDriver(supersede=False)
    driver.round(("offered", 2))
    driver.round(("offered", 3))
    assert (driver.stages.version, driver.stages.phase, driver.stages.queue) == (2, TRIAL, [3])
    for _ in (0, 1):
        driver.soak()
        driver.vote_on("a", "b")
    driver.round()
    assert (driver.stages.version, driver.stages.released_version) == (3, 2)


class Interleavings(RuleBasedStateMachine):
    """Votes, expired leases, crashes, orders, offers and passing time in any order."""

    @initialize(supersede=st.booleans())
    def begin(self, supersede):
        self.driver = StagesDriver(lease=3000.0, known_for=20000.0, quorum=0.5, supersede=supersede)
        self.stage_before, self.caps_sent, self.order_count = (1, RELEASED, 1), [], 0

    def step(self, *events, step=50.0):
        log_length = len(self.driver.fleet.logged)
        stages = self.driver.stages
        before = (self.driver.stages.version, self.driver.stages.phase, self.driver.stages.stage)
        has_back_vote = (
            stages.version > 1
            and stages.phase in (TRIAL, RELEASED)
            and any(
                verdict == ROLL_BACK
                and self.driver.now + step - cast_at < stages.vote_life
                and self.driver.now + step - stages.last_seen.get(p, -1e18) <= stages.lease
                for p, (verdict, cast_at) in stages.votes.items()
            )
        )
        was_on_hold = stages.hold
        self.driver.round(*events, step=step)
        moves = [f for what, f in self.driver.fleet.logged[log_length:] if what == "stage"]
        after = stages.version, stages.phase, stages.stage
        assert len(moves) <= 2, "two stage changes in one round"
        if has_back_vote:
            assert after[:2] not in ((before[0], TRIAL), (before[0], RELEASED)), (
                "still on trial or released despite a valid ROLL_BACK vote"
            )
        if was_on_hold and not any(e[0] == "order" for e in events):
            assert not (
                after[0] == before[0]
                and (after[1] == RELEASED != before[1] or after[1] == TRIAL and after[2] > before[2])
            )
            assert after[0] == before[0], "a trial began on hold"
        if after[0] == before[0] and before[1] == after[1] == TRIAL:
            assert before[2] <= after[2] <= before[2] + 1
        if before[1] in (ROLLING_BACK, WITHDRAWN) and after[0] == before[0]:
            assert after[1] in (ROLLING_BACK, WITHDRAWN), "a withdrawn build returned"

    @rule(
        proxy=st.sampled_from("abcd"),
        verdict=st.sampled_from([PROMOTE, PROMOTE, ROLL_BACK]),
        off=st.sampled_from([0, 0, 0, 1]),
    )
    def vote(self, proxy, verdict, off):
        self.step(("vote", proxy, 1, self.driver.stages.stage + off, self.driver.stages.version, verdict, ""))

    @rule(some=st.sets(st.sampled_from("abcd")), step=st.sampled_from([25.0, 1000.0, 2600.0]))
    def time(self, some, step):
        self.step(*[("heard", p) for p in sorted(some)], step=step)

    @rule(ahead=st.integers(0, 3))
    def offer(self, ahead):
        self.step(("offered", self.driver.stages.version + ahead))

    @rule(kind=st.sampled_from(["hold", "resume", "back", "resume"]))
    def order(self, kind):
        self.order_count += 1
        self.step(("order", self.order_count, kind, self.driver.stages.version, "ops", "x"))

    @rule(away=st.floats(0, 9000))
    def crash(self, away):
        """The controller restarts from its saved state, as JSON; the slots are sent to the machines again."""
        previous = self.driver.stages
        saved = json.loads(json.dumps(previous.saved()))
        self.driver.now += away
        self.driver.stages = make_stages(
            lease=3000.0, known_for=20000.0, quorum=0.5, supersede=previous.supersede
        )
        self.driver.stages.restore(self.driver.now, saved, away)
        assert self.driver.stages.cap == previous.cap and set(self.driver.stages.slots) == set(previous.slots)
        self.driver.stages.resend_slots(self.driver.fleet)
        self.step()

    @invariant()
    def sound(self):
        stages = getattr(self, "driver", None) and self.driver.stages
        if stages:
            on_trial = {
                s.version
                for s in stages.slots.values()
                if s.version not in (stages.released_version, 1) and not s.leaving
            }
            assert len(on_trial) <= 1 and on_trial <= {stages.version}, "two builds on trial"
            assert stages.phase in (TRIAL, RELEASED) or stages.cap == 0.0
            assert (
                sum(s.version == stages.version and not s.leaving for s in stages.slots.values())
                <= stages.size
            )


Interleavings.TestCase.settings = hypothesis_settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)
test_any_interleaving = Interleavings.TestCase


# ---- the calendar and the lease ----


def freeze(begin, end, why="x"):
    return SimpleNamespace(begin=begin, end=end, why=why)


def test_calendar():
    calendar = Calendar(
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
        assert calendar.freeze_reason(parse_date(text)) == why, text
    for invalid in (
        freeze("2026-13-01", "2027-01-01"),
        freeze("fri 25:00", "mon 06:00"),
        freeze("2027-01-02", "2027-01-01"),
        freeze("fri 18", "mon 06:00"),
    ):
        with pytest.raises(ValueError):
            Calendar([invalid])


def test_the_lease_depends_on_heartbeats_not_on_the_calendar_clock():
    standby = LeaderLease("b", 1000.0)
    assert (
        not standby.poll(0.0, 5, "a", 1)
        and not standby.poll(900.0, 5, "a", 2)
        and not standby.poll(1800.0, 5, "a", 2)
    )
    assert standby.poll(1900.0, 5, "a", 2)
    assert LeaderLease("a", 1000.0).poll(0.0, 5, "a", 1) and LeaderLease("b", 1000.0).poll(0.0, 5, "", 1)
    restarted = LeaderLease("a", 1000.0)
    restarted.poll(0.0, 5, "a", 1)
    restarted.record_acquisition(0.0, 0.0, 6)
    assert restarted.is_valid(500.0) and not restarted.is_valid(700.0), "leads on without a renewal"
    # A write that returned late: standbys may have seen its heartbeat when it began.
    restarted.record_renewal(1000.0, 3000.0)
    assert restarted.is_valid(1990.0) and not restarted.is_valid(2010.0)
    restarted.record_loss(800.0)
    assert not restarted.poll(810.0, 7, "a", 1), (
        "two controllers of one name take the lease from each other forever"
    )


def test_a_message_of_an_earlier_epoch_is_refused():
    epochs = Epochs()
    epochs.check(c.Stage(epoch=5))
    epochs.check(c.Alive())
    with pytest.raises(Outdated):
        epochs.check(c.NodeList(epoch=4))


# ---- two controllers on one store ----


@pytest.fixture
def make_controller():
    """A factory of started controllers, which are closed after the test."""
    controllers = []

    def make(*options):
        controllers.append(start_controller(*options))
        return controllers[-1]

    yield make
    for controller in controllers:
        if not controller.listener.open:
            continue
        controller.close()


def start_controller(path, name, log=None, patience=1200):
    fleet = load.parse(schema.Fleet, FLEET, "f")
    settings = load.parse(schema.Controller, f'name: "{name}" patience: {patience}', "c")
    controller = Controller(fleet, settings, load.deployment(fleet, 0, "", 1.0).rollout, 2, log or Log())
    controller.store = ThreadedStore(Store(path))
    controller.start()
    controller.join_election()
    return controller


def wait_until(condition, limit=5000):
    """Waits up to `limit` ms for `condition()`."""
    deadline = host.now() + limit
    while not condition():
        assert host.now() < deadline, "the condition did not become true in time"
        host.sleep(5)


def connect_proxy(controller):
    """(stream, reader, unread messages) of a proxy's link to the controller, for `receive`."""
    stream = host.connect(controller.listener.where, 1000)
    stream.send(frames.pack(hello=c.Hello(role=c.PROXY, id="7")), 1000)
    return stream, frames.FrameReader(), []


def receive(stream, reader, unread, name):
    """The next message of the kind `name`; others before it are dropped."""
    while True:
        while unread:
            kind, message = unread.pop(0)
            if kind == name:
                return message
        data = stream.recv(65536, 3000)
        assert data, f"the link ended without a {name}"
        unread += reader.feed(data)


def test_a_standby_takes_over_with_the_votes_and_the_former_leader_is_silent(tmp_path, make_controller):
    log = Log()
    first = make_controller(tmp_path / "s", "a")
    second = make_controller(tmp_path / "s", "b", log)
    assert first.is_leader() and not second.is_leader()
    assert receive(*connect_proxy(second), "refusal").why
    first.event("offered", 2)
    wait_until(lambda: first.stages.version == 2)
    proxy = connect_proxy(first)
    proxy[0].send(frames.pack(vote=c.Vote(number=1, stage=0, ver=2, verdict=PROMOTE)), 1000)
    while not receive(*proxy, "stage").answer:
        pass
    epoch = first.epoch
    # Like a paused process, the first controller does not renew its lease and does not notice the time.
    first.store.__dict__["renew_lease"] = lambda: host.sleep(1e9)
    wait_until(second.is_leader)
    assert second.stages.version == 2 and second.stages.votes["7"][0] == PROMOTE and second.epoch > epoch
    assert not first.is_leader(), "two leaders"
    # Even a controller that believes its lease to be valid stores and sends nothing.
    first.leader_lease.renewed_at = 1e18
    first.event("offered", 3)
    wait_until(lambda: not first.leading)
    assert first.stages.version == 1 and second.store.restore()[0]["ver"] == 2
    assert receive(*connect_proxy(second), "welcome").epoch == second.epoch
    assert (
        send_webhook(second, 4)[0] == 202
        and send_webhook(first, 4)[0] == 202
        and send_webhook(first, 5, "d5")[0] == 503
    )
    second.close()
    assert Store(tmp_path / "s").lease_state()[1] == ""  # released: a standby may take over at once


@pytest.mark.parametrize("connected", [True, False], ids=["a proxy is connected", "no proxy yet"])
def test_a_hanging_commit_delays_no_list_and_no_stage_is_sent_before_it(tmp_path, make_controller, connected):
    controller, disk = make_controller(tmp_path / "s", "a", None, 60000), threading.Event()
    old_proxy, new_proxy = connect_proxy(controller) if connected else None, None
    wait_until(lambda: controller.stages.version == 1 and not controller.writing and not controller.moves)
    store_record, controller.store.store.record = (
        controller.store.store.record,
        lambda moves, saved, *rest: (saved["ver"] == 2 and disk.wait(), store_record(moves, saved, *rest)),
    )
    try:
        controller.event("offered", 2)
        wait_until(lambda: controller.writing and controller.stages.version == 2)
        controller.apply_report(
            c.Report(slot=0, node=c.Node(id="n", state=c.READY, build=1, incarnation=1, age=1.0))
        )
        while old_proxy and not receive(*old_proxy, "list").nodes:
            pass
        new_proxy = connect_proxy(controller)
        assert (
            receive(*new_proxy, "list").nodes[0].id == "n"
            and controller.writing
            and controller.stages.version == 2
        )
        assert not any(kind == "stage" for kind, _ in new_proxy[2]), "sent before it is on disk"
    finally:
        disk.set()
    assert receive(*new_proxy, "stage").ver == 2 and Store(tmp_path / "s").restore()[0]["ver"] == 2


def test_a_controller_whose_store_is_locked_at_its_start_leads_once_it_is_unlocked(tmp_path, monkeypatch):
    monkeypatch.setattr(store_module, "BUSY_TIMEOUT_S", 0.01)
    Store(tmp_path / "s").close()
    other = sqlite3.connect(tmp_path / "s", isolation_level=None)
    other.execute("BEGIN IMMEDIATE")
    controller = start_controller(tmp_path / "s", "a")
    assert not controller.leading
    other.execute("ROLLBACK")
    wait_until(controller.is_leader)
    controller.close()


def test_two_simultaneous_deliveries_of_one_id_on_a_slow_disk_are_one(tmp_path, make_controller):
    controller, disk = make_controller(tmp_path / "s", "a", None, 60000), threading.Event()
    store_delivery, controller.store.store.deliver = (
        controller.store.store.deliver,
        lambda *fields: (disk.wait(), store_delivery(*fields)),
    )
    answers = [host.Once(), host.Once()]
    for once in answers:
        host.spawn(lambda once=once: once.set(send_webhook(controller, 4)))
    host.sleep(20)
    disk.set()
    assert answers[0].wait(5000) == answers[1].wait(5000) and answers[0].value()[0] == 202


def test_a_store_that_is_locked_at_the_start_is_waited_for(tmp_path, monkeypatch):
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


def send_webhook(controller, build, delivery_id="d4"):
    body = json.dumps(dict(build=build)).encode()
    headers = [
        (b"x-delivery-id", delivery_id.encode()),
        (b"x-hub-signature-256", b"sha256=" + hmac.digest(SECRET, body, "sha256").hex().encode()),
    ]
    return controller.handle_delivery(
        {"ci": Pipeline("ci", [SECRET])}, 300.0, b"POST", b"/hooks/ci", headers, body
    )


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
        # no further data after the first three bytes
        (b"POST /hooks/ci HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nabc", None),
    ],
)
def test_deliveries_that_are_too_large_or_too_slow_are_dropped(tmp_path, make_controller, sent, status):
    controller = make_controller(tmp_path / "s", "a")
    controller.webhook_timeout = 150.0
    listener = host.Listener("127.0.0.1:0")
    host.spawn(
        host.serve,
        listener,
        lambda stream: controller.serve_webhook({"ci": Pipeline("ci", [SECRET])}, 300.0, stream),
        Log(),
    )
    stream = host.connect(listener.where, 1000)
    stream.send(sent, 1000)
    answer = stream.recv(65536, 3000)
    assert answer == b"" if status is None else answer.split()[1] == status
    stream.close()
    listener.close()


def test_a_clock_that_is_stepped_back_does_not_reset_the_soak_time(tmp_path, monkeypatch):
    store, driver = Store(tmp_path / "s"), StagesDriver()
    driver.round(("offered", 2))
    driver.round(step=900.0)
    store.record([], driver.stages.saved())
    wall = host.wall()
    monkeypatch.setattr(host, "wall", lambda: wall - 3600)
    saved, downtime = Store(tmp_path / "s").restore()
    restarted = make_stages()
    restarted.restore(5000.0, saved, 1000 * downtime)
    assert downtime == 0 and 0 <= 5000.0 - restarted.soak_start <= 1100.0
    assert store.acquire_lease("a", store.lease_state()) < store.acquire_lease("b", store.lease_state()), (
        "epochs fell with the clock"
    )


def test_one_back_vote_counts_in_a_flood_of_on_votes():
    driver = StagesDriver()
    driver.stages.allowance, driver.stages.tokens = 10, [(20, 0.0)] * 2
    driver.round(("offered", 2))
    driver.round(
        *[("vote", str(n), 1, 0, 2, PROMOTE) for n in range(300)],
        ("vote", "x", 1, 0, 2, ROLL_BACK),
        *[("vote", str(n), 1, 0, 2, PROMOTE) for n in range(300, 600)],
    )
    assert driver.stages.phase == ROLLING_BACK


def test_a_migration_that_was_killed_at_any_step_is_completed(tmp_path):
    for applied in range(len(MIGRATIONS)):
        path = tmp_path / f"s{applied}"
        db = sqlite3.connect(path, isolation_level=None)
        for number in range(applied):
            db.executescript(MIGRATIONS[number] + f"PRAGMA user_version={number + 1};")
        # The next migration has begun and is not committed, as after a kill.
        db.execute("BEGIN IMMEDIATE")
        for statement in MIGRATIONS[applied].split(";")[:1]:
            db.execute(statement)
        db.close()
        store = Store(path)
        assert store.lease_state() == (0, "", 0) and store.restore() is None


def test_a_fenced_store_writes_nothing(tmp_path):
    fenced, other = Store(tmp_path / "s"), Store(tmp_path / "s")
    fenced.acquire_lease("a", fenced.lease_state())
    assert other.acquire_lease("b", (1, "x", 1)) is None, "acquired a lease that had changed"
    other.acquire_lease("b", other.lease_state())
    with pytest.raises(Fenced):
        fenced.record([("stage", dict(build=2))], {})
    assert fenced.history() == []


# ---- operators ----


def run_command(*arguments):
    return CliRunner().invoke(main, [str(argument) for argument in arguments])


def test_orders_reach_the_leader_and_are_answered(tmp_path, make_controller):
    controller = make_controller(tmp_path / "s", "a")
    wait_until(lambda: controller.stages.slots)
    number = Store(tmp_path / "s").add_order("offer", 5, "ops", "by hand")
    wait_until(lambda: controller.stages.version == 5)
    assert controller.store.order_result(number) == ("done", "build 5 is offered")
    number = Store(tmp_path / "s").add_order("back", 4, "ops", "x")
    wait_until(lambda: controller.store.order_result(number)[0] != "new")
    assert controller.store.order_result(number)[0] == "refused"
    result = run_command("status", tmp_path / "s", "--json")
    facts = json.loads(result.output)
    assert result.exit_code == 0 and (facts["build"], facts["phase"], facts["acting"]) == (5, "on trial", "a")
    controller.close()


def test_orders_that_no_leader_takes_are_withdrawn(tmp_path):
    Store(tmp_path / "s")
    result = run_command("hold", tmp_path / "s", "--by", "ops", "--why", "x", "--limit", "50")
    assert result.exit_code == 3 and Store(tmp_path / "s").new_orders() == []
    assert run_command("hold", tmp_path / "s", "--by", " ", "--why", "x").exit_code == 2
    assert run_command("status", tmp_path / "s").exit_code == 1


def test_snapshot_and_restore_by_command(tmp_path, make_controller):
    controller = make_controller(tmp_path / "s", "a")
    controller.event("offered", 2)
    wait_until(lambda: controller.stages.version == 2)
    assert run_command("snapshot", tmp_path / "s", tmp_path / "copy").exit_code == 0
    controller.event("offered", 3)
    wait_until(lambda: controller.stages.queue == [3])
    arguments = "restore", tmp_path / "copy", tmp_path / "s", "--by", "ops", "--why", "x"
    assert run_command(*arguments).exit_code == 1, "restored under a controller that leads"
    earlier_epoch = controller.epoch
    controller.close()
    assert run_command(*arguments).exit_code == 0
    restarted = make_controller(tmp_path / "s", "a")
    wait_until(restarted.is_leader)  # its election greenlet may run before join_election
    assert (
        restarted.stages.version == 2
        and restarted.epoch > earlier_epoch
        and restarted.store.history()[-1]["what"] == "restored"
    )
    restarted.close()


# ---- outgoing webhooks ----


class RecordingWriter:
    """A writer of Outbox that records what is sent and which states are stored."""

    def __init__(self):
        self.sent, self.states = [], []

    def send(self, number):
        self.sent.append(number)

    def record_state(self, *what):
        self.states.append(what)


def test_messages_of_a_build_are_sent_in_order_and_given_up_in_the_end():
    outbox, out = Outbox(SimpleNamespace(random=lambda: 0.5), 3, 100.0, 150.0, 2), RecordingWriter()
    outbox.round(0.0, [("added", n, build, 0) for n, build in ((1, 2), (2, 2), (3, 3), (4, 4))], out)
    assert out.sent == [1, 3], "out of order, or too many at once"
    assert outbox.round(10.0, [("failed", 1, "no answer"), ("delivered", 3)], out) == 110.0
    assert out.sent == [1, 3, 4] and outbox.round(109.0, [], out) == 110.0
    outbox.round(110.0, [], out)
    assert outbox.round(120.0, [("failed", 1, "x")], out) == 270.0, "not limited to the longest wait"
    outbox.round(270.0, [], out)
    outbox.round(280.0, [("failed", 1, "x")], out)
    assert out.sent == [1, 3, 4, 1, 1, 2] and (1, 3, "dead", "x") in out.states
    outbox.round(300.0, [("failed", 2, "gone", True), ("delivered", 4)], out)
    assert (2, 1, "dead", "gone") in out.states and len(outbox) == 0


def test_a_receiver_gets_each_message_at_least_once_signed_and_in_order(tmp_path, make_controller):
    actions, received = ["hang", "reset", 500, 200, 200, 200, 200], []

    def handle(stream):
        action, reader = actions.pop(0) if len(actions) > 1 else actions[0], http.RequestReader(16384, 65536)
        while not reader.ready:
            reader.feed(stream.recv(65536, 2000))
        _, url, headers, body, _ = reader.ready.pop(0)
        received.append((action, body))
        check_signature(headers, body)
        if action == "hang":
            stream.recv(1, 5000)
        elif action == "reset":
            stream.reset()
        else:
            stream.send(http.answer(action, [], b"", False), 1000)
        stream.close()

    listener = host.Listener("127.0.0.1:0")
    host.spawn(host.serve, listener, handle, Log())
    (tmp_path / "key").write_bytes(SECRET)
    settings = load.parse(
        schema.Receiver,
        f'name: "r" url: "http://{listener.where}/x?y" secret_file: "{tmp_path / "key"}" '
        "first_wait: 20 longest_wait: 30 answer_limit: 300",
        "r",
    )
    controller = make_controller(tmp_path / "s", "a")
    controller.senders = [Sender(settings, controller.store, host.chance(1), Log())]
    controller.senders[0].start()
    controller.event("offered", 2)
    wait_until(lambda: controller.stages.version == 2)
    controller.event("order", 77, "back", 2, "ops", "it leaks")
    wait_until(lambda: len([a for a, _ in received if a == 200]) >= 2)
    kinds = [json.loads(body)["type"] for _, body in received]
    assert (
        kinds == ["build.stage"] * 4 + ["build.going_back"] and len({body for _, body in received[:4]}) == 1
    )
    assert json.loads(received[-1][1])["data"]["why"] == "ops: it leaks"
    wait_until(lambda: not controller.store.messages("due"))
    controller.close()
    listener.close()


def check_signature(headers, body):
    sent = dict(headers)
    expected = dict(
        signed_headers(int(sent[b"webhook-id"][4:]), body, SECRET, int(sent[b"webhook-timestamp"]))
    )
    assert sent[b"webhook-signature"] == expected[b"webhook-signature"]


def test_dead_letters_are_listed_and_requeued(tmp_path):
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
    listed = run_command("letters", tmp_path / "s", "--json")
    assert json.loads(listed.output)["why"] == "no connection: econnrefused"
    assert run_command("letters", tmp_path / "s", "--again").exit_code == 0
    assert [row[0] for row in store.messages("due")] == [1, 2]


# ---- processes killed at random points: the short version of bench/release.py ----


@pytest.fixture
def bench(monkeypatch):
    monkeypatch.syspath_prepend(str(Path(__file__).parents[1] / "bench"))
    return importlib.import_module("release")


def test_killed_controllers_keep_what_was_sent(bench):
    with ThreadPoolExecutor(3) as pool:
        for answers, wrong in pool.map(bench.kill, range(3)):
            assert answers and not wrong


def test_killed_proxies_keep_what_was_acknowledged(bench):
    kills, acknowledged, ran, wrong = bench.worker((0, 4))
    assert kills == 4 and ran >= acknowledged and not wrong
