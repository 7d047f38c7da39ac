"""The client side of the proxy: requests read, held while the decisions work, answered once."""

from .. import host
from ..interface import SUCCEEDED
from ..tenants.tenancy import LATER, UNKNOWN
from ..wire import http, invocation

MAX_PIPELINED = 16  # requests read ahead on one connection
READ_AHEAD = 65536  # bytes kept of what comes behind those, or behind what is bad, so that the client's close is still seen
MAX_LINGERING, LINGER_TIMEOUT, LINGER_SIZE = (
    64,
    2000.0,
    1 << 20,
)  # connections, ms and bytes read behind a last answer
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LATER_IN = 1000.0  # ms after which one that waits for a younger view may come back
WRITE_TIMEOUT = 5000.0  # a client that does not read its answer for so long is cut off


class Clients:
    def __init__(self, rounds, operations, admit, limits, margins, read_limit, idle_limit, inside, log):
        """`operations` maps names in bytes to an index; `admit(tenant, op)` gives (verdict of tenancy.py, number);
        `limits` are bytes of header and body; `margins[op]` is (time limit, margin) in ms; `inside(path)` answers what is asked of the proxy itself."""
        self.rounds, self.operations, self.admit, self.limits = rounds, operations, admit, limits
        self.margins, self.read_limit, self.idle_limit, self.inside = margins, read_limit, idle_limit, inside
        self.log, self.stopping, self.open, self.busy = log, False, set(), set()
        self.lingering = host.LingeringCloses(MAX_LINGERING, LINGER_TIMEOUT, LINGER_SIZE)

    def handle(self, stream):
        self.rounds.watch.on_connection()
        self.open.add(stream)
        close = stream.close
        try:
            if self.converse(stream):

                def close():
                    return self.lingering.close(stream)
        except (OSError, host.Timeout):
            pass  # a client that broke off or does not read: nobody is there to be told
        finally:
            close()
            self.open.discard(stream)
            self.busy.discard(stream)

    def converse(self, stream):
        """True where it was ended here, with a last answer that the client may not have read while it still writes."""
        reader, bad = http.RequestReader(*self.limits), None
        came = host.now()
        while True:
            while not reader.ready and not bad:
                if reader.ahead:
                    data, reader.ahead = reader.ahead, b""
                    bad = self.feed(reader, data)
                    continue
                if not reader.begun:
                    self.busy.discard(stream)
                try:
                    # From its first byte on a request has one time in all: a byte a second keeps nothing open.
                    left = came + self.read_limit - host.now() if reader.begun else self.idle_limit
                    if left <= 0:
                        raise host.Timeout()
                    data = stream.recv(65536, left)
                except host.Timeout:
                    if reader.begun:
                        stream.send(
                            invocation.rejected(http.BadRequest(408, "the request was not whole in time")),
                            100,
                        )
                    return reader.begun
                if not data:
                    return False
                if not reader.begun:
                    came = host.now()
                bad = self.feed(reader, data)
                self.busy.add(stream)
                if reader.wants_continue and not bad:
                    reader.wants_continue = False
                    stream.send(CONTINUE, WRITE_TIMEOUT)
            while reader.ready:
                request = reader.ready.pop(0)
                answer, keep, gone, worse = self.answer(stream, reader, request, came)
                bad = bad or worse
                if gone:
                    return False
                stream.send(answer, WRITE_TIMEOUT)
                if not keep:
                    return True
            if bad:
                stream.send(invocation.rejected(bad), WRITE_TIMEOUT)
                return True

    @staticmethod
    def feed(reader, data):
        try:
            reader.feed(data)
        except http.BadRequest as bad:
            return bad

    def answer(self, stream, reader, request, came):
        """(bytes, keep open, client gone, what was bad in bytes read meanwhile)."""
        method, url, headers, body, keep = request
        if url.startswith(b"/-/"):
            return (*self.inside(url, keep), False, None)
        keep = keep and not self.stopping
        try:
            op, name, key, mark, patience = invocation.asked(method, url, headers, self.operations)
            verdict, tenant = self.admit(name, op)
            if verdict == UNKNOWN:
                raise http.BadRequest(403, "Gannet-Tenant names no tenant here")
        except http.BadRequest as bad:
            return invocation.rejected(bad), False, False, None
        limit, margin = self.margins[op]
        left = min(patience or limit, limit) - margin - (host.now() - came)
        if self.stopping:
            return invocation.throttled(0, False, b"throttled: this proxy is stopping\n"), False, False, None
        if verdict == LATER:
            # Nothing ran, and the directory may know better soon.
            return (
                invocation.throttled(LATER_IN, keep, b"throttled: the list of tenants is too old for this\n"),
                keep,
                False,
                None,
            )
        # By its mark: a key is shared by all that belongs together, and would make of every caller one that comes again.
        self.rounds.watch.on_request(host.now(), mark)
        held = self.rounds.take(op, tenant, key, max(0.0, left), url, headers, body)
        if held is None:
            return (
                invocation.throttled(self.rounds.wait, keep, b"throttled: %s\n" % self.rounds.why),
                keep,
                False,
                None,
            )
        held.extra.gone = stream.ended
        gone, worse = self.wait(stream, reader, held, margin)
        if gone:
            return b"", False, True, None
        kind, *facts = held.answer
        if kind == SUCCEEDED:
            return invocation.succeeded(*facts, keep), keep, False, worse
        if kind == "throttled":
            return invocation.throttled(facts[0], keep), keep, False, worse
        return invocation.terminated(facts[0], keep), keep, False, worse

    def wait(self, stream, reader, held, margin):
        """Until the answer stands. Reads on meanwhile: an end means that the client has gone."""
        bad = None
        while True:
            left = held.deadline + margin / 2 - host.now()
            try:
                full = bad or len(reader.ready) >= MAX_PIPELINED or reader.ahead
                if full and len(reader.ahead) >= READ_AHEAD:
                    held.extra.done.wait(left)
                    return False, bad
                data = stream.recv_or(held.extra.done, 65536, left)
            except host.Timeout:
                # Nothing decided in time, whatever the reason: the client must hear something while it listens.
                self.log.error("answer overdue", inv=held.ident)
                self.rounds.leave(held, "terminated", True)
                return False, bad
            except OSError:
                data = b""
            if data is None:
                return False, bad
            if not data:
                self.rounds.leave(held)
                return True, bad
            if full:
                reader.ahead += data
            else:
                bad = self.feed(reader, data)
