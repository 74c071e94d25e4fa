"""HTTP connections of `urllib3` that are closed together with the runtime."""

from collections.abc import Callable
from typing import Any

import urllib3

from bronzerelay.runtime import Connection


class TrackedHttpConnection(urllib3.connection.HTTPConnection):
    """An HTTP connection that closing the runtime also closes.

    Closing a `urllib3` pool closes only its idle connections, so a task in a long watch
    would delay the exit of the process until the watch is answered.
    """

    def __init__(self, track: Callable[[Any], Connection], *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._track = track
        self._tracked: Connection | None = None

    def connect(self) -> None:
        """Connect, and have the runtime track the connection."""
        super().connect()
        self._tracked = self._track(self.sock)

    def close(self) -> None:
        """Close, and have the runtime stop tracking the connection."""
        super().close()
        if self._tracked is not None:
            self._tracked.untrack()
            self._tracked = None
