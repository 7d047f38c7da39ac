"""The list of known failures: what an entry must hold, and that an entry that is not whole is refused by its line."""

import pytest

from known_red import BadEntryError, parse


def test_an_entry_has_a_test_or_a_command_alone():
    first, second = parse(
        "tests/test_a.py::test_b[x] | make test | 1 of 6 | issue 27\n\n- | lbreal S --rough herd+mass --seed 3 | 0.07 | issue 37\n"
    )
    assert (first.test, first.command, first.seen, first.issue) == (
        "tests/test_a.py::test_b[x]",
        "make test",
        "1 of 6",
        "issue 27",
    )
    assert second.test is None and second.line.startswith("- | lbreal")


@pytest.mark.parametrize(
    "line", ["tests/test_a.py::test_b | seen | issue 27", "a | b | c | d | e", "a | | c | d", "words"]
)
def test_an_entry_without_its_four_parts_is_refused(line):
    with pytest.raises(BadEntryError, match="line 2: "):
        parse(f"- | command | seen | issue 1\n{line}\n")
