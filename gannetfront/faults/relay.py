"""Stands between processes, a link for each pair of them, and does to what crosses as a schedule says:
`python -m gannetfront.faults.relay FILE READY`.

FILE is JSON: {seed, links: [{source, target, kind: "stream" or "datagram", to: "host:port"}], faults: [...]} (schedule.py). READY is
written with the address of each link, in their order: who talks is told by the address that it talks to. It knows nothing of what is
said. A stream that is cut stays open and silent; the bytes that were on their way arrive once the cut ends.
"""

import json
import sys

from .. import host
from .schedule import Schedule

STEP, CONNECT, CHUNK = 10.0, 1000.0, 1 << 16  # ms between looks at a cut; ms to reach the target; bytes
MOST = 512  # streams, and datagrams on their way, of one link


class Crossing:
    """One stream: what comes from `source` goes to `target`, and back; its end or break too, once it may cross."""

    def __init__(self, schedule, source, target, near, far):
        self.schedule, self.names, self.ports = schedule, (source, target), (near, far)

    def run(self):
        other = host.spawn(self.pump, 1)
        self.pump(0)
        host.join([other], 1e9)

    def pump(self, way):
        source, target = self.names[way], self.names[1 - way]
        come, go, due = self.ports[way], self.ports[1 - way], 0.0
        try:
            while True:
                data = self.recv(come, source, target)
                if data is None:
                    break
                if not data:
                    self.let_cross(source, target, 0)
                    break
                late = self.let_cross(source, target, len(data))
                due = max(due, host.now() + late)  # a stream keeps its order
                host.sleep(due - host.now()) if due > host.now() else None
                go.send(data, None)
        except (OSError, Broken):
            for port in self.ports:
                port.reset()
        else:
            for port in self.ports:
                port.close()

    def recv(self, port, source, target):
        """Bytes, b'' at its end; raises Broken as soon as the link is reset."""
        while True:
            if self.schedule.chunk(host.now(), source, target, 0)[0] == "reset":
                raise Broken()
            try:
                return port.recv(CHUNK, 5 * STEP)
            except host.Timeout:
                continue

    def let_cross(self, source, target, size):
        """Waits out a cut; ms until the bytes arrive."""
        while True:
            what, late = self.schedule.chunk(host.now(), source, target, size)
            if what == "goes":
                return late
            if what == "reset":
                raise Broken()
            host.sleep(STEP)


class Broken(Exception):
    """The schedule breaks this stream."""


class Relay:
    def __init__(self, facts):
        self.schedule, self.links = (
            Schedule([tuple(f) for f in facts["faults"]], facts["seed"]),
            facts["links"],
        )
        self.where, self.ports = [], {}

    def faults(self, some):
        self.schedule.faults[:] = [tuple(f) for f in some]

    def start(self):
        """Listens for each link; `where` holds the addresses in their order."""
        for link in self.links:
            if link["kind"] == "stream":
                listener = host.Listener("127.0.0.1:0")
                host.spawn(
                    host.serve, listener, lambda stream, link=link: self.stream(link, stream), None, MOST
                )
                self.where.append(listener.where)
            else:
                port = self.ports[link["source"], link["target"]] = host.Datagrams("127.0.0.1:0")
                host.spawn(self.datagrams, link, port)
                self.where.append(port.where)

    def stream(self, link, near):
        source, target = link["source"], link["target"]
        try:
            while (what := self.schedule.chunk(host.now(), source, target, 0)[0]) == "held":
                host.sleep(STEP)
            if what == "reset":
                return near.reset()
            far = host.connect(link["to"], CONNECT)
        except host.Refused:
            return near.reset()
        Crossing(self.schedule, source, target, near, far).run()

    def datagrams(self, link, port):
        """What comes goes on to the target from the address of the link back, as the target knows the source by that one."""
        on_way, back = [0], self.ports.get((link["target"], link["source"]), port)
        while (got := port.recv(CHUNK)) is not None:
            for late in self.schedule.datagram(host.now(), link["source"], link["target"]):
                if on_way[0] < MOST:
                    on_way[0] += 1
                    host.later(late, self.deliver, back, link["to"], got[0], on_way)

    @staticmethod
    def deliver(port, to, data, on_way):
        on_way[0] -= 1
        port.send(to, data)


def main(file, ready):
    one, done = Relay(json.loads(host.read_file(file))), host.Once()
    one.start()
    host.replace_file(ready, "\n".join(one.where).encode())
    # Faults whose parties become known only during the day are added to the file.
    host.on_signal(("SIGHUP",), lambda: one.faults(json.loads(host.read_file(file))["faults"]))
    host.on_signal(("SIGTERM", "SIGINT"), done.set)
    done.wait()


if __name__ == "__main__":
    main(*sys.argv[1:])
