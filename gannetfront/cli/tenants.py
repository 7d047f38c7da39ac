"""gannet-tenants: reads tenants from a directory once and hands numbered views to many proxies."""

import click

from .. import host
from ..config import schema_pb2 as schema
from ..tenants import filters, messages
from ..tenants.directory import Ended
from .common import complain, logs, settings


def of(path):
    d = settings(schema.Directory, path)
    for name in ("tenants_filter", "groups_filter"):
        try:
            filters.parse(getattr(d, name))
        except filters.BadFilter as bad:
            raise SystemExit(complain(f"{path}: {name}: {bad}")) from None
    if d.security not in ("none", "starttls", "ldaps"):
        raise SystemExit(complain(f"{path}: security: '{d.security}' is none of none, starttls, ldaps"))
    if d.password_file and host.read_file(d.password_file) is None:
        raise SystemExit(complain(f"{path}: password_file: {d.password_file} is not there"))
    return d


@click.group()
def main():
    """Tenants from an LDAP directory."""


@main.command()
@click.argument("directory", type=click.Path(dir_okay=False))
@click.option("--ready-file", type=click.Path())
@click.option("--seed", default=1, show_default=True)
@click.option("--log-level", default="info", show_default=True)
def run(directory, ready_file, seed, log_level):
    """Read the directory of the settings DIRECTORY and serve proxies."""
    from ..tenants.reader import Reader

    log, d = logs("gannet-tenants", log_level), of(directory)
    one, done = Reader(d, log, host.chance(seed, 5)), host.Once()
    try:
        one.start()
    except (OSError, ValueError) as trouble:
        raise SystemExit(complain(f"{directory}: cannot start: {trouble}")) from None
    if ready_file:
        host.replace_file(ready_file, one.listener.where.encode())
    host.on_signal(("SIGTERM", "SIGINT"), done.set)
    done.wait()


@main.command()
@click.argument("directory", type=click.Path(dir_okay=False))
def check(directory):
    """Read it once: tenants, groups, and each entry that cannot be used. Exit 0, 1 with quarantined ones, 2 unread."""
    from ..tenants.reader import check as read

    d = of(directory)
    password = (host.read_file(d.password_file) or b"").decode().strip() if d.password_file else ""
    try:
        view, referrals = read(d, password)
    except (Ended, messages.BadMessage, host.Refused, host.Timeout, OSError) as trouble:
        raise SystemExit(complain(f"{d.address}: {type(trouble).__name__.lower()}: {trouble}")) from None
    click.echo(f"{len(view.members)} tenants in {len(view.groups)} groups")
    for name, portion in view.groups.items():
        click.echo(
            f"  {name}: portion {portion:g}, {sum(g == name for g, _ in view.members.values())} tenants"
        )
    for dn, why in view.errors:
        click.echo(f"quarantined {dn}: {why}")
    for url in referrals:
        click.echo(f"referral not followed: {url}")
    raise SystemExit(1 if view.errors else 0)


@main.command()
@click.argument("directory", type=click.Path(dir_okay=False))
@click.argument("number", type=int)
def accept(directory, number):
    """Let the held view NUMBER (named in the log) come into force though many tenants vanish in it."""
    d = of(directory)
    host.replace_file(d.state_file + ".accept", str(number).encode())
    click.echo(f"view {number} is accepted")


if __name__ == "__main__":
    main()
