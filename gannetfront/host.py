"""The one seam to the world: time, greenlets, sockets, files, signals and chance.

Nothing else in the package reads a clock, opens a socket, sleeps or draws. Times are float milliseconds of one
monotonic clock (one per machine: readings of several local processes compare). Every wait takes a limit. A second
implementation on a virtual clock can stand behind the same names.
"""

import errno
import os
import resource
import select
import signal as signals
import socket
import time
from collections import deque

import gevent
from gevent.hub import get_hub
from gevent.lock import BoundedSemaphore
from greenlet import getcurrent

STANDARD_ERROR = 2  # file descriptor
READ, WRITE = 1, 2
ACCEPTS_PER_TURN = 16  # connections
DATAGRAMS_PER_TURN = 32
FULL_WAIT = 2.0  # ms between looks for room for one more connection
POLLED = {READ: select.POLLIN, WRITE: select.POLLOUT}
gevent.config.track_greenlet_tree = (
    False  # each spawn would copy its caller's stack for a debugger nobody uses
)


class Timeout(Exception):
    """A wait ran into its limit."""


class Refused(Exception):
    """A connection could not be made: nothing was sent. `kind` is one word for logs."""

    def __init__(self, kind):
        super().__init__(kind)
        self.kind = kind


def now():
    return time.monotonic_ns() / 1e6


def stamp():
    """The machine's clock, for records that an audit puts side by side: a script that has one process's clock run fast leaves it alone."""
    return time.monotonic_ns() / 1e6


def wall():
    """Seconds of the calendar clock, for numbers that must not fall over a restart; never for spans."""
    return time.time()


def birth():
    """A whole number that differs from one start of a process to the next, for seeds of what must differ so."""
    return time.time_ns() ^ os.getpid() << 40


def sleep(span):
    gevent.sleep(max(0.0, span) / 1000)


def hold_up(span):
    """The whole thread stands still, whatever else it has to do: what a disk or a stop does to it."""
    time.sleep(span / 1000)


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
    import numpy as np  # here: a program that never draws by it is spared its memory

    return np.random.Generator(np.random.PCG64([int(seed), *map(int, streams)]))


class Jitter:
    """Numbers from 0 to 1 from a seed, for waits that must not fall in step; a linear congruential generator."""

    def __init__(self, seed):
        self.state = seed & (2**64 - 1)

    def random(self):
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.state >> 33) / 2**31


def resident_size():
    """Bytes of memory that are resident for this process, mapped files included."""
    try:
        with open("/proc/self/statm") as sizes:
            return int(sizes.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss << 10


def takes_error_output():
    """Whether standard error takes some bytes at once; True where that cannot be asked."""
    asked = select.poll()
    asked.register(STANDARD_ERROR, select.POLLOUT)
    try:
        return any(events & select.POLLOUT for _, events in asked.poll(0))
    except OSError:
        return True


def write_error_line(line):
    """Writes one line to standard error and returns True, or False where that would wait or fails."""
    if not takes_error_output():
        return False
    try:
        os.write(STANDARD_ERROR, line.encode("utf-8", "replace") + b"\n")
        return True
    except OSError:
        return False  # nobody reads it any more


def on_signal(names, call):
    """Has `call` made in a greenlet of its own at these signals: one that fails does not end the process."""
    for name in names:
        gevent.signal_handler(getattr(signals, name), gevent.spawn, call)


class Apart:
    """A call in a thread of its own, for what may stand still (a disk): the other greenlets go on."""

    def __init__(self, call, *fields, pool=None, **named):
        # Not by its truth: an idle pool is an empty one, and the hub's would be taken, many threads for one.
        self.result = (get_hub().threadpool if pool is None else pool).spawn(call, *fields, **named)

    def wait(self, limit=None):
        """What the call returned, or what it raised; Timeout after `limit` ms, and the call goes on."""
        try:
            return self.result.get(timeout=None if limit is None else max(0.0, limit) / 1000)
        except gevent.Timeout:
            raise Timeout() from None


class Worker:
    """One thread; calls given to it are made one after the other, in the order in which they were given."""

    def __init__(self):
        from gevent.threadpool import ThreadPool  # here: a program without such calls is spared its memory

        self.pool = ThreadPool(1)

    def call(self, call, *fields, **named):
        return Apart(call, *fields, pool=self.pool, **named).wait()


class Turnstile:
    """Greenlets pass one at a time, in the order in which they came: `with` it, around what waits and must not be met half done."""

    def __init__(self):
        self.held = BoundedSemaphore(1)

    def __enter__(self):
        self.held.acquire()

    def __exit__(self, *_):
        self.held.release()


class Wait:
    """One greenlet that waits for the first of several things; whatever wakes it later finds it `done`."""

    __slots__ = "me", "done"

    def __init__(self):
        self.me, self.done = getcurrent(), False

    def wake(self, why):
        """From the hub only."""
        if not self.done:
            self.done = True
            self.me.switch(why)


def park(wait, limit):
    """Gives way until something wakes `wait`; "late" after `limit` ms."""
    hub, timer = get_hub(), None
    if limit is not None:
        timer = hub.loop.timer(limit / 1000 if limit > 0 else 0.0)
        # Against a loop that was held up: its own reading of the clock is from before, and a wait shorter than the hold-up
        # would be over before it began (a node that could be reached taken for one that is gone).
        timer.start(wait.wake, "late", update=True)
    try:
        return hub.switch()
    finally:
        wait.done = True
        if timer:
            timer.stop()
            timer.close()


class Once:
    """A value set once, by the first to come; any greenlet may wait for it."""

    __slots__ = "held", "waits", "is_set"

    def __init__(self):
        self.held, self.waits, self.is_set = None, [], False

    def set(self, value=True):
        if self.is_set:
            return False
        self.is_set, self.held = True, value
        for wait in self.waits:
            get_hub().loop.run_callback(wait.wake, "set")
        return True

    def ready(self):
        return self.is_set

    def value(self):
        return self.held

    def wait(self, limit=None):
        """The value, or Timeout after `limit` ms."""
        if not self.is_set:
            wait = Wait()
            self.waits.append(wait)
            why = park(wait, limit)
            self.waits.remove(wait)
            if why == "late" and not self.is_set:
                raise Timeout()
        return self.held


class Mailbox:
    """A bounded queue with one reader. `put` never waits: a full box answers False and the caller decides what that
    means."""

    def __init__(self, most):
        self.most, self.things, self.reader = most, deque(), None

    def put(self, thing):
        if len(self.things) >= self.most:
            return False
        self.things.append(thing)
        if self.reader:
            get_hub().loop.run_callback(self.reader.wake, "put")
            self.reader = None
        return True

    def take(self, limit=None):
        """The next thing, or None after `limit` ms."""
        if not self.things:
            self.reader = Wait()
            try:
                park(self.reader, limit)
            finally:
                self.reader = None
        return self.things.popleft() if self.things else None

    def drain(self):
        things, self.things = list(self.things), deque()
        return things

    def __len__(self):
        return len(self.things)


class Port:
    """A socket that never blocks the process, and the greenlets that wait on it: one to read, one to write."""

    def __init__(self, sock):
        sock.setblocking(False)
        self.sock, self.open, self.watchers, self.parked = sock, True, {}, {}

    def until(self, event, limit=None, once=None):
        """Waits for READ or WRITE: "ready", "late", or "set" where `once` came first. OSError once closed."""
        if not self.open:
            raise OSError(errno.EBADF, "closed here")
        watcher = self.watchers.get(event)
        if watcher is None:
            watcher = self.watchers[event] = get_hub().loop.io(self.sock.fileno(), event)
        wait = self.parked[event] = Wait()
        watcher.start(wait.wake, "ready")
        if once is not None:
            once.waits.append(wait)
        try:
            why = park(wait, limit)
        finally:
            self.parked.pop(event, None)
            if self.open:
                watcher.stop()
            if once is not None:
                once.waits.remove(wait)
        # Closed in the same turn in which its limit ended it is late and closed, and has no descriptor to ask.
        if why == "closed" or not self.open:
            raise OSError(errno.EBADF, "closed here")
        # After a loop was held up its timers come before what the same turn would bring: a node's answer or a connection that
        # was there in time would be called late, and bytes that came at the limit would never be read.
        return "ready" if why == "late" and self.ready(event) else why

    def ready(self, event):
        return self.shows(POLLED[event])

    def shows(self, events):
        """Whether one of these poll events, an error or a break is there now."""
        asked = select.poll()
        asked.register(self.sock, events)
        return bool(asked.poll(0))

    def close(self):
        if self.open:
            self.open = False
            for watcher in self.watchers.values():
                watcher.stop()
                watcher.close()
            # Whoever waits here is woken: its descriptor may be another's before long.
            for wait in self.parked.values():
                get_hub().loop.run_callback(wait.wake, "closed")
            self.sock.close()


class Stream(Port):
    """A byte stream. `recv` and `send` hold up this greenlet for at most `limit` ms; b'' is the peer's end."""

    def __init__(self, sock):
        super().__init__(sock)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            pass  # already reset by its peer: the next read says so

    def send(self, data, limit=None):
        """Sends all of `data`; raises Timeout or OSError. `sent` holds how many bytes left, whatever happened."""
        self.send_or(None, data, limit)

    def send_or(self, once, data, limit=None):
        """As `send`: True, or False as soon as `once` is set while there is no room for more."""
        self.sent, size, end = 0, len(data), None
        while True:
            try:
                self.sent += self.sock.send(data if not self.sent else memoryview(data)[self.sent :])
            except BlockingIOError:
                pass
            if self.sent >= size:
                return True
            if once is not None and once.is_set:
                return False
            if end is None and limit is not None:
                end = now() + limit
            if self.until(WRITE, None if end is None else end - now(), once) == "late":
                raise Timeout()

    def recv(self, size, limit=None):
        return self.recv_or(None, size, limit)

    def recv_or(self, once, size, limit=None):
        """Bytes as `recv`, or None as soon as `once` is set; what is set is looked at first."""
        while True:
            if once is not None and once.is_set:
                return None
            why = self.until(READ, limit, once)
            if why == "set" or once is not None and once.is_set:
                return None
            if why == "late":
                raise Timeout()
            try:
                return self.sock.recv(size)
            except BlockingIOError:
                continue

    def peek(self):
        """The next byte, b'' where the peer's end or a break is what comes next, None where nothing waits to be read."""
        try:
            return self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def waiting(self):
        """True where bytes, an end or an error wait to be read: an idle connection must show none."""
        return self.peek() is not None

    def ended(self):
        """True where the peer's end or a break has come, also behind bytes that nobody has read."""
        return self.peek() == b"" or self.shows(select.POLLRDHUP)

    def reset(self):
        """Closes with a reset instead of an orderly end, as a process that dies does."""
        if self.open:
            try:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            except OSError:
                pass
            self.close()


class LingeringCloses:
    """Orderly ends of streams on which the peer may still be writing: sending ends, what comes is read and dropped until the
    peer's end, for `limit` ms and `size` bytes at most, then the stream is closed (RFC 9112, 9.6).

    Against a close with bytes unread: it is a reset, which takes with it what was written last and is still on its way. At
    most `most` linger at a time, so that a flood holds no descriptors: from any other only what has come is dropped."""

    def __init__(self, most, limit, size):
        self.most, self.limit, self.size, self.lingering = most, limit, size, 0

    def close(self, stream):
        self.lingering += 1
        try:
            stream.sock.shutdown(socket.SHUT_WR)
            left, end = self.size, now() + (self.limit if self.lingering <= self.most else 0.0)
            while left > 0:
                size = len(stream.recv(min(left, 16384), end - now()))
                if not size:
                    break
                left -= size
        except (OSError, Timeout):
            pass  # it broke, or its time is over
        finally:
            self.lingering -= 1
            stream.close()


def address(text):
    """'host:port' to (host, port); raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"'{text}' is no host:port")
    return host, int(port)


def connect(to, limit):
    """A Stream to 'host:port'; raises Refused, after which it is known that nothing was sent."""
    stream = None
    try:
        stream = Stream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        code = stream.sock.connect_ex(address(to))
        if code == errno.EINPROGRESS:
            if stream.until(WRITE, limit) == "late":
                raise Refused("late")
            code = stream.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise Refused(errno.errorcode.get(code, str(code)).lower())
        return stream
    except BaseException as trouble:
        if stream:
            stream.close()
        if isinstance(trouble, (OSError, ValueError)):
            raise Refused(errno.errorcode.get(getattr(trouble, "errno", None), "refused").lower()) from None
        raise


class Listener(Port):
    """Accepts streams on 'host:port' (port 0: any); `where` is the address it got."""

    def __init__(self, at, backlog=1024):
        super().__init__(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.sock.bind(address(at))
            self.sock.listen(backlog)
        except OSError:
            self.close()
            raise
        self.where = "%s:%d" % self.sock.getsockname()[:2]

    def accept(self):
        """The next Stream, or None once closed. Out of descriptors raises OSError: the caller must pause."""
        while self.open:
            try:
                return Stream(self.sock.accept()[0])
            except (BlockingIOError, ConnectionAbortedError):
                pass
            except OSError:
                if self.open:
                    raise
                return None
            try:
                self.until(READ)
            except OSError:
                return None

    def backlog(self, most):
        """Up to `most` streams that the machine has accepted and nobody has taken: a peer may have written on them."""
        streams = []
        try:
            while len(streams) < most:
                streams.append(Stream(self.sock.accept()[0]))
        except OSError:
            pass  # none is left, or there is no descriptor for one more
        return streams


def serve(listener, handle, log, most=None, waits=False):
    """Accepts until the listener closes, a greenlet a stream.

    Past `most` streams a new one is closed at once or, with `waits`, left with the machine until another has ended.
    """
    held, turn = set(), 0
    while True:
        if waits and len(held) >= most:
            sleep(FULL_WAIT)
            continue
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
        else:
            one = gevent.spawn(handle, stream)
            held.add(one)
            one.rawlink(held.discard)
        turn += 1
        if turn % ACCEPTS_PER_TURN == 0:
            sleep(0)  # else a flood of connections keeps all other greenlets waiting


class Datagrams(Port):
    """Small lossy messages. `send` drops what cannot go at once."""

    def __init__(self, at):
        super().__init__(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
        self.sock.bind(address(at))
        self.where = "%s:%d" % self.sock.getsockname()[:2]
        self.received = 0

    def send(self, to, data):
        try:
            self.sock.sendto(data, address(to))
        except (OSError, ValueError):
            pass

    def recv(self, size):
        """(bytes, sender) or None once closed."""
        while True:
            try:
                data, who = self.sock.recvfrom(size)
                self.received += 1
                if self.received % DATAGRAMS_PER_TURN == 0:
                    sleep(0)  # else a flood keeps all other greenlets waiting
                return data, "%s:%d" % who[:2]
            except ConnectionError:
                continue  # an earlier datagram met a closed port: that is loss, not an end
            except BlockingIOError:
                pass
            except OSError:
                return None
            try:
                self.until(READ)
            except OSError:
                return None


def read_file(path):
    """The file's bytes, or None where there is none."""
    try:
        with open(path, "rb") as f:
            return f.read()
    except FileNotFoundError:
        return None


class AppendFile:
    """Grows at its end. Every call may wait for the disk: while others are served it is made through Apart."""

    def __init__(self, path):
        self.path, self.fd = path, os.open(path, os.O_RDWR | os.O_CREAT, 0o644)
        self.size = os.lseek(self.fd, 0, os.SEEK_END)

    def append(self, data):
        """All of `data` synced, or nothing of it: what a failed write left is cut off again. Raises OSError."""
        at = 0
        try:
            while at < len(data):
                at += os.write(self.fd, data[at:])
            os.fdatasync(self.fd)
        except OSError:
            self.cut(self.size)
            raise
        self.size += len(data)

    def cut(self, size):
        os.ftruncate(self.fd, size)
        os.lseek(self.fd, size, os.SEEK_SET)
        self.size = size

    def close(self):
        os.close(self.fd)


def remove_file(path):
    try:
        os.unlink(path)
    except FileNotFoundError:
        pass


def make_folder(path):
    os.makedirs(path, exist_ok=True)


def folder_files(folder, ending):
    """Paths in `folder` with that ending, in order of name."""
    return [os.path.join(folder, name) for name in sorted(os.listdir(folder)) if name.endswith(ending)]


def replace_file(path, data):
    """Whole or absent: written beside, synced, renamed, and the folder synced. Waits for the disk, as AppendFile does."""
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
