"""gannet-sites: what the loss of a zone will mean, before it happens."""

import json
from pathlib import Path

import click

from ..config import schema_pb2 as schema
from ..sites.plan import Sites
from .common import complain, settings
from .duties import asked, to_holder


def sites_of(fleet):
    facts = settings(schema.Fleet, fleet)
    try:
        return facts, Sites.of(facts)
    except ValueError as trouble:
        raise SystemExit(complain(f"{fleet}: {trouble}")) from None


@click.group()
def main():
    """Plans for the loss of a site (a zone of the fleet)."""


@main.command()
@click.argument("fleet", type=click.Path(dir_okay=False))
@click.option(
    "--lost", multiple=True, help="only this case: zones lost together (default: each zone and each pair)"
)
@click.option("--json", "as_json", is_flag=True)
@click.option("--picture", type=click.Path(dir_okay=False), help="an .svg or .png of it")
def plan(fleet, lost, as_json, picture):
    """For each zone and each pair: where its load goes, how full the others get, what is refused first, what value remains."""
    facts, sites = sites_of(fleet)
    unknown = [z for z in lost if z not in sites.capacity]
    if unknown or set(lost) == set(sites.capacity):
        raise SystemExit(
            complain(
                f"--lost: {f'no site {unknown[0]}' if unknown else 'no site is left'}; known: {', '.join(sites.capacity)}"
            )
        )
    plans = [sites.plan_for(case) for case in ([lost] if lost else sites.loss_cases())]
    if not plans:
        raise SystemExit(complain(f"{fleet}: one site alone has nowhere to send its load"))
    if picture:
        from ..sites.picture import render

        Path(picture).write_bytes(render(plans, "png" if picture.endswith(".png") else "svg"))
    for p in plans:
        if as_json:
            click.echo(
                json.dumps(
                    dict(
                        lost=p.lost,
                        full=p.utilization,
                        shares=p.shares(),
                        refused=p.refused,
                        value=p.value,
                        price=p.price(),
                    )
                )
            )
            continue
        click.echo(
            f"{' and '.join(p.lost)} lost: {p.value:.1%} of the value remains, {p.price():.2%} paid for other zones"
        )
        for zone, full in p.utilization.items():
            click.echo(
                f"  {zone}: {full:.0%} full"
                + "".join(
                    f", {w / sites.capacity[zone]:.0%} of it from {a}"
                    for (a, b), w in sorted(p.moves.items())
                    if b == zone
                )
            )
        for op, share in p.refused.items():
            click.echo(f"  refused: {share:.1%} of {op}")
    if not as_json:
        click.echo(f"refused first to last: {', '.join(sites.refusal_order())}")


@main.command()
@click.argument("fleet", type=click.Path(dir_okay=False))
@click.option("--protect", help="operations, set apart by commas (default: the fleet's)")
@click.option("--zones", default=1, show_default=True, help="zones lost together, at most")
def check(fleet, protect, zones):
    """Exit 1, naming zone and operation, where a protected operation would be refused."""
    facts, sites = sites_of(fleet)
    names = protect.split(",") if protect else list(facts.protect)
    unknown = [n for n in names if n not in sites.classes]
    if unknown or not names:
        raise SystemExit(
            complain(f"--protect: {f'no operation {unknown[0]}' if unknown else 'nothing is protected'}")
        )
    for nth, name in enumerate(names):
        sites.classes[name].protected = nth
    wrong = 0
    for case in sites.loss_cases(zones):
        for op, share in sites.plan_for(case).protected_refused(names).items():
            wrong += 1
            click.echo(f"{' and '.join(case)} lost: {share:.1%} of {op} is refused")
    click.echo("fine" if not wrong else f"{wrong} of it")
    raise SystemExit(1 if wrong else 0)


@main.command()
@click.argument("at")
@click.option("--json", "as_json", is_flag=True)
def status(at, as_json):
    """What is with each site as the proxy at AT (its mate.duties) sees it, what it is sent, what is refused, who leads the return."""
    fine, text = asked(at, "status")
    told = next((d for d in json.loads(text)["duties"] if "sites" in d), None) if fine else None
    if told is None:
        raise SystemExit(complain(f"{at}: it has no duty site-return" if fine else text))
    if as_json:
        click.echo(json.dumps(told))
        return
    for name, site in told["sites"].items():
        held = "; held down by an operator" if site["held_down"] else ""
        click.echo(
            f"{name}: {site['state']}, gets {site['weight']:.0%} of its usual share{held}"
            + (f"; {site['evidence']}" if site["evidence"] else "")
        )
    for op, share in told["refused"].items():
        click.echo(f"refused: {share:.1%} of operation {op}")
    click.echo(
        f"the return is led by {told['holder']}"
        if told["holder"] is not None
        else "nobody leads the return: each proxy goes up its own ramp"
    )


def ordering(name, verb, text):
    @main.command(name, help=text)
    @click.argument("site")
    @click.option("--at", required=True, help="any proxy, by the address of its duties")
    def command(site, at):
        to_holder(at, verb, "site-return", about=site)


ordering("hold", "hold", "Send nothing to SITE until `free`, however well it looks.")
ordering("return", "go", "Let SITE in at once, also where it comes and goes; until it is lost again.")
ordering("free", "free", "Take back `hold` or `return`: the proxies decide again.")


@main.command()
@click.argument("folder", type=click.Path(file_okay=False, exists=True))
def measure(folder):
    """Lines for the fleet's settings from the records in FOLDER (of gannet-day): capacity, traffic, work."""
    from .. import records
    from ..sites.measured import as_settings, measure_sites

    fleet = settings(schema.Fleet, f"{folder}/fleet.textproto")
    zone_of = {}
    for path in sorted(Path(folder).glob("proxy*.textproto")):
        mine = settings(schema.Proxy, str(path))
        zone_of[mine.me] = mine.zone or fleet.zone[0]
    try:
        found = measure_sites(
            list(fleet.zone),
            zone_of,
            *(records.read(folder, name) for name in ("tries", "dispatches", "nodes")),
        )
    except ValueError as trouble:
        raise SystemExit(complain(f"{folder}: {trouble}")) from None
    click.echo("\n".join(as_settings(*found)))


if __name__ == "__main__":
    main()
