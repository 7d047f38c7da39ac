"""The invocation protocol on HTTP/1.1, without I/O: `POST /<operation>` and its three answers.

Request headers: `Idempotency-Key` (the mark of a fingerprinted invocation), `Gannet-Tenant`, `Gannet-Key` (what it
concerns; the same key goes together), `Gannet-Patience-Ms` (how long the client still waits). To a node the proxy
adds `Gannet-From`, `Gannet-Dispatch` and `Gannet-Time-Limit-Ms`; the rest passes through.

Answers carry `Gannet-Answer`. succeeded: the node's status, headers and body. throttled: 429, harmless to repeat,
with `Retry-After` in whole seconds and `Gannet-Retry-After-Ms`. terminated: 504 when time ran out, else 502; it
promises nothing either way. A node says that it has not begun an invocation with 503 and `Gannet-Unseen: 1`.
"""

from math import ceil, isfinite

from ..interface import ERROR, FULL, SUCCEEDED
from .http import AnswerReader, BadRequest, answer, carried, header, request

OURS = {
    b"gannet-patience-ms",
    b"gannet-from",
    b"gannet-dispatch",
    b"gannet-time-limit-ms",
    b"gannet-answer",
    b"gannet-unseen",
    b"gannet-retry-after-ms",
}
KEY_LIMIT = 256  # bytes of a mark, key or tenant


def asked(method, url, headers, operations):
    """(operation index, tenant or None, key, mark, patience in ms or None); raises BadRequest.

    `operations` maps names in bytes to an index."""
    name = url.split(b"?", 1)[0][1:]
    if name not in operations:
        known = b", ".join(operations).decode()
        raise BadRequest(404, f"no operation '{name[:64].decode('latin-1')}'; there are: {known}")
    if method != b"POST":
        raise BadRequest(405, "an invocation is a POST")
    told = dict(headers)
    tenant = told.get(b"gannet-tenant")
    patience = told.get(b"gannet-patience-ms")
    if patience is not None:
        try:
            patience = float(patience)
        except ValueError:
            patience = float("nan")
        # Nobody waits a time that is not above zero: nothing could be answered before it is over.
        if not isfinite(patience) or patience <= 0:
            raise BadRequest(400, "Gannet-Patience-Ms must be a number above 0")
    key, mark = told.get(b"gannet-key"), told.get(b"idempotency-key")
    for what, value in (("Gannet-Key", key), ("Idempotency-Key", mark)):
        if value is not None and not 0 < len(value) <= KEY_LIMIT:
            raise BadRequest(400, f"{what} must have 1 to {KEY_LIMIT} bytes")
    text = None if key is None else key.decode("latin-1")
    return operations[name], tenant, text, mark, patience


def onward(headers):
    """What of the client's headers a node gets."""
    return [(k, v) for k, v in carried(headers) if k not in OURS]


def name_of(content):
    """What its client calls an invocation, for the trail."""
    _, headers, _ = content
    return (header(headers, b"x-request-id") or header(headers, b"idempotency-key") or b"").decode("latin-1")[
        :200
    ]


def dispatch(content, addr, name, seq, limit):
    """The bytes that a node gets."""
    path, headers, body = content
    mine = [
        (b"gannet-from", name),
        (b"gannet-dispatch", b"%d" % seq),
        (b"gannet-time-limit-ms", b"%.0f" % limit),
    ]
    return request(path, addr.encode(), onward(headers) + mine, body)


class Reply(AnswerReader):
    """A node's answer, as a dispatch reads it."""

    begins_whole = False  # a node may begin on the head of a request

    def outcome(self):
        """What is below 500 is the service's own answer."""
        if self.status == 503 and header(self.headers, b"gannet-unseen") == b"1":
            return FULL
        return SUCCEEDED if self.status < 500 else ERROR

    def content(self):
        return self.status, self.headers, self.body

    def load(self):
        """A node's report of its load, {name: figure}; what cannot be read is left out."""
        load = {}
        for part in (header(self.headers, b"gannet-load") or b"").split(b","):
            name, _, figure = part.strip().partition(b"=")
            try:
                value = float(figure)
            except ValueError:
                continue
            if isfinite(value) and value >= 0 and len(load) < 4:
                load[name.decode("latin-1")] = value
        return load


def succeeded(status, headers, body, keep):
    mine = [(k, v) for k, v in carried(headers) if k not in OURS]
    return answer(status, mine + [(b"gannet-answer", b"succeeded")], body, keep)


def throttled(retry_in, keep, why=b"throttled: nothing was done or doing it again is harmless\n"):
    told = [(b"gannet-answer", b"throttled"), (b"content-type", b"text/plain")]
    if retry_in > 0:
        told += [
            (b"retry-after", b"%d" % ceil(retry_in / 1000)),
            (b"gannet-retry-after-ms", b"%.0f" % retry_in),
        ]
    return answer(429, told, why, keep)


def terminated(late, keep):
    told = [(b"gannet-answer", b"terminated"), (b"content-type", b"text/plain")]
    return answer(504 if late else 502, told, b"terminated: it may or may not have been done\n", keep)


def rejected(bad):
    """Answer to a BadRequest; it was never taken."""
    return answer(
        bad.status, [(b"content-type", b"text/plain")], bad.why.encode("latin-1", "replace") + b"\n", False
    )
