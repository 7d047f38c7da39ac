"""The controller measured: kills at random points, from webhook to trial, latency of decisions, recovery, take-over.

python bench/release.py kills [--kills 1000] [--at-once 6]     controllers killed while orders, votes and offers come in
python bench/release.py proxies [--kills 1000] [--at-once 6]   proxies killed while debits are in flight
python bench/release.py latency                                decisions with 10, 100 and 1,000 proxies voting
python bench/release.py added                                  what a proxy's trail adds to an invocation
python bench/release.py recovery                               time to take up a store, by its moves
python bench/release.py takeover [--times 20]                  from the kill of the acting one to the first stage told
python bench/release.py day SCRIPT_RECORDS                     from webhook to first dispatch, from bad build to last, of a day
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click
import numpy as np

from gannetfront import host, records
from gannetfront.config import load, schema_pb2 as schema
from gannetfront.interface import ROLL_BACK, PROMOTE, RELEASED, TRIAL
from gannetfront.release.serve import Controller
from gannetfront.release.store import Store
from gannetfront.wire import control_pb2 as c, frames, http
from gannetfront.wire.asking import ask, receive_request

ROOT = Path(__file__).parents[1]
FLEET = """zone: "a"
operation { name: "read" effect: "idempotent" }
rollout { machine_share: 0.5 machine_share: 1 cap: 0.5 cap: 1 soak: 1 vote_allowance: 100000 on_votes: %d back_votes: %d vote_life: 60000 }
"""


class Quiet:
    def __getattr__(self, name):
        return lambda *a, **k: None


def started(program, folder, name, ready):
    """(process, address) of a program of ours with the fleet `f` and the settings `name` of `folder`, once it serves."""
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            f"gannetfront.cli.{program}",
            "run",
            f"{folder}/f",
            f"{folder}/{name}",
            "--ready-file",
            ready,
        ],
        stderr=subprocess.DEVNULL,
        env=os.environ | dict(PYTHONPATH=str(ROOT)),
    )
    while not host.read_file(ready):
        host.sleep(10)
    return process, host.read_file(ready).decode()


def before_a_node(fleet_text, ran):
    """A controller that lists one node, which answers each request after `ran(headers)`."""

    def node(stream):
        reader = http.RequestReader(16384, 65536)
        try:
            while request := receive_request(stream, reader, 60000):
                ran(request[2])
                stream.send(http.answer(200, [], b"done"), 1000)
        except (OSError, host.Timeout, http.BadRequest):
            pass

    listener = host.Listener("127.0.0.1:0")
    host.spawn(host.serve, listener, node, Quiet())
    fleet = load.parse(schema.Fleet, fleet_text, "f")
    one = Controller(fleet, schema.Controller(), load.deployment(fleet, 0, "", 1.0).rollout, 0, Quiet())
    one.start()
    one.apply_report(
        c.Report(
            slot=0,
            node=c.Node(
                id=listener.where, zone=0, build=1, cell=0, state=c.READY, heft=1.0, incarnation=1, age=-1.0
            ),
        )
    )
    return one


def controller(store, on=1, back=1, name="a", patience=3000):
    fleet = load.parse(schema.Fleet, FLEET % (on, back), "f")
    one = Controller(
        fleet,
        load.parse(schema.Controller, f'name: "{name}" patience: {patience}', "c"),
        load.deployment(fleet, 0, "", 1.0).rollout,
        2,
        Quiet(),
    )
    one.store = Store(store)
    one.start()
    one.join_election()
    return one


# ---- kills ----

CHILD = """
import sys
sys.path[:0] = [{root!r}, {bench!r}]
import release
release.child(sys.argv[1], int(sys.argv[2]))
"""


def child(store, seed):
    """A controller with machines that obey at once, driven by drawn offers, votes and orders; each answer that a vote or an
    order got, and each stage told, is a line on standard output, written after it was said."""
    draw = np.random.Generator(np.random.PCG64(seed))
    one = controller(store)

    def say(*facts):
        return (sys.stdout.write(json.dumps(facts) + "\n"), sys.stdout.flush())

    class Heard:
        def __init__(self, role):
            self.role, self.id, self.heard_event_at, self.stream = role, "0", 0.0, None

        def put(self, due, data, note=None):
            message = frames.FrameReader().feed(data)[0][1]
            kind = message.DESCRIPTOR.name
            if kind == "Stage":
                say(
                    "answer" if message.answer else "stage",
                    message.ver,
                    message.stage,
                    message.phase,
                    message.number,
                    message.status,
                )
            elif kind == "Place":
                one.event("node", message.slot, True)
            elif kind == "Remove":
                one.event("gone", message.slot)
            return True

    one.links["0"], one.machine_link = Heard(c.PROXY), Heard(c.MACHINES)
    one.stages.resend_slots(one)
    number = 0
    while True:
        number += 1
        what = draw.random()
        s = one.stages
        if what < 0.1:
            one.event("offered", s.version + 1)
        elif what < 0.2:
            say("ordered", one.store.add_order("back" if what < 0.15 else "hold", s.version, "bench", "x"))
        elif what < 0.25:
            say("ordered", one.store.add_order("resume", s.version, "bench", "x"))
        else:
            one.event("vote", "0", number, s.stage, s.version, PROMOTE if what < 0.9 else ROLL_BACK)
        one.round(one.external_events() + one.event_queue.drain())
        host.sleep(float(draw.random() * 2))


def kill(turn):
    """(lives, answers seen, [what is wrong]) of one store over three lives, each killed at a drawn point."""
    folder, wrong, answers, draw = tempfile.mkdtemp(), [], 0, np.random.Generator(np.random.PCG64(turn))
    text, store, last = CHILD.format(root=str(ROOT), bench=str(ROOT / "bench")), f"{folder}/s", None
    for life in range(3):
        process = subprocess.Popen(
            [sys.executable, "-c", text, store, str(turn * 10 + life)], stdout=subprocess.PIPE, text=True
        )
        lines = [process.stdout.readline() for _ in range(int(draw.integers(1, 80)))]
        process.send_signal(signal.SIGKILL)
        rest = process.stdout.read()
        process.wait()
        told = [json.loads(x) for x in ("".join(lines) + rest).split("\n")[:-1] if x]
        one = Store(store)
        moves = one.history(10**6)
        stages = [(m["build"], m["stage"], m["phase"]) for m in moves if m["what"] == "stage"]
        votes = sum(m["what"] == "vote" for m in moves)
        said = [tuple(x[1:4]) for x in told if x[0] == "stage" and x[1] > 1]
        missing = [x for x in said if x not in stages]
        if missing:
            wrong.append(f"{folder}: told of {missing[:2]}, which no move knows")
        if len(set(stages)) < len(stages):
            wrong.append(f"{folder}: a stage moved twice: {[x for x in stages if stages.count(x) > 1][:2]}")
        for before, after in zip(stages, stages[1:]):
            if not follows(before, after):
                wrong.append(f"{folder}: {after} after {before}")
        fine = sum(x[0] == "answer" and x[5] == c.OK for x in told)
        if fine > votes:
            wrong.append(f"{folder}: {fine} votes answered, {votes} kept")
        answers += sum(x[0] in ("answer", "stage") for x in told)
        known = one.restore()
        if known and stages and (known[0]["ver"], known[0]["stage"], known[0]["phase"]) != stages[-1]:
            wrong.append(
                f"{folder}: taken up at {known[0]['ver'], known[0]['stage'], known[0]['phase']}, moved last to {stages[-1]}"
            )
        if last and stages[: len(last)] != last:
            wrong.append(f"{folder}: moves of an earlier life are gone")
        last = stages
        one.close()
    return answers, wrong


def follows(a, b):
    """One move from (build, stage, phase) to the next: on by one, released, back, withdrawn, or a new build's first."""
    if b[0] != a[0]:
        return b[0] > a[0] and b[1:] == (0, TRIAL) and a[2] in (RELEASED, 3)
    return (
        a[2] == TRIAL
        and b[2] == TRIAL
        and b[1] == a[1] + 1
        or a[2] == TRIAL
        and b[2] == RELEASED
        or a[2] in (TRIAL, RELEASED)
        and b[2] == 1
        or a[2] == 1
        and b[2] == 3
    )


@click.group()
def main():
    pass


@main.command()
@click.option("--kills", default=1000)
@click.option("--at-once", default=6)
def kills(kills, at_once):
    answers, wrong = 0, []
    with ThreadPoolExecutor(at_once) as pool:
        for n, bad in pool.map(kill, range((kills + 2) // 3)):
            answers, wrong = answers + n, wrong + bad
    print(f"{(kills + 2) // 3 * 3} kills, {answers} answers and stages seen by others, {len(wrong)} wrong")
    print("\n".join(wrong[:10]))
    raise SystemExit(bool(wrong))


# ---- proxies killed ----


def worker(args):
    """Many kills of a proxy in one process of ours, which holds the node, the controller and the clients."""
    first, many = args
    from gannetfront.trail import log

    fleet_text = (
        'zone: "a"\noperation { name: "debit" effect: "side-effecting" slo_time: 500 time_limit: 1000 }\n'
        "rollout { machine_share: 1 cap: 1 }"
    )
    effects, wrong, done = [], [], 0

    def ran(headers):
        effects.append(http.header(headers, b"x-request-id").decode())
        host.sleep(float(draw.random() * 4))

    draw = np.random.Generator(np.random.PCG64(first))
    one = before_a_node(fleet_text, ran)
    folder = tempfile.mkdtemp()
    Path(folder, "f").write_text(fleet_text)
    Path(folder, "p").write_text(
        f'control: "{one.listener.where}" state_file: "{folder}/k" trail: "{folder}/trail" trail_delay: 1'
    )
    acknowledged = set()
    for turn in range(first, first + many):
        (process, at), alive = started("proxy", folder, "p", f"{folder}/ready{turn}"), [True]

        def client(k):
            n = 0
            while alive[0]:
                n += 1
                ident = f"{turn}.{k}.{n}"
                try:
                    status, _ = ask(at, b"/debit", [(b"x-request-id", ident.encode())], b"", 1500)
                except (OSError, host.Refused, host.Timeout, http.BadAnswer):
                    continue
                if status == 200:
                    acknowledged.add(ident)

        clients = [host.spawn(client, k) for k in range(4)]
        host.sleep(30 + float(draw.random() * 150))
        process.kill()
        alive[0] = False
        process.wait()
        host.join(clients, 3000)
        done += 1
    try:
        known = {r[3]["request"] for r in log.read(f"{folder}/trail") if r[2] == "intent"}
    except Exception as trouble:  # noqa: BLE001 - any is a finding
        return done, len(acknowledged), len(effects), [f"{folder}: {type(trouble).__name__}: {trouble}"]
    wrong += [f"{folder}: {x} had its effect and no trail knows of it" for x in set(effects) - known]
    wrong += [f"{folder}: {x} was acknowledged and no trail knows of it" for x in acknowledged - known]
    wrong += [f"{folder}: {x} ran twice" for x in set(effects) if effects.count(x) > 1]
    return done, len(acknowledged), len(effects), wrong


@main.command()
@click.option("--kills", default=1000)
@click.option("--at-once", default=6)
def proxies(kills, at_once):
    from multiprocessing import get_context

    each = (kills + 4 * at_once - 1) // (4 * at_once)
    with get_context("spawn").Pool(at_once) as pool:
        rows = pool.map(worker, [(n * each, each) for n in range(4 * at_once)], chunksize=1)
    done, known, ran, wrong = (
        sum(r[0] for r in rows),
        sum(r[1] for r in rows),
        sum(r[2] for r in rows),
        [w for r in rows for w in r[3]],
    )
    print(f"{done} kills, {known} debits acknowledged, {ran} run, {len(wrong)} wrong")
    print("\n".join(wrong[:10]))
    raise SystemExit(bool(wrong))


# ---- latency ----


def peer(one, ident):
    stream = host.connect(one.listener.where, 5000)
    stream.send(frames.pack(hello=c.Hello(role=c.PROXY, id=str(ident))), 1000)
    return stream


@main.command()
@click.option("--asked", "many", default=600)
def added(many):
    """What the trail adds to a debit: a proxy of its own, one client, a node that answers at once."""
    text = (
        'zone: "a"\noperation { name: "debit" effect: "side-effecting" }\noperation { name: "read" effect: "idempotent" }\n'
        "rollout { machine_share: 1 cap: 1 }"
    )

    one = before_a_node(text, lambda headers: None)
    for what, line in (
        ("no trail", ""),
        ("delay 0", 'trail: "%s/t" trail_delay: 0'),
        ("delay 2", 'trail: "%s/t" trail_delay: 2'),
    ):
        folder = tempfile.mkdtemp()
        Path(folder, "f").write_text(text)
        Path(folder, "p").write_text(
            f'control: "{one.listener.where}" state_file: "{folder}/k" ' + (line % folder if line else "")
        )
        process, at = started("proxy", folder, "p", f"{folder}/ready")
        host.sleep(500)
        for op in ("debit", "read"):
            stream, took = host.connect(at, 1000), []
            for _ in range(many):
                begun, reader = host.now(), http.AnswerReader(65536)
                stream.send(http.request(b"/" + op.encode(), b"x", [(b"x-request-id", b"r")], b""), 1000)
                while not reader.whole:
                    reader.feed(stream.recv(65536, 5000))
                took.append(host.now() - begun)
            took = np.array(took[many // 10 :])
            print(
                f"{what:9} {op:6} p50 {np.median(took):.2f} ms, p99 {np.percentile(took, 99):.2f} ms",
                flush=True,
            )
        process.terminate()
        process.wait()


@main.command()
def latency():
    """Each proxy votes at once; from the first vote sent until each was answered, and until each heard of the move."""
    for proxies in (10, 100, 1000):
        got = []
        for turn in range(5):
            one = controller(tempfile.mkdtemp() + "/s", on=proxies, back=proxies)
            streams = [peer(one, n) for n in range(proxies)]
            while len(one.links) < proxies:
                host.sleep(5)
            one.event("offered", 2)
            for slot in range(8):
                one.event("node", slot, True)
            while one.stages.version != 2 or one.stages.soak_start is None:
                for slot in range(8):
                    one.event("node", slot, True)
                host.sleep(5)
            host.sleep(50)
            answered, moved = [], []

            def listen(stream, n):
                reader = frames.FrameReader()
                stream.send(frames.pack(vote=c.Vote(number=1, stage=0, ver=2, verdict=PROMOTE)), 5000)
                while len(moved) < proxies:
                    for name, m in reader.feed(stream.recv(65536, 20000)):
                        if name == "stage" and m.answer:
                            answered.append(host.now())
                        if name == "stage" and not m.answer and (m.stage, m.ver) == (1, 2):
                            moved.append(host.now())
                            return

            begun = host.now()
            host.join([host.spawn(listen, s, n) for n, s in enumerate(streams)], 30000)
            got.append(
                (sorted(answered)[len(answered) // 2] - begun, max(answered) - begun, max(moved) - begun)
            )
            for s in streams:
                s.close()
            one.close()
        print(
            f"{proxies:5} proxies: votes answered p50 {np.median([g[0] for g in got]):.1f} ms, the last {np.median([g[1] for g in got]):.1f} ms; "
            f"the last heard of the move after {np.median([g[2] for g in got]):.1f} ms (medians of 5)",
            flush=True,
        )


@main.command()
def recovery():
    for moves in (100, 10000, 1000000):
        path = tempfile.mkdtemp() + "/s"
        one = controller(path)
        one.round([("begin",)])
        saved = one.stages.saved()
        for at in range(0, moves, 10000):
            one.store.record(
                [
                    (
                        "vote",
                        dict(proxy=str(n % 100), stage=0, build=2, verdict=1, figures="20/0.01/-0.2" * 4),
                    )
                    for n in range(min(10000, moves - at))
                ],
                saved,
            )
        one.close()
        times = []
        for _ in range(5):
            begun = host.now()
            again = controller(path)
            times.append(host.now() - begun)
            again.close()
        print(
            f"{moves:8} moves, {os.path.getsize(path) / 2**20:6.1f} MiB: taken up in {np.median(times):.1f} ms (median of 5)",
            flush=True,
        )


@main.command()
@click.option("--times", default=20)
@click.option("--patience", default=3000)
def takeover(times, patience):
    """The acting one is a process of its own, killed outright; a link like a proxy's looks for the next."""
    from gannetfront.proxy.links import ControlLink

    spans = []
    for turn in range(times):
        folder = tempfile.mkdtemp()
        Path(folder, "f").write_text(FLEET % (1, 1))
        names, processes, at = ("a", "b"), {}, {}
        for name in names:
            Path(folder, name).write_text(f'name: "{name}" store: "{folder}/s" patience: {patience}')
            processes[name], at[name] = started("release", folder, name, f"{folder}/{name}.ready")
        heard = []
        kept = type("Kept", (), dict(revision=0, epoch=0))
        link = ControlLink(
            0,
            list(at.values()),
            kept,
            500.0,
            lambda name, *f: heard.append((host.now(), name)),
            Quiet(),
            "",
            lambda m: None,
            host.chance(turn),
            lambda m: None,
        )
        run = host.spawn(link.run)
        while not heard:
            host.sleep(5)
        host.sleep(300 + 37 * turn)
        acting = Store(f"{folder}/s").lease_state()[1]
        processes[acting].kill()
        begun = host.now()
        while heard[-1][0] < begun + 1 or not link.up:
            host.sleep(2)
        spans.append(next(t for t, _ in heard if t > begun) - begun)
        host.stop(run)
        for one in processes.values():
            one.kill()
            one.wait()
    print(
        f"{times} take-overs with patience {patience} ms: first stage from the next after {np.median(spans):.0f} ms in the median, "
        f"{min(spans):.0f} to {max(spans):.0f}"
    )


@main.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
def day(folder):
    """From the records of a played webhook day."""
    events, dispatches = records.read(folder, "events"), records.read(folder, "dispatches")
    moves = Store(f"{folder}/release.db").history(10**6)
    shift = None
    for (
        m
    ) in moves:  # the store's clock is the calendar's, the records' is the host's: one event stands in both
        if m["what"] == "offered" and shift is None:
            both = [e for e in events if e["what"] == "offered"]
            shift = m["at"] * 1000 - min(e["at"] for e in both)
    for build in sorted({m["build"] for m in moves if m["what"] == "offered"}):
        came = min(
            e["at"] for e in events if e["what"] == "webhook answered" and e["who"] == f"delivery-{build - 2}"
        )
        of = sorted(d["came"] for d in dispatches if d["build"] == build)
        back = [m["at"] * 1000 - shift for m in moves if m["what"] == "back" and m["build"] == build]
        print(
            f"build {build}: webhook answered to first trial dispatch {of[0] - came:.0f} ms"
            + (
                f"; taken back after {back[0] - of[0]:.0f} ms of trial, last dispatch there {of[-1] - back[0]:+.0f} ms from then; "
                f"announced to last dispatch {of[-1] - came:.0f} ms"
                if back
                else ""
            )
        )


if __name__ == "__main__":
    main()
