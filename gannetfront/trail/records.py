"""A trail's bytes, without I/O: records framed by length and sum, numbered without a gap.

A record is whole or absent: reading stops at the first that is torn, and says whether anything sound follows it (a power cut
tears the end; damage within does not).
"""

import json

import xxhash

HEAD, LONGEST = 12, 1 << 20  # four bytes of length, eight of xxh64 over the body


class Damaged(Exception):
    pass


def pack(seq, at, kind, facts):
    body = json.dumps([seq, at, kind, facts], separators=(",", ":")).encode()
    return len(body).to_bytes(4, "big") + xxhash.xxh64(body).digest() + body


def read(data, first=None):
    """([(seq, at, kind, facts)], bytes that are whole). Raises Damaged for a gap, or for sound records behind a torn one."""
    found, at, due = [], 0, first
    while at < len(data):
        one = record(data, at)
        if one is None:
            if any(record(data, later) for later in range(at + 1, min(len(data), at + LONGEST))):
                raise Damaged(f"torn at byte {at}, with sound records behind it")
            break
        (seq, when, kind, facts), size = one
        if due is not None and seq != due:
            raise Damaged(f"record {seq} where {due} was due, at byte {at}")
        due = seq + 1
        found.append((seq, when, kind, facts))
        at += size
    return found, at


def record(data, at):
    size = int.from_bytes(data[at : at + 4], "big")
    body = data[at + HEAD : at + HEAD + size]
    if not 0 < size <= LONGEST or len(body) < size or xxhash.xxh64(body).digest() != data[at + 4 : at + HEAD]:
        return None
    return json.loads(body), HEAD + size
