"""HTTP/1.1 without I/O: bytes in, whole requests or answers out (RFC 9112; parsing by httptools).

Headers are lists of (lower-case name, value) in bytes. The reader of a request bounds its line, headers and body; the
reader of an answer says whether its connection may carry another.
"""

from http import HTTPStatus

import httptools

from . import BadAnswer

# RFC 9110 7.6.1, and what each hop sets for itself.
HOP = {
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


class BadRequest(Exception):
    """A request that cannot be taken: answered with `status`, then the connection closes."""

    def __init__(self, status, why):
        super().__init__(why)
        self.status, self.why = status, why


class RequestReader:
    """`feed(bytes)`; whole requests wait in `ready` as (method, path, headers, body, keep). `begun` is True while a
    request is part read, `wants_continue` once where its client waits for '100 Continue'. `ahead` is a place for bytes that are
    not to be read yet."""

    def __init__(self, header_limit, body_limit):
        self.header_limit, self.body_limit = header_limit, body_limit
        self.ready, self.begun, self.wants_continue, self.in_head, self.size = [], False, False, True, 0
        self.trouble, self.ahead = None, b""
        self.parser = httptools.HttpRequestParser(self)

    def feed(self, data):
        """Raises BadRequest for what breaks the protocol or a limit."""
        if not self.begun and data:
            data = data.lstrip(b"\r\n")  # RFC 9112 2.2: empty lines before a request are no request
            if not data:
                return
        try:
            if self.in_head and self.size + len(data) > 4096:
                self.headed(data)
            else:
                self.size += len(data) if self.in_head else 0
                self.begun = True
                self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise BadRequest(400, "upgrades are not offered") from None
        except httptools.HttpParserError as error:
            if self.trouble:
                raise self.trouble from None
            raise BadRequest(400, f"not HTTP/1.1: {error}"[:200]) from None

    def headed(self, data):
        # In pieces no larger than what may still come, so that a header of any size is met at its limit.
        for at in range(0, len(data), 4096):
            piece = data[at : at + 4096]
            if self.in_head and self.size + len(piece) > self.header_limit + 4096:
                raise BadRequest(431, f"line and headers past {self.header_limit} bytes")
            if self.in_head:
                self.size += len(piece)
                self.begun = True
            self.parser.feed_data(piece)

    # what httptools calls; an exception raised in these reaches `feed` as HttpParserCallbackError
    def fail(self, status, why):
        self.trouble = BadRequest(status, why)
        raise self.trouble

    def on_message_begin(self):
        self.url, self.headers, self.body, self.held = b"", [], [], 0
        self.begun = self.in_head = True
        self.head = 0

    def grow(self, more):
        self.head += more
        if self.head > self.header_limit:
            self.fail(431, f"line and headers past {self.header_limit} bytes")

    def on_url(self, url):
        self.grow(len(url))
        self.url += url

    def on_header(self, name, value):
        self.grow(len(name) + len(value) + 4)
        self.headers.append((name.lower(), value.strip()))

    def on_headers_complete(self):
        self.in_head, self.size = False, 0
        names = [name for name, _ in self.headers]
        # Both, or two of either: what one hop reads as a body another reads as the next request.
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
        self.held += len(data)
        if self.held > self.body_limit:
            self.fail(413, f"body past {self.body_limit} bytes")
        self.body.append(data)

    def on_message_complete(self):
        self.begun, self.in_head, self.wants_continue, self.size = False, True, False, 0
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
    """Reads one answer. After `whole`: `status`, `headers`, `body`; `reusable` says whether its connection is."""

    def __init__(self, limit):
        self.limit, self.whole, self.extra, self.closes, self.seen = limit, False, False, False, 0
        self.status, self.headers, self.body, self.started = 0, [], b"", False
        self.parser = httptools.HttpResponseParser(self)

    def feed(self, data):
        """Raises BadAnswer for what is no answer or past the limit; b'' is the peer's end."""
        if not data:
            if self.started and self.closes and not self.whole:
                self.whole = True  # RFC 9112 6.3: without a length its end is the connection's
                self.body = b"".join(self.parts)
            return
        self.seen += len(data)
        if self.seen > self.limit:
            raise BadAnswer(f"past {self.limit} bytes")
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.whole:
                raise BadAnswer(str(error)[:200]) from None
            self.extra = True

    def on_message_begin(self):
        if self.whole:
            self.extra = True  # more than was promised, or a second answer: nothing after it can be trusted
        else:
            self.started, self.fields, self.parts = False, [], []

    def on_header(self, name, value):
        if not self.whole:
            self.fields.append((name.lower(), value.strip()))

    def on_headers_complete(self):
        if not self.whole:
            self.started, self.status, self.headers = True, self.parser.get_status_code(), self.fields
            names = {name for name, _ in self.headers}
            self.closes = not names & {b"content-length", b"transfer-encoding"} and self.status not in (
                204,
                304,
            )

    def on_body(self, data):
        if not self.whole:
            self.parts.append(data)

    def on_message_complete(self):
        if not self.whole and self.status >= 200:
            self.whole, self.body = True, b"".join(self.parts)
            self.keep = self.parser.should_keep_alive()

    @property
    def reusable(self):
        return self.whole and not self.extra and not self.closes and self.keep


def header(headers, name):
    return next((value for key, value in headers if key == name), None)


def carried(headers):
    """The end-to-end headers: without those of one hop and those that `Connection` names."""
    kept = [(k, v) for k, v in headers if k not in HOP]
    for key, value in headers:
        if key == b"connection":
            named = {x.strip().lower() for x in value.split(b",")}
            kept = [(k, v) for k, v in kept if k not in named]
    return kept


def request(path, host, headers, body, method=b"POST"):
    lines = [b"%s %s HTTP/1.1" % (method, path), b"host: " + host, b"content-length: %d" % len(body)]
    lines += [k + b": " + v for k, v in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def answer(status, headers, body, keep=True):
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
