"""Fifty emulated nodes in one process: the most invocations a second that they answer, and where that stops.

python bench/kitchen_rate.py
"""

import json
import subprocess
import sys
import tempfile
import time
import urllib.request

from sidebyside import drive

TEXT = """day 120
seed 1
zones a b c
fleet nodes=50 cores=8 queue=200
operation read effect=idempotent share=1 work=10
"""


def main():
    folder = tempfile.mkdtemp()
    with open(f"{folder}/s.txt", "w", encoding="utf-8") as f:
        f.write(TEXT)
    one = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "gannetfront.cli.kitchen",
            "run",
            f"{folder}/s.txt",
            "--records",
            folder,
            "--view",
            "127.0.0.1:0",
        ],
        stderr=subprocess.PIPE,
        text=True,
    )
    view = next(json.loads(line)["at"] for line in one.stderr if '"view"' in line)
    time.sleep(2)
    nodes = json.loads(urllib.request.urlopen(f"http://{view}/", timeout=5).read())
    targets = [n["address"] for n in nodes]
    print(f"{len(targets)} nodes, each invocation 10 ms on a core")
    for rate in (500, 1000, 2000, 3000, 4000, 6000):
        begun = cpu(one.pid)
        got, p50, p99, failed = drive(targets, 4.0, float(rate))
        print(
            f"asked {rate:5} a second: {got:6.0f} answered, p50 {p50:6.1f} ms, p99 {p99:6.1f} ms, {failed} failed, "
            f"kitchen's CPU {(cpu(one.pid) - begun) / 4.0:.0%}",
            flush=True,
        )
        if p50 > 200:
            break
    one.terminate()
    one.wait()


def cpu(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as f:
        fields = f.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100


if __name__ == "__main__":
    main()
