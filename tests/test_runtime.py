"""The seam to the outside world."""

import socket

from bronzerelay.runtime import (
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    KEEPALIVE_PROBES,
    Address,
)
from standins.linegroup import LOCAL


class TestSilentConnections:
    def test_connection_that_falls_silent_ends_within_seconds(self, runtime):
        # All daemons' connections to the platform's store fall silent at once, without
        # a reset. Each waits on its watch until that times out, and a key that is
        # withdrawn meanwhile goes on working for many seconds.
        listener = runtime.listen(Address(LOCAL, 0))
        connection = runtime.dial(listener.address, 1000)

        def read(level, option):
            return connection._sock.getsockopt(level, option)

        assert read(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
        assert read(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) == KEEPALIVE_IDLE_S
        assert read(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL) == KEEPALIVE_INTERVAL_S
        assert read(socket.IPPROTO_TCP, socket.TCP_KEEPCNT) == KEEPALIVE_PROBES
        silent_s = KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S * KEEPALIVE_PROBES
        assert silent_s <= 3
        connection.close()
        listener.close()
