"""Tests write where no disk is waited for, if the machine has such a place: how quick its disk is, is not what they test."""
import os
import tempfile

import pytest

if os.access("/dev/shm", os.W_OK | os.X_OK):
    tempfile.tempdir = "/dev/shm"

RED = os.path.join(os.path.dirname(__file__), "..", "KNOWN-RED.txt")


def red():
    """The lines of KNOWN-RED.txt, `test | cause | issue`: tests that fail for a real fault that waits to be mended."""
    if not os.path.exists(RED):
        return []
    with open(RED) as f:
        return [line.strip() for line in f if line.strip()]


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    """Passes over just these; a fourth line, or one that names no test, fails the run."""
    lines, files = red(), {item.nodeid.split("::")[0] for item in items}
    if len(lines) > 3:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(lines)} lines, three at most")
    names = [line.split(" | ")[0] for line in lines]
    for name in names:
        if not os.path.exists(os.path.join(os.path.dirname(RED), name.split("::")[0])) or (
                name.split("::")[0] in files and all(item.nodeid != name for item in items) and not config.args_source.name == "ARGS"):
            raise pytest.UsageError(f"KNOWN-RED.txt: there is no test {name}")
    passed_over = [item for item in items if item.nodeid in names]
    if passed_over:
        config.hook.pytest_deselected(items=passed_over)
        items[:] = [item for item in items if item not in passed_over]


def pytest_terminal_summary(terminalreporter):
    for line in red():
        terminalreporter.write_line(f"known red, passed over: {line}")
