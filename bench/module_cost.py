"""CPU of the module alone for one proxy, in memory: 40 nodes, with and without a wide stage.

    python bench/module_cost.py [--against OLD_BALANCE.py] [--seconds S]

Prints a line a rate: ms of CPU an invocation, and the digest of every decision; with --against the same for
another text of the module, so that "same decisions, less cost" is seen in one run.
"""

import importlib.util
import time
from heapq import heappop, heappush
from pathlib import Path

import click
import numpy as np
import xxhash

from gannetfront import balance, interface as i

OPS = (
    i.Operation("read", i.IDEMPOTENT, 1000.0, 3000.0, 1.0, 0.2, 0.0, "all"),
    i.Operation("place", i.FINGERPRINTED, 1000.0, 3000.0, 5.0, 0.2, 2000.0, "all"),
    i.Operation("debit", i.SIDE_EFFECTING, 1000.0, 3000.0, 2.0, 0.2, 0.0, "all"),
)
ROLLOUT = i.Rollout(
    (0.8, 1.0),
    (0.5, 1.0),
    1000.0,
    4000.0,
    2.0,
    True,
    0,
    False,
    1,
    1,
    0,
    False,
    6000.0,
    1000.0,
    6000.0,
    0.0,
    0.0,
    0.0,
    0.3,
    5.0,
)
SITE = i.Deployment(
    3,
    0,
    0,
    OPS,
    ((0.6, 1e9), (0.4, 1e9)),
    0.2,
    ROLLOUT,
    False,
    False,
    True,
    True,
    500.0,
    4,
    False,
    (),
    0.0,
    500.0,
    0.3,
    4000.0,
    3.0,
    1000.0,
    5.0,
)


class Acts:
    def __init__(self):
        self.digest, self.sent, self.now = xxhash.xxh64(), [], 0.0

    def __getattr__(self, name):
        def act(*fields):
            self.digest.update(repr((self.now, name, fields)).encode())
            if name == "dispatch":
                self.sent.append(fields)

        return act


def day(module, rate, wide, seconds, loaded):
    """One proxy for so many seconds at `rate` a second; returns (CPU ms an invocation, digest)."""
    draw = np.random.Generator(np.random.PCG64(5))
    one, out, due, count = module.Balancer(7, SITE), Acts(), [], 0
    entries = tuple((f"n{k}", 0, 1 + (wide and k % 2), 0, 0, i.READY, 1.0, 0.0) for k in range(40))
    events = [
        ("listed", "whole", entries),
        ("stage_told", False, 0, 0.0, 0.8, i.SUCCEEDED, 1 + wide, i.TRIAL if wide else i.RELEASED),
    ]
    seqs, spent, now = {}, 0.0, 1000.0
    for _ in range(int(seconds * 200)):
        now += 5.0
        for _ in range(draw.poisson(rate / 200)):
            count += 1
            events.append(("invocation", count, f"k{count % 97}", int(draw.integers(3)), count % 2, 3000.0))
        while due and due[0][0] <= now:
            _, inv, seq, addr, status, took = heappop(due)
            events.append(("outcome", inv, seq, addr, status, took, status == i.SUCCEEDED, {}))
        out.now, out.sent = now, []
        begin = time.process_time()
        one.round(now, events, out)
        spent += time.process_time() - begin
        events = []
        for inv, addr, _ in out.sent:
            seq = seqs[inv] = seqs.get(inv, -1) + 1
            took = float(draw.lognormal(4.4, 0.6)) * (9 if loaded else 1)
            heappush(
                due, (now + took, inv, seq, addr, i.ERROR if draw.random() < 0.01 else i.SUCCEEDED, took)
            )
    return 1000 * spent / max(1, count), out.digest.hexdigest()


@click.command()
@click.option("--against", type=click.Path(exists=True, path_type=Path), help="another text of the module")
@click.option("--seconds", default=4.0, show_default=True)
def main(against, seconds):
    texts = {"now": balance}
    if against:
        spec = importlib.util.spec_from_file_location("gannetfront.other", against)
        texts["other"] = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(texts["other"])
    for loaded in (False, True):
        for wide in (False, True):
            for rate in (10, 100, 1000, 5000):
                if loaded and rate == 5000 and against:
                    continue
                row = {name: day(m, rate, wide, seconds, loaded) for name, m in texts.items()}
                same = len({digest for _, digest in row.values()}) == 1
                print(
                    f"{'loaded' if loaded else 'light'} {'wide' if wide else 'none'} {rate:>5}/s  "
                    + "  ".join(f"{name} {ms:.3f} ms" for name, (ms, _) in row.items())
                    + f"  same decisions: {same}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
