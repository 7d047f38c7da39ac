"""Experiments: a grid of cells (script, changes, policy, seed) played in virtual time across the cores.

A cell is a file, whole or absent; an interrupted grid takes up where it was. What a cell holds depends on its script,
changes, policy, seed and the core's text alone: neither the number of workers nor the clock changes a byte but `took`.
"""

import io
import json
import time
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from pathlib import Path

import numpy as np
import pyarrow as pa
import pyarrow.parquet as pq
import xxhash

from .. import host, parquet, script
from ..audit.rules import service
from .baselines import POLICIES
from .sites import make_world

WINDOW = 1000.0  # ms of a row
COLUMNS = (
    "at",
    "asked",
    "earned",
    "late",
    "throttled",
    "terminated",
    "lost",
    "trial",
    "old",
    "harm",
    "stage",
    "open_nodes",
)


class BadExperiment(Exception):
    pass


class Experiment:
    """A text file: `script FILE`, `seeds A..B`, `policy NAME...`, `vary LINE FACT VALUE...` (as in the script; a line
    alone, like `proxies`, has FACT '-')."""

    def __init__(self, path):
        self.path, self.script, self.text, self.seeds, self.policies, self.vary = (
            Path(path),
            None,
            "",
            range(1, 4),
            ["module"],
            [],
        )
        try:
            lines = self.path.read_text(encoding="utf-8").splitlines()
        except (OSError, UnicodeDecodeError) as trouble:
            raise BadExperiment(f"{path}:1: cannot be read: {trouble}") from None
        for number, line in enumerate(lines, 1):
            words = line.split("#")[0].split()
            if not words:
                continue
            verb, *rest = words
            try:
                getattr(self, "on_" + verb)(*rest)
            except (AttributeError, TypeError, ValueError) as trouble:
                raise BadExperiment(f"{path}:{number}: {verb}: {trouble}") from None
        if self.script is None:
            raise BadExperiment(f"{path}:1: script FILE is needed")
        try:
            self.text = self.script.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as trouble:
            raise BadExperiment(f"{path}: script {self.script}: cannot be read: {trouble}") from None
        for cell in self.cells():  # every cell's script is read before any is played
            self.day(cell)

    def on_script(self, name):
        self.script = self.path.parent / name

    def on_seeds(self, text):
        a, b = text.split("..")
        self.seeds = range(int(a), int(b) + 1)
        if not 0 < len(self.seeds) <= 10000:
            raise ValueError(f"{len(self.seeds)} seeds")

    def on_policy(self, *names):
        unknown = [n for n in names if n not in POLICIES]
        if unknown or not names:
            raise ValueError(f"'{''.join(unknown[:1])}' is none of {', '.join(POLICIES)}")
        self.policies = list(names)

    def on_vary(self, line, fact, *values):
        if not values:
            raise ValueError("values are needed")
        self.vary.append((line, fact, values))

    def cells(self):
        """Each as a dict of plain values, in a fixed order."""
        axes = [[(line, fact, value) for value in values] for line, fact, values in self.vary]
        for policy in self.policies:
            for changes in product(*axes):
                for seed in self.seeds:
                    yield dict(policy=policy, changes=[list(c) for c in changes], seed=seed)

    def day(self, cell):
        lines = []
        for line in self.text.splitlines():
            words = line.split("#")[0].split()
            for name, fact, value in cell["changes"]:
                if words and words[0] == name:
                    words = (
                        [name, value]
                        if fact == "-"
                        else [w for w in words if not w.startswith(fact + "=")] + [f"{fact}={value}"]
                    )
            if words and words[0] == "seed":
                continue
            lines.append(" ".join(words))
        try:
            return script.Day("\n".join(lines + [f"seed {cell['seed']}"]), str(self.script))
        except script.BadScript as bad:
            raise BadExperiment(f"{self.path}: {cell['changes']}: {bad}") from None


def core():
    """Digest of the text that decides a cell: the package's own sources."""
    digest, root = xxhash.xxh64(), Path(__file__).parents[1]
    for path in sorted(root.rglob("*.py")):
        if path.parts[-2] not in ("cli", "proxy", "tests") or path.name == "carrier.py":
            digest.update(path.read_bytes())
    return digest.hexdigest()


def measure(world):
    """(rows a window, summary) of a played day."""
    day, facts = world.day, world.facts
    ops, size = {o.name: o for o in facts.operation}, int(day.seconds * 1000 // WINDOW) + 1
    table = {c: np.zeros(size) for c in COLUMNS}
    table["at"] = np.arange(size) * WINDOW

    def at(t):
        return min(size - 1, max(0, int(t // WINDOW)))

    first, best = {}, {}
    for t in world.rows("tries"):
        op, slot = ops[t["operation"]], at(t["due"])
        if t["work"] not in first:
            first[t["work"]] = slot
            table["asked"][slot] += op.billed_value
        took = t["ended"] - t["due"]
        if t["answer"] == "succeeded":
            value = op.billed_value * (1.0 if took <= op.slo_time else op.late_value)
            best[t["work"]] = max(best.get(t["work"], (0.0, 0))[0], value), slot
            table["late"][slot] += took > op.slo_time
        elif t["answer"] in ("throttled", "terminated"):
            table[t["answer"]][slot] += 1
        else:
            table["lost"][slot] += 1
    for value, slot in best.values():
        table["earned"][slot] += value
    bad = {n + 2 for n, offer in enumerate(day.offers) if offer.bad}
    stages = []
    for when, what, f in world.story:
        if what == "stage":
            stages.append((when, f["stage"] if f["phase"] == 0 else len(day.rollout["caps"]), f))

    def trial(t):
        return next((f["build"] for when, _, f in reversed(stages) if when <= t and f["phase"] == 0), None)

    for d in world.rows("dispatches"):
        slot = at(d["came"])
        table["trial" if d["build"] == trial(d["came"]) else "old"][slot] += 1
        if d["build"] in bad and d["outcome"] == "error" and ops[d["operation"]].effect != "idempotent":
            table["harm"][slot] += ops[d["operation"]].billed_value
    for when, stage, _ in stages:
        table["stage"][at(when) :] = stage
    alive = np.zeros(size)
    for n in sorted(world.rows("nodes"), key=lambda n: n["at"]):
        alive[at(n["at"]) :] += {"up": 1, "crashed": -1, "stopped": -1, "toppled": -1}.get(n["what"], 0)
    table["open_nodes"] = alive
    verdict = world.verdict()
    last, delay = {}, []
    for when, _, f in stages:
        last[f["build"]] = f["phase"]
        if f["phase"] == 2 and f["build"] not in bad:
            delay.append(when - day.offers[f["build"] - 2].at)
    good = [n + 2 for n, offer in enumerate(day.offers) if not offer.bad]
    asked = table["asked"].sum()
    worst = (
        np.convolve(table["earned"], np.ones(10), "valid")
        / np.maximum(1e-9, np.convolve(table["asked"], np.ones(10), "valid"))
        if size >= 10
        else np.array([np.nan])
    )
    summary = dict(
        service=service(facts, world.rows("tries")),
        worst=float(worst.min()),
        harm=float(table["harm"].sum() / max(1e-9, asked)),
        good_released=sum(last.get(b) == 2 for b in good) / len(good) if good else None,
        bad_released=sum(any(f["build"] == b and f["phase"] == 2 for _, _, f in stages) for b in bad)
        / len(bad)
        if bad
        else None,
        delay=float(np.mean(delay)) if delay else None,
        toppled=sum(n["what"] == "toppled" for n in world.rows("nodes")),
        throttled=float(table["throttled"].sum()),
        terminated=float(table["terminated"].sum()),
        tries=len(world.tries),
        dispatches=len(world.served),
        events=world.made,
        broken={rule: len(stories) for rule, (_, stories) in verdict.items()},
        checked={rule: checked for rule, (checked, _) in verdict.items()},
        story=[(round(when, 3), what, f) for when, what, f in world.story],
    )
    return table, summary


def play(experiment, cell, digest):
    """One cell as the bytes of a Parquet file; `digest` is the core's, read before any cell was played."""
    day, begun = experiment.day(cell), time.process_time()
    table, summary = measure(make_world(day, POLICIES[cell["policy"]]).run())
    took = time.process_time() - begun
    meta = dict(cell=cell, summary=summary, core=digest, text=experiment.text, took=round(took, 2))
    arrow = pa.table({c: pa.array(table[c], pa.float64()) for c in COLUMNS}).replace_schema_metadata(
        {"gannet": json.dumps(meta, sort_keys=True)}
    )
    out = io.BytesIO()
    pq.write_table(arrow, out)
    return out.getvalue()


def name_of(experiment, cell, digest):
    key = json.dumps([cell, experiment.text, digest], sort_keys=True)
    return xxhash.xxh64(key.encode()).hexdigest() + ".parquet"


def read(path):
    """(columns as arrays, meta); raises for a file that is none of ours."""
    table = parquet.read_table(path)
    return ({c: table.column(c).to_numpy() for c in COLUMNS}, json.loads(table.schema.metadata[b"gannet"]))


def run(experiment, folder, workers, said=lambda done, total: None):
    """Plays the cells that `folder` does not hold yet; (played, held before). A cell that cannot be written (a full
    disk) raises OSError: what is written stays, and the next run goes on there."""
    folder = Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    digest, cells = core(), list(experiment.cells())
    todo = [(cell, folder / name_of(experiment, cell, digest)) for cell in cells]
    missing = [(cell, path) for cell, path in todo if not path.exists()]
    with ProcessPoolExecutor(workers) as pool:
        # In the order of the grid and no more than a few ahead: a stopped run has its first cells.
        futures = [(pool.submit(play, experiment, cell, digest), path) for cell, path in missing]
        try:
            for done, (future, path) in enumerate(futures, 1):
                try:
                    data = future.result()
                except Exception as trouble:  # noqa: BLE001 - a policy may raise anything: say in which cell
                    raise BadExperiment(
                        f"{experiment.path}: {missing[done - 1][0]}: {type(trouble).__name__}: {trouble}"
                    ) from None
                host.replace_file(path, data)
                said(done, len(missing))
        except BaseException:
            for future, _ in futures:
                future.cancel()
            raise
    return len(missing), len(cells) - len(missing)
