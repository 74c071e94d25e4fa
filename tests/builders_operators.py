"""Builders of operators, their keys and the bundles that name them."""

from collections.abc import Callable
from typing import Any, NamedTuple

from bronzerelay.rollout import Operator, Rollout
from bronzerelay.signing import OperatorKey, make_operator_key
from bronzerelay.types import Bundle
from standins.platform import LOSE_ANSWERS
from tests.builders_config import make_bundle, make_operators, make_workspace
from tests.builders_platform import Platform

PATIENT_MS = 5000


class Operators(NamedTuple):
    """Operators with their key pairs, and the platform they share."""

    platform: Platform
    keys: dict[str, OperatorKey]

    def make_rollout(self, name: str, timeout_ms: int = PATIENT_MS) -> Rollout:
        """Return one operator's Rollout; for an unknown name, with a new key."""
        key = self.keys.get(name) or make_operator_key()
        client = self.platform.make_client(caller=name, timeout_ms=timeout_ms)
        return Rollout(client, Operator(name, key.private))

    def make_bundle(self, version: int = 1, **changes: Any) -> Bundle:
        """Return a bundle that names the operators."""
        public = {name: key.public for name, key in self.keys.items()}
        changes.setdefault("operators", make_operators(**public))
        return make_bundle(version, **changes)

    def propose(self, bundle: Bundle, author: str = "ana", second: str = "beto") -> str:
        """Propose and sign the bundle; return its digest."""
        digest = self.make_rollout(author).propose(bundle).ok["digest"]
        assert self.make_rollout(second).sign(digest).is_ok()
        return digest

    def race(self, action: str, key: str, function: Callable[[], Any]) -> None:
        """Call `function` once, just before the platform reads or puts the key."""
        self.platform.server.store.races[action, key] = function

    def lose_answer(self) -> None:
        """Make the platform lose its answer to the next call."""
        self.platform.server.set_fault(LOSE_ANSWERS, count=1)

    def propose_rate(self, rate: float, *names: str, version: int = 2) -> str:
        """Propose and sign a bundle that sets the rate of the workspace north."""
        workspaces = [make_workspace("north", rate=rate), make_workspace("south")]
        return self.propose(self.make_bundle(version, workspaces=workspaces), *names)

    def put_in_force(self, bundle: Bundle) -> None:
        """Put the bundle in force with two signatures."""
        digest = self.propose(bundle)
        assert self.make_rollout("ana").put_in_force(digest).is_ok()


def make_team(platform: Platform) -> Operators:
    """Return the operators ana, beto and carla."""
    names = ("ana", "beto", "carla")
    return Operators(platform, {name: make_operator_key() for name in names})
