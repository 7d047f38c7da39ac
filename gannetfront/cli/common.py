"""What every program shares: logs, reading settings, exit codes."""
import logging
import sys

import structlog

from ..config import load


def logs(program, level):
    """JSON lines on standard error."""
    structlog.configure(
        processors=[structlog.processors.add_log_level, structlog.processors.TimeStamper(fmt="iso", utc=True),
                    structlog.processors.JSONRenderer()],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr), cache_logger_on_first_use=True)
    return structlog.get_logger().bind(program=program)


def settings(kind, path):
    """A checked message, or exit 2 with one line that names file, line and field."""
    try:
        return load.read(kind, path)
    except load.BadSetting as bad:
        raise SystemExit(complain(str(bad)))


def complain(line):
    print(line, file=sys.stderr)
    return 2
