"""gannet-release: the controller of builds, stages and the node list; and what operators ask of it by its store."""

import json
import os
import sqlite3

import click

from .. import host
from ..config import load, schema_pb2 as schema
from .common import complain, logs, settings
from .kitchen import day_of

PHASES = "on trial", "going back", "released", "withdrawn"


@click.group()
def main():
    """Announces builds, moves stages by votes, tells nodes and stages to proxies."""


@main.command()
@click.argument("fleet", type=click.Path(dir_okay=False))
@click.argument("controller", type=click.Path(dir_okay=False))
@click.option(
    "--script", "script_file", type=click.Path(dir_okay=False), help="a day script: its offers and late news"
)
@click.option("--records", type=click.Path(file_okay=False, exists=True), help="writes what was told to whom")
@click.option("--start", type=float, help="clock reading at which the day begins, ms")
@click.option("--size", default=12, show_default=True, help="nodes of the fleet at rest")
@click.option("--ready-file", type=click.Path())
@click.option("--log-level", default="info", show_default=True)
def run(fleet, controller, script_file, records, start, size, ready_file, log_level):
    """Serve with the settings of the FLEET and of this CONTROLLER."""
    from ..release import webhooks
    from ..release.calendar import Calendar
    from ..release.scripted import ControllerScript
    from ..release.sending import Sender
    from ..release.serve import Controller
    from ..release.store import ThreadedStore, BadStore, Store
    from ..trail.log import Trail

    log = logs("gannet-release", log_level)
    facts, mine = settings(schema.Fleet, fleet), settings(schema.Controller, controller)
    day = day_of(script_file) if script_file else None
    scripted = ControllerScript(
        day, records, host.now() if start is None else start, f"release.{mine.name}.{os.getpid()}"
    )
    rollout = load.deployment(facts, 0, "", 1.0).rollout
    try:
        one = Controller(
            facts,
            mine,
            rollout,
            day.fleet["nodes"] if day else size,
            log,
            scripted.news_delay,
            scripted.record_message,
        )
        if mine.store:
            one.store = ThreadedStore(Store(mine.store))
            try:
                one.store.delete_older(mine.remembered / 1000)
            except sqlite3.Error as trouble:  # held by another, or its disk is slow: the next start may do it
                log.warning("store not tidied", why=str(trouble))
        one.calendar = Calendar(mine.freeze)
        if mine.trail:
            host.make_folder(mine.trail)
            one.trail = Trail(mine.trail, log)
        if mine.receiver and not one.store:
            raise ValueError("receiver needs a store: what is sent must outlive a restart")
        if len({r.name for r in mine.receiver}) < len(mine.receiver):
            raise ValueError("two receivers of one name")
        one.senders = [Sender(r, one.store, host.chance(1, 30 + n), log) for n, r in enumerate(mine.receiver)]
        one.start()
        if mine.hooks_listen:
            if not one.store:
                raise ValueError("hooks_listen needs a store: deliveries must outlive a restart")
            doors = {
                p.name: webhooks.Pipeline(
                    p.name,
                    [
                        webhooks.parse_secret((host.read_file(f) or b"").decode().strip())
                        for f in p.secret_file
                    ],
                    p.first,
                    p.last,
                )
                for p in mine.pipeline
            }
            hooks = host.Listener(mine.hooks_listen)
            host.spawn(
                host.serve,
                hooks,
                lambda stream: one.serve_webhook(doors, mine.tolerance / 1000, stream),
                log,
                256,
            )
            log.info("webhooks", at=hooks.where, pipelines=sorted(doors))
    except (OSError, ValueError, BadStore) as trouble:
        raise SystemExit(complain(f"{controller}: cannot start: {trouble}")) from None
    if ready_file:
        host.replace_file(
            ready_file, " ".join([one.listener.where, *([hooks.where] if mine.hooks_listen else [])]).encode()
        )
    one.join_election()
    scripted.schedule(one)
    host.on_signal(("SIGTERM", "SIGINT"), scripted.close)
    scripted.done.wait()
    one.close()


def opened(path):
    from ..release.store import BadStore, Store

    try:
        return Store(path)
    except BadStore as bad:
        raise SystemExit(complain(str(bad))) from None


def shown(as_json, facts, line):
    click.echo(json.dumps(facts) if as_json else line)


STORE = click.argument("store", type=click.Path(dir_okay=False, exists=True))
JSON = click.option("--json", "as_json", is_flag=True, help="one JSON object a line")


@main.command()
@STORE
@click.option("--most", default=50, show_default=True)
@JSON
def history(store, most, as_json):
    """The moves in a STORE, oldest first: what, when, why."""
    for move in opened(store).history(most):
        facts = {k: v for k, v in move.items() if k not in ("number", "at", "what")}
        shown(as_json, move, f"{move['number']:6} {move['at']:.3f} {move['what']} {facts}")


@main.command()
@STORE
@JSON
def status(store, as_json):
    """Where the builds are, what holds them up, who acts, and what could not be sent. Exit 1 where nothing has begun."""
    one = opened(store)
    known = one.restore()
    if not known:
        raise SystemExit(complain(f"{store}: no controller has begun") and 1)
    saved, away = known
    epoch, holder, beat = one.lease_state()
    waits = next((m["why"] for m in reversed(one.history(200)) if m["what"] in ("waits", "stage")), "")
    facts = dict(
        build=saved["ver"],
        phase=PHASES[saved["phase"]],
        stage=saved["stage"],
        queue=saved["queue"],
        held=saved.get("held"),
        votes=[[p, v] for p, v, _ in saved["votes"]],
        proxies=len(saved.get("members", ())),
        acting=holder or None,
        epoch=epoch,
        beat=beat,
        written_s_ago=round(away, 3),
        last_reason=waits,
        due=len(one.messages("due", limit=10000)),
        dead=len(one.messages("dead", limit=10000)),
    )
    shown(as_json, facts, "\n".join(f"{k:14} {v}" for k, v in facts.items()))


def ordered(store, kind, build, by, why, limit, as_json):
    """Leaves an order for whichever controller acts and waits for its answer."""
    if not by.strip() or not why.strip():
        raise SystemExit(complain("--by and --why must say something"))
    one = opened(store)
    number, end = one.add_order(kind, build, by, why), host.now() + limit
    while one.order_result(number)[0] == "new" and host.now() < end:
        host.sleep(20)
    if one.withdraw_order(number):  # not so where it is taken up at the last moment
        shown(
            as_json,
            dict(order=number, state="withdrawn", answer="no controller acts"),
            f"no controller took it up within {limit:g} ms; the order is withdrawn",
        )
        raise SystemExit(3)
    state, answer = one.order_result(number)
    shown(as_json, dict(order=number, state=state, answer=answer), f"{state}: {answer}")
    raise SystemExit(0 if state == "done" else 1)


def command(name, needs_build, text):
    options = [
        STORE,
        *([click.argument("build", type=click.IntRange(2, 65535))] if needs_build else []),
        click.option("--by", required=True, help="your name, for whoever reads it later"),
        click.option("--why", required=True, help="the reason"),
        click.option("--limit", default=5000.0, show_default=True, help="ms to wait for a controller"),
        JSON,
    ]

    def call(store, by, why, limit, as_json, build=None):
        ordered(store, name, build, by, why, limit, as_json)

    call.__doc__ = text + " Exit 0 done, 1 refused, 3 no controller took it up (it is withdrawn then)."
    for option in reversed(options):
        call = option(call)
    main.command(name)(call)


command("offer", True, "Offer BUILD as a pipeline would.")
command("hold", False, "Let no stage move on until `resume`. Votes 'back' go on counting.")
command("resume", False, "End a hold.")
command("back", True, "Take BUILD back, on trial or released.")


@main.command()
@STORE
@click.option("--again", is_flag=True, help="make them due once more")
@click.option("--number", "numbers", type=int, multiple=True, help="only these")
@JSON
def letters(store, again, numbers, as_json):
    """What could not be sent to a receiver and was given up."""
    one = opened(store)
    for number, receiver, build, body, at, tries, why in one.messages("dead", limit=10000):
        if not numbers or number in numbers:
            shown(
                as_json,
                dict(
                    number=number,
                    receiver=receiver,
                    build=build,
                    at=at,
                    tries=tries,
                    why=why,
                    body=json.loads(body),
                ),
                f"{number:6} {receiver} build {build} {json.loads(body)['type']} after {tries} tries: {why}",
            )
    if again:
        click.echo(f"{one.requeue_dead(set(numbers) or None)} made due again", err=True)


@main.command()
@STORE
@click.argument("copy", type=click.Path(dir_okay=False))
def snapshot(store, copy):
    """A whole copy of the STORE, also while a controller writes to it."""
    from pathlib import Path

    if Path(copy).exists():
        raise SystemExit(complain(f"{copy}: is there already"))
    opened(store).snapshot(copy)
    click.echo(f"{copy}: {len(opened(copy).history(10**6))} moves")


@main.command()
@click.argument("copy", type=click.Path(dir_okay=False, exists=True))
@STORE
@click.option("--by", required=True)
@click.option("--why", required=True)
def restore(copy, store, by, why):
    """Put what a snapshot holds into the place of the STORE's. No controller may act on it."""
    one, other = opened(store), opened(copy)
    if one.lease_state()[1]:
        raise SystemExit(complain(f"{store}: '{one.lease_state()[1]}' acts on it; stop it first") and 1)
    one.replace_contents(other, by, why)
    click.echo(f"{store}: as in {copy}")


if __name__ == "__main__":
    main()
