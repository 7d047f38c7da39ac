"""Tests write where no disk is waited for, if the machine has such a place: how quick its disk is, is not what they test."""

import os
import tempfile

import pytest

from known_red import KNOWN_RED_FILE, BadEntryError, parse

if os.access("/dev/shm", os.W_OK | os.X_OK):
    tempfile.tempdir = "/dev/shm"

ROOT = os.path.dirname(KNOWN_RED_FILE)


def known_red():
    """Entries of KNOWN-RED.txt; raises pytest.UsageError for one that is not whole."""
    if not os.path.exists(KNOWN_RED_FILE):
        return []
    with open(KNOWN_RED_FILE) as file:
        try:
            return parse(file.read())
        except BadEntryError as bad:
            raise pytest.UsageError(f"KNOWN-RED.txt: {bad}") from None


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config, items):
    """Passes over just the listed tests; an entry that names no test fails the run."""
    names = [entry.test for entry in known_red() if entry.test]
    collected_files = {item.nodeid.split("::")[0] for item in items}
    collected = {item.nodeid for item in items}
    whole_files = (
        config.args_source.name != "ARGS"
    )  # where single tests are named, the others of a file are not collected
    for name in names:
        file = name.split("::")[0]
        if (
            not os.path.exists(os.path.join(ROOT, file))
            or whole_files
            and file in collected_files
            and name not in collected
        ):
            raise pytest.UsageError(f"KNOWN-RED.txt: there is no test {name}")
    passed_over = [item for item in items if item.nodeid in names]
    if passed_over:
        config.hook.pytest_deselected(items=passed_over)
        items[:] = [item for item in items if item not in passed_over]


def pytest_terminal_summary(terminalreporter):
    for entry in known_red():
        terminalreporter.write_line(f"known red, passed over: {entry.line}")
