"""LDAPv3 messages (RFC 4511) in asn1crypto, and the framing of BER on a stream. No I/O.

Only what a reader of tenants and its stand-in need: bind, search, extended (StartTLS), intermediate (RFC 4533), unbind,
abandon. Bounded before it is decoded: a message past `MOST` bytes is refused by its length.
"""

from asn1crypto.core import (
    Boolean,
    Choice,
    Enumerated,
    Integer,
    Null,
    OctetString,
    Sequence,
    SequenceOf,
    SetOf,
)

MOST = 8 << 20  # bytes of one message
DEPTH = 24  # of nested filters and groups in a message

SUCCESS, PROTOCOL_ERROR, TIME_LIMIT, SIZE_LIMIT, REFERRAL, NO_SUCH_OBJECT = 0, 2, 3, 4, 10, 32
INVALID_CREDENTIALS, BUSY, UNAVAILABLE, UNWILLING, SYNC_REFRESH_REQUIRED, STRONGER_AUTH = (
    49,
    51,
    52,
    53,
    4096,
    8,
)
WORDS = {
    0: "success",
    2: "protocolError",
    3: "timeLimitExceeded",
    4: "sizeLimitExceeded",
    7: "authMethodNotSupported",
    8: "strongerAuthRequired",
    10: "referral",
    11: "adminLimitExceeded",
    12: "unavailableCriticalExtension",
    32: "noSuchObject",
    34: "invalidDNSyntax",
    48: "inappropriateAuthentication",
    49: "invalidCredentials",
    50: "insufficientAccessRights",
    51: "busy",
    52: "unavailable",
    53: "unwillingToPerform",
    80: "other",
    4096: "syncRefreshRequired",
}
PAGED, SYNC_REQUEST, SYNC_STATE, SYNC_DONE, SYNC_INFO, START_TLS = (
    "1.2.840.113556.1.4.319",
    "1.3.6.1.4.1.4203.1.9.1.1",
    "1.3.6.1.4.1.4203.1.9.1.2",
    "1.3.6.1.4.1.4203.1.9.1.3",
    "1.3.6.1.4.1.4203.1.9.1.4",
    "1.3.6.1.4.1.1466.20037",
)


class BadMessage(Exception):
    pass


class Values(SetOf):
    _child_spec = OctetString


class Strings(SequenceOf):
    _child_spec = OctetString


class Attribute(Sequence):
    _fields = [("type", OctetString), ("vals", Values)]


class Attributes(SequenceOf):
    _child_spec = Attribute


class Sasl(Sequence):
    _fields = [("mechanism", OctetString), ("credentials", OctetString, {"optional": True})]


class Authentication(Choice):
    _alternatives = [("simple", OctetString, {"implicit": 0}), ("sasl", Sasl, {"implicit": 3})]


class BindRequest(Sequence):
    _fields = [("version", Integer), ("name", OctetString), ("authentication", Authentication)]


class ResultCode(Enumerated):
    _map = WORDS | {n: f"code {n}" for n in range(4097) if n not in WORDS}


class Result(Sequence):
    _fields = [
        ("code", ResultCode),
        ("matched", OctetString),
        ("message", OctetString),
        ("referral", Strings, {"implicit": 3, "optional": True}),
    ]


class BindResponse(Sequence):
    _fields = Result._fields + [("credentials", OctetString, {"implicit": 7, "optional": True})]


class Assertion(Sequence):
    _fields = [("type", OctetString), ("value", OctetString)]


class Piece(Choice):
    _alternatives = [
        ("initial", OctetString, {"implicit": 0}),
        ("any", OctetString, {"implicit": 1}),
        ("final", OctetString, {"implicit": 2}),
    ]


class Pieces(SequenceOf):
    _child_spec = Piece


class Substrings(Sequence):
    _fields = [("type", OctetString), ("pieces", Pieces)]


class Filter(Choice):
    pass


class Filters(SetOf):
    _child_spec = Filter


Filter._alternatives = [
    ("and", Filters, {"implicit": 0}),
    ("or", Filters, {"implicit": 1}),
    ("not", Filter, {"explicit": 2}),
    ("equal", Assertion, {"implicit": 3}),
    ("substrings", Substrings, {"implicit": 4}),
    ("greater", Assertion, {"implicit": 5}),
    ("less", Assertion, {"implicit": 6}),
    ("present", OctetString, {"implicit": 7}),
    ("approx", Assertion, {"implicit": 8}),
]


class Scope(Enumerated):
    _map = {0: "base", 1: "one", 2: "sub"}


class Deref(Enumerated):
    _map = {0: "never", 1: "searching", 2: "finding", 3: "always"}


class SearchRequest(Sequence):
    _fields = [
        ("base", OctetString),
        ("scope", Scope),
        ("deref", Deref),
        ("size_limit", Integer),
        ("time_limit", Integer),
        ("types_only", Boolean),
        ("filter", Filter),
        ("attributes", Strings),
    ]


class Entry(Sequence):
    _fields = [("dn", OctetString), ("attributes", Attributes)]


class ExtendedRequest(Sequence):
    _fields = [
        ("name", OctetString, {"implicit": 0}),
        ("value", OctetString, {"implicit": 1, "optional": True}),
    ]


class ExtendedResponse(Sequence):
    _fields = Result._fields + [
        ("name", OctetString, {"implicit": 10, "optional": True}),
        ("value", OctetString, {"implicit": 11, "optional": True}),
    ]


class Intermediate(Sequence):
    _fields = [
        ("name", OctetString, {"implicit": 0, "optional": True}),
        ("value", OctetString, {"implicit": 1, "optional": True}),
    ]


class Operation(Choice):
    _alternatives = [
        ("bind", BindRequest, {"implicit": (1, 0)}),
        ("bound", BindResponse, {"implicit": (1, 1)}),
        ("unbind", Null, {"implicit": (1, 2)}),
        ("search", SearchRequest, {"implicit": (1, 3)}),
        ("entry", Entry, {"implicit": (1, 4)}),
        ("done", Result, {"implicit": (1, 5)}),
        ("abandon", Integer, {"implicit": (1, 16)}),
        ("reference", Strings, {"implicit": (1, 19)}),
        ("extended", ExtendedRequest, {"implicit": (1, 23)}),
        ("extended_done", ExtendedResponse, {"implicit": (1, 24)}),
        ("intermediate", Intermediate, {"implicit": (1, 25)}),
    ]


class Control(Sequence):
    _fields = [
        ("type", OctetString),
        ("critical", Boolean, {"default": False}),
        ("value", OctetString, {"optional": True}),
    ]


class Controls(SequenceOf):
    _child_spec = Control


class Message(Sequence):
    _fields = [("id", Integer), ("op", Operation), ("controls", Controls, {"implicit": 0, "optional": True})]


# ---- values of controls ----


class PagedValue(Sequence):  # RFC 2696
    _fields = [("size", Integer), ("cookie", OctetString)]


class SyncMode(Enumerated):
    _map = {1: "refreshOnly", 3: "refreshAndPersist"}


class SyncRequestValue(Sequence):  # RFC 4533
    _fields = [
        ("mode", SyncMode),
        ("cookie", OctetString, {"optional": True}),
        ("reload", Boolean, {"default": False}),
    ]


class SyncStateWord(Enumerated):
    _map = {0: "present", 1: "add", 2: "modify", 3: "delete"}


class SyncStateValue(Sequence):
    _fields = [("state", SyncStateWord), ("uuid", OctetString), ("cookie", OctetString, {"optional": True})]


class SyncDoneValue(Sequence):
    _fields = [("cookie", OctetString, {"optional": True}), ("refresh_deletes", Boolean, {"default": False})]


class Refresh(Sequence):
    _fields = [("cookie", OctetString, {"optional": True}), ("done", Boolean, {"default": True})]


class Uuids(SetOf):
    _child_spec = OctetString


class UuidSet(Sequence):
    _fields = [
        ("cookie", OctetString, {"optional": True}),
        ("deletes", Boolean, {"default": False}),
        ("uuids", Uuids),
    ]


class SyncInfoValue(Choice):
    _alternatives = [
        ("cookie", OctetString, {"implicit": 0}),
        ("refresh_delete", Refresh, {"implicit": 1}),
        ("refresh_present", Refresh, {"implicit": 2}),
        ("id_set", UuidSet, {"implicit": 3}),
    ]


# ---- framing ----


def size_of(held):
    """Bytes of the message at the front of `held`, or None while its length is not whole; raises BadMessage."""
    if len(held) < 2:
        return None
    if held[0] != 0x30:
        raise BadMessage(f"a message begins with {held[0]:#04x}, not a sequence")
    first = held[1]
    if first < 0x80:
        return 2 + first
    many = first & 0x7F
    if not 0 < many <= 4:
        raise BadMessage("a length that is indefinite or past four bytes")
    if len(held) < 2 + many:
        return None
    size = int.from_bytes(held[2 : 2 + many], "big")
    if size > MOST:
        raise BadMessage(f"a message of {size} bytes, past {MOST}")
    return 2 + many + size


def deep(data, most=DEPTH):
    """Raises BadMessage for BER nested past `most` or lengths that lie; walked without recursion, before decoding."""
    ends, at = [len(data)], 0
    while at < len(data):
        while at >= ends[-1] and len(ends) > 1:
            ends.pop()
        constructed, at = data[at] & 0x20, at + 1
        if data[at - 1] & 0x1F == 0x1F:
            raise BadMessage("a tag of many bytes")
        if at >= ends[-1]:
            raise BadMessage("a value without a length")
        length, at = data[at], at + 1
        if length >= 0x80:
            many = length & 0x7F
            if not 0 < many <= 4 or at + many > ends[-1]:
                raise BadMessage("a length that is no length")
            length, at = int.from_bytes(data[at : at + many], "big"), at + many
        if at + length > ends[-1]:
            raise BadMessage("a value longer than what holds it")
        if constructed and length:
            ends.append(at + length)
            if len(ends) > most:
                raise BadMessage(f"nested past {most}")
        else:
            at += length
        while at >= ends[-1] and len(ends) > 1:
            ends.pop()


class MessageReader:
    """`feed(bytes)` gives the whole messages as (id, name, native value, {control type: value bytes}).

    A message that cannot be decoded raises BadMessage: the stream is then out of step and must end."""

    def __init__(self):
        self.held = bytearray()

    def feed(self, data):
        self.held += data
        found = []
        while True:
            size = size_of(self.held)
            if size is None or len(self.held) < size:
                return found
            raw = bytes(self.held[:size])
            del self.held[:size]
            found.append(decode(raw))


def decode(raw):
    deep(raw)
    try:
        message = Message.load(raw, strict=True)
        op = message["op"]
        controls = {}
        for control in message["controls"] or ():
            controls[control["type"].native.decode("ascii", "replace")] = control["value"].native
        # A search keeps its form: its filter's native value would not say what was asked.
        value = (
            entry_of(op.chosen)
            if op.name == "entry"
            else op.chosen
            if op.name == "search"
            else op.chosen.native
        )
        return message["id"].native, op.name, value, controls
    except BadMessage:
        raise
    except Exception as trouble:  # noqa: BLE001 - asn1crypto raises many kinds for bytes that do not fit
        raise BadMessage(
            f"{len(raw)} bytes that are no LDAP message: {trouble}"[:200].replace("\n", " ")
        ) from None


def entry_of(op):
    """(dn bytes, {attribute name in lower case: [value bytes]}), without the cost of building it all as values."""
    return op["dn"].native, {
        a["type"].native.decode("utf-8", "replace").lower(): [v.native for v in a["vals"]]
        for a in op["attributes"]
    }


def encode(ident, name, value, controls=()):
    """One message; `controls` are (type, critical, value bytes or None)."""
    fields = {"id": ident, "op": Operation(name=name, value=value)}
    if controls:
        fields["controls"] = [
            {"type": t.encode(), "critical": critical, **({} if v is None else {"value": v})}
            for t, critical, v in controls
        ]
    return Message(fields).dump()
