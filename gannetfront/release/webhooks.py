"""Authentication and parsing of the webhooks of build pipelines. No I/O.

Accepted forms: Standard Webhooks (`webhook-id`, `webhook-timestamp`, `webhook-signature`), the
`X-Hub-Signature-256` form with its delivery id, and CloudEvents 1.0 over HTTP, structured or binary, signed
in one of these two ways. The signature is verified over the raw bytes, in constant time, against every
valid secret: there are two of them during a rotation."""

import base64
import binascii
import hmac

from ..wire.http import header
from ..wire.numbers import decode_json, whole_number

MAX_BODY_BYTES = 65536  # bytes of a delivery's body
MAX_ID_LENGTH = 200  # characters of a delivery id


class Refused(Exception):
    """A webhook that is answered with the HTTP status `status`. `why` goes to the sender and the log and
    never contains a secret or a signature."""

    def __init__(self, status, why):
        super().__init__(why)
        self.status, self.why = status, why


class Pipeline:
    """A build pipeline: its currently valid `secrets` (bytes) and the builds that it may offer, from
    `first` to `last`."""

    def __init__(self, name, secrets, first=2, last=65535):
        self.name = name
        self.secrets = list(secrets)
        self.first = first
        self.last = last


def parse_secret(text):
    """The secret's bytes from its text in the settings: base64 after the prefix `whsec_`, or the text
    itself. Raises ValueError."""
    if text.startswith("whsec_"):
        try:
            secret = base64.b64decode(text[6:], validate=True)
        except binascii.Error:
            raise ValueError("webhook secret: the part after whsec_ is not valid base64") from None
    else:
        secret = text.encode()
    if len(secret) < 16:
        raise ValueError("webhook secret is shorter than 16 bytes")
    return secret


def has_valid_signature(secrets, data, digests):
    """True if one of `digests` is the digest of `data` under one of the secrets. All pairs are compared, so
    that the time taken does not reveal which one matched."""
    valid = False
    for secret in secrets:
        expected = hmac.digest(secret, data, "sha256")
        for candidate in digests:
            valid = hmac.compare_digest(expected, candidate) or valid
    return valid


def header_text(headers, name):
    raw = header(headers, name)
    return None if raw is None else raw.decode("latin-1")


def check(pipeline, headers, body, unix_time, tolerance):
    """(delivery id, build) of an authentic and valid delivery. `unix_time` is the present time and
    `tolerance` the permitted deviation of the delivery's timestamp, both in seconds. Raises Refused."""
    if len(body) > MAX_BODY_BYTES:
        raise Refused(413, f"past {MAX_BODY_BYTES} bytes")
    standard_signature = header_text(headers, b"webhook-signature")
    hub_signature = header_text(headers, b"x-hub-signature-256")
    if standard_signature is not None:
        delivery_id = header_text(headers, b"webhook-id") or ""
        timestamp = header_text(headers, b"webhook-timestamp") or ""
        # isdigit() alone also takes superscripts, which int() does not.
        if not (timestamp.isascii() and timestamp.isdigit()) or len(timestamp) > 12:
            raise Refused(400, "webhook-timestamp is no time")
        digests = []
        for part in standard_signature.split(" ")[:8]:
            version, _, digest = part.partition(",")
            if version == "v1":
                try:
                    digests.append(base64.b64decode(digest, validate=True))
                except (binascii.Error, ValueError):
                    pass
        if not has_valid_signature(
            pipeline.secrets, f"{delivery_id}.{timestamp}.".encode("latin-1") + body, digests
        ):
            raise Refused(401, "no signature of this pipeline fits")
        # Checked only after the signature, so that an unauthenticated sender learns nothing of this clock.
        if abs(unix_time - int(timestamp)) > tolerance:
            raise Refused(401, "its time is too far from ours")
    elif hub_signature is not None:
        delivery_id = (
            header_text(headers, b"x-github-delivery") or header_text(headers, b"x-delivery-id") or ""
        )
        algorithm, _, digest = hub_signature.partition("=")
        try:
            digests = [bytes.fromhex(digest)] if algorithm == "sha256" else []
        except ValueError:
            digests = []
        if not has_valid_signature(pipeline.secrets, body, digests):
            raise Refused(401, "no signature of this pipeline fits")
    else:
        raise Refused(401, "no signature")
    event, cloud_event_id = parse_event(headers, body)
    delivery_id = cloud_event_id or delivery_id
    if not 0 < len(delivery_id) <= MAX_ID_LENGTH or not delivery_id.isprintable():
        raise Refused(400, "no delivery id of 1 to 200 characters")
    build = event.get("build")
    try:
        build = whole_number(None if isinstance(build, str) else build)
    except ValueError:
        raise Refused(422, "'build' must be a whole number") from None
    if not pipeline.first <= build <= pipeline.last:
        raise Refused(403, f"this pipeline may offer builds {pipeline.first} to {pipeline.last}")
    return delivery_id, build


def parse_event(headers, body):
    """(the event's data, its CloudEvents source and id as one text or None). Raises Refused."""
    content_type = (header_text(headers, b"content-type") or "").partition(";")[0].strip().lower()
    try:
        payload = decode_json(body)
    except (ValueError, RecursionError):
        raise Refused(400, "the body is no JSON") from None
    if not isinstance(payload, dict):
        raise Refused(400, "the body is no JSON object")
    if content_type == "application/cloudevents+json":
        version, source, event_id, data = (payload.get(n) for n in ("specversion", "source", "id", "data"))
    elif header(headers, b"ce-specversion") is not None:
        version, source, event_id = (
            header_text(headers, n) for n in (b"ce-specversion", b"ce-source", b"ce-id")
        )
        data = payload
    else:
        return payload, None
    if (
        version != "1.0"
        or not isinstance(source, str)
        or not isinstance(event_id, str)
        or not source
        or not event_id
    ):
        raise Refused(400, "no CloudEvents 1.0: specversion, source and id are needed")
    if not isinstance(data, dict):
        raise Refused(422, "the event has no data object")
    # CloudEvents ids are unique only within their source.
    return data, f"{source} {event_id}"
