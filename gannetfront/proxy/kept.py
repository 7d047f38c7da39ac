"""The node list as this proxy has it: list messages in, entries for the balancer out, and the copy on disk.
No I/O.

Messages carry a node's age, while the balancer needs its start time. The start time is computed once for each
incarnation, so that a process keeps the same start time in all lists.
"""

import xxhash

from ..interface import DRAINING, GONE, READY
from ..wire.control_pb2 import Node, NodeList, State

STATE_NAMES = {State.READY: READY, State.DRAINING: DRAINING, State.GONE: GONE}
STATES_BY_NAME = {name: state for state, name in STATE_NAMES.items()}
MAGIC = b"gannet-nodes-1\n"


class PersistedNodeList:
    """The node list of the newest message, by revision and epoch.

    `nodes` maps a node's address to (entry, incarnation). An entry is the tuple that the balancer gets:
    (address, zone, build, kind, cell, state, weight, start time in ms or 0.0 where it is unknown)."""

    def __init__(self):
        self.revision = 0
        self.epoch = 0
        self.nodes = {}
        self.started = {}  # address -> (incarnation, start time in ms)

    def entry(self, node, now):
        """Returns the entry of a listed node."""
        if node.age < 0:
            return (
                node.id,
                node.zone,
                node.build,
                node.kind,
                node.cell,
                STATE_NAMES[node.state],
                node.heft,
                0.0,
            )
        known = self.started.get(node.id)
        if not known or known[0] != node.incarnation:
            self.started[node.id] = known = node.incarnation, max(0.001, now - node.age)
        return (
            node.id,
            node.zone,
            node.build,
            node.kind,
            node.cell,
            STATE_NAMES[node.state],
            node.heft,
            known[1],
        )

    def apply(self, message, now):
        """Applies a list message; returns ("whole" or "changes", entries).

        Returns None if an earlier change was missed: then the whole list must be requested."""
        if message.whole:
            self.nodes = {}
        elif (message.epoch, message.revision) != (self.epoch, self.revision + 1):
            if message.epoch == self.epoch and message.revision <= self.revision:
                return "changes", ()  # a duplicate
            return None
        self.revision, self.epoch = message.revision, message.epoch
        entries = tuple(self.entry(node, now) for node in message.nodes)
        for node, entry in zip(message.nodes, entries):
            if node.state == State.GONE:
                self.nodes.pop(node.id, None)
                self.started.pop(node.id, None)
            else:
                self.nodes[node.id] = entry, node.incarnation
        return "whole" if message.whole else "changes", entries

    def pack(self, now):
        """Returns the bytes of the list for the disk, with a checksum."""
        message = NodeList(
            revision=self.revision,
            epoch=self.epoch,
            whole=True,
            nodes=[
                Node(
                    id=entry[0],
                    zone=entry[1],
                    build=entry[2],
                    kind=entry[3],
                    cell=entry[4],
                    state=STATES_BY_NAME[entry[5]],
                    heft=entry[6],
                    age=now - entry[7] if entry[7] else -1.0,
                    incarnation=incarnation,
                )
                for entry, incarnation in self.nodes.values()
            ],
        )
        data = message.SerializeToString()
        return MAGIC + xxhash.xxh64(data).digest() + data

    def unpack(self, data, now):
        """Restores a list from the bytes of `pack`. Returns False for missing, damaged or foreign data."""
        if not data or not data.startswith(MAGIC) or len(data) < len(MAGIC) + 8:
            return False
        digest, body = data[len(MAGIC) : len(MAGIC) + 8], data[len(MAGIC) + 8 :]
        if xxhash.xxh64(body).digest() != digest:
            return False
        self.apply(NodeList.FromString(body), now)
        return True
