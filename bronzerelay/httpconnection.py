"""HTTP connections of `urllib3` that the end of a runtime closes."""

from collections.abc import Callable
from typing import Any

import urllib3

from bronzerelay.runtime import Connection


class TrackedHttpConnection(urllib3.connection.HTTPConnection):
    """An HTTP connection that the end of the runtime closes.

    A pool knows only its idle connections. A task in a long watch would hold up the
    end of the process until the watch is answered.
    """

    def __init__(self, adopt: Callable[[Any], Connection], *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._adopt = adopt
        self._adopted: Connection | None = None

    def connect(self) -> None:
        """Connect, and let the runtime know of the connection."""
        super().connect()
        self._adopted = self._adopt(self.sock)

    def close(self) -> None:
        """Close, and let the runtime forget the connection."""
        super().close()
        if self._adopted is not None:
            self._adopted.forget()
            self._adopted = None
