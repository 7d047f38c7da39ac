"""Encoding of the trail's records, without I/O: framed by length and checksum, numbered without gaps.

A record is either complete or absent: reading stops at the first torn one. If intact records follow it, that
is damage: a power cut tears only the end of a file.
"""

import json

import xxhash

HEADER_SIZE = 12  # bytes: the length (4) and the xxh64 (8) of the body
MAX_BODY_SIZE = 1 << 20  # bytes


class Damaged(Exception):
    """The trail is not sound; the message names the place."""


def pack(seq, at, kind, facts):
    """Bytes of one record; `at` is in seconds of wall time, `facts` is a dict that JSON can hold."""
    body = json.dumps([seq, at, kind, facts], separators=(",", ":")).encode()
    return len(body).to_bytes(4, "big") + xxhash.xxh64(body).digest() + body


def read(data, first=None):
    """Decodes ([(seq, at, kind, facts)], number of bytes in complete records).

    `first` is the expected number of the first record; None accepts any. Raises Damaged for a gap in the
    numbers, or for intact records after a torn one.
    """
    found, offset, expected = [], 0, first
    while offset < len(data):
        decoded = record(data, offset)
        if decoded is None:
            if any(
                record(data, later) for later in range(offset + 1, min(len(data), offset + MAX_BODY_SIZE))
            ):
                raise Damaged(f"torn record at byte {offset}, followed by intact records")
            break
        (seq, at, kind, facts), size = decoded
        if expected is not None and seq != expected:
            raise Damaged(f"found record {seq} where {expected} was expected, at byte {offset}")
        expected = seq + 1
        found.append((seq, at, kind, facts))
        offset += size
    return found, offset


def record(data, offset):
    """The record at `offset` as ([seq, at, kind, facts], its size in bytes), or None if it is not intact."""
    size = int.from_bytes(data[offset : offset + 4], "big")
    body = data[offset + HEADER_SIZE : offset + HEADER_SIZE + size]
    if (
        not 0 < size <= MAX_BODY_SIZE
        or len(body) < size
        or xxhash.xxh64(body).digest() != data[offset + 4 : offset + HEADER_SIZE]
    ):
        return None
    return json.loads(body), HEADER_SIZE + size
