"""What every program shares: logs, reading settings, exit codes."""

import sys

from ..config import load
from ..logs import logs  # noqa: F401 - the programs take it from here


def settings(kind, path):
    """A checked message, or exit 2 with one line that names file, line and field."""
    try:
        return load.read(kind, path)
    except load.BadSetting as bad:
        raise SystemExit(complain(str(bad))) from None


def complain(line):
    print(line, file=sys.stderr)
    return 2
