"""The lease's words between proxies as datagrams, without I/O: one frame's body each, at most 256 bytes."""

from .control_pb2 import Frame, Lease
from .members import VERSION, Bad

KINDS = "prepare", "propose", "release", "promise", "accepted", "refused", "holds", "over"
LONGEST_NAME = 16


def pack(fleet, source, duty, message):
    kind, ballot, *fields = message
    told = Lease(
        version=VERSION, fleet=fleet, source=source, duty=duty, kind=KINDS.index(kind), ballot=ballot
    )
    if kind == "propose":
        told.token.extend(fields[0])
        told.span = fields[1]
    elif kind == "promise":
        held_by, token, left = fields
        if token:
            told.token.extend(token)
            told.span = left
    elif kind == "refused":
        told.round, token, left = fields
        if token:
            told.token.extend(token)
            told.span = left
    elif kind == "over":
        told.state, told.why = fields
    return Frame(lease=told).SerializeToString()


def token_of(numbers):
    """A token or a ballot; raises Bad."""
    if len(numbers) != 3 or max(numbers) >= 2**63:
        raise Bad("garbage")
    return tuple(numbers)


def unpack(fleet, told, members):
    """(source, duty, message) of a Lease; raises Bad."""
    if told.version != VERSION:
        raise Bad("version")
    if told.fleet != fleet:
        raise Bad("fleet")
    if told.kind >= len(KINDS) or not told.HasField("source") or not 0 < len(told.duty) <= LONGEST_NAME:
        raise Bad("garbage")
    if told.source not in members:
        raise Bad("stranger")
    kind, ballot = KINDS[told.kind], token_of(told.ballot)
    if (
        kind in ("propose", "promise", "refused") and not 0 <= told.span < 1e9
    ):  # nothing that is not a number passes this
        raise Bad("garbage")
    if kind == "propose":
        return told.source, told.duty, (kind, ballot, token_of(told.token), told.span)
    if kind == "promise":
        token = token_of(told.token) if told.token else None
        return told.source, told.duty, (kind, ballot, token and token[1], token, told.span)
    if kind == "refused":
        return (
            told.source,
            told.duty,
            (kind, ballot, told.round, token_of(told.token) if told.token else None, told.span),
        )
    if kind == "over":
        return told.source, told.duty, (kind, ballot, told.state, told.why)
    return told.source, told.duty, (kind, ballot)
