"""The bundle as a TOML file: writing one, and editing one without losing comments."""

import json
import os
import re
import tempfile
import tomllib
from collections.abc import Callable
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from bronzerelay.bundle import check_bundle, normalize_bundle, parse_bundle
from bronzerelay.schema import Mistake
from bronzerelay.types import (
    Bundle,
    EndpointEntry,
    GroupEntry,
    KeyEntry,
    OperatorEntry,
    WorkspaceEntry,
)

HEADER_LINE = re.compile(r"\s*\[\[\s*([A-Za-z0-9_.-]+)\s*\]\]\s*(?:#.*)?")
TOP_COMMENT = "# Written by bronzerelay; docs/CONFIGURATION.md explains the fields."
ENCODING = "utf-8"


class Block(NamedTuple):
    """The lines from one `[[header]]` to the next, with the comment above it.

    The lines before the first header have the header "".
    """

    header: str
    lines: tuple[str, ...]


class Edit(NamedTuple):
    """One change as two functions: of the decoded bundle and of the file's blocks."""

    change_bundle: Callable[[Bundle], Bundle]
    change_blocks: Callable[[list[Block]], list[Block]]


class EditResult(NamedTuple):
    """The new text; `rewritten` if it was generated anew, which loses the comments."""

    text: str
    rewritten: bool


# Files


def read_text(path: str) -> str:
    """Return the text of a file; raise OSError, or ValueError if it isn't UTF-8."""
    with open(path, encoding=ENCODING) as file:
        return file.read()


def write_text(path: str, text: str) -> None:
    """Replace the file atomically, or raise OSError and leave it unchanged.

    A partly written bundle could still be valid TOML, with some workspaces missing.
    """
    folder = os.path.dirname(os.path.abspath(path))
    mode = os.stat(path).st_mode & 0o777 if os.path.exists(path) else 0o644
    descriptor, temporary = tempfile.mkstemp(dir=folder, prefix=".bundle-")
    try:
        with os.fdopen(descriptor, "w", encoding=ENCODING) as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.chmod(temporary, mode)
        os.replace(temporary, path)
    except BaseException:
        os.unlink(temporary)
        raise


# Writing a whole file


def write_bundle(bundle: Bundle) -> str:
    """Return the bundle as TOML, a table for each entry."""
    bundle = normalize_bundle(bundle)
    top = [
        TOP_COMMENT,
        f"format = {bundle['format']}",
        f"version = {bundle['version']}",
    ]
    tables = ["\n".join(top)]
    tables += [
        write_table("operators", entry, OperatorEntry)
        for entry in bundle.get("operators", [])
    ]
    for group in bundle["groups"]:
        tables.append(write_table("groups", group, GroupEntry, "endpoints"))
        tables += [
            write_table("groups.endpoints", entry, EndpointEntry)
            for entry in group["endpoints"]
        ]
    for workspace in bundle["workspaces"]:
        tables.append(write_workspace(workspace))
    for name in ("groups", "workspaces"):
        if not bundle[name]:
            tables[0] += f"\n{name} = []"
    return "\n\n".join(tables) + "\n"


def write_workspace(entry: WorkspaceEntry) -> str:
    """Return a workspace with its keys as TOML."""
    if not entry["keys"]:
        return write_table("workspaces", entry, WorkspaceEntry)
    tables = [write_table("workspaces", entry, WorkspaceEntry, "keys")]
    tables += [write_table("workspaces.keys", key, KeyEntry) for key in entry["keys"]]
    return "\n\n".join(tables)


def write_table(header: str, entry: Any, shape: type, omitted_field: str = "") -> str:
    """Return one entry as TOML, its fields in the order of the class `shape`."""
    lines = [f"[[{header}]]"]
    for field in shape.__annotations__:
        if field in entry and field != omitted_field:
            lines.append(f"{field} = {_write_value(entry[field])}")
    return "\n".join(lines)


def _write_value(value: Any) -> str:
    # JSON's notation for strings, integers, booleans and lists of them is valid TOML.
    return repr(value) if isinstance(value, float) else json.dumps(value)


# Editing


def edit_text(text: str, edit: Edit) -> Result[EditResult, list[Mistake]]:
    """Return the text after the edit, or every mistake that it would have.

    The lines are edited as text, so that comments are preserved, and the result is
    parsed again. If it isn't the expected bundle, because the file has a layout that
    the text edit doesn't handle, the whole file is written anew.
    """
    parsed = parse_bundle(text)
    if parsed.is_error():
        return parsed
    expected = edit.change_bundle(parsed.ok)
    mistakes = check_bundle(expected)
    if mistakes:
        return Error(mistakes)
    edited = join_blocks(edit.change_blocks(split_blocks(text)))
    if parse_bundle(edited) == Ok(normalize_bundle(expected)):
        return Ok(EditResult(edited, rewritten=False))
    return Ok(EditResult(write_bundle(expected), rewritten=True))


def split_blocks(text: str) -> list[Block]:
    """Return the blocks of a file, in order."""
    blocks = [Block("", ())]
    pending_comments: list[str] = []
    # Not `splitlines`: it would split comments at marks that end no line in TOML.
    for line in text.removesuffix("\n").split("\n"):
        match = HEADER_LINE.fullmatch(line)
        if match:
            blocks.append(Block(match[1], (*pending_comments, line)))
            pending_comments = []
        elif line.lstrip().startswith("#"):
            # A comment belongs to the block or line below it.
            pending_comments.append(line)
        else:
            blocks[-1] = _append(blocks[-1], *pending_comments, line)
            pending_comments = []
    blocks[-1] = _append(blocks[-1], *pending_comments)
    return blocks


def join_blocks(blocks: list[Block]) -> str:
    """Return the text of the blocks."""
    return "\n".join(line for block in blocks for line in block.lines).rstrip() + "\n"


def read_name(block: Block, field: str = "name") -> str:
    """Return the name of the entry in a block; "" when it can't be read."""
    try:
        table: Any = tomllib.loads("\n".join(block.lines))
    except ValueError:
        return ""
    for part in block.header.split("."):
        table = table.get(part, {})
    entry = table[0] if isinstance(table, list) else {}
    return entry.get(field, "")


def find_span(blocks: list[Block], header: str, name: str) -> tuple[int, int]:
    """Return the indices of an entry's first block and of the block after its last.

    They are equal if there is no such entry.
    """
    for first, block in enumerate(blocks):
        if block.header == header and read_name(block) == name:
            end = first + 1
            while end < len(blocks) and blocks[end].header.startswith(header + "."):
                end += 1
            return first, end
    return len(blocks), len(blocks)


def insert_block(blocks: list[Block], index: int, text: str) -> list[Block]:
    """Return the blocks with those of `text` inserted, set off by blank lines."""
    before, after = blocks[:index], blocks[index:]
    if before and before[-1].lines and before[-1].lines[-1].strip():
        before[-1] = _append(before[-1], "")
    added = split_blocks(text)[1:]
    if after:
        added[-1] = _append(added[-1], "")
    return [*before, *added, *after]


def set_line(block: Block, field: str, value: Any) -> Block:
    """Return the block with the line `field = value`, preserving the line's comment."""
    pattern = re.compile(rf"(\s*{field}\s*=\s*)[^#]*?(\s*#.*)?")
    formatted = _write_value(value)
    lines = list(block.lines)
    for index, line in enumerate(lines):
        match = pattern.fullmatch(line)
        if match:
            lines[index] = f"{match[1]}{formatted}{match[2] or ''}"
            return Block(block.header, tuple(lines))
    last = max(i for i, line in enumerate(lines) if line.strip())
    lines.insert(last + 1, f"{field} = {formatted}")
    return Block(block.header, tuple(lines))


def remove_line(block: Block, field: str) -> Block:
    """Return the block without the line of a field."""
    pattern = re.compile(rf"\s*{field}\s*=.*")
    kept = tuple(line for line in block.lines if not pattern.fullmatch(line))
    return Block(block.header, kept)


def _append(block: Block, *lines: str) -> Block:
    return Block(block.header, (*block.lines, *lines))
