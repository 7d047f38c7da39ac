"""Webhooks of build pipelines, checked without I/O: who sent it, when, whether it is a repeat's twin, and what it offers.

Forms: Standard Webhooks (`webhook-id`, `webhook-timestamp`, `webhook-signature`), the `X-Hub-Signature-256` form with its
delivery id, and CloudEvents 1.0 over HTTP, structured or binary, signed in one of the two ways. The signature is checked
over the raw bytes, in constant time, against every secret that is valid: two of them during a rotation.
"""

import base64
import binascii
import hmac
import json

from ..wire.http import header

LONGEST = 65536  # bytes of a delivery
ID_LIMIT = 200


class Refused(Exception):
    """Answered with `status`; `why` is for the sender and the log, never with a secret or a signature in it."""

    def __init__(self, status, why):
        super().__init__(why)
        self.status, self.why = status, why


class Pipeline:
    """`secrets` in bytes, the valid ones now; builds from `first` to `last` may be offered."""

    def __init__(self, name, secrets, first=2, last=65535):
        self.name, self.secrets, self.first, self.last = name, list(secrets), first, last


def secret_of(text):
    """Bytes of a secret as settings hold it: `whsec_` and base64, or the text itself; raises ValueError."""
    if text.startswith("whsec_"):
        try:
            made = base64.b64decode(text[6:], validate=True)
        except binascii.Error:
            raise ValueError("a whsec_ secret that is no base64") from None
    else:
        made = text.encode()
    if len(made) < 16:
        raise ValueError("a secret under 16 bytes")
    return made


def signed(secrets, data, given):
    """True if one of the `given` digests is that of `data` under one of the secrets. Every pair is compared."""
    fine = False
    for secret in secrets:
        want = hmac.digest(secret, data, "sha256")
        for one in given:
            fine = hmac.compare_digest(want, one) or fine
    return fine


def text_of(headers, name):
    raw = header(headers, name)
    return None if raw is None else raw.decode("latin-1")


def check(pipeline, headers, body, wall, tolerance):
    """(delivery id, build) of a delivery that may be believed; `wall` and `tolerance` in seconds. Raises Refused."""
    if len(body) > LONGEST:
        raise Refused(413, f"past {LONGEST} bytes")
    standard, hub = text_of(headers, b"webhook-signature"), text_of(headers, b"x-hub-signature-256")
    if standard is not None:
        ident, stamp = text_of(headers, b"webhook-id") or "", text_of(headers, b"webhook-timestamp") or ""
        if not stamp.isdigit() or len(stamp) > 12:
            raise Refused(400, "webhook-timestamp is no time")
        given = []
        for part in standard.split(" ")[:8]:
            version, _, digest = part.partition(",")
            if version == "v1":
                try:
                    given.append(base64.b64decode(digest, validate=True))
                except (binascii.Error, ValueError):
                    pass
        if not signed(pipeline.secrets, f"{ident}.{stamp}.".encode("latin-1") + body, given):
            raise Refused(401, "no signature of this pipeline fits")
        # Only after the signature: an unsigned sender learns nothing of our clock.
        if abs(wall - int(stamp)) > tolerance:
            raise Refused(401, "its time is too far from ours")
    elif hub is not None:
        ident = text_of(headers, b"x-github-delivery") or text_of(headers, b"x-delivery-id") or ""
        kind, _, digest = hub.partition("=")
        try:
            given = [bytes.fromhex(digest)] if kind == "sha256" else []
        except ValueError:
            given = []
        if not signed(pipeline.secrets, body, given):
            raise Refused(401, "no signature of this pipeline fits")
    else:
        raise Refused(401, "no signature")
    event, cloud = event_of(headers, body)
    ident = cloud or ident
    if not 0 < len(ident) <= ID_LIMIT or not ident.isprintable():
        raise Refused(400, "no delivery id of 1 to 200 characters")
    build = event.get("build")
    if not isinstance(build, int) or isinstance(build, bool):
        raise Refused(422, "'build' must be a whole number")
    if not pipeline.first <= build <= pipeline.last:
        raise Refused(403, f"this pipeline may offer builds {pipeline.first} to {pipeline.last}")
    return ident, build


def event_of(headers, body):
    """(data, CloudEvents source and id or None)."""
    kind = (text_of(headers, b"content-type") or "").partition(";")[0].strip().lower()
    try:
        told = json.loads(body)
    except (ValueError, RecursionError):
        raise Refused(400, "the body is no JSON") from None
    if not isinstance(told, dict):
        raise Refused(400, "the body is no JSON object")
    if kind == "application/cloudevents+json":
        version, source, ident, data = (told.get(n) for n in ("specversion", "source", "id", "data"))
    elif header(headers, b"ce-specversion") is not None:
        version, source, ident = (text_of(headers, n) for n in (b"ce-specversion", b"ce-source", b"ce-id"))
        data = told
    else:
        return told, None
    if (
        version != "1.0"
        or not isinstance(source, str)
        or not isinstance(ident, str)
        or not source
        or not ident
    ):
        raise Refused(400, "no CloudEvents 1.0: specversion, source and id are needed")
    if not isinstance(data, dict):
        raise Refused(422, "the event has no data object")
    # An id is unique within its source only.
    return data, f"{source} {ident}"
