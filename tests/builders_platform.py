"""Builders of platform stand-ins and of clients for them."""

import contextlib
from collections.abc import Iterator
from typing import NamedTuple

from bronzerelay.keyvalue import KeyValueClient, KeyValueSettings
from bronzerelay.runtime import Address, Runtime
from standins.platform import PlatformServer, PlatformSettings
from standins.store import Store


class Platform(NamedTuple):
    """A running platform stand-in and the runtime that it shares with the test."""

    runtime: Runtime
    server: PlatformServer

    def make_client(
        self, *first: Address, caller: str = "vm-1", timeout_ms: int = 2000
    ) -> KeyValueClient:
        """Return a client that tries the addresses `first` before the server's."""
        addresses = (*first, self.server.address)
        settings = KeyValueSettings(addresses, caller, timeout_ms)
        return KeyValueClient(self.runtime, settings)

    def add_server(self) -> PlatformServer:
        """Return a second server of the same store, started."""
        server = PlatformServer(self.runtime, PlatformSettings(), self.server.store)
        server.start()
        return server


@contextlib.contextmanager
def run_platform(
    store_class: type[Store] = Store, vm_lag_ms: float = 0
) -> Iterator[Platform]:
    """Run a platform stand-in until the block ends."""
    runtime = Runtime(task_limit=64)
    store = store_class(runtime, vm_lag_ms)
    server = PlatformServer(runtime, PlatformSettings(), store)
    server.start()
    try:
        yield Platform(runtime, server)
    finally:
        server.stop()
        runtime.close(2000)


def find_free_address(runtime: Runtime) -> Address:
    """Return an address on which nothing listens."""
    listener = runtime.listen(Address("127.0.0.1", 0))
    listener.close()
    return listener.address
