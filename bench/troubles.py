"""Plays every script of scripts/troubles through real processes, a few at a time, and prints a line each.

    python bench/troubles.py [--at-once N] [NAME ...]

Exit 1 if any day breaks a rule or does not play.
"""

import json
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click

SCRIPTS = Path(__file__).parents[1] / "scripts" / "troubles"


def play(path):
    folder = tempfile.mkdtemp(prefix=f"gannet-{path.stem}-")

    def run(*words):
        return subprocess.run([sys.executable, "-m", *words], capture_output=True, text=True, timeout=180)

    day = run("gannetfront.cli.day", str(path), "--records", folder)
    audit = run("gannetfront.cli.audit", folder, "--json")
    try:
        facts = json.loads(audit.stdout)
    except ValueError:
        return path.stem, None, day.stderr + audit.stderr
    return path.stem, facts, day.stdout


@click.command()
@click.argument("names", nargs=-1)
@click.option("--at-once", default=3, show_default=True)
def main(names, at_once):
    paths = [p for p in sorted(SCRIPTS.glob("*.txt")) if p.stem != "base" and (not names or p.stem in names)]
    bad = 0
    print(f"{'trouble':18} service  answers effects drains cold exposure  builds")
    with ThreadPoolExecutor(at_once) as pool:
        for name, facts, said in pool.map(play, paths):
            if facts is None:
                bad += 1
                print(f"{name:18} did not play: {said.strip()[-300:]}", flush=True)
                continue
            counts = [f"{r['checked']}{'!' * len(r['broken'])}" for r in facts["rules"].values()]
            broken = [s for r in facts["rules"].values() for s in r["broken"]]
            bad += bool(broken)
            builds = ", ".join(f"{b} {p}" for b, p in facts["phases"].items() if b != "1")
            print(
                f"{name:18} {facts['service']:.3f}  "
                + " ".join(counts)
                + f"  {builds}"
                + (f"; {facts['toppled']} fell over" if facts["toppled"] else ""),
                flush=True,
            )
            for story in broken[:3]:
                print("    " + story)
    print(f"{len(paths)} troubles, {bad} bad")
    raise SystemExit(1 if bad else 0)


if __name__ == "__main__":
    main()
