"""Numbers as other programs write them: in JSON, and as decimal text in forms, XML, headers and comments.

Every finite number of JSON (RFC 8259, section 6) is read, whole numbers with a fraction of zero included, and
its decimal text with any digits and any exponent. Text longer than MAX_LENGTH, NaN and infinity are no numbers.
The range of a field is up to its reader. Each function raises ValueError for what it cannot read.
"""

import json
import re
import sys
from math import nan

MAX_LENGTH = 1100  # characters; a double written out in full has up to 1,077
LARGEST = sys.float_info.max
DECIMAL = re.compile(r"[+-]?(?:[0-9]+(?:\.[0-9]*)?|\.[0-9]+)(?:[eE][+-]?[0-9]+)?")
DIGITS = re.compile(r"[+-]?[0-9]+")
WHITESPACE = " \t\r\n"


def no_number(value):
    """The ValueError for a value that is no number."""
    return ValueError(f"no number: {str(value)[:40]!r}")


def from_text(text):
    """The number that a decimal text holds, an int where it has digits only."""
    stripped = text.strip(WHITESPACE)
    if len(stripped) > MAX_LENGTH or not DECIMAL.fullmatch(stripped):
        raise no_number(text)
    if DIGITS.fullmatch(stripped):
        return int(stripped)
    return float(stripped)


def number(value):
    """A number of JSON or a decimal text as a float. A number past the range of a float is read as its end."""
    if isinstance(value, str):
        value = from_text(value)
    if type(value) not in (int, float) or value != value:
        raise no_number(value)
    within = min(max(value, -LARGEST), LARGEST)
    return float(within) + 0.0  # turns -0.0 into 0.0


def whole_number(value):
    """A number of JSON or a decimal text whose value is a whole number, as an int."""
    if isinstance(value, str):
        value = from_text(value)
    if type(value) is int:
        return value
    if type(value) is not float or not value.is_integer():
        raise ValueError(f"no whole number: {str(value)[:40]!r}")
    return int(value)


def int_of_json(text):
    """The int for an integer of JSON; NaN, which no reader takes, where it is too long."""
    return int(text) if len(text) <= MAX_LENGTH else nan


def decode_json(data):
    """The value of JSON text. The constants NaN and Infinity, which are no JSON, become NaN where they stand."""
    return json.loads(data, parse_int=int_of_json, parse_constant=lambda name: nan)
