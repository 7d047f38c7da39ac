"""Filters as text (RFC 4515) to messages and back against an entry. No I/O, no recursion past `messages.DEPTH`."""

from .messages import DEPTH, Filter


class BadFilter(Exception):
    pass


def escaped(text):
    """A value for use inside a filter: what the grammar would read becomes \\xx."""
    return "".join(
        f"\\{b:02x}" if b < 0x20 or b >= 0x7F or chr(b) in "*()\\" else chr(b) for b in text.encode("utf-8")
    )


def value_of(text):
    out, at = bytearray(), 0
    raw = text.encode("utf-8")
    while at < len(raw):
        if raw[at] == 0x5C:
            try:
                out.append(
                    int(raw[at + 1 : at + 3].decode("ascii"), 16) if len(raw) >= at + 3 else int("", 16)
                )
            except ValueError:
                raise BadFilter(f"'\\' without two hex digits in '{text}'") from None
            at += 3
        else:
            out.append(raw[at])
            at += 1
    return bytes(out)


def parse(text):
    """A Filter, or BadFilter with the place."""
    made, at = item(text, 0, 0)
    if at != len(text):
        raise BadFilter(f"'{text}': something stands after its end, at {at}")
    return made


def item(text, at, depth):
    if depth > DEPTH // 2:
        raise BadFilter(f"nested past {DEPTH // 2}")
    if text[at : at + 1] != "(":
        raise BadFilter(f"'{text}': '(' is missing at {at}")
    at += 1
    kind = text[at : at + 1]
    if kind and kind in "&|!":
        some, at = [], at + 1
        while text[at : at + 1] == "(":
            one, at = item(text, at, depth + 1)
            some.append(one)
        if kind == "!" and len(some) != 1 or not some:
            raise BadFilter(f"'{text}': '{kind}' holds {len(some)} filters, at {at}")
        made = (
            Filter(name="not", value=some[0])
            if kind == "!"
            else Filter(name="and" if kind == "&" else "or", value=some)
        )
    else:
        end = at
        while end < len(text) and text[end] not in "()":
            end += 1
        made, at = simple(text[at:end]), end
    if text[at : at + 1] != ")":
        raise BadFilter(f"'{text}': ')' is missing at {at}")
    return made, at + 1


def simple(text):
    name, eq, value = text.partition("=")
    if not eq or not name.strip("<>~").strip():
        raise BadFilter(f"'{text}' is no comparison")
    for sign, kind in ((">", "greater"), ("<", "less"), ("~", "approx")):
        if name.endswith(sign):
            return Filter(name=kind, value={"type": name[:-1].encode(), "value": value_of(value)})
    if value == "*":
        return Filter(name="present", value=name.encode())
    if "*" in value:
        parts = value.split("*")
        pieces = [{"initial": value_of(parts[0])}] if parts[0] else []
        pieces += [{"any": value_of(p)} for p in parts[1:-1] if p]
        pieces += [{"final": value_of(parts[-1])}] if parts[-1] else []
        from .messages import Piece

        return Filter(
            name="substrings",
            value={
                "type": name.encode(),
                "pieces": [Piece(name=k, value=v) for one in pieces for k, v in one.items()],
            },
        )
    return Filter(name="equal", value={"type": name.encode(), "value": value_of(value)})


def matches(filter, attrs):
    """`filter` a decoded Filter, `attrs` {name in lower case: [value bytes]}."""
    kind, value = filter.name, filter.chosen
    if kind in ("and", "or"):
        return (all if kind == "and" else any)(matches(f, attrs) for f in value)
    if kind == "not":
        return not matches(value, attrs)
    if kind == "present":
        return value.native.decode().lower() in attrs
    held = [v.lower() for v in attrs.get(value["type"].native.decode().lower(), ())]
    if kind == "substrings":
        return any(holds(v, value["pieces"]) for v in held)
    want = value["value"].native.lower()
    return any(
        v == want if kind in ("equal", "approx") else v >= want if kind == "greater" else v <= want
        for v in held
    )


def holds(value, pieces):
    at = 0
    for piece in pieces:
        want = piece.native.lower()
        if piece.name == "initial":
            if not value.startswith(want):
                return False
            at = len(want)
        elif piece.name == "any":
            found = value.find(want, at)
            if found < 0:
                return False
            at = found + len(want)
        elif not value[at:].endswith(want):
            return False
    return True
