"""The invocation protocol on HTTP/1.1, without I/O: `POST /<operation>` and its three kinds of answer.

Request headers: `Idempotency-Key` (identifies a fingerprinted invocation), `Gannet-Tenant`, `Gannet-Key` (what the
invocation concerns; invocations of the same key are routed together) and `Gannet-Patience-Ms` (how long the client
still waits). In a dispatch to a node the proxy adds `Gannet-From`, `Gannet-Dispatch` and `Gannet-Time-Limit-Ms`; all
other end-to-end headers pass through.

Answers carry `Gannet-Answer`:

- succeeded: the node's status, headers and body.
- throttled: 429, safe to retry, with `Retry-After` in whole seconds and `Gannet-Retry-After-Ms`.
- terminated: 504 after a timeout, else 502. The invocation may or may not have been executed.

A node reports that it has not started an invocation with 503 and `Gannet-Unseen: 1`.
"""

from math import ceil

from ..interface import ERROR, FULL, SUCCEEDED
from . import numbers
from .http import AnswerReader, BadRequest, answer, end_to_end_headers, header, request

# Headers that are meant for one hop only: the proxy does not forward them between clients and nodes.
UNFORWARDED_HEADERS = {
    b"gannet-patience-ms",
    b"gannet-from",
    b"gannet-dispatch",
    b"gannet-time-limit-ms",
    b"gannet-answer",
    b"gannet-unseen",
    b"gannet-retry-after-ms",
}
MAX_KEY_BYTES = 256  # for Gannet-Key and Idempotency-Key


def parse_invocation(method, url, headers, operations):
    """Parses the request line and headers of an invocation.

    Returns (operation index, tenant or None, key or None, idempotency key or None, patience in ms or None);
    raises BadRequest. `operations` maps the operations' names in bytes to their indexes.
    """
    name = url.split(b"?", 1)[0][1:]
    if name not in operations:
        known = b", ".join(operations).decode()
        raise BadRequest(404, f"no operation '{name[:64].decode('latin-1')}'; there are: {known}")
    if method != b"POST":
        raise BadRequest(405, "an invocation is a POST")
    by_name = dict(headers)
    tenant = by_name.get(b"gannet-tenant")
    patience = by_name.get(b"gannet-patience-ms")
    if patience is not None:
        try:
            patience = numbers.number(patience.decode("latin-1"))
        except ValueError:
            patience = 0.0
        # A wait of zero or less is over before any answer could be sent.
        if patience <= 0:
            raise BadRequest(400, "Gannet-Patience-Ms must be a number above 0")
    key, idempotency_key = by_name.get(b"gannet-key"), by_name.get(b"idempotency-key")
    for header_name, value in (("Gannet-Key", key), ("Idempotency-Key", idempotency_key)):
        if value is not None and not 0 < len(value) <= MAX_KEY_BYTES:
            raise BadRequest(400, f"{header_name} must have 1 to {MAX_KEY_BYTES} bytes")
    key_text = None if key is None else key.decode("latin-1")
    return operations[name], tenant, key_text, idempotency_key, patience


def forwarded_headers(headers):
    """The client's headers that are passed on to a node."""
    return [(name, value) for name, value in end_to_end_headers(headers) if name not in UNFORWARDED_HEADERS]


def name_of(content):
    """The client's name for the invocation `content`, as the trail records it; at most 200 characters."""
    _, headers, _ = content
    return (header(headers, b"x-request-id") or header(headers, b"idempotency-key") or b"").decode("latin-1")[
        :200
    ]


def dispatch(content, address, name, seq, limit):
    """The bytes of the request that dispatches the invocation `content` to the node at `address`.

    `name` identifies the proxy, `seq` the dispatch; `limit` is the time limit in ms.
    """
    path, headers, body = content
    proxy_headers = [
        (b"gannet-from", name),
        (b"gannet-dispatch", b"%d" % seq),
        (b"gannet-time-limit-ms", b"%.0f" % limit),
    ]
    return request(path, address.encode(), forwarded_headers(headers) + proxy_headers, body)


class Reply(AnswerReader):
    """Reads a node's answer to a dispatch."""

    begins_whole = False  # a node may start on the first part of a request

    def outcome(self):
        """FULL, SUCCEEDED or ERROR. A status below 500 is the service's own answer and counts as succeeded."""
        if self.status == 503 and header(self.headers, b"gannet-unseen") == b"1":
            return FULL
        return SUCCEEDED if self.status < 500 else ERROR

    def content(self):
        """(status, headers, body) of the answer."""
        return self.status, self.headers, self.body

    def load(self):
        """The load that the node reports, as up to four {name: value}; malformed entries are ignored."""
        reported = {}
        for part in (header(self.headers, b"gannet-load") or b"").split(b","):
            name, _, number = part.strip().partition(b"=")
            try:
                value = numbers.number(number.decode("latin-1"))
            except ValueError:
                continue
            if value >= 0 and len(reported) < 4:
                reported[name.decode("latin-1")] = value
        return reported


def succeeded(status, headers, body, keep):
    """The bytes of an answer with a node's result; the connection closes after it unless `keep`."""
    passed_on = [
        (name, value) for name, value in end_to_end_headers(headers) if name not in UNFORWARDED_HEADERS
    ]
    return answer(status, passed_on + [(b"gannet-answer", b"succeeded")], body, keep)


def throttled(retry_in, keep, why=b"throttled: nothing was done or doing it again is harmless\n"):
    """The bytes of an answer that allows a retry, after `retry_in` ms where that is above 0."""
    headers = [(b"gannet-answer", b"throttled"), (b"content-type", b"text/plain")]
    if retry_in > 0:
        headers += [
            (b"retry-after", b"%d" % ceil(retry_in / 1000)),
            (b"gannet-retry-after-ms", b"%.0f" % retry_in),
        ]
    return answer(429, headers, why, keep)


def terminated(late, keep):
    """The bytes of an answer with an unknown outcome; `late` where the time limit passed."""
    headers = [(b"gannet-answer", b"terminated"), (b"content-type", b"text/plain")]
    return answer(504 if late else 502, headers, b"terminated: it may or may not have been done\n", keep)


def rejected(bad_request):
    """The bytes of the answer to a request that was rejected with BadRequest; the connection closes after it."""
    return answer(
        bad_request.status,
        [(b"content-type", b"text/plain")],
        bad_request.why.encode("latin-1", "replace") + b"\n",
        False,
    )
