"""A stand-in for the users' platform: its key-value store and its promotion call."""

import base64
import contextlib
import json
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from bronzerelay.runtime import Address, Runtime
from standins.linegroup import LOCAL, LineGroup

# The most items of a page, and the bytes of data after which it ends.
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


class StoredItem(NamedTuple):
    """A key's value at a store revision; `data` is None if the key was removed."""

    key: str
    data: bytes | None
    revision: int


def _cut_page(items: list[StoredItem]) -> list[StoredItem]:
    """Return the items that the first page holds."""
    page = []
    left = PAGE_BYTES
    for item in items[:PAGE_ITEMS]:
        page.append(item)
        left -= len(item.data or b"")
        if left <= 0:
            break
    return page


class KvStore:
    """Keys with revisions and a history, on a port of its own.

    Tests set its faults as attributes. `status`: every call is answered with this HTTP
    status. `silent`: calls are answered only once it is unset. `drop_calls`: calls that
    arrive while it is set are never answered, but their connections stay open.
    `lose_answers`: the number of changes that are made but not answered. `delay_ms`:
    the delay of each call.
    """

    def __init__(self, runtime: Runtime):
        self.runtime = runtime
        self.condition = runtime.make_condition()
        self.items: dict[str, StoredItem] = {}
        self.history: list[StoredItem] = []
        self.revision = 7
        self.compacted_revision = 0
        self.status = 0
        self.silent = False
        self.drop_calls = False
        self.lose_answers = 0
        self.delay_ms = 0.0
        self.calls: list[str] = []
        self.groups: dict[str, LineGroup] = {}
        self._server = ThreadingHTTPServer((LOCAL, 0), self._make_handler())
        self._server.daemon_threads = True
        self.runtime.start(self._server.serve_forever)

    @property
    def address(self) -> Address:
        """Return the address on which the store listens."""
        return Address(*self._server.server_address[:2])

    def close(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()

    # Writes of operators and instances

    def put(self, key: str, data: bytes) -> int:
        """Write a key as an operator or an instance does."""
        with self.condition:
            return self._apply({key: data}, [])

    def put_json(self, key: str, value: Any) -> int:
        """Write a key with a JSON value."""
        return self.put(key, json.dumps(value).encode())

    def remove(self, key: str) -> int:
        """Remove a key as an operator or an expired lease does."""
        with self.condition:
            return self._apply({}, [key])

    def forget_history(self) -> None:
        """Drop the history; watches from earlier revisions are answered with 410."""
        with self.condition:
            self.compacted_revision = self.revision
            self.history = []
            self.condition.notify_all()

    def _apply(self, puts: dict[str, bytes], removed: list[str]) -> int:
        self.revision += 1
        for key, data in puts.items():
            self.items[key] = StoredItem(key, data, self.revision)
            self.history.append(self.items[key])
        for key in removed:
            if self.items.pop(key, None) is not None:
                self.history.append(StoredItem(key, None, self.revision))
        self.condition.notify_all()
        return self.revision

    # Calls

    def answer(self, method: str, path: str, body: bytes) -> tuple[int, Any]:
        """Return the HTTP status and the body of the answer to a call."""
        url = urlsplit(path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        self.calls.append(f"{method} {url.path}")
        if self.delay_ms:
            self.runtime.sleep_ms(self.delay_ms)
        if self.status:
            return self.status, {}
        routes: dict[str, Callable[[], tuple[int, Any]]] = {
            "/-/kv-range": lambda: self._list_range(query),
            "/-/kv-watch": lambda: self._watch(query),
            "/-/kv-txn": lambda: self._compare_and_swap(json.loads(body)),
        }
        return routes[url.path]() if url.path in routes else (404, {})

    def _encode_item(self, item: StoredItem) -> dict[str, Any]:
        if item.data is None:
            return {"key": item.key, "revision": item.revision, "deleted": True}
        data = base64.b64encode(item.data).decode()
        return {
            "key": item.key,
            "data": data,
            "revision": item.revision,
            "created_rev": item.revision,
            "lease_id": 0,
        }

    def _list_range(self, query: dict[str, str]) -> tuple[int, Any]:
        with self.condition:
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(
                key for key in self.items if key.startswith(prefix) and key > after
            )
            page = _cut_page([self.items[key] for key in keys])
            items = [self._encode_item(item) for item in page]
            has_more = len(keys) > len(page)
            return 200, {"items": items, "has_more": has_more, "at": self.revision}

    def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query["after"])
        prefix = query.get("prefix", "")

        def list_events() -> list[StoredItem]:
            return [
                item
                for item in self.history
                if item.revision > after and item.key.startswith(prefix)
            ]

        with self.condition:
            self.runtime.wait_for(
                self.condition,
                lambda: list_events() or after < self.compacted_revision,
                float(query["wait_ms"]),
            )
            if after < self.compacted_revision:
                return 410, {}
            events = [self._encode_item(item) for item in list_events()]
            return 200, {"events": events, "at": self.revision}

    def _compare_and_swap(self, body: dict[str, Any]) -> tuple[int, Any]:
        with self.condition:
            for row in body["precondition"]:
                current = self.items.get(row["key"])
                if (current.revision if current else 0) != row["revision"]:
                    return 412, {"items": []}
            puts = {
                row["key"]: base64.b64decode(row["data"], validate=True)
                for row in body["puts"]
            }
            revision = self._apply(puts, body["remove"])
            if self.lose_answers:
                self.lose_answers -= 1
                return 0, None
            return 200, {"revision": revision}

    def promote(self, body: bytes, holder: str, epoch: int) -> int:
        """Promote an instance as the request says; return the HTTP status."""
        request = json.loads(body)
        group = self.groups.get(request["service"])
        done = group is not None and group.promote(request["id"], holder, epoch)
        return 200 if done else 409

    def _make_handler(self) -> type[BaseHTTPRequestHandler]:
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:
                self._serve("GET")

            def do_POST(self) -> None:
                self._serve("POST")

            def _serve(self, method: str) -> None:
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                dropped = store.drop_calls
                while store.silent or dropped:
                    if not store.runtime.sleep_ms(10):
                        return
                if self.path == "/failover":
                    holder = self.headers["X-Lock-Holder"]
                    epoch = int(self.headers["X-Fencing-Token"])
                    status, value = store.promote(body, holder, epoch), {}
                else:
                    status, value = store.answer(method, self.path, body)
                if status == 0:
                    self.close_connection = True
                    return
                self._reply(status, json.dumps(value).encode())

            def _reply(self, status: int, data: bytes) -> None:
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                # The caller may have disconnected, as a daemon does that stops.
                with contextlib.suppress(OSError):
                    self.wfile.write(data)

            def log_message(self, *_: object) -> None:
                """Log nothing: a line for each call would clutter the tests' output."""

        return Handler
