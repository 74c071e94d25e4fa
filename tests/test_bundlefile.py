"""Tests of writing and editing the bundle file; failures come first."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzerelay import edits
from bronzerelay.bundle import parse_bundle
from bronzerelay.bundlefile import edit_text, write_bundle, write_text
from tests.builders_config import (
    make_bundle,
    make_endpoint,
    make_group,
    make_key_entry,
    make_operators,
    make_workspace,
    write_toml,
)

PUBLIC = "ed25519:" + "ab" * 32
EDITS = [
    edits.add_workspace(make_workspace("west", rate=5.0)),
    edits.set_rate("north", 50.0, None),
    edits.set_rate("south", 7.0, 3.0),
    edits.remove_workspace("south"),
    edits.add_key("north", make_key_entry("another")),
    edits.add_endpoint("orders", make_endpoint("orders-9", 5999)),
    edits.drain_endpoint("orders-2"),
    edits.remove_endpoint("orders-3"),
]
COMMENTS = (
    "# a comment with [[workspaces]] and name = 'north'",
    "  # rate = 3",
    "",
    "# [[groups.endpoints]]",
)


def test_a_file_with_inline_tables_is_written_anew():
    """The file has its lists as inline tables, one line each. Editing its lines would
    change something else, so the file is written anew and the result says so.
    """
    text = write_toml(make_bundle())
    for edit in EDITS:
        wanted = edit.change_bundle(parse_bundle(text).ok)
        edited = edit_text(text, edit).ok
        assert parse_bundle(edited.text).ok == wanted
        assert edited.rewritten


@pytest.mark.parametrize("mark", ["\x85", "\u2028", "\u2029"])
def test_an_edit_preserves_a_comment_with_any_character(mark):
    """Guards against an edit that loses all comments because of a mark in one."""
    comment = f"# one{mark} two{mark}[[workspaces]]"
    text = write_bundle(make_bundle()).replace("[[groups]]", f"{comment}\n[[groups]]")
    for edit in EDITS:
        edited = edit_text(text, edit).ok
        assert comment in edited.text.split("\n")
        assert not edited.rewritten


def test_an_edit_handles_a_string_over_several_lines():
    """A string value spans several lines. An edit of the lines must change the right
    entry, or the file must be written anew.
    """
    text = write_bundle(make_bundle()).replace(
        'failure_domain = "a"', 'failure_domain = """\\\n   a"""'
    )
    edited = edit_text(text, EDITS[1]).ok
    assert parse_bundle(edited.text).ok["workspaces"][0]["rate"] == 50.0


def test_a_write_that_fails_leaves_the_old_file(tmp_path, monkeypatch):
    """The disk is full while a bundle is written. A partly written bundle could still
    be valid TOML, with some workspaces missing.
    """
    path = tmp_path / "bundle.toml"
    path.write_text("old")

    def fail(*_):
        raise OSError("no space left")

    monkeypatch.setattr("os.fsync", fail)
    with pytest.raises(OSError, match="no space"):
        write_text(str(path), "new")
    assert [file.name for file in tmp_path.iterdir()] == ["bundle.toml"]
    assert path.read_text() == "old"


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.sampled_from(range(len(EDITS))), max_size=4, unique=True),
    st.lists(st.tuples(st.integers(0, 60), st.sampled_from(COMMENTS)), max_size=6),
)
def test_edits_amid_comments_do_what_they_do_to_the_bundle(numbers, comments):
    """Operators put comments anywhere. Each edit must come to the same as on the
    decoded bundle, and never write the file afresh, which would lose them.
    """
    lines = write_bundle(make_bundle()).splitlines()
    for place, comment in comments:
        lines.insert(place, comment)
    text = "\n".join(lines) + "\n"
    wanted = parse_bundle(text).ok
    for number in sorted(numbers):
        wanted = EDITS[number].change_bundle(wanted)
        edited = edit_text(text, EDITS[number]).ok
        assert not edited.rewritten
        text = edited.text
    assert parse_bundle(text).ok == wanted


def test_a_written_bundle_parses_to_the_same_bundle():
    bundles = [
        make_bundle(groups=[], workspaces=[]),
        make_bundle(workspaces=[make_workspace("north", keys=[])]),
        make_bundle(
            groups=[make_group("orders", 5001, max_age_ms=500)],
            operators=make_operators(ana=PUBLIC, beto=PUBLIC.replace("ab", "cd")),
        ),
    ]
    for bundle in bundles:
        assert parse_bundle(write_bundle(bundle)).ok == bundle
