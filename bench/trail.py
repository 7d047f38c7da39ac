"""The trail: writers killed at random points, and what writing an intent first costs.

python bench/trail.py [--kills 1000] [--at-once 6]
"""

import os
import signal
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click
import numpy as np

from gannetfront import host
from gannetfront.trail import log

WRITER = """
import sys
from gannetfront import host
from gannetfront.trail.log import Trail
class Quiet:
    def __getattr__(self, name): return lambda *a, **k: None
one = Trail(sys.argv[1], Quiet(), delay=0.1, rotate=2000)
host.spawn(one.run)
def writer(k):
    n = 0
    while True:
        n += 1
        one.written("intent", 5000, request=f"{k}.{n}")
        sys.stdout.write(f"{k}.{n}\\n")
        sys.stdout.flush()
host.join([host.spawn(writer, k) for k in range(4)], 1e9)
"""


class Quiet:
    def __getattr__(self, name):
        return lambda *a, **k: None


def kill(turn):
    """(acknowledged, missing, error) of one killed writer."""
    folder = tempfile.mkdtemp()
    draw = np.random.Generator(np.random.PCG64(turn))
    one = subprocess.Popen(
        [sys.executable, "-c", WRITER, folder],
        stdout=subprocess.PIPE,
        text=True,
        env=os.environ | dict(PYTHONPATH=str(Path(__file__).parents[1])),
    )
    lines = [one.stdout.readline() for _ in range(int(draw.integers(1, 60)))]
    host.sleep(0)
    one.send_signal(signal.SIGKILL)
    rest = one.stdout.read()
    one.wait()
    told = {x for x in ("".join(lines) + rest).split("\n")[:-1] if x}
    try:
        found = {r[3]["request"] for r in log.read(folder)}
    except Exception as trouble:  # noqa: BLE001 - any is a finding
        return len(told), 0, f"{type(trouble).__name__}: {trouble}"
    return len(told), len(told - found), None


@click.command()
@click.option("--kills", default=1000, show_default=True)
@click.option("--at-once", default=6, show_default=True)
def main(kills, at_once):
    for delay in (0.0, 2.0):
        folder = tempfile.mkdtemp()
        one = log.Trail(folder, Quiet(), delay=delay)
        host.spawn(one.run)
        for writers in (1, 32):
            spans, begun = [], host.now()

            def write():
                while host.now() < begun + 3000:
                    at = host.now()
                    one.written("intent", 5000, request="x" * 20, op=1, seq=0, node="127.0.0.1:10000")
                    spans.append(host.now() - at)

            host.join([host.spawn(write) for _ in range(writers)], 6000)
            print(
                f"delay {delay:g} ms, {writers:2} at once: {len(spans) / 3:7.0f} intents a second, p50 {np.percentile(spans, 50):.2f} "
                f"ms, p99 {np.percentile(spans, 99):.2f} ms",
                flush=True,
            )
    with ThreadPoolExecutor(at_once) as pool:
        got = list(pool.map(kill, range(kills)))
    print(
        f"{kills} kills: {sum(g[0] for g in got)} records acknowledged, {sum(g[1] for g in got)} missing, "
        f"{sum(g[2] is not None for g in got)} trails damaged"
    )
    for error in sorted({g[2] for g in got if g[2]})[:5]:
        print("   ", error)


if __name__ == "__main__":
    main()
