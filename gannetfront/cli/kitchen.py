"""gannet-kitchen: emulated order nodes on loopback sockets."""

import tempfile

import click
import xxhash

from .. import host, script
from .common import complain, logs


def day_of(path):
    try:
        return script.read(path)
    except script.BadScript as bad:
        raise SystemExit(complain(str(bad))) from None


@click.group()
def main():
    """Emulated order nodes, from a written script."""


@main.command()
@click.argument("script_file", type=click.Path(dir_okay=False))
@click.option(
    "--control", multiple=True, help="a release controller, host:port (none: the fleet at rest, by itself)"
)
@click.option("--records", type=click.Path(file_okay=False, exists=True), help="folder (default: a new one)")
@click.option("--start", type=float, help="clock reading at which the day begins, ms")
@click.option("--view", help="host:port that answers with every node's state, as JSON")
@click.option("--log-level", default="info", show_default=True)
def run(script_file, control, records, start, view, log_level):
    """Run the nodes of SCRIPT_FILE until a signal, or by itself until its day ends."""
    from ..kitchen.serve import Kitchen

    log, day = logs("gannet-kitchen", log_level), day_of(script_file)
    one = Kitchen(
        day,
        control,
        records or tempfile.mkdtemp(prefix="gannet-kitchen-"),
        host.now() if start is None else start,
        log,
    )
    if view:
        try:
            log.info("view", at=one.show(view))
        except (OSError, ValueError) as trouble:
            raise SystemExit(complain(f"--view {view}: {trouble}")) from None
    host.on_signal(("SIGTERM", "SIGINT"), one.close)
    host.spawn(one.run)
    if not control:
        host.later(one.start + day.seconds * 1000 - host.now(), one.close)
    one.done.wait()
    lags = sorted(abs(x) for x in one.lags)
    for at, kind, begins, places in one.told_timeline():
        log.info("timeline", at_ms=at, kind=kind, begins=begins, nodes=places)
    log.info(
        "timeline ends",
        events=len(one.timeline),
        digest=digest(one.told_timeline()),
        late_ms=dict(median=lags[len(lags) // 2], most=lags[-1]) if lags else None,
    )


@main.command()
@click.argument("script_file", type=click.Path(dir_okay=False))
@click.option("--records", required=True, type=click.Path(file_okay=False, exists=True))
@click.option("--start", type=float)
@click.option("--ready-file", type=click.Path())
@click.option("--log-level", default="info", show_default=True)
def directory(script_file, records, start, ready_file, log_level):
    """Run the stand-in directory of SCRIPT_FILE until a signal."""
    from ..kitchen.scripted_directory import Scripted

    log, day = logs("gannet-directory", log_level), day_of(script_file)
    if not day.directory:
        raise SystemExit(complain(f"{script_file}:1: there is no 'directory' in this script"))
    one = Scripted(day, records, host.now() if start is None else start, log)
    if ready_file:
        host.replace_file(ready_file, one.directory.at.encode())
    host.on_signal(("SIGTERM", "SIGINT"), one.close)
    one.done.wait()


def digest(timeline):
    return xxhash.xxh64(repr(timeline).encode()).hexdigest()


@main.command()
@click.argument("script_file", type=click.Path(dir_okay=False))
def check(script_file):
    """Say in time order what SCRIPT_FILE will do; exit 2 with file and line where it contradicts itself."""
    day = day_of(script_file)
    click.echo(
        f"{day.seconds:g} s, {day.fleet['nodes']} nodes in {len(day.zones)} zones, {day.proxies} proxies, "
        f"{day.traffic['rate']:g} invocations a second: {day.load():.0%} of capacity"
    )
    lines = []
    for nth, offer in enumerate(day.offers):
        lines.append(
            (
                offer.at,
                f"build {nth + 2} is offered: {offer.form}"
                + ("" if offer.form == "good" else f" {offer.size:g} {offer.operation}".rstrip()),
            )
        )
    for t in day.troubles:
        facts = " ".join(
            f"{k}={v:g}" if isinstance(v, (int, float)) else f"{k}={v}"
            for k, v in sorted(vars(t).items())
            if k not in ("kind", "at", "until", "nth") and v not in ("", 0)
        )
        whom = (
            f"; nodes {sorted(day.hit(t))}"
            if hasattr(t, "share") and t.kind not in ("hot_caller", "shift", "balancer_roll", "cut")
            else ""
        )
        lines += [
            (t.at, f"{t.kind} begins {facts} (line {t.nth}){whom}"),
            (t.until, f"{t.kind} of line {t.nth} ends"),
        ]
    for at, what in sorted(lines, key=lambda x: x[0]):
        click.echo(f"{at / 1000:8.2f}  {what}")
    for t in day.troubles:
        for name, op in day.operations.items():
            if (
                t.kind == "pause"
                and day.fleet["cancelled"] == "goes-on"
                and op["effect"] == "fingerprinted"
                and op["window"]
                and t.ms >= op["window"]
            ):
                click.echo(
                    f"note: nodes stand still for {t.ms:g} ms (line {t.nth}) with work in hand and remember marks of {name} for "
                    f"{op['window']:g} ms: what they go on with may have its effect beside its repeat's (docs/calm.md)"
                )


if __name__ == "__main__":
    main()
