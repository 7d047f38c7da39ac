"""gannet-kitchen: emulated order nodes on loopback sockets."""
import click

from .. import host, script
from .common import complain, logs


def day_of(path):
    try:
        return script.read(path)
    except script.BadScript as bad:
        raise SystemExit(complain(str(bad)))


@click.group()
def main():
    """Emulated order nodes, from a written script."""


@main.command()
@click.argument("script_file", type=click.Path(dir_okay=False))
@click.option("--control", required=True, help="the release controller, host:port")
@click.option("--records", required=True, type=click.Path(file_okay=False, exists=True))
@click.option("--start", type=float, help="clock reading at which the day begins, ms")
@click.option("--log-level", default="info", show_default=True)
def run(script_file, control, records, start, log_level):
    """Run the nodes of SCRIPT_FILE until a signal."""
    from ..kitchen.serve import Kitchen
    log = logs("gannet-kitchen", log_level)
    one = Kitchen(day_of(script_file), control, records, host.now() if start is None else start, log)
    host.on_signal(("SIGTERM", "SIGINT"), one.close)
    host.spawn(one.run)
    one.done.wait()


if __name__ == "__main__":
    main()
