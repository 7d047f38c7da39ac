"""Codecs without I/O. Every reader of answers raises BadAnswer for what is none, whatever its protocol."""


class BadAnswer(Exception):
    pass
