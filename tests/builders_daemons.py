"""Builders of small daemons: real front end and configuration, but no groups."""

import io

from expression import Ok

from bronzerelay.codes import Code, refuse
from bronzerelay.configuration import ConfigurationStore
from bronzerelay.front import FrontSettings, Handlers, HttpFront
from bronzerelay.logs import open_log
from bronzerelay.metrics import Metrics
from bronzerelay.records import CURRENT_KEY
from bronzerelay.runtime import Address
from tests.builders_platform import Platform

WATCH_MS = 200


class SmallDaemon:
    """A daemon that applies the platform's configuration until it is cut off."""

    def __init__(
        self, platform: Platform, name: str, members: tuple[str, ...], **settings: str
    ):
        self._runtime = platform.runtime
        self._key_value = platform.make_client(caller=name)
        self._name = name
        self._members = members
        self.store = ConfigurationStore(self._runtime)
        self.metrics = Metrics(self._runtime)
        self.cut_off = False
        self.front = HttpFront(
            self._runtime,
            FrontSettings(Address("127.0.0.1", 0), **settings),
            Handlers(
                lambda *_: refuse(Code.NO_PRIMARY, "No groups here."),
                lambda: Ok(None),
                self._show_status,
                self.metrics.render,
            ),
            self.metrics,
            open_log("front", io.StringIO()),
        )
        self.address = str(self.front.address)
        self.front.start()
        self._runtime.start(self._follow)

    def _follow(self) -> None:
        revision = 0
        while not self._runtime.stopping:
            watched = self._key_value.watch(CURRENT_KEY, revision, WATCH_MS)
            if watched.is_ok() and watched.ok is not None and not self.cut_off:
                revision = watched.ok.revision
                self.store.accept(watched.ok.value)

    def _show_status(self) -> dict:
        record = self.store.record
        return {
            "name": self._name,
            "config_version": self.store.version,
            "digest": record["digest"] if record else "",
            "members": dict.fromkeys(self._members, True),
            "groups": {},
            "isolated": self.cut_off,
            "stopping": False,
        }
