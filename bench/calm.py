"""After an outage, in virtual time: when service is back, by load, outage and policy; a map with the edge past which a fleet stays down.

python bench/calm.py map [--seeds 3] [--png FILE]      loads 0.5 to 0.9, outages of 3 to 30 s, nodes silent, then going on
python bench/calm.py proxies [--seeds 20]              the same outage over 3 to 300 proxies and clients' obedience 0 to 1
"""

from concurrent.futures import ProcessPoolExecutor
from itertools import product

import click
import numpy as np

TEXT = """day {seconds}
seed {seed}
proxies {proxies}
zones north south
fleet nodes=16 cores=2 queue=200 cold=0.3 cold_for=4000 cancelled=goes-on
traffic rate={rate} retries=3 backoff=20 honour={honour} patience=0.7 keys=500
operation catalogue-read effect=idempotent share=0.6 work=60 slo=800 limit=2500 value=1
operation order-place effect=fingerprinted share=0.25 work=60 slo=900 limit=2500 value=5 window=2500
operation account-debit effect=side-effecting share=0.15 work=60 slo=900 limit=2500 value=2
rollout shares=0.2,1 caps=0.3,1 soak=1000 window=3000 free=2 drain=2000
rules signal=1 drain_grace=500 multiple=3 overload_for=1000
at 8 for {outage} {kind}
"""
KINDS = {"silent": "pause share=1 ms={ms} every=1000000", "gone": "vanish share=1"}
POWER, AFTER = (
    16 * 2 / 60 * 1000,
    40,
)  # invocations a second of the whole fleet; seconds played after the outage


def one(cell):
    """(seconds from the outage's end until value in time is 95% of before over two seconds, or inf; share of the value lost
    after the outage's end; tries an intent; nodes that fell)."""
    policy, load, outage, proxies, honour, kind, seed = cell
    from gannetfront import script
    from gannetfront.lab.baselines import POLICIES
    from gannetfront.lab.world import World

    seconds = 8 + outage + AFTER
    day = script.Day(
        TEXT.format(
            seconds=seconds,
            seed=seed,
            proxies=proxies,
            rate=load * POWER,
            honour=honour,
            outage=outage,
            kind=KINDS[kind].format(ms=1000 * outage),
        )
    )
    world = World(day, POLICIES[policy]).run()
    asked, earned = np.zeros(seconds + 5), np.zeros(seconds + 5)
    for t in world.rows("tries"):
        op, at = day.operations[t["operation"]], int(t["due"] / 1000)
        if t["nth"] == 0:
            asked[at] += op["value"]
        if t["answer"] == "succeeded" and t["ended"] - t["due"] <= op["slo"]:
            earned[at] += op["value"]
    before = earned[2:8].sum() / asked[2:8].sum()
    end = 8 + outage
    back = next(
        (
            s - end
            for s in range(end, seconds - 1)
            if earned[s : s + 2].sum() >= 0.95 * before * asked[s : s + 2].sum()
        ),
        np.inf,
    )
    intents = len({t["work"] for t in world.rows("tries")})
    fell = sum(n["what"] == "toppled" for n in world.rows("nodes"))
    return (
        back,
        1 - earned[end:seconds].sum() / asked[end:seconds].sum() / before,
        len(world.tries) / intents,
        fell,
    )


def played(cells, workers):
    with ProcessPoolExecutor(workers) as pool:
        return dict(zip(cells, pool.map(one, cells, chunksize=1)))


@click.group()
def main():
    pass


POLICIES = "module", "random", "budget", "adaptive"


@main.command("map")
@click.option("--seeds", default=3)
@click.option("--workers", default=6)
@click.option("--png", type=click.Path())
def edges(seeds, workers, png):
    loads, outages = (0.5, 0.7, 0.9), (3, 10, 30)
    got = played(
        [
            (p, x, o, 6, 0.5, "silent", s)
            for p, x, o, s in product(POLICIES, loads, outages, range(1, seeds + 1))
        ],
        workers,
    )
    grid = {}
    for p in POLICIES:
        print(
            f"{p}: seconds until back, median of {seeds} seeds (not within {AFTER}: -); value lost after the outage; tries an intent"
        )
        for x in loads:
            row = []
            for o in outages:
                cells = [v for k, v in got.items() if k[:3] == (p, x, o)]
                back, lost, tries = (
                    np.median([c[0] for c in cells]),
                    np.mean([c[1] for c in cells]),
                    np.mean([c[2] for c in cells]),
                )
                grid[p, x, o] = back
                row.append(f"{'-' if np.isinf(back) else format(back, '.0f'):>3} s {lost:4.0%} {tries:.1f}")
            print(
                f"  load {x:.2f}  " + "   ".join(f"{o:2} s out: {r}" for o, r in zip(outages, row)),
                flush=True,
            )
    print(f"nodes that fell: {sum(v[3] for v in got.values())}")
    if png:
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot as plt

        figure, axes = plt.subplots(1, len(POLICIES), figsize=(11, 2.8), sharey=True)
        for ax, p in zip(axes, POLICIES):
            shown = ax.imshow(
                [[min(AFTER, grid[p, x, o]) for o in outages] for x in loads],
                vmin=0,
                vmax=AFTER,
                origin="lower",
                aspect="auto",
                cmap="viridis_r",
            )
            ax.set(
                title=p,
                xticks=range(len(outages)),
                xticklabels=outages,
                xlabel="outage, s",
                yticks=range(len(loads)),
                yticklabels=loads,
            )
        axes[0].set_ylabel("load")
        figure.colorbar(shown, ax=axes, label="s until back")
        figure.savefig(png, dpi=90, bbox_inches="tight")


@main.command()
@click.option("--seeds", default=20)
@click.option("--workers", default=6)
def proxies(seeds, workers):
    cells = [
        (p, 0.7, 10, n, h, kind, s)
        for p, n, h, kind, s in product(
            ("module", "adaptive"), (3, 30, 300), (0.0, 1.0), ("silent", "gone"), range(1, seeds + 1)
        )
    ]
    got = played(cells, workers)
    for p, n, h, kind in sorted({(c[0], c[3], c[4], c[5]) for c in cells}):
        rows = [v for k, v in got.items() if (k[0], k[3], k[4], k[5]) == (p, n, h, kind)]
        back = [min(r[0], AFTER) for r in rows]
        print(
            f"{p:9} {n:4} proxies, obedience {h:g}, {kind:6}: back after {np.median(back):4.1f} s ({min(back):g} to {max(back):g}), "
            f"lost {np.mean([r[1] for r in rows]):.1%}, tries an intent {np.mean([r[2] for r in rows]):.2f}, "
            f"fell {sum(r[3] for r in rows)}",
            flush=True,
        )


if __name__ == "__main__":
    main()
