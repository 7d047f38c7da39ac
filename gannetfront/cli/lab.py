"""gannet-lab: days in virtual time, grids of them, reports and comparisons."""

import os
import sys
from pathlib import Path

import click

from .common import complain
from .kitchen import day_of, digest as timeline_digest


@click.group()
def main():
    """The emulator in virtual time: experiments, reports. All its figures are simulated."""


@main.command()
@click.argument("script_file", type=click.Path(dir_okay=False))
@click.option("--policy", default="module", show_default=True)
@click.option("--timeline", is_flag=True, help="every stage, life and decision in order, with a digest")
def day(script_file, policy, timeline):
    """Play SCRIPT_FILE once and judge it."""
    import xxhash

    from ..audit.rules import service
    from ..lab.baselines import POLICIES
    from ..lab.sites import make_world

    if policy not in POLICIES:
        raise SystemExit(complain(f"'{policy}' is none of {', '.join(POLICIES)}"))
    world = make_world(day_of(script_file), POLICIES[policy]).run()
    digest = xxhash.xxh64()
    for table in (world.tries, world.served, world.lives, world.told, world.events, world.lines):
        for row in table:
            digest.update(repr(row).encode())
    if timeline:
        rows = (
            [(r[0], f"node {r[1]} build {r[4]} {r[7]}") for r in world.lives]
            + [(at, f"{what} {facts}") for at, what, facts in world.story]
            + [(at, f"proxy {n}: {line}") for at, n, line in world.lines]
            + [(r[0], f"{r[1]} {r[2]}") for r in world.events]
        )
        for at, what in sorted(rows):
            click.echo(f"{at / 1000:9.3f}  {what}")
    verdict = world.verdict()
    broken = 0
    for rule, (checked, stories) in verdict.items():
        broken += bool(stories)
        click.echo(
            f"{rule}: {checked} checked, {len(stories)} broken" + "".join(f"\n    {s}" for s in stories[:3])
        )
    click.echo(
        f"service {service(world.facts, world.rows('tries')):.3f} (simulated); {len(world.tries)} tries; "
        f"digest {digest.hexdigest()}; timeline {timeline_digest(world.told_timeline())}"
    )
    raise SystemExit(1 if broken else 0)


@main.command()
@click.argument("experiment", type=click.Path(dir_okay=False))
@click.option(
    "--into", type=click.Path(file_okay=False), help="folder of cells (default: beside the experiment)"
)
@click.option("--workers", default=os.cpu_count(), show_default="cores")
def run(experiment, into, workers):
    """Play the grid of EXPERIMENT; cells that are there already are kept."""
    from ..lab import grid

    try:
        one = grid.Experiment(experiment)
        into = into or str(Path(experiment).with_suffix(".cells"))

        def said(done, total):
            return click.echo(f"\r{done}/{total} cells", nl=done == total, file=sys.stderr)

        played, held = grid.run(one, into, workers, said)
    except grid.BadExperiment as bad:
        raise SystemExit(complain(str(bad))) from None
    except OSError as trouble:
        raise SystemExit(
            complain(f"{into}: a cell could not be written: {trouble}; what is written stays, run again")
        ) from None
    click.echo(f"{played} cells played, {held} were there; {into}")


@main.command()
@click.argument("folder", type=click.Path(file_okay=False, exists=True))
@click.option("--html", "html_file", type=click.Path(dir_okay=False), help="one self-contained page")
@click.option("--png", type=click.Path(file_okay=False), help="folder for the plots")
def report(folder, html_file, png):
    """Tables and plots of a FOLDER of cells."""
    from ..lab import report as r

    found, bad = r.cells(folder)
    if not found:
        raise SystemExit(complain(f"{folder}: no cells"))
    click.echo("\n".join(r.text(found) + [f"unreadable: {b}" for b in bad]))
    if html_file:
        Path(html_file).write_text(r.page(found, bad, Path(folder).stem), encoding="utf-8")
    if png:
        Path(png).mkdir(parents=True, exist_ok=True)
        for name, data in r.plots(found).items():
            (Path(png) / f"{name.replace(' ', '-')}.png").write_bytes(data)


@main.command()
@click.argument("a", type=click.Path(file_okay=False, exists=True))
@click.argument("b", type=click.Path(file_okay=False, exists=True))
@click.option("--figure", default="service", show_default=True)
def diff(a, b, figure):
    """Whether B differs from A in a figure: mean of the paired differences and its 95% interval."""
    from ..lab import report as r

    if figure not in r.FIGURES:
        raise SystemExit(complain(f"'{figure}' is none of {', '.join(r.FIGURES)}"))
    try:
        rows = r.differ(r.cells(a)[0], r.cells(b)[0], figure)
    except ValueError as trouble:
        raise SystemExit(complain(str(trouble))) from None
    for name, pairs, mean, low, high in rows:
        says = "more" if low > 0 else "less" if high < 0 else "no difference shown"
        click.echo(f"{name}: {pairs} pairs, {figure} {mean:+.4f} [{low:+.4f}, {high:+.4f}] {says}")


if __name__ == "__main__":
    main()
