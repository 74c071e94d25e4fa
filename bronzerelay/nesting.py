"""The limit for the nesting of JSON that comes from other processes."""

import re

# The JSON decoder recurses once for each level. The stack of a task is small, and a few
# thousand brackets in one body would end the process with a segmentation fault.
MAX_NESTING = 64
NESTING_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[{]|[\]}]', re.DOTALL)
OPENING = (b"[", b"{")
# In answers, the values that callers stored are nested in the answers' own levels.
ANSWER_NESTING = MAX_NESTING + 16


def check_nesting(body: bytes, limit: int = MAX_NESTING) -> bool:
    """Return whether arrays and objects nest no deeper than `limit`."""
    if body.count(b"[") + body.count(b"{") <= limit:
        return True
    depth = 0
    for match in NESTING_TOKENS.finditer(body):
        token = match.group()
        if token in OPENING:
            depth += 1
        elif not token.startswith(b'"'):
            depth -= 1
        if depth > limit:
            return False
    return True
