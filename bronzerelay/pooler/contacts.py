"""With whom a daemon exchanges heartbeats: with all, or through relays.

Heartbeats from everybody to everybody grow with the square of the fleet. So in a large
one the first few daemons of each failure domain, in an order that all work out alike,
are its relays: the others exchange heartbeats with the relays of their own domain
alone, and the relays with each other. Nobody is appointed. Who finds a relay silent
goes on to the next one in the order, and whoever is addressed answers.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from bronzerelay.rendezvous import rank
from bronzerelay.runtime import Address

# Members up to which everybody exchanges heartbeats with everybody: relays would only
# make news later.
FULL_MESH = 12
# Relays of each failure domain: when one goes, the other one has heard all.
RELAYS = 2


class Peer(NamedTuple):
    """Another member: where it listens, and its failure domain."""

    address: Address
    domain: str = ""


class Plan(NamedTuple):
    """Whom a daemon addresses of its own accord, and whether it is a relay."""

    contacts: frozenset[str]
    relaying: bool = False
    # The members that stand for each failure domain, its first ones first.
    relays: dict[str, tuple[str, ...]] = {}


class Contacts:
    """Works out a daemon's contacts from the list of members."""

    def __init__(self, name: str, domain: str):
        self._name = name
        self._domain = domain
        self._peers: dict[str, Peer] = {}
        self._orders: dict[str, list[str]] = {}

    def set_peers(self, peers: dict[str, Peer]) -> None:
        """Take over who the others are."""
        self._peers = peers
        domains: dict[str, list[str]] = {self._domain: [self._name]}
        for name, peer in peers.items():
            domains.setdefault(peer.domain, []).append(name)
        self._orders = {
            domain: rank(f"relay/{domain}", names) for domain, names in domains.items()
        }

    def is_mesh(self) -> bool:
        """Return whether everybody exchanges heartbeats with everybody."""
        return len(self._peers) < FULL_MESH

    def list_domain(self, domain: str) -> list[str]:
        """Return the members of a failure domain, this daemon left out."""
        order = self._orders.get(domain, [])
        return [name for name in order if name != self._name]

    def find_place(self) -> int:
        """Return this daemon's place in the order of its failure domain."""
        return self._orders.get(self._domain, [self._name]).index(self._name)

    def plan(self, is_silent: Callable[[str], bool], makes_change: bool) -> Plan:
        """Return whom to address while some members are found silent.

        Who makes a change of primary needs word of all members, so that it addresses
        the relays of all domains.
        """
        if self.is_mesh():
            return Plan(frozenset(self._peers))
        reached = {
            domain: self._reach(order, is_silent)
            for domain, order in self._orders.items()
        }
        relaying = self._name in reached[self._domain]
        contacts = set(reached[self._domain])
        if relaying:
            contacts.update(self._orders[self._domain])
        if relaying or makes_change:
            contacts.update(name for names in reached.values() for name in names)
        contacts.discard(self._name)
        return Plan(frozenset(contacts), relaying, reached)

    def _reach(
        self, order: Iterable[str], is_silent: Callable[[str], bool]
    ) -> tuple[str, ...]:
        """Return the first of a domain up to as many that aren't silent as it needs.

        Silent ones are addressed still, or nobody would notice that they are back.
        """
        reached = []
        missing = RELAYS
        for name in order:
            if missing == 0:
                break
            reached.append(name)
            if name == self._name or not is_silent(name):
                missing -= 1
        return tuple(reached)
