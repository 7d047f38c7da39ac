"""Structured logging for all programs: JSON lines on standard error."""

import logging
import sys

import structlog


def logs(program, level):
    """Configures structlog for the process and returns a logger whose lines carry `program`.

    `level` is the name of a level of the `logging` module, in either case; raises AttributeError for another.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger().bind(program=program)
