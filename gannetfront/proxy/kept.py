"""The node list as this proxy holds it: frames in, entries for the decisions out, and the copy on disk. No I/O.

Ages cross the wire, the decisions want the clock time of a start: it is worked out once for each incarnation, so that
one process keeps one start time whichever list names it.
"""

import xxhash

from ..interface import DRAINING, GONE, READY
from ..wire.control_pb2 import Node, NodeList, State

STATES = {State.READY: READY, State.DRAINING: DRAINING, State.GONE: GONE}
WORDS = {word: state for state, word in STATES.items()}
MAGIC = b"gannet-nodes-1\n"


class KeptList:
    def __init__(self):
        self.revision, self.epoch, self.nodes, self.started = 0, 0, {}, {}

    def entry(self, node, now):
        if node.age < 0:
            return (node.id, node.zone, node.build, node.kind, node.cell, STATES[node.state], node.heft, 0.0)
        known = self.started.get(node.id)
        if not known or known[0] != node.incarnation:
            self.started[node.id] = known = node.incarnation, max(0.001, now - node.age)
        return (node.id, node.zone, node.build, node.kind, node.cell, STATES[node.state], node.heft, known[1])

    def take(self, listed, now):
        """('whole' or 'changes', entries), or None where a change was missed: the whole list must be asked for."""
        if listed.whole:
            self.nodes = {}
        elif (listed.epoch, listed.revision) != (self.epoch, self.revision + 1):
            if listed.epoch == self.epoch and listed.revision <= self.revision:
                return "changes", ()  # told twice
            return None
        self.revision, self.epoch = listed.revision, listed.epoch
        entries = tuple(self.entry(node, now) for node in listed.nodes)
        for node, entry in zip(listed.nodes, entries):
            if node.state == State.GONE:
                self.nodes.pop(node.id, None)
                self.started.pop(node.id, None)
            else:
                self.nodes[node.id] = entry, node.incarnation
        return "whole" if listed.whole else "changes", entries

    def pack(self, now):
        listed = NodeList(
            revision=self.revision,
            epoch=self.epoch,
            whole=True,
            nodes=[
                Node(
                    id=e[0],
                    zone=e[1],
                    build=e[2],
                    kind=e[3],
                    cell=e[4],
                    state=WORDS[e[5]],
                    heft=e[6],
                    age=now - e[7] if e[7] else -1.0,
                    incarnation=inc,
                )
                for e, inc in self.nodes.values()
            ],
        )
        data = listed.SerializeToString()
        return MAGIC + xxhash.xxh64(data).digest() + data

    def unpack(self, data, now):
        """Takes up what `pack` wrote; False for a torn or foreign file, which is as good as none."""
        if not data or not data.startswith(MAGIC) or len(data) < len(MAGIC) + 8:
            return False
        digest, body = data[len(MAGIC) : len(MAGIC) + 8], data[len(MAGIC) + 8 :]
        if xxhash.xxh64(body).digest() != digest:
            return False
        self.take(NodeList.FromString(body), now)
        return True
