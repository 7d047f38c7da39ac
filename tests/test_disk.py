"""A disk that stands still, and what is decided meanwhile: whatever waited is asked again before its first byte."""

import os
import threading
from types import SimpleNamespace

import pytest

from gannetfront import host, interface as i
from gannetfront.day import struck
from gannetfront.keptfile import KeptFile
from gannetfront.proxy.tenants import Tenants
from gannetfront.tenants import kept
from gannetfront.tenants.views import View
from gannetfront.trail import log
from gannetfront.trail.disk import Disk
from gannetfront.wire import control_pb2 as c, http
from helpers import BalancerHarness
from rig import FLEET, Log, Node, Rig, ok
from test_audit import HOOKS, play


class Gate:
    """Stands between the program and its disk: once shut, every sync waits in its thread until it is opened."""

    def __init__(self, monkeypatch):
        self.open, self.waiting, self.error = threading.Event(), 0, None
        self.open.set()
        for name in ("fdatasync", "fsync"):
            monkeypatch.setattr(os, name, self.call)

    def call(self, fd):
        """In place of the machine's own disk: how quick that is, is not what is tested."""
        self.waiting += 1
        self.open.wait()
        self.waiting -= 1
        if self.error:
            raise OSError(self.error, "as the test says")


@pytest.fixture
def gate(monkeypatch):
    one = Gate(monkeypatch)
    yield one
    one.open.set()


@pytest.fixture
def rig(tmp_path, gate):
    made = []

    def make(*nodes, **facts):
        made.append(Rig(tmp_path, *nodes, trail=str(tmp_path / "t"), **facts))
        made[-1].until(lambda: not made[-1].proxy.file.unwritten)
        return made[-1]

    yield make
    gate.open.set()
    for one in made:
        one.close()


def waits(one, gate, **told):
    """(stream) of a debit whose intent waits for the disk."""
    gate.open.clear()
    stream = host.connect(one.at, 1000)
    stream.send(http.request(b"/debit", b"x", [(k.encode(), v.encode()) for k, v in told.items()], b""), 1000)
    one.until(lambda: one.proxy.rounds.flights and gate.waiting)
    return stream


def told_stage(one, ver, phase, cap, stage=0):
    one.proxy.rounds.put_event("stage_told", False, stage, 0.0, cap, i.SUCCEEDED, ver, phase)
    one.until(lambda: one.proxy.rounds.balancer.phase == phase and one.proxy.rounds.balancer.cap == cap)


LONG = dict(trail_patience=60000.0)


def test_a_node_told_to_end_during_the_wait_gets_nothing(rig, gate):
    one = rig(Node(ok()), **LONG)
    stream = waits(one, gate)
    one.nodes.append(Node(ok(b"other")))
    one.list(one.nodes[1])
    one.list(one.nodes[0], c.DRAINING)
    one.until(lambda: len(one.proxy.rounds.balancer.servers) == 2)
    gate.open.set()
    assert one.read(stream)[2].body == b"other" and not one.nodes[0].seen
    one.until(lambda: len(log.read(str(one.path / "t"))) >= 5)
    ends = [r[3]["status"] for r in log.read(str(one.path / "t")) if r[2] == "outcome"]
    assert ends == [i.MOOT, i.SUCCEEDED]


@pytest.mark.parametrize(
    "phase, cap", [(i.ROLLING_BACK, 0.0), (i.TRIAL, 0.0)], ids=["taken back", "cap dropped"]
)
def test_a_trial_build_whose_share_went_during_the_wait_gets_nothing(rig, gate, phase, cap):
    one = rig(Node(ok()), listed=False, **LONG)
    one.list(one.nodes[0], build=2)
    one.until(lambda: one.proxy.rounds.balancer.servers)
    told_stage(one, 2, i.TRIAL, 1.0)
    stream = waits(one, gate)
    told_stage(one, 2, phase, cap)
    gate.open.set()
    assert one.read(stream)[:2] == (429, "throttled") and not one.nodes[0].seen


def test_a_release_during_the_wait_changes_nothing_for_who_waits(rig, gate):
    one = rig(Node(ok()), listed=False, **LONG)
    one.list(one.nodes[0], build=2)
    one.until(lambda: one.proxy.rounds.balancer.servers)
    told_stage(one, 2, i.TRIAL, 1.0)
    stream = waits(one, gate)
    told_stage(one, 2, i.RELEASED, 1.0, 1)
    gate.open.set()
    assert one.read(stream)[1] == "succeeded"


def test_a_client_that_left_during_the_wait_has_nothing_sent(rig, gate):
    one = rig(Node(ok()), **LONG)
    waits(one, gate).close()
    one.until(lambda: not one.proxy.rounds.held)
    gate.open.set()
    one.until(lambda: not one.proxy.rounds.flights)
    assert not one.nodes[0].seen


def test_a_disk_that_never_answers_turns_away_what_needs_it_and_nothing_else(rig, gate):
    # With all the time in the world: turned away by the disk's patience, not by the invocation's.
    one = rig(
        Node(ok()),
        fleet=FLEET.replace("500", "60000").replace("1000", "60000"),
        trail_patience=300.0,
        stop_limit=300.0,
    )
    stream = waits(one, gate)
    status, kind, answer = one.read(stream)
    assert (status, kind) == (429, "throttled") and not one.nodes[0].seen
    assert float(http.header(answer.headers, b"gannet-retry-after-ms")) > 0
    status, _, answer = one.ask("debit")
    assert status == 429 and b"cannot be written down" in answer.body and one.ask("read")[1] == "succeeded"
    assert not one.proxy.rounds.held and b"gannet_trail_refuses 1.0" in one.proxy.metrics()
    # Nor does a list that cannot be kept hold up what it says.
    one.nodes.append(Node(ok()))
    one.list(one.nodes[1])
    one.until(lambda: len(one.proxy.rounds.balancer.servers) == 2 and one.proxy.file.unwritten)
    assert one.log.said("trail slow")
    one.proxy.stop()
    assert one.log.said("stopped") and one.log.said("trail not whole: its disk does not answer")


def test_a_disk_that_is_quick_again_is_used_again(rig, gate):
    one = rig(Node(ok()), trail_patience=300.0)
    assert one.read(waits(one, gate))[0] == 429
    gate.open.set()
    one.until(lambda: not one.proxy.rounds.trail.refuses(), 30000)
    assert one.ask("debit")[1] == "succeeded" and one.log.said("trail quick again")
    kinds = [r[2] for r in log.read(str(one.path / "t"))]
    assert kinds[0] == "intent", (
        "refused, and yet it reached the disk: its outcome says that nothing was sent"
    )
    assert [r[3]["status"] for r in log.read(str(one.path / "t")) if r[2] == "outcome"][0] == i.MOOT


def test_what_could_not_be_kept_is_kept_later(gate, tmp_path, monkeypatch):
    monkeypatch.setattr("gannetfront.keptfile.RETRY_INTERVAL", 10.0)
    said, seen = Log(), [b"one"]
    one = KeptFile(str(tmp_path / "f"), lambda: seen[0], "list", said)
    greenlet, gate.error = host.spawn(one.run), 28
    one.mark_changed()
    end = host.now() + 5000
    while not said.said("list not kept") and host.now() < end:
        host.sleep(5)
    gate.error, seen[0] = None, b"two"
    while one.unwritten and host.now() < end:
        host.sleep(5)
    assert (tmp_path / "f").read_bytes() == b"two" and len(said.said("list not kept")) == 1
    host.stop(greenlet)


def test_a_view_is_on_disk_before_it_is_in_force_unless_the_disk_does_not_answer(gate, tmp_path, monkeypatch):
    """Else who dies in between takes an older one after it, from whoever had held the duty before."""
    monkeypatch.setattr("gannetfront.proxy.tenants.VIEW_WRITE_TIMEOUT_MS", 100.0)
    said, seen, path = Log(), [], tmp_path / "v"
    mine = SimpleNamespace(
        me=0, tenants_file=str(path), tenants_fresh=0.0, tenants_costly=0.0, tenants_serve=0.0
    )
    link = Tenants(
        mine, SimpleNamespace(operations=[]), lambda *x: None, said, host.Jitter(1), "127.0.0.1:1", "tenants"
    )

    def stored():
        return path.exists() and kept.unpack(path.read_bytes())[0].number

    link.acted = lambda token, step, how, why: seen.append((step, how, stored()))
    greenlet = host.spawn(link.file.run)

    def take(number):
        return link.on_tenants(
            next(kept.view_messages(View(number, {"t": ("g", 0.0)}, {"g": 1.0}, []), 5, 0.0))
        )

    take(1)
    gate.error = 28
    take(2)
    gate.error = None
    gate.open.clear()
    take(3)
    gate.open.set()
    assert seen == [(1, "done", 1), (2, "done", 1), (3, "done", 1)] and link.tenancy.number == (5, 3)
    assert len(said.said("view in force before it is on disk")) == 2
    while link.file.unwritten:
        host.sleep(5)
    assert stored() == 3
    host.stop(greenlet)


def test_let_go_together_they_meet_the_ledgers_of_a_cold_server_one_by_one():
    stage = BalancerHarness(dict(balancers=2))
    for line in ("server s age=1", "list kept s", "server s age=1"):
        stage.run(line)
    stage.flush()
    sent = []
    for _ in range(6):  # decided far apart: none of them is more than the server stands
        stage.run("take 1 debit 60000")
        sent += [a[1] for a in stage.dispatches() if a[1] not in sent]
        stage.wait(1100)
    assert len(sent) > 3
    stage.do_server("s", "age=1")  # another start: cold as on the first day
    stage.flush()
    went = [one for one in sent if stage.balancer.stands(stage.now, one, 0)]
    assert 1 <= len(went) < len(sent)
    server = stage.balancer.servers["s"]
    assert len(server.in_flight) == len(went) and sum(
        t == stage.now for t in server.recent_dispatches
    ) == len(went)


def test_asked_again_with_nothing_changed_it_stands_and_counts_once():
    stage = BalancerHarness(dict(dispatch_cap=1))
    stage.run("server old")
    stage.run("server new build=2")
    stage.run("stage 0 1.0 2")
    stage.run("take 20 debit")
    stage.flush()

    def count():
        return {build: len(made.entries) for build, made in stage.balancer.trial_dispatches.items()}

    before = count()
    assert (
        before
        and all(stage.balancer.stands(stage.now, a[1], 0) for a in stage.dispatches())
        and count() == before
    )
    stage = BalancerHarness({})
    stage.run("server cold age=1")
    stage.run("take 1 debit")
    assert stage.balancer.stands(stage.now, 1, 0), "its own sending is no reason against it"


def test_a_disk_is_slow_from_its_patience_on_until_a_quick_write():
    one = Disk(100.0)
    one.begun(0.0)
    assert one.ended(90.0) is None and not one.slow
    one.begun(100.0)
    assert one.waiting_for(250.0) == 150.0 and one.overdue(250.0) and one.slow and not one.overdue(260.0)
    assert one.ended(400.0) is None and one.slow and one.took == 300.0
    one.begun(500.0)
    assert one.ended(550.0) == 450.0 and not one.slow


def test_a_script_says_when_a_disk_stands_still():
    rows = [
        (1000.0, 5000.0, 80.0, 1000.0, 200.0, "sync"),
        (2000.0, 3000.0, 0.0, 0.0, 1000.0, "rename"),
        (6e3, 7e3, 0, 0, 1e3, "full"),
    ]

    def at(name, now):
        return struck.held(rows, name, now)

    assert at("fsync", 1100.0) == (80.0, False) and at("fsync", 1300.0) == (0.0, False) == at(
        "replace", 1300.0
    )
    assert at("replace", 2400.0) == (600.0, False) and at("write", 6500.0) == (0.0, True)


SLOW = (
    HOOKS
    + """at 2 for 9 slow_disk of=all ms=700 every=2500 lasts=900 calls=all
at 8 for 3 slow_disk of=proxy
at 9 for 2 kill proxy=1
"""
)


def test_a_day_on_slow_disks_keeps_the_rules(tmp_path):
    code, said = play(tmp_path, SLOW, "proxy", "")
    assert "rules kept 5/5" in said and "trails against the sockets" in said and code == 0, said
    assert "trail slow" in (tmp_path / "proxy0.log").read_text(), "the disk was never slow: nothing was tried"
