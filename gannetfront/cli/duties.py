"""gannet-duties: who holds the duties of the proxies, and handing them on."""

import json

import click

from .. import host
from ..duties.orders import send_order
from ..wire.frames import BadFrame
from .common import complain


def asked(at, verb, duty="", to=None, about=""):
    try:
        return send_order(at, verb, duty, to, 10000.0 if about else 2000.0, about)
    except (OSError, host.Refused, host.Timeout, BadFrame, ValueError) as trouble:
        raise SystemExit(complain(f"{at}: no answer: {str(trouble) or 'silent'}")) from None


def to_holder(at, verb, duty, to=None, about=""):
    """Asks a proxy, then the one that it takes for the holder."""
    fine, text = asked(at, verb, duty, to, about)
    if not fine and text.startswith("{"):
        holder = json.loads(text)
        if not holder["at"]:
            raise SystemExit(complain(f"{duty}: {at} knows of no holder"))
        fine, text = asked(holder["at"], verb, duty, to, about)
        if not fine and text.startswith("{"):
            text = f"proxy {holder['holder']} does not hold it any more; ask again"
    click.echo(f"{duty}: {text}")
    raise SystemExit(0 if fine else 1)


@click.group()
def main():
    """Duties that one proxy holds at a time. Addresses are those of the proxies' duties (mate.duties)."""


@main.command()
@click.argument("at")
@click.option("--json", "as_json", is_flag=True)
def status(at, as_json):
    """Who holds each duty, as the proxy at AT knows it: since when, how long yet, token, the last hand-over and why."""
    fine, text = asked(at, "status")
    if as_json or not fine:
        click.echo(text)
        raise SystemExit(not fine)
    told = json.loads(text)
    click.echo(f"proxy {told['proxy']}; there: {', '.join(map(str, told['alive']))}")
    for d in told["duties"]:
        here = f", here for {d['since_ms']} ms, {d['left_ms']} ms left unless renewed" if d["here"] else ""
        heard = "" if d["here"] else f", last heard of {d['seen_ms']} ms ago"
        click.echo(
            f"{d['duty']}: "
            + (
                f"held by {d['holder']}, token {d['token']}{heard}"
                if d["holder"] is not None
                else "no holder known"
            )
            + here
            + ("; this proxy's electors are of an earlier generation" if d["outdated"] else "")
            + f"; electors {', '.join(map(str, d['electors']))}; {d['last']}"
        )


@main.command()
@click.argument("duty")
@click.option("--to", required=True, type=int, help="number of the proxy that is to hold it")
@click.option("--at", required=True, help="any proxy")
def hand(duty, to, at):
    """Hand DUTY to another proxy at once. Exit 1 where it is not held, or the other is not there."""
    to_holder(at, "hand", duty, to)


@main.command()
@click.argument("duty")
@click.option("--at", required=True, help="any proxy")
def release(duty, at):
    """Have the holder let go of DUTY; whoever is first in the order takes it."""
    to_holder(at, "release", duty)


if __name__ == "__main__":
    main()
