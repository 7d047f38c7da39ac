"""Side by side in one run: a client straight at the nodes, a bare relay on the same stack, the proxy.

    python bench/sidebyside.py [--seconds S] [--idle N ...] [--profile]

Throughput of one process in a closed loop; then added latency, open loop, at half of the proxy's saturation; then
memory with idle client connections. Medians over rounds, with the spread. Everything on loopback, in processes of
its own: 3 nodes that answer at once, 1 relay or proxy, 3 clients.
"""

import multiprocessing as mp
import os
import resource
import statistics
import tempfile
from itertools import cycle

import click

BODY, CONNS = b"x" * 64, 24


def node(pipe):
    from gannetfront import host
    from gannetfront.wire import http

    listener = host.Listener("127.0.0.1:0")
    pipe.send(listener.where)

    def handle(stream):
        reader = http.RequestReader(65536, 1 << 20)
        try:
            while True:
                data = stream.recv(65536)
                if not data:
                    return
                reader.feed(data)
                for _ in range(len(reader.ready)):
                    reader.ready.pop(0)
                    stream.send(http.answer(200, [], BODY))
        except OSError:
            pass

    host.serve(listener, handle, None)


def relay(pipe, nodes):
    """Same listener, parser and pools; round robin, no decisions, no limits of its own."""
    from gannetfront import host
    from gannetfront.proxy.pools import Pools
    from gannetfront.wire import http

    listener, pools, turn = host.Listener("127.0.0.1:0"), Pools(4096, 60000.0, 1000.0), cycle(nodes)
    pipe.send(listener.where)

    def handle(stream):
        reader = http.RequestReader(16384, 1 << 20)
        try:
            while True:
                while not reader.ready:
                    data = stream.recv(65536)
                    if not data:
                        return
                    reader.feed(data)
                _, path, headers, body, keep = reader.ready.pop(0)
                addr = next(turn)
                pool = pools.pool_for(addr)
                up, _ = pool.acquire(1000.0)
                answer = http.AnswerReader(1 << 20)
                up.send(http.request(path, addr.encode(), http.end_to_end_headers(headers), body))
                while not answer.whole:
                    answer.feed(up.recv(65536))
                pool.release(up, answer.reusable)
                stream.send(
                    http.answer(answer.status, http.end_to_end_headers(answer.headers), answer.body, keep)
                )
        except OSError:
            pass

    host.serve(listener, handle, None)


FLEET = """zone: "a"
operation { name: "read" effect: "idempotent" slo_time: 2000 time_limit: 5000 }
rollout { machine_share: 1 cap: 1 }
"""


def proxy(pipe, nodes, profile=None):
    import gc

    import structlog

    from gannetfront import host
    from gannetfront.config import load, schema_pb2 as schema
    from gannetfront.proxy.proxy import Proxy
    from gannetfront.wire import control_pb2 as c

    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    where = tempfile.mkdtemp()
    one = Proxy(
        load.parse(schema.Fleet, FLEET, "fleet"),
        load.parse(
            schema.Proxy,
            f'control: "127.0.0.1:1" state_file: "{where}/kept" pool_cap: 4096 most_clients: 100000',
            "proxy",
        ),
        structlog.get_logger(),
    )
    one.on_list(
        c.NodeList(
            revision=1,
            whole=True,
            epoch=1,
            nodes=[
                c.Node(
                    id=a, zone=0, build=1, kind=0, cell=0, state=c.READY, heft=1.0, age=-1.0, incarnation=1
                )
                for a in nodes
            ],
        )
    )
    one.start()
    gc.freeze()
    pipe.send(one.listener.where)
    if profile:
        import cProfile

        prof = cProfile.Profile()
        host.sleep(500)
        prof.enable()
        host.sleep(profile)
        prof.disable()
        import io
        import pstats

        text = io.StringIO()
        pstats.Stats(prof, stream=text).sort_stats("tottime").print_stats(22)
        pipe.send(text.getvalue())
    one.done.wait()


def client(pipe, targets, conns, seconds, rate):
    """Closed loop (rate 0) or open loop at `rate` a second in all; sends back (count, encoded histogram)."""
    from hdrh.histogram import HdrHistogram

    from gannetfront import host
    from gannetfront.wire import http
    import gc

    gc.disable()  # its pauses would be read as the other side's
    hist, count, turn = HdrHistogram(1, 60_000_000, 3), [0, 0], cycle(targets)
    end, chance, idle = host.now() + seconds * 1000, host.chance(os.getpid()), []

    def ask(stream, due):
        reader = http.AnswerReader(1 << 20)
        stream.send(http.request(b"/read", b"x", [], BODY), 5000)
        while not reader.whole:
            reader.feed(stream.recv(65536, 5000))
        count[reader.status != 200] += 1
        hist.record_value(max(1, int((host.now() - due) * 1000)))

    def closed():
        stream = host.connect(next(turn), 1000)
        while host.now() < end:
            ask(stream, host.now())

    def one(due):
        stream = idle.pop() if idle else host.connect(next(turn), 1000)
        ask(stream, due)
        idle.append(stream)

    if rate:
        due, made = host.now(), []
        while due < end:
            due += float(chance.exponential(1000 / rate))
            if due > host.now():
                host.sleep(due - host.now())
            made.append(host.spawn(one, due))
        host.join(made, 5000)
    else:
        host.join([host.spawn(closed) for _ in range(conns)], seconds * 1000 + 5000)
    pipe.send((count[0], count[1], hist.encode()))


def start(call, *fields):
    mine, theirs = mp.Pipe()
    process = mp.get_context("spawn").Process(target=call, args=(theirs, *fields), daemon=True)
    process.start()
    return process, mine


def drive(targets, seconds, rate=0.0, clients=3):
    """(a second, p50 ms, p99 ms, failed)."""
    from hdrh.histogram import HdrHistogram

    made = [start(client, targets, CONNS // clients, seconds, rate / clients) for _ in range(clients)]
    whole, count, failed = HdrHistogram(1, 60_000_000, 3), 0, 0
    for process, pipe in made:
        good, bad, hist = pipe.recv()
        count, failed = count + good, failed + bad
        whole.decode_and_add(hist)
        process.join()

    def at(q):
        return whole.get_value_at_percentile(q) / 1000

    return count / seconds, at(50), at(99), failed


def rss(process):
    with open(f"/proc/{process.pid}/statm") as f:
        return int(f.read().split()[1]) * resource.getpagesize() / 2**20


@click.command()
@click.option("--seconds", default=4.0, show_default=True)
@click.option("--rounds", default=3, show_default=True)
@click.option("--idle", default=(1000, 10000), multiple=True, show_default=True)
@click.option("--profile", is_flag=True, help="only a profile of the proxy at saturation")
def main(seconds, rounds, idle, profile):
    nodes = [start(node) for _ in range(3)]
    addresses = [pipe.recv() for _, pipe in nodes]
    if profile:
        _, pipe = start(proxy, addresses, seconds * 1000)
        at = pipe.recv()
        drive([at], seconds + 1)
        print(pipe.recv())
        return
    kinds = {"straight": addresses}
    made = {"relay": start(relay, addresses), "proxy": start(proxy, addresses)}
    kinds.update({name: [pipe.recv()] for name, (_, pipe) in made.items()})
    print("one process, closed loop, a second (median of rounds, least to most)")
    full = {name: [] for name in kinds}
    for _ in range(rounds):
        for name, targets in kinds.items():
            full[name].append(drive(targets, seconds)[0])
    mid = {name: statistics.median(got) for name, got in full.items()}
    for name, got in full.items():
        print(f"  {name:9} {mid[name]:7.0f}  ({min(got):.0f} to {max(got):.0f})")
    print(f"  proxy / relay {mid['proxy'] / mid['relay']:.2f}")
    for part in (0.5,):
        rate = part * mid["proxy"]
        print(f"open loop at {rate:.0f} a second, half of the proxy's; p50 and p99 in ms")
        rows = {name: [] for name in kinds}
        for _ in range(rounds):
            for name, targets in kinds.items():
                rows[name].append(drive(targets, seconds, rate)[1:])
        for name, got in rows.items():
            p50, p99 = (statistics.median(x[n] for x in got) for n in (0, 1))
            print(
                f"  {name:9} {p50:7.2f} {p99:7.2f}  (p99 {min(x[1] for x in got):.2f} to {max(x[1] for x in got):.2f})"
                f"  failed {sum(x[2] for x in got)}"
            )
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    print("memory with idle client connections, MiB")
    import socket

    for name, (process, _) in made.items():
        held, host_port = [], kinds[name][0].split(":")
        line = [f"none {rss(process):.0f}"]
        for many in idle:
            try:
                while len(held) < many:
                    held.append(socket.create_connection((host_port[0], int(host_port[1]))))
                import time

                time.sleep(1)
                line.append(f"{many} {rss(process):.0f}")
            except OSError as trouble:
                line.append(f"{many}: not held, {trouble}")
                break
        for one in held:
            one.close()
        print(f"  {name:9} " + "  ".join(line))
    for process, _ in [*nodes, *made.values()]:
        process.terminate()


if __name__ == "__main__":
    main()
