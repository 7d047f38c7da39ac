"""gannet-day: plays a day script as real processes and has it judged."""

import tempfile

import click

from ..config import load, schema_pb2 as schema
from ..script import fleet_text
from .audit import judge, report
from .common import complain
from .kitchen import day_of


@click.command()
@click.argument("script_file", type=click.Path(dir_okay=False))
@click.option(
    "--records", type=click.Path(file_okay=False), help="folder for the records (default: a new one)"
)
@click.option("--check", is_flag=True, help="only say what it would do")
@click.option(
    "--again",
    default=2,
    show_default=True,
    help="plays more, where the machine stood still and a rule could not be judged",
)
def main(script_file, records, check, again):
    """Play SCRIPT_FILE: start controller, nodes, proxies and clients, then judge the five rules."""
    from ..day.play import Day, Failed

    day = day_of(script_file)
    try:
        load.parse(schema.Fleet, fleet_text(day), f"{script_file} (as settings)")
    except load.BadSetting as bad:
        raise SystemExit(complain(str(bad))) from None
    click.echo(
        f"{day.seconds:g} s, {day.fleet['nodes']} nodes, {day.proxies} proxies, {day.traffic['rate']:g} "
        f"invocations a second ({day.load():.0%} of capacity), {len(day.troubles)} troubles, "
        f"{len(day.offers)} builds offered"
    )
    if check:
        return
    records = records or tempfile.mkdtemp(prefix="gannet-day-")
    for left in range(again, -1, -1):
        try:
            Day(day, script_file, records).play()
        except Failed as trouble:
            raise SystemExit(complain(f"{script_file}: {trouble}")) from None
        verdict, facts = judge(records, allow=day.directory["allow"] if day.directory else 0.0)
        lines, status = report(verdict, facts)
        if status != 4 or not left:
            break
        click.echo(f"not judged, as the machine stood still: {facts['not judged']}; played again")
    for nth, offer in enumerate(day.offers):
        lines.insert(
            -1,
            f"build {nth + 2} was {'good' if not offer.bad else 'bad: ' + offer.form}; "
            f"it ended {facts['phases'].get(str(nth + 2), 'unannounced')}",
        )
    click.echo("\n".join([f"records in {records}", *lines]))
    raise SystemExit(status)


if __name__ == "__main__":
    main()
