"""Protocol codecs without I/O."""


class BadAnswer(Exception):
    """An answer that is malformed or too long. The answer readers of all protocols raise it."""
