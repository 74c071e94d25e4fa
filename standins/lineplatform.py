"""A stand-in for the users' platform: its store, one service, its configuration."""

import json
from pathlib import Path
from typing import Any, NamedTuple

from bronzerelay.runtime import Address, Runtime
from standins.kvstore import KvStore
from standins.linegroup import LOCAL, LineGroup, LineInstance

CONFIG_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
SERVICE = "orders"
# The database names of the three kinds of routes.
STRICT, AGED, OWN = "orders-strict", "orders-aged", "orders-own"


class Tenant(NamedTuple):
    """A tenant of the configuration."""

    name: str
    keys: tuple[str, ...]
    rate: float = 500.0
    burst: float = 500.0


NORTH = Tenant("north", ("north-key",))
SOUTH = Tenant("south", ("south-key",))


def make_route(database: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route to the service; `fields` replace its defaults."""
    return {
        "name": f"r-{database}",
        "host": database,
        "prefix": "/",
        "type": kind,
        "timeout_ms": 1000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": SERVICE,
        "attempts": 2,
        "max_staleness_ms": 1500,
        "public": False,
        **fields,
    }


class LinePlatform:
    """A store, one service of three instances, and a configuration."""

    def __init__(self, runtime: Runtime, lag_ms: float = 20.0):
        self.runtime = runtime
        self.store = KvStore(runtime)
        self.group = LineGroup(runtime, SERVICE, lag_ms)
        self.store.groups[SERVICE] = self.group
        self.version = 0
        self.tenants: list[Tenant] = [NORTH, SOUTH]
        self.routes = [
            make_route(STRICT, "primary"),
            make_route(AGED, "bounded_staleness"),
            make_route(OWN, "read_your_writes"),
        ]
        self.idle_ms = 3000
        # The zones of instances that aren't in the first one.
        self.zones: dict[str, str] = {}
        for instance in self.group.instances.values():
            self.register(instance)
        self.configure()

    def configure(self) -> int:
        """Write the next version of the configuration; return its number."""
        self.version += 3
        config = {
            "version": self.version,
            "routes": self.routes,
            "services": [{"name": SERVICE, "max_conns": 21, "sync_replicas": 0}],
            "limits": {"tx_idle_ms": self.idle_ms},
            "tenants": [
                {
                    "name": tenant.name,
                    "api_keys": list(tenant.keys),
                    "priority": 1,
                    "rate_per_s": tenant.rate,
                    "burst": tenant.burst,
                }
                for tenant in self.tenants
            ],
        }
        self.store.put_json(CONFIG_KEY, config)
        return self.version

    def register(self, instance: LineInstance) -> None:
        """Write the entry by which an instance registers itself."""
        entry = {
            "service": SERVICE,
            "address": str(instance.address),
            "zone": self.zones.get(instance.name, "z1"),
            "version": "v1",
            "capacity": self.group.slots,
            "state": "draining" if instance.leaving else "ready",
            "warmup_left_ms": 0,
            "current_role": "primary" if instance.is_primary else "replica",
            "seq": 1,
            "born": 1,
        }
        self.store.put_json(f"servers/{instance.name}", entry)

    def evacuate(self, zone: str) -> None:
        """Order that nothing more is sent to the instances of a zone."""
        self.store.put_json(EVACUATION_PREFIX + zone, {})

    def end_evacuation(self, zone: str) -> None:
        """Take the order back."""
        self.store.remove(EVACUATION_PREFIX + zone)

    def write_settings(self, path: Path, name: str, ports: list[Address]) -> None:
        """Write a daemon's settings file; `ports` are frontend, ready and peer."""
        frontend, ready, peer = ports
        store = self.store.address
        lines = [
            f'node_name = "{name}"',
            f'ip = "{LOCAL}"',
            'zone = "z1"',
            f"internal_ports = [{peer.port}, {peer.port}]",
            "[bind_addrs]",
            f'frontend = "{frontend}"',
            f'ready = "{ready}"',
            "[limits]",
            "max_fds = 1000",
            "[bounds]",
            "grace_s = 6",
            "drain_ms = 7000",
            "config_apply_ms = 3000",
            "[platform]",
            f'address = "{store}"',
            "[provider]",
            f'address = "{store}"',
        ]
        path.write_text("\n".join(lines) + "\n")

    def close(self) -> None:
        """Stop the group and the store."""
        self.group.close()
        self.store.close()


def read_events(output: str) -> list[dict[str, Any]]:
    """Return the decoded log lines of a daemon's output."""
    return [json.loads(line) for line in output.splitlines() if line.startswith("{")]
