"""The client side of the proxy: reads requests, holds them while the balancer works and answers each once."""

from .. import host
from ..interface import SUCCEEDED
from ..tenants.tenancy import LATER, UNKNOWN
from ..wire import http, invocation

MAX_PIPELINED = 16  # requests read ahead on one connection
MAX_READ_AHEAD = (
    65536  # bytes kept beyond those, or behind a bad request, so that the client's close is still seen
)
MAX_LINGERING = 64  # connections
LINGER_TIMEOUT_MS = 2000.0
LINGER_SIZE = 1 << 20  # bytes read after a last answer
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
STALE_TENANTS_RETRY_MS = 1000.0  # retry advice while the tenant list is too old
WRITE_TIMEOUT_MS = 5000.0  # a client that doesn't read its answer for this long is disconnected


class Clients:
    """The connections of clients. `open` holds all of them, `busy` those with a request under way."""

    def __init__(
        self, rounds, operations, admit, limits, margins, read_limit, idle_limit, internal_page, log
    ):
        """`operations` maps names in bytes to an index. `admit(tenant, operation)` returns (verdict, number)
        as in tenancy.py. `limits` are the bytes of headers and body. `margins[operation]` is (time limit,
        margin) in ms. `read_limit` is the time for one request and `idle_limit` the time between requests, in
        ms. `internal_page(path, keep)` answers requests to the proxy itself."""
        self.rounds = rounds
        self.operations = operations
        self.admit = admit
        self.limits = limits
        self.margins = margins
        self.read_limit = read_limit
        self.idle_limit = idle_limit
        self.internal_page = internal_page
        self.log = log
        self.stopping = False
        self.open = set()
        self.busy = set()
        self.lingering = host.LingeringCloses(MAX_LINGERING, LINGER_TIMEOUT_MS, LINGER_SIZE)

    def handle(self, stream):
        """Serves one connection until it ends, and closes it."""
        self.rounds.watch.on_connection()
        self.open.add(stream)
        close = stream.close
        try:
            if self.serve(stream):

                def close():
                    return self.lingering.close(stream)
        except (OSError, host.Timeout):
            pass  # the client disconnected or does not read: there is nobody to answer
        finally:
            close()
            self.open.discard(stream)
            self.busy.discard(stream)

    def serve(self, stream):
        """Serves the requests of a connection.

        Returns True if the proxy ended it: the client may be writing and not have read its answer yet."""
        reader, bad_request = http.RequestReader(*self.limits), None
        arrived = host.now()
        while True:
            while not reader.ready and not bad_request:
                if reader.ahead:
                    data, reader.ahead = reader.ahead, b""
                    bad_request = self.feed(reader, data)
                    continue
                if not reader.begun:
                    self.busy.discard(stream)
                try:
                    # The time limit is for the whole request, from its first byte on: a client that sends a
                    # byte a second must not keep its connection open for ever.
                    time_left = arrived + self.read_limit - host.now() if reader.begun else self.idle_limit
                    if time_left <= 0:
                        raise host.Timeout()
                    data = stream.recv(65536, time_left)
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
                    arrived = host.now()
                bad_request = self.feed(reader, data)
                data = b""  # not kept while the connection waits
                self.busy.add(stream)
                if reader.wants_continue and not bad_request:
                    reader.wants_continue = False
                    stream.send(CONTINUE, WRITE_TIMEOUT_MS)
            while reader.ready:
                request = reader.ready.pop(0)
                answer, keep, client_gone, later_bad_request = self.answer(stream, reader, request, arrived)
                bad_request = bad_request or later_bad_request
                if client_gone:
                    return False
                stream.send(answer, WRITE_TIMEOUT_MS)
                if not keep:
                    return True
            if bad_request:
                stream.send(invocation.rejected(bad_request), WRITE_TIMEOUT_MS)
                return True

    @staticmethod
    def feed(reader, data):
        """Returns the BadRequest that the data led to, or None."""
        try:
            reader.feed(data)
        except http.BadRequest as bad_request:
            return bad_request

    def answer(self, stream, reader, request, arrived):
        """Serves one request.

        Returns (answer in bytes, whether to keep the connection, whether the client has gone, BadRequest or
        None from the bytes that were read meanwhile)."""
        method, url, headers, body, keep = request
        if url.startswith(b"/-/"):
            return (*self.internal_page(url, keep), False, None)
        keep = keep and not self.stopping
        try:
            operation, tenant_name, key, mark, patience = invocation.parse_invocation(
                method, url, headers, self.operations
            )
            verdict, tenant = self.admit(tenant_name, operation)
            if verdict == UNKNOWN:
                raise http.BadRequest(403, "Gannet-Tenant names no tenant here")
        except http.BadRequest as bad_request:
            return invocation.rejected(bad_request), False, False, None
        limit, margin = self.margins[operation]
        time_left = min(patience or limit, limit) - margin - (host.now() - arrived)
        if self.stopping:
            return invocation.throttled(0, False, b"throttled: this proxy is stopping\n"), False, False, None
        if verdict == LATER:
            # Nothing was executed, and the directory may soon give a newer list.
            return (
                invocation.throttled(
                    STALE_TENANTS_RETRY_MS, keep, b"throttled: the list of tenants is too old for this\n"
                ),
                keep,
                False,
                None,
            )
        # Retries are counted by the mark (Idempotency-Key). A Gannet-Key is shared by all invocations that
        # belong together, so every caller would look like one that retries.
        self.rounds.watch.on_request(host.now(), mark)
        held = self.rounds.accept(operation, tenant, key, max(0.0, time_left), url, headers, body)
        if held is None:
            return (
                invocation.throttled(
                    self.rounds.retry_after, keep, b"throttled: %s\n" % self.rounds.refusal_reason
                ),
                keep,
                False,
                None,
            )
        held.context.client_gone = stream.ended
        client_gone, later_bad_request = self.wait_for_answer(stream, reader, held, margin)
        held.context.end(held.answer[0] == SUCCEEDED)
        if client_gone:
            return b"", False, True, None
        kind, *details = held.answer
        if kind == SUCCEEDED:
            return invocation.succeeded(*details, keep), keep, False, later_bad_request
        if kind == "throttled":
            return invocation.throttled(details[0], keep), keep, False, later_bad_request
        return invocation.terminated(details[0], keep), keep, False, later_bad_request

    def wait_for_answer(self, stream, reader, held, margin):
        """Waits for the final answer; returns (whether the client has gone, BadRequest or None).

        It reads on meanwhile, as the end of the stream means that the client has gone."""
        bad_request = None
        while True:
            time_left = held.deadline + margin / 2 - host.now()
            try:
                full = bad_request or len(reader.ready) >= MAX_PIPELINED or reader.ahead
                if full and len(reader.ahead) >= MAX_READ_AHEAD:
                    held.context.done.wait(time_left)
                    return False, bad_request
                data = stream.recv_or(held.context.done, 65536, time_left)
            except host.Timeout:
                # No decision came in time, for whatever reason: the client is answered while it still waits.
                self.log.error("answer overdue", inv=held.invocation_id)
                self.rounds.abandon(held, "terminated", True)
                return False, bad_request
            except OSError:
                data = b""
            if data is None:
                return False, bad_request
            if not data:
                self.rounds.abandon(held)
                return True, bad_request
            if full:
                reader.ahead += data
            else:
                bad_request = self.feed(reader, data)
            data = b""  # not kept while the answer is awaited
