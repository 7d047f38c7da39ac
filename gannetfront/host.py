"""The one seam to the world: time, greenlets, sockets, files, signals and chance.

Nothing else in the package reads a clock, opens a socket, sleeps or draws. Times are float milliseconds of one
monotonic clock (one per machine: readings of several local processes compare). Every wait takes a limit. A second
implementation on a virtual clock can stand behind the same names.
"""
import errno
import os
import signal as signals
import time

import gevent
import numpy as np
from gevent import socket
from gevent.event import AsyncResult
from gevent.hub import Waiter, get_hub
from gevent.lock import BoundedSemaphore  # noqa: F401 - part of the seam
from gevent.queue import Empty, Full, Queue

DOWN = (OSError,)


class Late(Exception):
    """A wait ran into its limit."""


class Refused(Exception):
    """A connection could not be made: nothing was sent. `kind` is one word for logs."""

    def __init__(self, kind):
        super().__init__(kind)
        self.kind = kind


def now():
    return time.monotonic_ns() / 1e6


def sleep(span):
    gevent.sleep(max(0.0, span) / 1000)


def spawn(call, *fields):
    return gevent.spawn(call, *fields)


def later(span, call, *fields):
    return gevent.spawn_later(max(0.0, span) / 1000, call, *fields)


def stop(greenlet):
    greenlet.kill(block=False)


def join(greenlets, limit):
    gevent.joinall(greenlets, timeout=limit / 1000)


def chance(seed, *streams):
    """A numpy Generator for `seed`; `streams` are whole numbers that set independent users of one seed apart."""
    return np.random.Generator(np.random.PCG64([int(seed), *map(int, streams)]))


def on_signal(names, call):
    for name in names:
        gevent.signal_handler(getattr(signals, name), call)


class Once:
    """A value set once, by the first to come; any greenlet may wait for it."""

    def __init__(self):
        self.result = AsyncResult()

    def set(self, value=True):
        if self.result.ready():
            return False
        self.result.set(value)
        return True

    def ready(self):
        return self.result.ready()

    def value(self):
        return self.result.value

    def wait(self, limit=None):
        """The value, or Late after `limit` ms."""
        try:
            return self.result.get(timeout=None if limit is None else max(0.0, limit) / 1000)
        except gevent.Timeout:
            raise Late() from None


class Mailbox:
    """A bounded queue. `put` never waits: a full box answers False and the caller decides what that means."""

    def __init__(self, most):
        self.queue = Queue(most)

    def put(self, thing):
        try:
            self.queue.put_nowait(thing)
            return True
        except Full:
            return False

    def take(self, limit=None):
        """The next thing, or None after `limit` ms."""
        try:
            return self.queue.get(timeout=None if limit is None else max(0.0, limit) / 1000)
        except Empty:
            return None

    def drain(self):
        things = []
        while not self.queue.empty():
            things.append(self.queue.get_nowait())
        return things

    def __len__(self):
        return self.queue.qsize()


class Stream:
    """A byte stream. `recv` and `send` block this greenlet for at most `limit` ms; b'' is the peer's end."""

    def __init__(self, sock):
        self.sock, self.open = sock, True
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            pass    # already reset by its peer: the next read says so

    def send(self, data, limit=None):
        """Sends all of `data`; raises Late or OSError. `sent` holds how many bytes left, whatever happened."""
        self.sent, view = 0, memoryview(data)
        end = None if limit is None else now() + limit
        while self.sent < len(view):
            self.sock.settimeout(None if end is None else max(0.001, (end - now()) / 1000))
            try:
                self.sent += self.sock.send(view[self.sent:])
            except TimeoutError:
                raise Late() from None

    def recv(self, size, limit=None):
        self.sock.settimeout(None if limit is None else max(0.001, limit / 1000))
        try:
            return self.sock.recv(size)
        except TimeoutError:
            raise Late() from None

    def recv_or(self, once, size, limit=None):
        """Bytes as `recv`, or None as soon as `once` is set; what is set is looked at first."""
        if once.ready():
            return None
        try:
            return self.sock._sock.recv(size, socket.MSG_DONTWAIT)
        except BlockingIOError:
            pass
        hub = get_hub()
        waiter, watcher = Waiter(hub), hub.loop.io(self.sock.fileno(), 1)
        wake = lambda _: waiter.switch("set")
        alarm = None if limit is None else hub.loop.timer(max(0.0, limit) / 1000)
        try:
            watcher.start(waiter.switch, "read")
            once.result.rawlink(wake)
            if alarm:
                alarm.start(waiter.switch, "late")
            why = waiter.get()
        finally:
            once.result.unlink(wake)
            watcher.stop()
            watcher.close()
            if alarm:
                alarm.stop()
                alarm.close()
        if why == "set" or once.ready():
            return None
        if why == "late":
            raise Late()
        try:
            return self.sock._sock.recv(size, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return self.recv_or(once, size, limit)

    def waiting(self):
        """True where bytes, an end or an error wait to be read: an idle connection must show none."""
        try:
            self.sock._sock.recv(1, socket.MSG_DONTWAIT | socket.MSG_PEEK)
            return True
        except BlockingIOError:
            return False
        except OSError:
            return True

    def peer(self):
        return self.sock.getpeername()[0]

    def close(self):
        if self.open:
            self.open = False
            self.sock.close()

    def reset(self):
        """Closes with a reset instead of an orderly end, as a process that dies does."""
        if self.open:
            try:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            except OSError:
                pass
            self.close()


def address(text):
    """'host:port' to (host, port); raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"'{text}' is no host:port")
    return host, int(port)


def connect(to, limit):
    """A Stream to 'host:port'; raises Refused, after which it is known that nothing was sent."""
    sock = None
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.settimeout(max(0.001, limit / 1000))
        sock.connect(address(to))
        sock.settimeout(None)
        return Stream(sock)
    except (OSError, ValueError) as trouble:
        if sock:
            sock.close()
        if isinstance(trouble, TimeoutError):
            raise Refused("late") from None
        code = getattr(trouble, "errno", None)
        raise Refused(errno.errorcode.get(code, "refused").lower()) from None


class Listener:
    """Accepts streams on 'host:port' (port 0: any); `where` is the address it got."""

    def __init__(self, at, backlog=1024):
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.sock.bind(address(at))
            self.sock.listen(backlog)
        except OSError:
            self.sock.close()
            raise
        self.where, self.open = "%s:%d" % self.sock.getsockname()[:2], True

    def accept(self):
        """The next Stream, or None once closed. Out of descriptors raises OSError: the caller must pause."""
        try:
            sock, _ = self.sock.accept()
            return Stream(sock)
        except OSError:
            if not self.open:
                return None
            raise

    def close(self):
        self.open = False
        self.sock.close()


def serve(listener, handle, log, most=None):
    """Accepts until the listener closes, a greenlet a stream. Past `most` streams a new one is closed at once."""
    held = set()
    while True:
        try:
            stream = listener.accept()
        except OSError as trouble:
            # Out of descriptors or memory: accepting again at once would spin; those who hold some give back.
            log.warning("accept failed", why=str(trouble), held=len(held))
            sleep(50)
            continue
        if stream is None:
            return
        if most is not None and len(held) >= most:
            stream.close()
            continue
        one = gevent.spawn(handle, stream)
        held.add(one)
        one.rawlink(held.discard)


class Datagrams:
    """Small lossy messages. `send` drops what cannot go at once."""

    def __init__(self, at):
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(address(at))
        self.where = "%s:%d" % self.sock.getsockname()[:2]

    def send(self, to, data):
        try:
            self.sock._sock.sendto(data, socket.MSG_DONTWAIT, address(to))
        except (OSError, ValueError):
            pass

    def recv(self, size):
        """(bytes, sender) or None once closed."""
        while True:
            try:
                data, who = self.sock.recvfrom(size)
                return data, "%s:%d" % who[:2]
            except ConnectionError:
                continue    # an earlier datagram met a closed port: that is loss, not an end
            except OSError:
                return None

    def close(self):
        self.sock.close()


def read_file(path):
    """The file's bytes, or None where there is none."""
    try:
        with open(path, "rb") as f:
            return f.read()
    except FileNotFoundError:
        return None


def replace_file(path, data):
    """Whole or absent: written beside, synced, renamed, and the folder synced."""
    beside = f"{path}.new"
    with open(beside, "wb") as f:
        f.write(data)
        f.flush()
        os.fsync(f.fileno())
    os.replace(beside, path)
    folder = os.open(os.path.dirname(os.path.abspath(path)), os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
