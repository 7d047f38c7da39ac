"""HTTP/1.1 codec without I/O: turns bytes into complete requests or answers (RFC 9112; httptools parses).

Headers are lists of (lower-case name, value) in bytes. The request reader limits the size of the request line, the
headers and the body; the answer reader determines whether the connection can be reused.
"""

from http import HTTPStatus

import httptools

from . import BadAnswer

# Hop-by-hop headers (RFC 9110 7.6.1), and those that each hop sets for itself.
HOP_BY_HOP_HEADERS = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"content-length",
    b"expect",
    b"host",
}


MAX_FIELDS = 128  # of a head; a short field takes far more memory than it has bytes


class BadRequest(Exception):
    """A rejected request: it is answered with `status` and the text `why`, then the connection is closed."""

    def __init__(self, status, why):
        super().__init__(why)
        self.status, self.why = status, why


class RequestReader:
    """Parses requests from the bytes given to `feed`.

    Attributes:
        ready: the complete requests as (method, path, headers, body, keep-alive).
        begun: whether a request is partly read.
        wants_continue: whether the client waits for '100 Continue'; whoever sends that resets it.
        ahead: storage for the caller's bytes that are to be fed later.
    """

    def __init__(self, header_limit, body_limit):
        self.header_limit, self.body_limit = header_limit, body_limit
        self.ready = []
        self.begun = False
        self.wants_continue = False
        self.in_head = True
        self.fed_size = 0
        self.bad_request = None
        self.ahead = b""
        self.parser = httptools.HttpRequestParser(self)

    def feed(self, data):
        """Parses `data`; raises BadRequest where it violates the protocol or a limit."""
        if not self.begun and data:
            data = data.lstrip(b"\r\n")  # RFC 9112 2.2: empty lines before a request are ignored
            if not data:
                return
        try:
            if self.in_head and self.fed_size + len(data) > 4096:
                self.feed_head(data)
            else:
                self.fed_size += len(data) if self.in_head else 0
                self.begun = True
                self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise BadRequest(400, "upgrades are not offered") from None
        except httptools.HttpParserError as error:
            if self.bad_request:
                raise self.bad_request from None
            raise BadRequest(400, f"not HTTP/1.1: {error}"[:200]) from None

    def feed_head(self, data):
        # Feeds pieces of 4096 bytes, so that an oversized head is rejected soon after it exceeds the limit.
        for offset in range(0, len(data), 4096):
            piece = data[offset : offset + 4096]
            if self.in_head and self.fed_size + len(piece) > self.header_limit + 4096:
                raise BadRequest(431, f"line and headers past {self.header_limit} bytes")
            if self.in_head:
                self.fed_size += len(piece)
                self.begun = True
            self.parser.feed_data(piece)

    # Callbacks of httptools. An exception raised in them reaches `feed` as HttpParserCallbackError.
    def fail(self, status, why):
        self.bad_request = BadRequest(status, why)
        raise self.bad_request

    def on_message_begin(self):
        self.url, self.headers, self.body, self.body_size = b"", [], [], 0
        self.begun = self.in_head = True
        self.head_size = 0

    def count_head(self, size):
        self.head_size += size
        if self.head_size > self.header_limit:
            self.fail(431, f"line and headers past {self.header_limit} bytes")

    def on_url(self, url):
        self.count_head(len(url))
        self.url += url

    def on_header(self, name, value):
        self.count_head(len(name) + len(value) + 4)
        if len(self.headers) >= MAX_FIELDS:
            self.fail(431, f"more than {MAX_FIELDS} header fields")
        self.headers.append((name.lower(), value.strip()))

    def on_headers_complete(self):
        self.in_head, self.fed_size = False, 0
        names = [name for name, _ in self.headers]
        # Both, or two of either, allow request smuggling: one hop reads as a body what another reads as a request.
        if b"transfer-encoding" in names and b"content-length" in names:
            self.fail(400, "both Content-Length and Transfer-Encoding")
        if self.parser.should_upgrade():
            self.fail(400, "upgrades are not offered")
        if names.count(b"content-length") > 1 or names.count(b"transfer-encoding") > 1:
            self.fail(400, "a length that stands twice")
        if self.parser.get_http_version() == "1.1" and names.count(b"host") != 1:
            self.fail(400, "one Host header is needed")
        length = header(self.headers, b"content-length")
        if length is not None and int(length) > self.body_limit:
            self.fail(413, f"body past {self.body_limit} bytes")
        expect = header(self.headers, b"expect")
        if expect is not None:
            if expect.lower() != b"100-continue":
                self.fail(417, "only 100-continue can be expected")
            self.wants_continue = True

    def on_body(self, data):
        self.body_size += len(data)
        if self.body_size > self.body_limit:
            self.fail(413, f"body past {self.body_limit} bytes")
        self.body.append(data)

    def on_message_complete(self):
        self.begun = False
        self.in_head = True
        self.wants_continue = False
        self.fed_size = 0
        self.ready.append(
            (
                self.parser.get_method(),
                self.url,
                self.headers,
                b"".join(self.body),
                self.parser.should_keep_alive(),
            )
        )


class AnswerReader:
    """Parses one answer of at most `limit` bytes from the bytes given to `feed`; `wanted` is how many to read next.

    Once `whole` is True, `status`, `headers` and `body` are set, and `reusable` tells whether the connection can
    carry another request. `extra` is True where bytes followed the answer, or where
    the caller sets it to prevent reuse.
    """

    wanted = 65536  # bytes

    def __init__(self, limit):
        self.limit = limit
        self.whole = False
        self.extra = False
        self.ends_at_close = False
        self.received_size = 0
        self.status, self.headers, self.body, self.started = 0, [], b"", False
        self.parser = httptools.HttpResponseParser(self)

    def feed(self, data):
        """Parses `data`; b'' means that the peer closed the connection.

        Raises BadAnswer where the data is malformed or exceeds the limit.
        """
        if not data:
            if self.started and self.ends_at_close and not self.whole:
                self.whole = True  # RFC 9112 6.3: without a length the body ends with the connection
                self.body = b"".join(self.body_parts)
            return
        self.received_size += len(data)
        if self.received_size > self.limit:
            raise BadAnswer(f"past {self.limit} bytes")
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.whole:
                raise BadAnswer(str(error)[:200]) from None
            self.extra = True

    def on_message_begin(self):
        if self.whole:
            # More than the announced length, or a second answer: nothing after it can be trusted.
            self.extra = True
        else:
            self.started, self.received_headers, self.body_parts = False, [], []

    def on_header(self, name, value):
        if not self.whole:
            if len(self.received_headers) >= MAX_FIELDS:
                raise BadAnswer(f"more than {MAX_FIELDS} header fields")
            self.received_headers.append((name.lower(), value.strip()))

    def on_headers_complete(self):
        if not self.whole:
            self.started = True
            self.status = self.parser.get_status_code()
            self.headers = self.received_headers
            names = {name for name, _ in self.headers}
            self.ends_at_close = not names & {
                b"content-length",
                b"transfer-encoding",
            } and self.status not in (
                204,
                304,
            )

    def on_body(self, data):
        if not self.whole:
            self.body_parts.append(data)

    def on_message_complete(self):
        if not self.whole and self.status >= 200:
            self.whole, self.body = True, b"".join(self.body_parts)
            self.keep = self.parser.should_keep_alive()

    @property
    def reusable(self):
        """Whether the connection can carry another request."""
        return self.whole and not self.extra and not self.ends_at_close and self.keep


def header(headers, name):
    """The value of the first header called `name`, or None."""
    return next((value for key, value in headers if key == name), None)


def end_to_end_headers(headers):
    """The end-to-end headers: all but the hop-by-hop headers and those that `Connection` names."""
    end_to_end = [(k, v) for k, v in headers if k not in HOP_BY_HOP_HEADERS]
    for key, value in headers:
        if key == b"connection":
            listed = {option.strip().lower() for option in value.split(b",")}
            end_to_end = [(k, v) for k, v in end_to_end if k not in listed]
    return end_to_end


def request(path, host, headers, body, method=b"POST"):
    """The bytes of a request; its length and Host header are added."""
    lines = [b"%s %s HTTP/1.1" % (method, path), b"host: " + host, b"content-length: %d" % len(body)]
    lines += [k + b": " + v for k, v in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def answer(status, headers, body, keep=True):
    """The bytes of an answer, with `Connection: close` unless `keep`; an answer with status 204 has no body."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = ""
    lines = [b"HTTP/1.1 %d %s" % (status, phrase.encode())]
    if status != 204:
        lines.append(b"content-length: %d" % len(body))
    lines += [k + b": " + v for k, v in headers]
    if not keep:
        lines.append(b"connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + (body if status != 204 else b"")
