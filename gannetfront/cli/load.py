"""gannet-load: open-loop clients."""

import click

from .. import host
from .common import complain, logs
from .kitchen import day_of


@click.command()
@click.argument("script_file", type=click.Path(dir_okay=False))
@click.argument("addresses", nargs=-1, required=True)
@click.option("--records", required=True, type=click.Path(file_okay=False, exists=True))
@click.option("--start", type=float, help="clock reading at which the day begins, ms")
@click.option("--ready-file", type=click.Path(), help="written once it could send")
@click.option("--log-level", default="info", show_default=True)
def main(script_file, addresses, records, start, ready_file, log_level):
    """Play the traffic of SCRIPT_FILE at the proxies' ADDRESSES (host:port, in order of their numbers)."""
    from ..load.clients import Load

    log, day = logs("gannet-load", log_level), day_of(script_file)
    if len(addresses) != day.proxies:
        raise SystemExit(complain(f"{script_file}: {day.proxies} proxies, but {len(addresses)} addresses"))
    one = Load(day, lambda n: addresses[n], records, host.now() if start is None else start, log)
    if ready_file:
        host.replace_file(ready_file, b"ready")
    raise SystemExit(1 if one.run() else 0)


if __name__ == "__main__":
    main()
