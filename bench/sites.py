"""The loss of a site on sockets: value served around it, with the plan acted upon and without, beside the best split of what is left.

    python bench/sites.py --seeds 3 --loads 0.6,0.8,0.9 --jobs 2

    python bench/sites.py --calm 1000 --jobs 4         # simulated: drawn days in which no site is lost; wrong recognitions
    python bench/sites.py --map --jobs 4               # simulated: load against sites lost, three policies

Days of scripts/site-lost.txt (or --script) as processes; a line a load and program: the share of the asked value that was served from the
loss to the return, the same of the best split (work left, by value per work), by operation, and seconds from the return to 0.95 of before.
"""

import argparse
import json
import re
import statistics
import tempfile
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from gannetfront import records, script
from gannetfront.cli.audit import judge

ROOT = Path(__file__).parents[1]


def text_of(path, load, seed, acts):
    text = path.read_text()
    day = script.Day(text, str(path))
    text = re.sub(r"(?m)^seed .*$", f"seed {seed}", text)
    text = re.sub(r"\brate=[0-9.]+", f"rate={day.traffic['rate'] * load / day.load():.2f}", text, count=1)
    return re.sub(r"(?m)^sites (.*)$", rf"sites acts={acts} \1", text)


def split(day, part):
    """The best that `part` of the fleet's work could serve, as a share of the value that is asked for."""
    works = sum(op["share"] * op["work"] for op in day.operations.values())
    room, served, asked = part, 0.0, 0.0
    for op in sorted(day.operations.values(), key=lambda op: -op["value"] / op["work"]):
        needs = day.load() * op["share"] * op["work"] / works
        taken = min(1.0, room / needs) if room > 0 else 0.0
        room -= taken * needs
        asked += op["share"] * op["value"]
        served += taken * op["share"] * op["value"]
    return served / asked


def seconds(day, tries):
    """{second: {operation: [value asked, value served]}} by when a wish was due."""
    best, first = defaultdict(float), {}
    begin = min(t["due"] for t in tries)
    for t in tries:
        first.setdefault(t["work"], t)
        if t["answer"] == "succeeded":
            op = day.operations[t["operation"]]
            best[t["work"]] = max(
                best[t["work"]], op["value"] * (1 if t["ended"] - t["due"] <= op["slo"] else op["late"])
            )
    found = defaultdict(lambda: defaultdict(lambda: [0.0, 0.0]))
    for wish, t in first.items():
        row = found[int((t["due"] - begin) / 1000)][t["operation"]]
        row[0] += day.operations[t["operation"]]["value"]
        row[1] += best[wish]
    return found


def part_of(rows, begin, end, op=None):
    some = [cell for s in range(int(begin), int(end)) for o, cell in rows[s].items() if op in (None, o)]
    asked = sum(a for a, _ in some)
    return sum(b for _, b in some) / asked if asked else 1.0


def one(job):
    path, load, seed, acts = job
    from gannetfront.day.play import Day

    with tempfile.TemporaryDirectory(prefix="sites-") as folder:
        played = Path(folder) / "day.txt"
        played.write_text(text_of(path, load, seed, acts))
        day = script.read(str(played))
        for _ in range(3):
            Day(day, str(played), folder).play()
            verdict, facts = judge(folder)
            if not facts["not judged"]:
                break
        rows = seconds(day, records.read(folder, "tries"))
    gone = [t for t in day.troubles if t.kind in ("vanish", "crash", "sever")]
    begin, end = min(t.at for t in gone) / 1000, max(t.until for t in gone) / 1000
    part = 1 - sum(day.zones.index(z) >= 0 for z in {t.zone for t in gone}) / len(day.zones)
    before = part_of(rows, 3, begin)
    back = next(
        (s - end for s in range(int(end), int(day.seconds) - 2) if part_of(rows, s, s + 2) >= 0.95 * before),
        None,
    )
    return dict(
        load=load,
        seed=seed,
        acts=acts,
        bound=split(day, part),
        before=before,
        first=part_of(rows, begin, begin + 2),
        during=part_of(rows, begin, end),
        after=part_of(rows, end, min(end + 10, day.seconds - 2)),
        back=back,
        ops={o: part_of(rows, begin, end, o) for o in day.operations},
        toppled=facts["toppled"],
        broken={n: len(s) for n, (_, s) in verdict.items() if s},
        service=facts["service"],
    )


# ---- simulated ----

LAB = """
day {seconds}
seed {seed}
proxies {proxies}
zones {zones}
fleet nodes={nodes} cores=2 cold=0.4 cold_for=3000 boot=300 told=200
traffic rate={rate:.1f} retries=1 patience=0.8
operation read effect=idempotent share=0.5 work=60 slo=800 limit=2500 value=1
operation order effect=fingerprinted share=0.3 work=60 slo=900 limit=2500 value=5 window=30000
operation debit effect=side-effecting share=0.2 work=60 slo=900 limit=2500 value=2
rollout shares=0.34,1 caps=0.4,1 soak=1500 window=2500 drain=1000
rules signal=1 standstill=20000
sites protect=order,debit acts={acts}
"""
DRAWN = (
    "burst x={x}",
    "slow share=0.3 x=3",
    "pause share=0.3 ms={ms} every=2500",
    "slow_link zone=z1 ms=80",
    "drain share=0.2",
    "fast_errors share=0.3 p=0.5",
    "crash share=0.15",
    "vanish share=0.1",
    "shared_slow x={x}",
    "neighbour share=0.4 x=2 every=1000",
    "heavy_tail operation=read p=0.05 x=10",
    "kill proxy=1",
    "cut share=0.3",
    "report_late ms={ms}",
    "shift zone=z0 share=0.7",
    "retry_abuse retries=3",
    "give_up patience=0.4 leave=0.2",
    "leak share=0.2 x=3",
    "hot_caller proxy=0 share=0.4",
)


def lab_day(lines, load, seed, zones=3, proxies=9, nodes=9, seconds=24, acts=1):
    text = LAB.format(
        seconds=seconds,
        seed=seed,
        proxies=proxies,
        zones=" ".join(f"z{n}" for n in range(zones)),
        nodes=nodes,
        rate=load * nodes * 2 * 1000 / 60,
        acts=acts,
    )
    return script.Day(text + lines, "lab")


def calm(seed):
    """Zones that were left out at any proxy on a drawn day without a loss: (seed, lines, {zone: looks})."""
    from gannetfront.host import Jitter
    from gannetfront.lab.sites import make_world
    from gannetfront.sites.failure_detector import UNAVAILABLE

    draw, lines = (
        Jitter(seed),
        "offer 5 good\n" if seed % 3 == 0 else "offer 5 errors size=0.4\n" if seed % 3 == 1 else "",
    )
    ends = False
    for _ in range(1 + int(3 * draw.random())):
        kind = DRAWN[int(len(DRAWN) * draw.random())]
        if kind.split()[0] in ("crash", "vanish", "pause", "drain", "kill"):
            if ends:
                continue  # a node, or a proxy, can only be in one of these at a time
            ends = True
        lines += (
            f"at {3 + 12 * draw.random():.1f} for {2 + 5 * draw.random():.1f} "
            + kind.format(x=f"{1.2 + draw.random():.1f}", ms=int(200 + 900 * draw.random()))
            + "\n"
        )
    world, out = make_world(lab_day(lines, 0.3 + 0.5 * draw.random(), seed)), defaultdict(int)
    before = defaultdict(int)
    for shell in world.proxies:

        def tick_sites(life, shell=shell, inner=shell.tick_sites):
            inner(life)
            for zone, weight in shell.shedding.weights.items() if shell.up else ():
                # Left out though a node of it runs, of those that this proxy's list has: a list may name only what is gone.
                there = [
                    world.by_addr[e[0]]
                    for e in shell.listed.values()
                    if e[5] == "ready" and shell.monitor.zone_of(e) == zone and e[0] in world.by_addr
                ]
                away = shell.monitor.detector.zones[zone].state in UNAVAILABLE and weight == 0
                wrong = away and any(
                    p.state == "up" and not p.node.silent and p.at in shell.listed for p in there
                )
                before[shell.number, zone] = before[shell.number, zone] + 1 if wrong else 0
                out[zone] += (
                    before[shell.number, zone] > 1
                )  # a list that has just come is seen with the next look

        shell.tick_sites = tick_sites
    world.run()
    return seed, lines, dict(out)


def cell(job):
    from gannetfront.lab.baselines import POLICIES
    from gannetfront.lab.sites import make_world

    zones, lost, load, policy, proxies, nodes = job
    day = lab_day(
        "".join(f"at 6 for 10 vanish zone=z{n} share=1\n" for n in range(lost)),
        load,
        7,
        zones,
        proxies,
        nodes,
        20,
        int(policy == "plan"),
    )
    world = make_world(day, POLICIES.get(policy))
    world.run()
    rows = seconds(day, world.rows("tries"))
    return dict(
        zip(("zones", "lost", "load", "policy", "proxies", "nodes"), job),
        bound=split(day, 1 - lost / zones),
        during=part_of(rows, 6, 16),
        ops={op: part_of(rows, 8, 16, op) for op in day.operations},
        broken=sum(len(s) for _, s in world.verdict().values()),
    )


def simulated(words):
    with ProcessPoolExecutor(words.jobs) as pool:
        if words.calm:
            found = list(pool.map(calm, range(words.calm), chunksize=4))
            wrong = [f for f in found if any(f[2].values())]
            print(f"{len(found)} drawn days without a loss, {len(wrong)} in which a zone was left out")
            for seed, lines, out in wrong[:20]:
                print(f"  seed {seed}: {out}: {'; '.join(lines.split(chr(10)))}")
            return
        jobs = [
            (zones, lost, load, policy, words.proxies, words.nodes)
            for zones, most in ((3, 2), (5, 2))
            for lost in range(1, most + 1)
            for load in (0.4, 0.6, 0.8, 0.9)
            for policy in ("plan", "none", "random")
        ]
        for f in pool.map(cell, jobs):
            print(
                f"{f['zones']} zones, {f['lost']} lost, load {f['load']}: {f['policy']}: {f['during']:.3f} of the bound {f['bound']:.3f}; "
                + "; ".join(f"{op} {x:.3f}" for op, x in f["ops"].items())
                + f"; broken {f['broken']}",
                flush=True,
            )


def main():
    words = argparse.ArgumentParser()
    words.add_argument("--calm", type=int, default=0)
    words.add_argument("--map", action="store_true")
    words.add_argument("--proxies", type=int, default=30)
    words.add_argument("--nodes", type=int, default=30)
    words.add_argument("--script", default=str(ROOT / "scripts/site-lost.txt"))
    words.add_argument("--seeds", type=int, default=3)
    words.add_argument("--loads", default="0.6,0.8,0.9")
    words.add_argument("--jobs", type=int, default=2)
    words.add_argument("--json", action="store_true")
    words = words.parse_args()
    if words.calm or words.map:
        return simulated(words)
    cases = [(float(load), acts) for load in words.loads.split(",") for acts in (0, 1)]
    jobs = [
        (Path(words.script), load, 100 + seed, acts) for load, acts in cases for seed in range(words.seeds)
    ]
    with ProcessPoolExecutor(words.jobs) as pool:
        found = list(pool.map(one, jobs))
    if words.json:
        print(json.dumps(found))

    def mid(some):
        return statistics.median(some)

    for load, acts in cases:
        some = [f for f in found if (f["load"], f["acts"]) == (load, acts)]
        backs = [f["back"] for f in some if f["back"] is not None]
        print(
            f"load {load:.1f} {'plan' if acts else 'none'}: served {mid([f['during'] for f in some]):.3f} of the bound "
            f"{some[0]['bound']:.3f} (least {min(f['during'] for f in some):.3f}); first 2 s {mid([f['first'] for f in some]):.3f}; "
            + "; ".join(f"{op} {mid([f['ops'][op] for f in some]):.3f}" for op in some[0]["ops"])
            + f"; 10 s after {mid([f['after'] for f in some]):.3f}; back {sorted(backs)}; fell over {sum(f['toppled'] for f in some)}; "
            f"broken {[f['broken'] for f in some if f['broken']]}",
            flush=True,
        )


if __name__ == "__main__":
    main()
