"""Days on disks that stand still, ten plays of each: what is broken, and what is served of that which needs no disk.

    python bench/slow_disk.py [--plays 10] [--at-once 3] [LINE ...]

Exit 1 where a play breaks a rule, or a trail or a webhook disagrees with the sockets.
"""

import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click
import numpy as np

from gannetfront import records, script
from gannetfront.audit.rules import service
from gannetfront.cli.audit import judge
from gannetfront.config import schema_pb2 as schema
from gannetfront.cli.common import settings
from gannetfront.day.play import Day, Failed

TEXT = (Path(__file__).parents[1] / "scripts" / "slow-disk.txt").read_text()
EACH = "at 0 for 30 slow_disk of=all ms=800 every=5000 lasts=1000 calls="
LINES = {
    "nothing": "",
    "fdatasync": EACH + "fdatasync",
    "fsync": EACH + "fsync",
    "all": EACH + "all",
    "stands still 10 s": "at 8 for 10 slow_disk of=proxy calls=all",
    "full 8 s": "at 8 for 8 slow_disk of=proxy calls=full",
}


def play(line):
    """(rules broken, disagreements, service, service of what needs no disk, toppled)"""
    folder = Path(tempfile.mkdtemp(prefix="gannet-slow-"))
    path = folder / "day.txt"
    path.write_text("\n".join(x for x in TEXT.splitlines() if " slow_disk " not in x) + f"\n{LINES[line]}\n")
    try:
        Day(script.read(path), path, folder).play()
    except Failed as trouble:
        return line, None, str(trouble)
    verdict, facts = judge(folder)
    fleet, tries = settings(schema.Fleet, str(folder / "fleet.textproto")), records.read(folder, "tries")
    safe = {o.name for o in fleet.operation if o.effect != "side-effecting"}
    stories = [s for _, some in verdict.values() for s in some] + facts["trail"][1] + facts["webhooks"][1]
    return (
        line,
        stories,
        (facts["service"], service(fleet, [t for t in tries if t["operation"] in safe]), facts["toppled"]),
    )


@click.command()
@click.argument("lines", nargs=-1)
@click.option("--plays", default=10, show_default=True)
@click.option("--at-once", default=3, show_default=True)
def main(lines, plays, at_once):
    wanted = lines or tuple(LINES)
    with ThreadPoolExecutor(at_once) as pool:
        got = list(
            pool.map(lambda line: (line, _apart(line)), [line for _ in range(plays) for line in wanted])
        )
    bad = 0
    for line in wanted:
        done = [one for name, one in got if name == line]
        stories = [s for one in done for s in one["stories"]]
        bad += bool(stories)

        def figure(n):
            return "{:.3f} ({:.3f} to {:.3f})".format(
                *(
                    f([one["figures"][n] for one in done if one["figures"]] or [0])
                    for f in (np.median, min, max)
                )
            )

        print(
            f"| {line} | {len(done)} plays, {sum(bool(one['stories']) for one in done)} broken | {figure(0)} | {figure(1)} |",
            flush=True,
        )
        for story in stories[:6]:
            print("   ", story[:400])
    sys.exit(bad > 0)


def _apart(line):
    """In a process of its own: a day has one loop."""
    import json
    import subprocess

    done = subprocess.run(
        [sys.executable, __file__, "--one", line], capture_output=True, text=True, timeout=240
    )
    try:
        return json.loads(done.stdout.splitlines()[-1])
    except (ValueError, IndexError):
        return dict(stories=[f"did not play: {done.stderr[-300:]}"], figures=None)


if __name__ == "__main__":
    if sys.argv[1:2] == ["--one"]:
        import json

        _, stories, figures = play(sys.argv[2])
        print(
            json.dumps(
                dict(
                    stories=stories if stories is not None else [figures],
                    figures=figures if stories is not None else None,
                )
            )
        )
    else:
        main()
