"""LDAP filters: from their text form (RFC 4515) to messages, and matched against an entry. No I/O.

Recursion is bounded: no filter nests deeper than `messages.DEPTH` allows.
"""

from .messages import DEPTH, Filter


class BadFilter(Exception):
    """A filter text that does not follow RFC 4515; the message names the place."""


def escaped(text):
    """The value `text` for use inside a filter: characters with a meaning in the grammar become \\xx."""
    return "".join(
        f"\\{b:02x}" if b < 0x20 or b >= 0x7F or chr(b) in "*()\\" else chr(b) for b in text.encode("utf-8")
    )


def unescaped(text):
    """The bytes of a value in a filter; raises BadFilter for a malformed escape."""
    out, position = bytearray(), 0
    raw = text.encode("utf-8")
    while position < len(raw):
        if raw[position] == 0x5C:
            try:
                out.append(
                    int(raw[position + 1 : position + 3].decode("ascii"), 16)
                    if len(raw) >= position + 3
                    else int("", 16)
                )
            except ValueError:
                raise BadFilter(f"'\\' without two hex digits in '{text}'") from None
            position += 3
        else:
            out.append(raw[position])
            position += 1
    return bytes(out)


def parse(text):
    """The Filter message of a filter text; raises BadFilter, which names the position of the error."""
    result, position = parse_filter(text, 0, 0)
    if position != len(text):
        raise BadFilter(f"'{text}': unexpected text after the end of the filter, at {position}")
    return result


def parse_filter(text, position, depth):
    """(Filter, position behind it) of the filter that begins at `position`."""
    if depth > DEPTH // 2:
        raise BadFilter(f"nested deeper than {DEPTH // 2}")
    if text[position : position + 1] != "(":
        raise BadFilter(f"'{text}': '(' is missing at {position}")
    position += 1
    kind = text[position : position + 1]
    if kind and kind in "&|!":
        operands, position = [], position + 1
        while text[position : position + 1] == "(":
            operand, position = parse_filter(text, position, depth + 1)
            operands.append(operand)
        if kind == "!" and len(operands) != 1 or not operands:
            raise BadFilter(f"'{text}': '{kind}' has {len(operands)} operands, at {position}")
        result = (
            Filter(name="not", value=operands[0])
            if kind == "!"
            else Filter(name="and" if kind == "&" else "or", value=operands)
        )
    else:
        end = position
        while end < len(text) and text[end] not in "()":
            end += 1
        result, position = parse_comparison(text[position:end]), end
    if text[position : position + 1] != ")":
        raise BadFilter(f"'{text}': ')' is missing at {position}")
    return result, position + 1


def parse_comparison(text):
    """The Filter of a single comparison, such as `uid=a*`, without its parentheses."""
    name, equals, value = text.partition("=")
    if not equals or not name.strip("<>~").strip():
        raise BadFilter(f"'{text}' is not a comparison")
    for sign, kind in ((">", "greater"), ("<", "less"), ("~", "approx")):
        if name.endswith(sign):
            return Filter(name=kind, value={"type": name[:-1].encode(), "value": unescaped(value)})
    if value == "*":
        return Filter(name="present", value=name.encode())
    if "*" in value:
        parts = value.split("*")
        pieces = [{"initial": unescaped(parts[0])}] if parts[0] else []
        pieces += [{"any": unescaped(p)} for p in parts[1:-1] if p]
        pieces += [{"final": unescaped(parts[-1])}] if parts[-1] else []
        from .messages import Piece

        return Filter(
            name="substrings",
            value={
                "type": name.encode(),
                "pieces": [Piece(name=k, value=v) for piece in pieces for k, v in piece.items()],
            },
        )
    return Filter(name="equal", value={"type": name.encode(), "value": unescaped(value)})


def matches(filter, attrs):
    """Whether an entry matches. `filter` is a decoded Filter, `attrs` {name in lower case: [value bytes]}.
    Values are compared without regard to the case of ASCII letters."""
    kind, value = filter.name, filter.chosen
    if kind in ("and", "or"):
        return (all if kind == "and" else any)(matches(f, attrs) for f in value)
    if kind == "not":
        return not matches(value, attrs)
    if kind == "present":
        return value.native.decode().lower() in attrs
    values = [v.lower() for v in attrs.get(value["type"].native.decode().lower(), ())]
    if kind == "substrings":
        return any(matches_pieces(v, value["pieces"]) for v in values)
    expected = value["value"].native.lower()
    return any(
        v == expected
        if kind in ("equal", "approx")
        else v >= expected
        if kind == "greater"
        else v <= expected
        for v in values
    )


def matches_pieces(value, pieces):
    """Whether `value`, in lower case, contains the pieces of a substring filter in their order."""
    position = 0
    for piece in pieces:
        expected = piece.native.lower()
        if piece.name == "initial":
            if not value.startswith(expected):
                return False
            position = len(expected)
        elif piece.name == "any":
            found = value.find(expected, position)
            if found < 0:
                return False
            position = found + len(expected)
        elif not value[position:].endswith(expected):
            return False
    return True
