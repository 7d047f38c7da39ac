"""Drawn runs of tests/soak.py on processes, in pairs: usual clients, faulty nodes, signals in series and crowds."""

import subprocess
import sys

import pytest

import soak

TIME_LIMIT = 120  # s of a pair


@pytest.mark.parametrize("seeds", [(16, 18), (45, 4), (32, 9)], ids=str)
def test_drawn_runs_hold_the_rules(seeds):
    runs = [
        subprocess.Popen(
            [sys.executable, soak.__file__, str(seed)],
            cwd=soak.hostile.ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        for seed in seeds
    ]
    lines = [run.communicate(timeout=TIME_LIMIT)[0] for run in runs]
    assert [run.returncode for run in runs] == [0] * len(runs), "".join(lines)
