"""Structured logging for all programs: JSON lines on standard error, by the standard library's logging.

A line is dropped, and counted, where standard error takes none at once: whoever reads the log may stand still
without holding up the program or letting lines pile up in it.
"""

import json
import logging
from datetime import datetime, timezone

from . import host

MAX_LINE_BYTES = 4096  # what a pipe takes in one piece (POSIX: PIPE_BUF is at least 512, 4096 on Linux)


class JsonFormatter(logging.Formatter):
    """Formats the fields of a record as one JSON object of at most MAX_LINE_BYTES bytes, its newline included."""

    def format(self, record):
        line = json.dumps(self.fields(record), default=repr)
        if len(line) < MAX_LINE_BYTES:
            return line
        # Characters that have to be escaped can double the length of what is kept.
        return json.dumps({**self.fields(record, cut=True), "cut": line[: MAX_LINE_BYTES // 4]})

    @staticmethod
    def fields(record, cut=False):
        moment = datetime.fromtimestamp(record.created, timezone.utc).isoformat(timespec="microseconds")
        return {
            **({} if cut else record.fields),
            "event": record.getMessage()[:200],
            "level": record.levelname.lower(),
            "timestamp": moment.replace("+00:00", "Z"),
        }


class DroppingHandler(logging.Handler):
    """Writes lines to standard error; counts those that it does not take at once and reports them later."""

    def __init__(self):
        super().__init__()
        self.dropped = 0

    def emit(self, record):
        if self.dropped:
            note = {"event": "log lines dropped", "level": "warning", "count": self.dropped}
            if not host.write_error_line(json.dumps(note)):
                self.dropped += 1
                return
            self.dropped = 0
        if not host.write_error_line(self.format(record)):
            self.dropped += 1


class Log:
    """A logger whose lines carry `fields`."""

    def __init__(self, logger, fields):
        self.logger = logger
        self.fields = fields

    def bind(self, **fields):
        """A logger whose lines carry these fields too."""
        return Log(self.logger, self.fields | fields)

    def write(self, level, event, fields):
        self.logger.log(level, "%s", event, extra={"fields": self.fields | fields})

    def debug(self, event, **fields):
        self.write(logging.DEBUG, event, fields)

    def info(self, event, **fields):
        self.write(logging.INFO, event, fields)

    def warning(self, event, **fields):
        self.write(logging.WARNING, event, fields)

    def error(self, event, **fields):
        self.write(logging.ERROR, event, fields)


def logs(program, level):
    """Configures logging for the process and returns a Log whose lines carry `program`.

    `level` is the name of a level of the `logging` module, in either case; raises AttributeError for another.
    """
    handler = DroppingHandler()
    handler.setFormatter(JsonFormatter())
    logger = logging.getLogger("gannetfront")
    logger.handlers = [handler]
    logger.propagate = False
    logger.setLevel(getattr(logging, level.upper()))
    return Log(logger, {"program": program})
