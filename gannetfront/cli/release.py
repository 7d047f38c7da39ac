"""gannet-release: the controller of builds, stages and the node list."""
import click

from .. import host
from ..config import load, schema_pb2 as schema
from .common import complain, logs, settings
from .kitchen import day_of


@click.group()
def main():
    """Announces builds, moves stages by votes, tells nodes and stages to proxies."""


@main.command()
@click.argument("fleet", type=click.Path(dir_okay=False))
@click.argument("controller", type=click.Path(dir_okay=False))
@click.option("--script", "script_file", type=click.Path(dir_okay=False), help="a day script: its offers and late news")
@click.option("--records", type=click.Path(file_okay=False, exists=True), help="writes what was told to whom")
@click.option("--start", type=float, help="clock reading at which the day begins, ms")
@click.option("--size", default=12, show_default=True, help="nodes of the fleet at rest")
@click.option("--ready-file", type=click.Path())
@click.option("--log-level", default="info", show_default=True)
def run(fleet, controller, script_file, records, start, size, ready_file, log_level):
    """Serve with the settings of the FLEET and of this CONTROLLER."""
    from ..release.scripted import Scripted
    from ..release import webhooks
    from ..release.serve import Controller
    from ..release.store import BadStore, Store
    log = logs("gannet-release", log_level)
    facts, mine = settings(schema.Fleet, fleet), settings(schema.Controller, controller)
    day = day_of(script_file) if script_file else None
    scripted = Scripted(day, records, host.now() if start is None else start)
    rollout = load.deployment(facts, 0, "", 1.0).rollout
    try:
        one = Controller(facts, mine, rollout, day.fleet["nodes"] if day else size, log, scripted.late, scripted.told)
        if mine.store:
            one.store = Store(mine.store)
            one.store.forget(mine.remembered / 1000)
        one.start()
        if mine.hooks_listen:
            if not one.store:
                raise ValueError("hooks_listen needs a store: deliveries must outlive a restart")
            doors = {p.name: webhooks.Pipeline(p.name, [webhooks.secret_of((host.read_file(f) or b"").decode().strip())
                                                        for f in p.secret_file], p.first, p.last) for p in mine.pipeline}
            hooks = host.Listener(mine.hooks_listen)
            host.spawn(host.serve, hooks, lambda stream: one.hook(doors, mine.tolerance / 1000, stream), log, 256)
            log.info("webhooks", at=hooks.where, pipelines=sorted(doors))
    except (OSError, ValueError, BadStore) as trouble:
        raise SystemExit(complain(f"{controller}: cannot start: {trouble}"))
    if ready_file:
        host.replace_file(ready_file, one.listener.where.encode())
    one.begin()
    scripted.play(one)
    host.on_signal(("SIGTERM", "SIGINT"), scripted.close)
    scripted.done.wait()


@main.command()
@click.argument("store", type=click.Path(dir_okay=False, exists=True))
@click.option("--most", default=50, show_default=True)
@click.option("--json", "as_json", is_flag=True)
def history(store, most, as_json):
    """The moves in a STORE, oldest first: what, when, why."""
    import json

    from ..release.store import BadStore, Store
    try:
        moves = Store(store).history(most)
    except BadStore as bad:
        raise SystemExit(complain(str(bad)))
    for move in moves:
        facts = {k: v for k, v in move.items() if k not in ("number", "at", "what")}
        click.echo(json.dumps(move) if as_json else f"{move['number']:6} {move['at']:.3f} {move['what']} {facts}")


if __name__ == "__main__":
    main()
