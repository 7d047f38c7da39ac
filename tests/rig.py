"""A proxy, a controller and scripted nodes in one process, on loopback sockets."""

from gannetfront import host
from gannetfront.config import load, schema_pb2 as schema
from gannetfront.proxy.proxy import Proxy
from gannetfront.release.serve import Controller
from gannetfront.wire import control_pb2 as c, http

FLEET = """
zone: "a" zone: "b"
operation { name: "read" effect: "idempotent" slo_time: 500 time_limit: 1000 }
operation { name: "place" effect: "fingerprinted" slo_time: 500 time_limit: 1000 window: 800 }
operation { name: "debit" effect: "side-effecting" slo_time: 500 time_limit: 1000 }
rollout { machine_share: 1 cap: 1 told_every: 300 answer_wait: 200 }
drain_grace: 200
"""


class Log:
    """Records what is logged, as (event, fields), whatever the level."""

    def __init__(self):
        self.lines = []

    def __getattr__(self, level):
        return lambda event, **fields: self.lines.append((event, fields))

    def said(self, event):
        """Returns the fields of each record of an event."""
        return [fields for name, fields in self.lines if name == event]


class Node:
    """Answers each whole request with the next of `acts`, and repeats the last one.

    An act is the bytes to send, a function of the request that returns them, a number of ms to wait, "reset",
    "close", "silent" (no answer), or a list of these. `seen` holds the requests received."""

    def __init__(self, *acts, at="127.0.0.1:0"):
        self.acts = list(acts or [ok()])
        self.seen = []
        self.streams = []
        self.ended = 0
        self.listener = host.Listener(at)
        self.at = self.listener.where
        host.spawn(host.serve, self.listener, self.handle, Log())

    def requests(self, stream):
        """Yields the requests of a connection until its end."""
        reader = http.RequestReader(65536, 1 << 24)
        while True:
            while not reader.ready:
                data = stream.recv(65536, 5000)
                if not data:
                    return
                reader.feed(data)
            yield reader.ready.pop(0)

    def handle(self, stream):
        """Serves one connection."""
        self.streams.append(stream)
        try:
            for request in self.requests(stream):
                self.seen.append(request)
                acts = self.acts.pop(0) if len(self.acts) > 1 else self.acts[0]
                for act in acts if isinstance(acts, list) else [acts]:
                    if act == "reset":
                        return stream.reset()
                    if act == "close":
                        return stream.close()
                    if act == "silent":
                        stream.recv(1, 10000)
                        self.ended += 1
                        return
                    elif isinstance(act, (int, float)):
                        host.sleep(act)
                    else:
                        stream.send(act(request) if callable(act) else act, 1000)
            self.ended += 1
        except (OSError, host.Timeout):
            self.ended += 1

    def close(self):
        """Closes the listener and all connections."""
        self.listener.close()
        for stream in self.streams:
            stream.close()


def ok(body=b"done", **headers):
    """Returns the bytes of a successful answer."""
    return http.answer(200, [(k.encode(), v.encode()) for k, v in headers.items()], body)


FULL = http.answer(503, [(b"gannet-unseen", b"1")], b"")  # the node has not begun the invocation


class Rig:
    """A proxy and its controller. The nodes are listed if `listed`; `settings` are the proxy's."""

    def __init__(self, tmp_path, *nodes, fleet=FLEET, listed=True, **settings):
        self.log = Log()
        self.nodes = list(nodes)
        self.path = tmp_path
        self.fleet = fleet
        self.settings = settings
        self.facts = load.parse(schema.Fleet, fleet, "fleet")
        self.controller = Controller(
            self.facts, schema.Controller(), load.deployment(self.facts, 0, "", 1.0).rollout, 0, self.log
        )
        self.controller.start()
        self.control = self.controller.listener.where
        for node in nodes if listed else ():
            self.list(node)
        self.start()

    def start(self):
        """Starts the proxy and waits until it has the controller's list and stage."""
        text = "\n".join(
            f"{k}: {v if not isinstance(v, str) else chr(34) + v + chr(34)}"
            for k, v in (
                dict(control=self.control, state_file=str(self.path / "kept")) | self.settings
            ).items()
        )
        self.proxy = Proxy(self.facts, load.parse(schema.Proxy, text, "proxy"), self.log)
        self.proxy.start()
        self.at = self.proxy.listener.where
        self.until(lambda: self.proxy.link.up and self.proxy.stage)
        host.sleep(20)

    def list(self, node, state=c.READY, slot=None, build=1, incarnation=1, age=-1.0):
        """Reports a node to the controller, as the machine of its slot does."""
        slot = self.nodes.index(node) if slot is None else slot
        self.controller.apply_report(
            c.Report(
                slot=slot,
                node=c.Node(
                    id=node.at,
                    zone=0,
                    build=build,
                    cell=0,
                    state=state,
                    heft=1.0,
                    incarnation=incarnation,
                    age=age,
                ),
            )
        )

    def until(self, condition, limit=3000):
        """Waits until `condition()` holds, for at most `limit` ms."""
        end = host.now() + limit
        while not condition():
            assert host.now() < end, "the condition did not hold in time"
            host.sleep(5)

    def ask(self, op="read", body=b"", patience=None, stream=None, **headers):
        """Sends one invocation; returns (status, answer kind, reader)."""
        stream = stream or host.connect(self.at, 1000)
        request_headers = [(k.replace("_", "-").encode(), str(v).encode()) for k, v in headers.items()]
        if patience is not None:
            request_headers.append((b"gannet-patience-ms", str(patience).encode()))
        stream.send(http.request(b"/" + op.encode(), b"x", request_headers, body), 1000)
        return self.read(stream)

    def raw(self, data):
        """Sends bytes on a new connection; returns as `ask`."""
        stream = host.connect(self.at, 1000)
        stream.send(data, 1000)
        return self.read(stream)

    def read(self, stream):
        """Reads one answer; returns as `ask`."""
        reader = http.AnswerReader(1 << 24)
        while not reader.whole:
            data = stream.recv(65536, 3000)
            reader.feed(data)
            assert data or reader.whole, "closed without an answer"
        kind = http.header(reader.headers, b"gannet-answer")
        return reader.status, kind and kind.decode(), reader

    def close(self):
        """Stops the proxy's greenlets and closes all listeners."""
        for greenlet in self.proxy.greenlets:
            host.stop(greenlet)
        self.proxy.listener.close()
        self.controller.listener.close()
        for node in self.nodes:
            node.close()
