"""Messages of members as datagrams, without I/O: one frame's body each, of this fleet and version, at most 256 bytes."""

import xxhash
from google.protobuf.message import DecodeError

from .control_pb2 import Frame, Gossip

VERSION, MOST = 1, 256
KINDS, STATES = 4, 4


class Bad(Exception):
    """`str()` is one word for counting: why a datagram is dropped."""


def fleet_of(name):
    """A number for a fleet's name: those of another are told from ours."""
    return xxhash.xxh32(name.encode()).intdigest()


def pack(fleet, source, message):
    kind, seq, about, news = message
    return Frame(
        gossip=Gossip(
            version=VERSION,
            fleet=fleet,
            kind=kind,
            seq=seq,
            source=source,
            about=about,
            news=[x for one in news for x in one],
        )
    ).SerializeToString()


def body(data):
    """(name, message) of the frame that a datagram is; raises Bad."""
    if len(data) > MOST:
        raise Bad("long")
    frame = Frame()
    try:
        frame.ParseFromString(data)
    except DecodeError:
        raise Bad("garbage") from None
    name = frame.WhichOneof("body")
    return name, name and getattr(frame, name)


def unpack(fleet, data, members):
    """(source, message); raises Bad. `members` are the numbers of the roster: news of others are passed over."""
    name, told = body(data)
    if name != "gossip":
        raise Bad("garbage")
    return unpack_gossip(fleet, told, members)


def unpack_gossip(fleet, told, members):
    if told.version != VERSION:
        raise Bad("version")
    if told.fleet != fleet:
        raise Bad("fleet")
    if (
        told.kind >= KINDS
        or len(told.news) % 3
        or not told.HasField("source")
        or any(s >= STATES for s in told.news[1::3])
    ):
        raise Bad("garbage")
    if told.source not in members:
        raise Bad("stranger")
    news = [x for x in zip(told.news[::3], told.news[1::3], told.news[2::3]) if x[0] in members]
    return told.source, (told.kind, told.seq, told.about if told.HasField("about") else None, news)
