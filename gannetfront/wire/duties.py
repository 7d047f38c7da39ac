"""Codec of the lease protocol's datagrams between proxies, without I/O.

A datagram is one serialized `Frame` of at most 256 bytes. A message is a tuple of its kind, its ballot and the fields
of its kind.
"""

from .control_pb2 import Frame, Lease
from .members import VERSION, Bad

KINDS = "prepare", "propose", "release", "promise", "accepted", "refused", "holds", "over"
MAX_DUTY_NAME_LENGTH = 16  # characters


def pack(fleet, source, duty, message):
    """The bytes of a message about the lease of `duty` that member `source` sends."""
    kind, ballot, *fields = message
    lease = Lease(
        version=VERSION, fleet=fleet, source=source, duty=duty, kind=KINDS.index(kind), ballot=ballot
    )
    if kind == "propose":
        lease.token.extend(fields[0])
        lease.span = fields[1]
    elif kind == "promise":
        held_by, token, time_left = fields
        if token:
            lease.token.extend(token)
            lease.span = time_left
    elif kind == "refused":
        lease.round, token, time_left = fields
        if token:
            lease.token.extend(token)
            lease.span = time_left
    elif kind == "over":
        lease.state, lease.why = fields
    return Frame(lease=lease).SerializeToString()


def token_of(numbers):
    """A token or a ballot as a tuple of three numbers; raises Bad."""
    if len(numbers) != 3 or max(numbers) >= 2**63:
        raise Bad("garbage")
    return tuple(numbers)


def unpack(fleet, lease, members):
    """(source, duty, message) of a Lease message.

    Raises Bad where it is malformed, of another version or fleet, or its source is not one of `members`.
    """
    if lease.version != VERSION:
        raise Bad("version")
    if lease.fleet != fleet:
        raise Bad("fleet")
    if (
        lease.kind >= len(KINDS)
        or not lease.HasField("source")
        or not 0 < len(lease.duty) <= MAX_DUTY_NAME_LENGTH
    ):
        raise Bad("garbage")
    if lease.source not in members:
        raise Bad("stranger")
    kind, ballot = KINDS[lease.kind], token_of(lease.ballot)
    # The range check also rejects NaN and infinity.
    if kind in ("propose", "promise", "refused") and not 0 <= lease.span < 1e9:
        raise Bad("garbage")
    if kind == "propose":
        return lease.source, lease.duty, (kind, ballot, token_of(lease.token), lease.span)
    if kind == "promise":
        token = token_of(lease.token) if lease.token else None
        return lease.source, lease.duty, (kind, ballot, token and token[1], token, lease.span)
    if kind == "refused":
        return (
            lease.source,
            lease.duty,
            (kind, ballot, lease.round, token_of(lease.token) if lease.token else None, lease.span),
        )
    if kind == "over":
        return lease.source, lease.duty, (kind, ballot, lease.state, lease.why)
    return lease.source, lease.duty, (kind, ballot)
