"""Tests of the result codes and of the page that lists them."""

import pathlib
import re
from http import HTTPStatus

from bronzerelay.codes import CODES, NOT_RUN, RAN, UNKNOWN, Code, refuse

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CODES.md"
ROW = re.compile(r"\| (\d+) \| `(\w+)` \| (\d+) \| `(\w+)` \| (.+) \|")


def test_the_page_lists_what_the_code_says():
    """Somebody adds or changes a code and leaves the page as it was. Callers who
    programmed by the page would treat a refusal wrongly.
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


def test_a_refusal_takes_what_ran_from_its_code_unless_told():
    assert refuse(Code.RATE_EXCEEDED, "Too many.").error.ran == NOT_RUN
    assert refuse(Code.RATE_EXCEEDED, "Too many.", ran=UNKNOWN).error.ran == UNKNOWN
