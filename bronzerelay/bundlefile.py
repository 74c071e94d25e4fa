"""The bundle as a TOML file: writing one, and editing one with its comments kept."""

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
NOTE = "# Written by bronzerelay; docs/CONFIGURATION.md explains the fields."
ENCODING = "utf-8"


class Block(NamedTuple):
    """The lines of one `[[header]]` with the comment above it; "" is the top."""

    header: str
    lines: tuple[str, ...]


class Edit(NamedTuple):
    """One change, both of the bundle and of the lines that it is written in."""

    change_bundle: Callable[[Bundle], Bundle]
    change_blocks: Callable[[list[Block]], list[Block]]


class Edited(NamedTuple):
    """The new text; `rewritten` says that it couldn't keep the comments."""

    text: str
    rewritten: bool


# Files


def read_text(path: str) -> str:
    """Return the text of a file, or raise OSError or ValueError."""
    with open(path, encoding=ENCODING) as file:
        return file.read()


def write_text(path: str, text: str) -> None:
    """Replace the file as a whole, or raise OSError and leave it as it was.

    Half a bundle could still be well-formed TOML, with some workspaces missing.
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


# Writing afresh


def write_bundle(bundle: Bundle) -> str:
    """Return the bundle as TOML, a table for each entry."""
    bundle = normalize_bundle(bundle)
    top = [NOTE, f"format = {bundle['format']}", f"version = {bundle['version']}"]
    parts = ["\n".join(top)]
    parts += [
        write_table("operators", entry, OperatorEntry)
        for entry in bundle.get("operators", [])
    ]
    for group in bundle["groups"]:
        parts.append(write_table("groups", group, GroupEntry, "endpoints"))
        parts += [
            write_table("groups.endpoints", entry, EndpointEntry)
            for entry in group["endpoints"]
        ]
    for workspace in bundle["workspaces"]:
        parts.append(write_workspace(workspace))
    for name in ("groups", "workspaces"):
        if not bundle[name]:
            parts[0] += f"\n{name} = []"
    return "\n\n".join(parts) + "\n"


def write_workspace(entry: WorkspaceEntry) -> str:
    """Return a workspace with its keys as TOML."""
    if not entry["keys"]:
        return write_table("workspaces", entry, WorkspaceEntry)
    parts = [write_table("workspaces", entry, WorkspaceEntry, "keys")]
    parts += [write_table("workspaces.keys", key, KeyEntry) for key in entry["keys"]]
    return "\n\n".join(parts)


def write_table(header: str, entry: Any, shape: type, left_out: str = "") -> str:
    """Return one entry as TOML, its fields in the order of `shape`."""
    lines = [f"[[{header}]]"]
    for field in shape.__annotations__:
        if field in entry and field != left_out:
            lines.append(f"{field} = {_write_value(entry[field])}")
    return "\n".join(lines)


def _write_value(value: Any) -> str:
    # JSON writes text, whole numbers, flags and lists of them as TOML does.
    return repr(value) if isinstance(value, float) else json.dumps(value)


# Editing


def edit_text(text: str, edit: Edit) -> Result[Edited, list[Mistake]]:
    """Return the text after the edit, or every mistake that it would have.

    The lines are changed as text, so that comments stay; what comes out is read
    again. When it isn't the wanted bundle, since the file is laid out in a way not
    foreseen here, the whole file is written afresh.
    """
    parsed = parse_bundle(text)
    if parsed.is_error():
        return parsed
    wanted = edit.change_bundle(parsed.ok)
    mistakes = check_bundle(wanted)
    if mistakes:
        return Error(mistakes)
    edited = join_blocks(edit.change_blocks(split_blocks(text)))
    if parse_bundle(edited) == Ok(normalize_bundle(wanted)):
        return Ok(Edited(edited, rewritten=False))
    return Ok(Edited(write_bundle(wanted), rewritten=True))


def split_blocks(text: str) -> list[Block]:
    """Return the blocks of a file, in order."""
    blocks = [Block("", ())]
    waiting: list[str] = []
    for line in text.splitlines():
        found = HEADER_LINE.fullmatch(line)
        if found:
            blocks.append(Block(found[1], (*waiting, line)))
            waiting = []
        elif line.lstrip().startswith("#"):
            # A comment belongs to what comes below it.
            waiting.append(line)
        else:
            blocks[-1] = _append(blocks[-1], *waiting, line)
            waiting = []
    blocks[-1] = _append(blocks[-1], *waiting)
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
    """Return the first block of an entry and the one after its last; equal if none."""
    for first, block in enumerate(blocks):
        if block.header == header and read_name(block) == name:
            end = first + 1
            while end < len(blocks) and blocks[end].header.startswith(header + "."):
                end += 1
            return first, end
    return len(blocks), len(blocks)


def insert_block(blocks: list[Block], index: int, text: str) -> list[Block]:
    """Return the blocks with a new one, blank lines around it."""
    before, after = blocks[:index], blocks[index:]
    if before and before[-1].lines and before[-1].lines[-1].strip():
        before[-1] = _append(before[-1], "")
    added = split_blocks(text)[1:]
    if after:
        added[-1] = _append(added[-1], "")
    return [*before, *added, *after]


def set_line(block: Block, field: str, value: Any) -> Block:
    """Return the block with the line `field = value`, its comment kept."""
    pattern = re.compile(rf"(\s*{field}\s*=\s*)[^#]*?(\s*#.*)?")
    written = _write_value(value)
    lines = list(block.lines)
    for index, line in enumerate(lines):
        found = pattern.fullmatch(line)
        if found:
            lines[index] = f"{found[1]}{written}{found[2] or ''}"
            return Block(block.header, tuple(lines))
    last = max(i for i, line in enumerate(lines) if line.strip())
    lines.insert(last + 1, f"{field} = {written}")
    return Block(block.header, tuple(lines))


def drop_line(block: Block, field: str) -> Block:
    """Return the block without the line of a field."""
    pattern = re.compile(rf"\s*{field}\s*=.*")
    kept = tuple(line for line in block.lines if not pattern.fullmatch(line))
    return Block(block.header, kept)


def _append(block: Block, *lines: str) -> Block:
    return Block(block.header, (*block.lines, *lines))
