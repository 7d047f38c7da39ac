"""Who is there, in virtual time (simulated): how long until all know of a death, and who is missed though it lives.

    python bench/members.py [--sizes 3,30,200,2000] [--seeds 3]

In each play one member dies at second 10 while a part of the others is held up, each of them again and again for so many ms.
"""

import sys
import time

import click

from gannetfront.host import Jitter
from gannetfront.lab.town import Town
from gannetfront.members.core import GONE, SUSPECT
from gannetfront.wire import members as wire

PERIOD = 1000.0


def play(size, seed, part, held_for):
    zones = {n: n % 3 for n in range(size)}
    town, draw = Town(zones, PERIOD, seed), Jitter(seed)
    town.measure = lambda me, message: len(wire.pack(1, me, message))
    town.run(10 * PERIOD)
    dead = seed % size
    town.kill(dead)
    begun, known, sent = town.now, None, dict(town.sent)
    slow = [n for n in range(size) if n != dead and draw.random() < part]
    for step in range(90):
        for n in slow:
            if n not in town.held and draw.random() < 0.25:
                town.hold(n, held_for)
        town.run(PERIOD)
        views = town.views(dead)
        if known is None and sum(views.values()) == views.get(GONE, 0):
            known = step + 1
            break
    false = {n for _, _, n, state in town.seen if state == GONE} - {dead}
    suspected = {n for _, _, n, state in town.seen if state == SUSPECT} - {dead}
    each = max(town.sent[n] - sent.get(n, 0) for n in town.sent) / ((town.now - begun) / 1000)
    return known, len(false), len(suspected - set(slow)), len(suspected & set(slow)), each, town.bytes


@click.command()
@click.option("--sizes", default="3,30,200,2000")
@click.option("--seeds", default=3)
@click.option("--held-for", default=2000.0)
def main(sizes, seeds, held_for):
    print(
        "| members | held up | all know after, s | lives taken for gone | well ones suspected | held ones suspected | datagrams a second, most | bytes, most | CPU, s |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for size in map(int, sizes.split(",")):
        for part in (0.0, 0.05):
            begun = time.process_time()
            got = [play(size, seed, part, held_for) for seed in range(1, seeds + 1)]

            def column(n):
                return ", ".join(f"{g[n]:.1f}" if isinstance(g[n], float) else str(g[n]) for g in got)

            print(
                f"| {size} | {part:.0%} | "
                + " | ".join(column(n) for n in range(6))
                + f" | {time.process_time() - begun:.0f} |",
                flush=True,
            )


if __name__ == "__main__":
    sys.exit(main())
