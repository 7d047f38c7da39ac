"""Duties measured.

python bench/duties.py explorer [--most 100000]                 the lease core, by kind of trouble and by planted bug
python bench/duties.py handed [--times 200] [--at-once 4]       from kill, stall, cut, orderly hand-over to the next holder's first act
python bench/duties.py drawn [--schedules 1000] [--at-once 4]   drawn faults on 7 processes: double acts, duties nobody takes
python bench/duties.py idle [--sizes 3,30,200]                  CPU and datagrams a second of proxies that have nothing to do
python bench/duties.py lab [--sizes 3,30,200,2000]              the same core in virtual time: words a second, from kill to next
"""

import json
import os
import random
import shutil
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click
import numpy as np

sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))
from test_lease import KINDS, NONE, PLANTED, Bounds, Candidate, Elector, explore  # noqa: E402 - its place is added above

from gannetfront import host  # noqa: E402
from gannetfront.day.proxies import LEASE, Proxies  # noqa: E402
from gannetfront.lab.town import Council  # noqa: E402


@click.group()
def main():
    """Duties measured."""


@main.command()
@click.option("--most", default=100000)
def explorer(most):
    print(
        "| what | states | all | found | steps of the shortest way | s |\n| --- | --- | --- | --- | --- | --- |"
    )
    rows = [
        (kind, (Elector, Candidate), dict(advances=8) | facts, True, 0.1) for kind, facts in KINDS.items()
    ]
    for bug, facts in PLANTED.items():
        facts = dict(facts)
        held = facts.pop("held", False)
        rows.append(
            (bug.__name__, (bug, Candidate) if issubclass(bug, Elector) else (Elector, bug), facts, held, 0.2)
        )
    for name, kinds, facts, held, rate in rows:
        begun = time.process_time()
        states, wrong, way, whole = explore(
            kinds, bounds=Bounds(**NONE | facts), most=most, held=held, rate=rate
        )
        print(
            f"| {name} | {states} | {'yes' if whole else ''} | {wrong or ''} | {len(way) or ''} | {time.process_time() - begun:.1f} |",
            flush=True,
        )


def apart(what, times, at_once):
    """Lines of JSON of `times` runs of this file's `what`, shared out over processes of their own."""

    def run(nth):
        words = [sys.executable, __file__, what, "--times", str(times // at_once), "--seed", str(nth)]
        done = subprocess.run(
            words,
            capture_output=True,
            text=True,
            env=os.environ | dict(PYTHONPATH=str(Path(__file__).parents[1])),
        )
        if done.returncode:
            print(done.stderr[-2000:], file=sys.stderr)
        return [json.loads(line) for line in done.stdout.splitlines() if line.startswith("{")]

    with ThreadPoolExecutor(at_once) as pool:
        return [row for rows in pool.map(run, range(at_once)) for row in rows]


# ---- from a strike to the next holder's first act ----

STRIKES = "kill", "stall", "cut", "hand"


def sees_all(fleet):
    try:
        return all(len(json.loads(fleet.asked(n))["alive"]) == fleet.many for n in range(fleet.many))
    except (OSError, host.Refused, host.Timeout):
        return False  # one is not up yet


def first_act(fleet, after, token, what):
    found = fleet.until(
        lambda: [a for a in fleet.acts(since=after) if (a["round"], a["number"], a["life"]) > token], what
    )
    return found[0]["at"]


@main.command(hidden=True)
@click.option("--times", default=10)
@click.option("--seed", default=0)
def strikes(times, seed):
    draw = random.Random(seed)
    folder = Path(tempfile.mkdtemp(dir="/dev/shm", prefix="strikes"))
    fleet = Proxies(folder, every=20)
    try:
        fleet.next_holder()
        for nth in range(times):
            for what in STRIKES:
                fleet.until(lambda: sees_all(fleet), "all see all")
                fleet.next_holder()
                host.sleep(draw.random() * LEASE)
                first = fleet.next_holder(rounds=1)
                # Acts every few ms: the last one's token and the lease's rest are the strike's.
                told = fleet.status(first)
                if not told["here"]:
                    continue
                token, at = tuple(told["token"]), host.now()
                if what == "kill":
                    fleet.kill(first)
                elif what == "stall":
                    fleet.signal(first, "STOP")
                elif what == "cut":
                    fleet.cut_off([first])
                else:
                    fleet.order(first, "hand", draw.choice([n for n in range(5) if n != first]))
                took = first_act(fleet, at, token, what) - at
                print(json.dumps(dict(what=what, took=took, left=told["left_ms"] * 1.02)), flush=True)
                if what == "kill":
                    fleet.start(first)
                elif what == "stall":
                    fleet.signal(first, "CONT")
                fleet.heal()
            if nth % 10 == 9:
                wrong = fleet.judged()
                assert not wrong, wrong
    finally:
        fleet.stop()
        shutil.rmtree(folder)


@main.command()
@click.option("--times", default=200)
@click.option("--at-once", default=4)
def handed(times, at_once):
    rows = apart("strikes", times, at_once)
    print(
        f"lease {LEASE} ms, five processes, three electors\n| strike | times | median ms | 99th | longest | median of what was left of the lease | median over that |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for what in STRIKES:
        some = [r for r in rows if r["what"] == what]
        if some:
            took, left = np.array([r["took"] for r in some]), np.array([r["left"] for r in some])
            print(
                f"| {what} | {len(some)} | {np.median(took):.0f} | {np.percentile(took, 99):.0f} | {took.max():.0f} | {np.median(left):.0f} | "
                f"{np.median(took) / np.median(left):.2f} |"
            )


# ---- drawn faults ----


@main.command(hidden=True)
@click.option("--times", default=10)
@click.option("--seed", default=0)
def schedules(times, seed):
    draw, many = random.Random(1000 + seed), 7
    for block in range(0, times, 25):
        folder = Path(tempfile.mkdtemp(dir="/dev/shm", prefix="drawn"))
        fleet = Proxies(folder, many=many, electors=(0, 1, 2, 3, 4)[: draw.choice((3, 5))])
        try:
            fleet.next_holder()
            for nth in range(block, min(times, block + 25)):
                said, stopped, killed = [], [], []
                for _ in range(draw.randint(1, 4)):
                    some = draw.sample(range(many), draw.randint(1, 4))
                    others = [n for n in range(many) if n not in some]
                    kind = draw.choice(
                        ("cut", "there", "back", "flap", "noise", "stall", "kill", "electors", "hand")
                    )
                    said.append(kind)
                    if kind in ("cut", "there", "back"):
                        fleet.fault(some, others, "both" if kind == "cut" else kind, cut=1)
                    elif kind == "flap":
                        fleet.fault(some, others, cut=1, flap=LEASE * (0.5 + draw.random()))
                    elif kind == "noise":
                        fleet.fault(
                            range(many),
                            range(many),
                            loss=0.2,
                            twice=0.3,
                            shuffle=0.3,
                            jitter=50.0,
                            ms=draw.choice((0.0, 20.0, 400.0)),
                        )
                    elif kind == "stall":
                        for n in some:
                            if n not in killed:
                                fleet.signal(n, "STOP")
                                stopped.append(n)
                    elif kind == "hand":
                        for n in range(many):
                            if n not in killed + stopped:
                                try:
                                    fleet.order(n, "hand", draw.randrange(many))
                                except (OSError, host.Refused, host.Timeout):
                                    pass  # begun anew a moment ago
                    else:
                        for n in some if kind == "kill" else (0, 1, 2):
                            if n not in killed:
                                fleet.kill(n)
                                killed.append(n)
                    host.sleep(LEASE * draw.random())
                host.sleep(LEASE * 2 * draw.random())
                fleet.heal()
                for n in stopped:
                    if n not in killed:
                        fleet.signal(n, "CONT")
                for n in killed:
                    fleet.start(n)
                healed = host.now()
                found = fleet.until(
                    lambda: [a for a in fleet.acts(since=healed + 500)], f"held again after {said}"
                )
                print(json.dumps(dict(what=said, again=found[0]["at"] - healed)), flush=True)
            wrong = fleet.judged()
            print(json.dumps(dict(judged=len(fleet.acts()), wrong=wrong)), flush=True)
        except AssertionError as trouble:
            print(json.dumps(dict(judged=0, wrong=[str(trouble)[:600]])), flush=True)
        finally:
            fleet.stop()
            shutil.rmtree(folder, ignore_errors=True)


@main.command()
@click.option("--times", default=1000)
@click.option("--at-once", default=4)
def drawn(times, at_once):
    rows = apart("schedules", times, at_once)
    again = np.array([r["again"] for r in rows if "again" in r])
    wrong = [w for r in rows if "wrong" in r for w in r["wrong"]]
    print(
        f"{len(again)} schedules, {sum(r.get('judged', 0) for r in rows)} acts, {len(wrong)} wrong; held again after the faults: median "
        f"{np.median(again):.0f} ms, 99th {np.percentile(again, 99):.0f}, longest {again.max():.0f}"
    )
    for story in wrong[:10]:
        print("   ", story)


# ---- nothing to do ----


def spent(pid):
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@main.command()
@click.option("--sizes", default="3,30,200")
@click.option("--seconds", default=20.0)
def idle(sizes, seconds):
    print(
        "| proxies | duties | CPU, ms a second a proxy: median, most | datagrams a second a proxy: median, most |\n| --- | --- | --- | --- |"
    )
    for many in map(int, sizes.split(",")):
        for duty in (False, True):
            folder = Path(tempfile.mkdtemp(dir="/dev/shm", prefix="idle"))
            fleet = Proxies(
                folder, many=many, electors=(0, 1, 2), lease=3000, relayed=False, start=False, every=600000
            )
            fleet.duty *= duty
            try:
                for n in range(many):
                    fleet.write(n)
                    path = folder / f"proxy{n}.textproto"
                    path.write_text(
                        path.read_text().replace(
                            "member_period: 100", f'member_period: 1000 listen: "{fleet.homes[n]}:18000"'
                        )
                    )
                for at in range(0, many, 10):
                    for n in range(at, min(many, at + 10)):
                        fleet.start(n)
                    for n in range(at, min(many, at + 10)):
                        fleet.until(lambda: fleet.events(n, "serving"), "up")
                host.sleep(8000)
                before, begun = (
                    [(spent(p.pid), sent(fleet, n)) for n, p in fleet.processes.items()],
                    time.monotonic(),
                )
                host.sleep(seconds * 1000)
                after, took = (
                    [(spent(p.pid), sent(fleet, n)) for n, p in fleet.processes.items()],
                    time.monotonic() - begun,
                )
                cpu = np.array([1000 * (a[0] - b[0]) / took for a, b in zip(after, before)])
                told = np.array([(a[1] - b[1]) / took for a, b in zip(after, before)])
                print(
                    f"| {many} | {'one' if duty else 'none'} | {np.median(cpu):.1f}, {cpu.max():.1f} | {np.median(told):.1f}, {told.max():.1f} |",
                    flush=True,
                )
            finally:
                fleet.stop()
                shutil.rmtree(folder, ignore_errors=True)


def sent(fleet, n):
    from gannetfront.wire.asking import ask

    text = ask(f"{fleet.homes[n]}:18000", b"/-/metrics", [], b"", 2000)[1].decode()
    return float(
        next(line for line in text.splitlines() if line.startswith("gannet_members_sent ")).split()[1]
    )


@main.command()
@click.option("--sizes", default="3,30,200,2000")
def lab(sizes):
    print(
        "| proxies | words a second: median, the holder | from kill to next, ms, ten kills: median, longest | two at once |\n| --- | --- | --- | --- |"
    )
    for many in map(int, sizes.split(",")):
        town = Council({n: "abc"[n % 3] for n in range(many)}, tuple(range(min(3, many))), span=3000.0)
        town.run(20000.0)
        before = dict(town.sent)
        town.run(60000.0)
        each = sorted((town.sent.get(n, 0) - before.get(n, 0)) / 60 for n in range(many))
        took = []
        for _ in range(10):
            first = town.holders()[0]
            town.kill(first)
            town.seen.clear()
            at = town.now
            while not any(what == "gained" for *_, what in town.seen):
                town.run(100.0)
            took.append(next(when for when, _, _, what in town.seen if what == "gained") - at)
            town.start(first)
            town.run(10000.0)
            assert len(town.holders()) == 1
        print(
            f"| {many} | {each[len(each) // 2]:.1f}, {each[-1]:.1f} | {np.median(took):.0f}, {max(took):.0f} | 0 |",
            flush=True,
        )


if __name__ == "__main__":
    main()
