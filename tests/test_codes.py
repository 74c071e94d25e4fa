"""Tests of the result codes and of the page that documents them."""

import pathlib
import re
from http import HTTPStatus

from bronzerelay.codes import CODES, NOT_RUN, RAN, UNKNOWN, Code, refuse

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CODES.md"
ROW = re.compile(r"\| (\d+) \| `(\w+)` \| (\d+) \| `(\w+)` \| (.+) \|")


def test_the_page_lists_every_code_as_defined():
    """Guards against a code that was added or changed without its documentation, which
    callers rely on to handle refusals.
    """
    rows = [ROW.fullmatch(line) for line in PAGE.read_text().splitlines()]
    listed = [row.groups() for row in rows if row]
    expected = [
        (str(int(code)), code.name, str(entry.status), entry.ran, entry.advice)
        for code, entry in CODES.items()
    ]
    assert listed == expected


def test_every_code_has_an_entry_that_can_be_sent():
    assert list(CODES) == list(Code)
    for entry in CODES.values():
        assert HTTPStatus(entry.status)
        assert entry.ran in (NOT_RUN, RAN, UNKNOWN)
        assert entry.advice.endswith(".")


def test_ran_defaults_to_that_of_the_code():
    assert refuse(Code.RATE_EXCEEDED, "Too many.").error.ran == NOT_RUN
    assert refuse(Code.RATE_EXCEEDED, "Too many.", ran=UNKNOWN).error.ran == UNKNOWN
