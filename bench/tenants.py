"""Tenants: from start to the first view and from a change to its effect, at sizes; what a check costs; one reader or many.

python bench/tenants.py [--sizes 100,10000,100000]
"""

import resource
import tempfile
import time

import click

from gannetfront import host
from gannetfront.config import load, schema_pb2 as schema
from gannetfront.interface import IDEMPOTENT, SIDE_EFFECTING
from gannetfront.kitchen.directory import Directory
from gannetfront.tenants import kept
from gannetfront.tenants.reader import Reader
from gannetfront.tenants.tenancy import Tenancy
from gannetfront.wire import control_pb2 as c, frames


class Quiet:
    def __getattr__(self, name):
        return lambda *a, **k: None


def filled(size):
    d = Directory()
    for g in range(20):
        d.change(f"cn=g{g},ou=g,dc=x", cn=f"g{g}", portion="0.05")
    for n in range(size):
        d.change(f"uid=t{n},ou=t,dc=x", uid=f"t{n}", memberOf=f"cn=g{n % 20},ou=g,dc=x")
    return d


def reader(d, sync=True):
    folder = tempfile.mkdtemp()
    one = Reader(
        load.parse(
            schema.Directory,
            f'address: "{d.at}" tenants_base: "ou=t,dc=x" tenants_filter: "(uid=*)" groups_base: '
            f'"ou=g,dc=x" portion: "portion" sync: {str(sync).lower()} state_file: "{folder}/kept" page: 1000 '
            "answer_limit: 600000",
            "d",
        ),
        Quiet(),
        host.chance(1),
    )
    begun = host.now()
    one.start()
    while not one.guard.view:
        host.sleep(2)
    return one, host.now() - begun


def proxy(one):
    stream, reader, held = host.connect(one.listener.where, 5000), frames.FrameReader(), kept.ViewCopy()
    stream.send(frames.pack(hello=c.Hello(role=c.PROXY, id="1")), 5000)
    return stream, reader, held


def until(link, true):
    stream, reader, held = link
    while not true(held):
        for name, told in reader.feed(stream.recv(65536, 600000)):
            if name == "tenants":
                held.take(told)


@click.command()
@click.option("--sizes", default="100,10000,100000", show_default=True)
def main(sizes):
    print(
        "entries  first view ms  change to a proxy ms (median of 5)  process MiB (directory, reader and proxy in one)"
    )
    for size in map(int, sizes.split(",")):
        d = filled(size)
        one, first = reader(d)
        link = proxy(one)
        until(link, lambda held: held.members is not None)
        spans = []
        for n in range(5):
            begun = host.now()
            d.change(f"uid=t{n},ou=t,dc=x", uid=f"t{n}", memberOf=f"cn=g{(n + 7) % 20},ou=g,dc=x")
            until(link, lambda held: held.members[f"t{n}"][0] == f"g{(n + 7) % 20}")
            spans.append(host.now() - begun)
        print(
            f"{size:7} {first:12.0f} {sorted(spans)[2]:18.1f} {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024:18.0f}",
            flush=True,
        )
        for greenlet in one.greenlets:
            host.stop(greenlet)
        d.stop()
    d = filled(100)
    one, _ = reader(d)
    before = d.searches
    links = [proxy(one) for _ in range(500)]
    host.join([host.spawn(until, link, lambda held: held.members is not None) for link in links], 60000)
    through = d.searches - before
    before = d.searches
    for _ in range(500):
        alone, _ = reader(d)
        for greenlet in alone.greenlets:
            host.stop(greenlet)
    print(
        f"searches at the directory for 500 proxies: through one reader {through} (and {2} of its own), each alone "
        f"{d.searches - before}"
    )
    tenancy = Tenancy([IDEMPOTENT, SIDE_EFFECTING], 60000.0, 0, 0)
    tenancy.swap(
        (1, 1), {f"t{n}": (f"g{n % 20}", 0.0) for n in range(100000)}, {f"g{n}": n for n in range(20)}, 0.0
    )
    begun = time.process_time()
    for n in range(200000):
        tenancy.admit(5.0, "t77", n & 1)
    print(
        f"admission at 100,000 tenants: {(time.process_time() - begun) / 200000 * 1e6:.2f} us an invocation"
    )


if __name__ == "__main__":
    main()
