"""Codec of the membership protocol's datagrams, without I/O.

A datagram is one serialized `Frame` of at most 256 bytes. It carries the protocol version and the fleet's number.
"""

import xxhash
from google.protobuf.message import DecodeError

from .control_pb2 import Frame, Gossip

VERSION, MAX_DATAGRAM_BYTES = 1, 256
KIND_COUNT, STATE_COUNT = 4, 4


class Bad(Exception):
    """A datagram that is dropped. Its text is one word, the reason under which it is counted."""


def fleet_number(name):
    """The number of the fleet called `name`, by which datagrams of other fleets are recognized and dropped."""
    return xxhash.xxh32(name.encode()).intdigest()


def pack(fleet, source, message):
    """The bytes of a (kind, seq, about, updates) message that member `source` sends."""
    kind, seq, about, updates = message
    return Frame(
        gossip=Gossip(
            version=VERSION,
            fleet=fleet,
            kind=kind,
            seq=seq,
            source=source,
            about=about,
            news=[number for update in updates for number in update],
        )
    ).SerializeToString()


def body(data):
    """(name, message) of the frame in a datagram; the name is None for an unknown body. Raises Bad."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise Bad("long")
    frame = Frame()
    try:
        frame.ParseFromString(data)
    except DecodeError:
        raise Bad("garbage") from None
    name = frame.WhichOneof("body")
    return name, name and getattr(frame, name)


def unpack(fleet, data, members):
    """(source, message) of a datagram with a Gossip message; raises Bad, also where the source is not a member.

    `members` are the numbers of the roster. Updates about other numbers are ignored.
    """
    name, gossip = body(data)
    if name != "gossip":
        raise Bad("garbage")
    return unpack_gossip(fleet, gossip, members)


def unpack_gossip(fleet, gossip, members):
    """(source, message) of a Gossip message, under the rules of `unpack`."""
    if gossip.version != VERSION:
        raise Bad("version")
    if gossip.fleet != fleet:
        raise Bad("fleet")
    if (
        gossip.kind >= KIND_COUNT
        or len(gossip.news) % 3
        or not gossip.HasField("source")
        or any(state >= STATE_COUNT for state in gossip.news[1::3])
    ):
        raise Bad("garbage")
    if gossip.source not in members:
        raise Bad("stranger")
    updates = [
        update
        for update in zip(gossip.news[::3], gossip.news[1::3], gossip.news[2::3])
        if update[0] in members
    ]
    return gossip.source, (
        gossip.kind,
        gossip.seq,
        gossip.about if gossip.HasField("about") else None,
        updates,
    )
