"""The same script on sockets and in virtual time, compared quantile by quantile.

    python bench/calibrate.py SCRIPT [--seeds N]

Times are from when an invocation's try was sent to its answer, of those that succeeded.
"""

import tempfile

import click
import numpy as np

from gannetfront import records, script
from gannetfront.audit.rules import service
from gannetfront.config import load, schema_pb2 as schema
from gannetfront.day.play import Day
from gannetfront.lab.world import World

AT = (10, 50, 90, 99)


def figures(facts, tries, dispatches):
    times = {}
    for t in tries:
        if t["answer"] == "succeeded":
            times.setdefault(t["operation"], []).append(t["ended"] - t["sent"])
    out = {f"{op} p{q}": float(np.percentile(x, q)) for op, x in sorted(times.items()) for q in AT}
    out["service"] = service(facts, tries)
    out["throttled"] = sum(t["answer"] == "throttled" for t in tries) / len(tries)
    out["terminated"] = sum(t["answer"] == "terminated" for t in tries) / len(tries)
    out["dispatches a try"] = len(dispatches) / len(tries)
    return out


@click.command()
@click.argument("script_file", type=click.Path(exists=True))
@click.option("--seeds", default=2, show_default=True)
def main(script_file, seeds):
    rows = []
    for seed in range(1, seeds + 1):
        text = (
            open(script_file, encoding="utf-8")
            .read()
            .replace(
                "use base.txt",
                open(f"{script_file.rpartition('/')[0]}/base.txt").read()
                if "use base.txt" in open(script_file).read()
                else "",
            )
        )
        text = "\n".join(x for x in text.splitlines() if not x.startswith("seed")) + f"\nseed {seed}\n"
        folder = tempfile.mkdtemp(prefix="gannet-calibrate-")
        path = f"{folder}/day.txt"
        with open(path, "w", encoding="utf-8") as f:
            f.write(text)
        day = script.read(path)
        facts = load.parse(schema.Fleet, script.fleet_text(day), path)
        Day(day, path, folder).play()
        rows.append(
            (
                figures(facts, records.read(folder, "tries"), records.read(folder, "dispatches")),
                figures(facts, (w := World(script.read(path)).run()).rows("tries"), w.rows("dispatches")),
            )
        )
    print(f"{'figure':26} {'sockets':>9} {'lab':>9} {'gap':>8}   (mean of {seeds} seeds; times in ms)")
    for name in rows[0][0]:
        a, b = (float(np.mean([r[n].get(name, np.nan) for r in rows])) for n in (0, 1))
        print(f"{name:26} {a:9.3f} {b:9.3f} {b - a:+8.3f}")


if __name__ == "__main__":
    main()
