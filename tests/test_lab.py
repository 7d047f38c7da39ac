"""The emulator: its nodes keep their books, its days repeat, its grids survive being stopped."""

import json
import os
import signal
import subprocess
import sys
import time
from heapq import heappop
from pathlib import Path

import pytest
from hypothesis import given, settings, strategies as st

from gannetfront import host, script
from gannetfront.kitchen.model import REFUSED, TOPPLED, Job, Node
from gannetfront.lab import grid, report
from gannetfront.lab.baselines import POLICIES
from gannetfront.lab.world import World

SCRIPTS = Path(__file__).parents[1] / "scripts"
FLEET = """
day 6
proxies 3
zones a b
fleet nodes=4 cores=2 queue=8 cold=0.4 cold_for=2000 boot=200 told=100 cell=2
traffic rate=60 retries=1 patience=0.8
operation read effect=idempotent share=0.5 work=40 slo=500 limit=1500
operation place effect=fingerprinted share=0.25 work=40 slo=500 limit=1500 window=1500 group=zone
operation debit effect=side-effecting share=0.25 work=40 slo=500 limit=1500
rollout shares=0.5,1 caps=0.4,1 soak=500 window=2000 drain=500
"""


def node(born=0.0, warm=True, build=("", 0.0, ""), queue=8, **facts):
    return Node(2, 1.0, queue, 0.4, 2000.0, 3.0, 1000.0, born, warm, build, host.chance(1), **facts)


def job(work=40.0, came=0.0, op="read"):
    return Job("1.0", "proxy/0", 0, op, "idempotent", "", work, came)


JOBS = st.lists(st.tuples(st.floats(0, 200), st.floats(0.1, 400), st.booleans()), min_size=1, max_size=60)


@settings(max_examples=80, deadline=None, derandomize=True)
@given(JOBS, st.booleans(), st.sampled_from(["time", "work"]))
def test_work_is_conserved_and_time_never_goes_back(arrivals, warm, warm_by):
    one, now, due, counts, spans = (
        node(warm=warm, warm_by=warm_by),
        0.0,
        [],
        dict(taken=0, refused=0, done=0, dropped=0),
        [],
    )

    def begin(begun):
        for x in begun:
            assert x.began == now and x.ends >= now + x.work / one.speed - 1e-6, "capacity from nothing"
            due.append(x)
        assert len(one.running) <= one.cores and len(one.waiting) <= one.most_waiting

    def finish_until(end):
        nonlocal now
        while due and min(x.ends for x in due) <= end:
            x = min(due, key=lambda x: x.ends)
            due.remove(x)
            assert x.ends >= now
            now = x.ends
            counts["done"] += 1
            spans.append((x.began, x.ends))
            begin(one.finish(now, x)[1])

    for gap, work, leaves in arrivals:
        end = now + gap
        finish_until(end)
        now = end
        x = job(work, now)
        verdict, begun = one.arrive(now, x)
        if verdict == TOPPLED:
            return
        counts["refused" if verdict == REFUSED else "taken"] += 1
        begin(begun)
        if leaves and verdict != REFUSED and one.drop(x, False):
            counts["dropped"] += 1
    finish_until(1e12)
    assert counts["taken"] == counts["done"] + counts["dropped"] and not one.waiting and not one.running
    # Never more at once than there are cores.
    for at, _ in spans:
        assert sum(a <= at < b for a, b in spans) <= one.cores


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.floats(0, 3000), min_size=2, max_size=20), st.lists(st.floats(1, 500), max_size=20))
def test_warm_up_is_never_slower_than_stated(times, works):
    by_time, by_work = node(warm=False), node(warm=False, warm_by="work")
    last = 0.0
    for n, at in enumerate(sorted(times)):
        by_work.done += works[n] if n < len(works) else 0.0
        assert by_work.ramp(at) >= by_time.ramp(at) >= 0.4 + 0.6 * min(1.0, at / 2000.0) - 1e-9
        assert by_time.ramp(at) >= last
        last = by_time.ramp(at)
    assert by_time.ramp(2000.0) == 1.0


def test_cold_node_answers_a_probe_and_falls_under_load():
    one = node(warm=False)
    verdict, begun = one.arrive(0.0, job(1.0))  # what a deep probe costs
    assert begun and verdict != TOPPLED and len(one.waiting) == 0
    verdicts = [one.arrive(10.0 + n, job(60.0))[0] for n in range(60)]
    assert TOPPLED in verdicts and one.toppled
    warm = node()
    assert TOPPLED not in [warm.arrive(10.0 + n, job(60.0))[0] for n in range(60)]


def test_many_fair_shares_topple_what_one_does_not():
    def push(proxies):
        one, fell = node(warm=False, queue=1000), False
        for at in range(0, 1000, 100):
            for _ in range(proxies):
                fell = fell or one.arrive(float(at), job(20.0))[0] == TOPPLED
        return fell

    assert not push(5) and push(40)


def day(lines="", seed=1):
    return script.Day(f"{FLEET}\nseed {seed}\n{lines}", "s")


def played(lines="", seed=1, policy=None):
    return World(day(lines, seed), policy).run()


def test_pause_longer_than_patience_is_worked_through_for_nobody():
    world = World(
        script.Day(
            FLEET.replace("cell=2", "cell=2 cancelled=goes-on")
            + "seed 1\nat 1 for 4 pause share=1 ms=2500 every=9000",
            "s",
        )
    ).run()
    late = [
        d
        for d in world.rows("dispatches")
        if d["came"] < 3500 and d["outcome"] in ("ok", "error") and d["ended"] > 3500
    ]
    answered = {t["request"] for t in world.rows("tries") if t["answer"] == "succeeded"}
    assert len(late) > 10 and sum(d["request"] not in answered for d in late) > 10


def test_neighbour_quicker_than_healths_memory_costs_little_and_breaks_nothing():
    from gannetfront.audit.rules import service

    world = played("at 1 for 4 neighbour share=0.5 x=4 every=300")
    assert service(world.facts, world.rows("tries")) > 0.8


def test_leak_ends_with_a_new_process():
    world = played("at 0 for 3 leak share=1 x=6\nat 4 for 1 crash share=1")
    nodes = [p.node for p in world.places.values()]
    assert all(n.leak == 1.0 for n in nodes) and any(n.done for n in nodes)


def digest(world):
    return repr((world.tries, world.served, world.lives, world.told, world.lines, world.timeline))


TROUBLED = "offer 1 good\nat 1 for 2 crash share=0.3\nat 2 for 2 burst x=2\nat 4 for 1 kill proxy=1"


def test_the_same_script_gives_the_same_day_twice():
    assert digest(played(TROUBLED)) == digest(played(TROUBLED)) != digest(played(TROUBLED, seed=2))


@pytest.mark.parametrize("policy", POLICIES)
def test_every_policy_keeps_the_rules_on_a_small_day(policy):
    world = played("offer 1 good\nat 3 for 1 kill proxy=0", policy=POLICIES[policy])
    verdict = world.verdict()
    assert not any(stories for _, stories in verdict.values()), verdict


def test_news_of_the_controller_keeps_its_order():
    world, got = World(day(), jitter=50.0), []
    shell = world.proxies[0]
    for n in range(50):
        shell.news(world.wire(), got.append, n)
    while world.heap:
        world.time, _, call, fields = heappop(world.heap)
        call(*fields)
    assert got == list(range(50))


# ---- scripts that contradict themselves ----


@pytest.mark.parametrize(
    "lines, wrong",
    [
        (
            "at 1 for 3 crash share=1\nat 2 for 3 vanish share=1",
            "s:14: vanish strikes nodes [0, 1, 2, 3] that crash of line 13",
        ),
        ("at 1 for 0 burst", "s:13: burst lasts no time"),
        ("format 2", "s:13: format 2 is not the one read here"),
        ("at 1 for 1 slow build=3", "s:13: slow: build 3 is never offered"),
        ("at 1 for 1 slow zone=moon", "s:13: slow: no zone 'moon'"),
    ],
)
def test_contradictions_are_refused_with_their_place(lines, wrong):
    with pytest.raises(script.BadScript) as bad:
        day(lines)
    assert str(bad.value).startswith(wrong)


@pytest.mark.parametrize("nodes", ["0", "10000"])
def test_fleets_of_no_size_are_refused(nodes):
    with pytest.raises(script.BadScript, match="nodes: .* is outside 1 to 2000"):
        script.Day(FLEET.replace("nodes=4", f"nodes={nodes}"), "s")


# ---- grids ----


@pytest.fixture
def experiment(tmp_path):
    (tmp_path / "day.txt").write_text(FLEET + "offer 1 errors\n")
    (tmp_path / "e.exp").write_text("script day.txt\nseeds 1..2\npolicy module clock\nvary proxies - 2 4\n")
    return tmp_path / "e.exp"


def test_worker_count_has_no_influence_and_a_stopped_grid_goes_on(experiment, tmp_path):
    one = grid.Experiment(experiment)
    assert grid.run(one, tmp_path / "a", 1) == (8, 0) and grid.run(one, tmp_path / "b", 4) == (8, 0)
    contents = [
        {p.name: read_without_time(p) for p in sorted((tmp_path / x).glob("*.parquet"))} for x in "ab"
    ]
    assert contents[0] == contents[1] and len(contents[0]) == 8
    gone = sorted((tmp_path / "a").glob("*.parquet"))[:3]
    for path in gone:
        path.unlink()
    assert grid.run(one, tmp_path / "a", 2) == (3, 5)


def read_without_time(path):
    columns, meta = grid.read(path)
    meta.pop("took")
    return json.dumps(meta, sort_keys=True), {c: v.tolist() for c, v in columns.items()}


def test_grid_killed_while_it_writes_leaves_whole_cells_only(experiment, tmp_path):
    folder = tmp_path / "k"
    words = [
        sys.executable,
        "-c",
        "from gannetfront.cli.lab import main; main()",
        "run",
        str(experiment),
        "--into",
        str(folder),
        "--workers",
        "2",
    ]
    process = subprocess.Popen(
        words,
        stderr=subprocess.DEVNULL,
        start_new_session=True,
        env=os.environ | dict(PYTHONPATH=str(SCRIPTS.parent)),
    )
    end = time.monotonic() + 60
    while not list(folder.glob("*.parquet")) and process.poll() is None and time.monotonic() < end:
        time.sleep(0.02)
    os.killpg(process.pid, signal.SIGKILL)
    process.wait()
    held = [p for p in folder.glob("*.parquet") if grid.read(p)]
    assert held and grid.run(grid.Experiment(experiment), folder, 2) == (8 - len(held), len(held))


def test_full_disk_is_said_and_the_grid_goes_on_after(experiment, tmp_path, monkeypatch):
    real, room = host.replace_file, [3]

    def full(path, data):
        room[0] -= 1
        if room[0] < 0:
            raise OSError(28, "No space left on device")
        real(path, data)

    monkeypatch.setattr(host, "replace_file", full)
    one = grid.Experiment(experiment)
    with pytest.raises(OSError, match="No space"):
        grid.run(one, tmp_path / "f", 1)
    monkeypatch.setattr(host, "replace_file", real)
    assert grid.run(one, tmp_path / "f", 1) == (5, 3)


def test_report_page_and_difference(experiment, tmp_path):
    grid.run(grid.Experiment(experiment), tmp_path / "c", 4)
    (tmp_path / "c" / "torn.parquet").write_bytes(b"PAR1 torn")
    found, bad = report.cells(tmp_path / "c")
    page = report.page(found, bad, "study")
    assert len(found) == 8 and bad and "torn.parquet" in page and page.count("data:image/png;base64,") >= 5
    assert [len(r) for r in report.table(found)] == [4] * 4
    same = report.differ(found, found, "service")
    assert same and all(mean == 0 == low == high for _, _, mean, low, high in same)
    module, clock = ([x for x in found if x[1]["cell"]["policy"] == p] for p in ("module", "clock"))
    assert len(report.differ(module, clock, "service")) == 2
    with pytest.raises(ValueError):
        report.differ(found, [], "service")


@pytest.mark.parametrize(
    "text, wrong",
    [
        ("seeds 1..2", ":1: script FILE is needed"),
        ("script nowhere", "cannot be read"),
        ("script day.txt\npolicy guess", ":2: policy: 'guess' is none of"),
        ("script day.txt\nfly", ":2: fly: "),
        ("script day.txt\nvary proxies - 0", "proxies: 0 is outside"),
        ("script day.txt\nseeds 9..1", ":2: seeds: 0 seeds"),
    ],
)
def test_experiment_errors_name_their_place(experiment, text, wrong):
    experiment.write_text(text)
    with pytest.raises(grid.BadExperiment) as bad:
        grid.Experiment(experiment)
    assert wrong in str(bad.value) and str(bad.value).startswith(str(experiment))
