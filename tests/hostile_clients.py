"""Clients that hold on to a proxy's memory or time: each function plays one of them against `at` until `end` (ms).

`python hostile_clients.py NAME ADDRESS SPAN COUNT` plays `COUNT` of one kind for `SPAN` ms, in a process of its own.
"""

import pathlib
import socket
import subprocess
import sys
from struct import pack

from edge_rig import insert, select
from gannetfront import host
from gannetfront.wire import pg

ROOT = str(pathlib.Path(__file__).parent)
LARGE_VALUE = b"\\x" + b"9f" * 64000
PIECE = 4000  # bytes that a slow client writes at a time
WAIT = 45.0  # ms between two pieces


def query(sql):
    return pg.message(b"Q", sql + b"\0")


def large_insert(number, d=800, c="look"):
    """A statement near the largest that is served, and unlike any other."""
    return insert(f"a{number:011x}", d=d, c=c, more="").replace(b"\\x9f03", LARGE_VALUE)


def started(at):
    stream = host.connect(at, 2000)
    stream.send(pg.startup(b"client", b"core"), 1000)
    return stream


def wait_until(end):
    host.sleep(max(0.0, end - host.now()))


def half_a_large_request(at, number, end):
    stream, request = started(at), query(large_insert(number))
    stream.send(request[: len(request) * 9 // 10], 3000)
    wait_until(end)


def slow_large_requests(at, number, end):
    for repeat in range(1000):
        stream, request = started(at), query(large_insert(number << 16 | repeat))
        for offset in range(0, len(request), PIECE):
            if host.now() > end:
                return
            stream.send(request[offset : offset + PIECE], 3000)
            host.sleep(WAIT)


def start_with_many_short_fields(at, number, end):
    """A startup message of about the largest size, of names with values of one byte, that lacks its last byte for a while."""
    fields = b"".join(b"%x\0\1\0" % name for name in range(0x1000, 0x1000 + 1420))
    body = pack("!I", 196608) + b"user\0client\0" + fields + b"\0"
    while host.now() < end:
        stream = host.connect(at, 2000)
        stream.send(pack("!I", len(body) + 4) + body[:-1], 1000)
        host.sleep(900)
        stream.send(body[-1:], 1000)
        host.sleep(100)
        stream.close()


def many_large_requests_at_once(at, number, end):
    count = 0
    while host.now() < end:
        stream = started(at)
        stream.send(b"".join(query(large_insert(number << 16 | count + n, d=2000)) for n in range(8)), 3000)
        count += 8
        host.sleep(700)
        stream.close()


def answers_left_unread(at, number, end):
    stream, count = started(at), 0
    stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    while host.now() < end:
        stream.send(b"".join(query(select(f"b{number:05x}{count + n:05x}", d=2000)) for n in range(8)), 3000)
        count += 8
        host.sleep(200)


def written_ahead(at, number, end):
    """More commands than may wait, and large ones behind them, while the first is open."""
    stream = started(at)
    stream.send(
        query(select(f"c{number:07x}", d=900)) + query(b"") * 70 + query(large_insert(number)) * 2, 3000
    )
    wait_until(end)


def open_connections(at, number, end):
    """Opens connections at full speed, says nothing on them and holds hundreds."""
    held = []
    while host.now() < end:
        quietly(lambda: held.append(host.connect(at, 500)))
        if len(held) > 250:
            held.pop(0).close()


def read_and_drop(stream):
    try:
        while stream.recv(65536, 5000):
            pass
    except (OSError, host.Timeout):
        pass


def flood(at, number, end, statements):
    """Writes what `statements(count)` returns at full speed on one connection, and reads the answers."""
    stream, count = started(at), 0
    host.spawn(read_and_drop, stream)
    while host.now() < end:
        stream.send(b"".join(map(query, statements(number << 16 | count))), 3000)
        count += 1
    stream.close()


def flood_of_empty_queries(at, number, end):
    flood(at, number, end, lambda count: [b""] * 2000)


def flood_of_unsound_requests(at, number, end):
    """Two that cannot be read, then one that can, so that the connection is kept."""
    flood(
        at,
        number,
        end,
        lambda count: [
            sql for n in range(300) for sql in (b"SELEC", b"SELEC", select(f"d{count:06x}{n:04x}"))
        ],
    )


def flood_under_new_names(at, number, end):
    flood(
        at,
        number,
        end,
        lambda count: [select(f"e{count:06x}{n:04x}", uid=f"{count:06x}{n:04x}" * 6) for n in range(300)],
    )


def quietly(play, *arguments):
    """Plays a client that ends when the proxy ends its connection."""
    try:
        play(*arguments)
    except (OSError, host.Refused, host.Timeout):
        pass


def again_and_again(play, at, number, end):
    """Plays a client that comes back when the proxy, or its process, ends its connection."""
    while host.now() < end:
        quietly(play, at, number, end)
        host.sleep(100)


def play_in_this_process(name, at, span, count, returns):
    end = host.now() + float(span)
    how = again_and_again if returns == "returns" else quietly
    greenlets = [host.spawn(how, globals()[name], at, number, end) for number in range(int(count))]
    host.join(greenlets, float(span) + 5000.0)


def start(play, at, span, count, returns=False):
    """Starts a process that plays `count` clients of this kind for `span` ms; with `returns` they come back."""
    how = "returns" if returns else "once"
    return subprocess.Popen(
        [sys.executable, __file__, play.__name__, at, str(span), str(count), how], cwd=ROOT
    )


if __name__ == "__main__":
    play_in_this_process(*sys.argv[1:])
