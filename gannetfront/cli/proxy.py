"""gannet-proxy: routes invocations as the decisions say."""

import gc

import click

from .. import host
from ..config import load, schema_pb2 as schema
from .common import complain, logs, settings


@click.group()
def main():
    """Routes invocations between builds as gannetfront's decisions say."""


@main.command()
@click.argument("fleet", type=click.Path(dir_okay=False))
@click.argument("proxy", type=click.Path(dir_okay=False))
@click.option("--ready-file", type=click.Path(), help="written with the address once it serves")
@click.option("--log-level", default="info", show_default=True)
@click.option(
    "--records",
    type=click.Path(file_okay=False),
    help="folder for records of what duties had done here, for an audit",
)
def run(fleet, proxy, ready_file, log_level, records):
    """Serve with the settings of the FLEET and of this PROXY (protobuf text format)."""
    from ..proxy.proxy import Proxy

    log = logs("gannet-proxy", log_level)
    facts, mine = settings(schema.Fleet, fleet), settings(schema.Proxy, proxy)
    try:
        acts = None
        if records:
            from ..records import Table

            acts = Table(records, "acts", f"proxy{mine.me}.{host.birth()}")
        one = Proxy(facts, mine, log.bind(proxy=mine.me), acts)
        one.start()
    except (OSError, ValueError, load.BadSetting) as trouble:
        raise SystemExit(complain(f"{proxy}: cannot start: {trouble}")) from None
    if ready_file:
        host.replace_file(ready_file, one.listener.where.encode())
    host.on_signal(("SIGTERM", "SIGINT"), one.stop)
    gc.freeze()
    one.done.wait()


@main.command()
@click.argument("fleet", type=click.Path(dir_okay=False))
@click.argument("proxy", type=click.Path(dir_okay=False), required=False)
def check(fleet, proxy):
    """Check settings: exit 0, or 2 with the file, line and field that is wrong."""
    facts = settings(schema.Fleet, fleet)
    if proxy:
        mine = settings(schema.Proxy, proxy)
        try:
            load.deployment(facts, mine.me, mine.zone, mine.wire_lag)
        except load.BadSetting as bad:
            raise SystemExit(complain(f"{proxy}:1: {bad}")) from None
    for line in load.advice(facts):
        click.echo(f"{fleet}: note: {line}")
    for line in load.advice_on_duties(mine) if proxy else ():
        click.echo(f"{proxy}: note: {line}")
    click.echo("fine")


@main.command()
def explain():
    """Every setting: where it stands, default, unit, range, and when it hurts."""
    for kind, name, deal, text, hurts in load.explain():
        click.echo(f"{kind}.{name}  ({deal})  {text}{'; ' + hurts if hurts else ''}")


if __name__ == "__main__":
    main()
