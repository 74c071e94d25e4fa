"""Chooses the peers that a daemon exchanges heartbeats with: all, or relays only.

The traffic of a full mesh grows with the square of the fleet. So in a large fleet the
first few daemons of each failure domain, by a ranking that all daemons compute alike,
are its relays. The others exchange heartbeats only with the relays of their own domain.
The relays of a domain exchange them with each other, and each with one relay of each
other domain, the one at the same place. There is no election: a daemon that finds a
relay silent also contacts the next one in the ranking, and any daemon replies when
contacted.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from bronzerelay.rendezvous import rank
from bronzerelay.runtime import Address

# The largest fleet that uses a full mesh, where relays would only add delay.
MAX_MESH_SIZE = 12
# Relays of each failure domain: when one fails, the other one has heard the same.
RELAYS_PER_DOMAIN = 2


class Peer(NamedTuple):
    """Another member: where it listens, and its failure domain."""

    address: Address
    domain: str = ""


class Plan(NamedTuple):
    """The contacts of a daemon, which it sends each round to, and whether it relays."""

    contacts: frozenset[str]
    relaying: bool = False
    # By failure domain, the members in use as its relays, in the order of the ranking.
    relays: dict[str, tuple[str, ...]] = {}


class Contacts:
    """Computes a daemon's contacts from the member list."""

    def __init__(self, name: str, domain: str):
        self._name = name
        self._domain = domain
        self._peers: dict[str, Peer] = {}
        self._orders: dict[str, list[str]] = {}

    def set_peers(self, peers: dict[str, Peer]) -> None:
        """Update the other members."""
        self._peers = peers
        domains: dict[str, list[str]] = {self._domain: [self._name]}
        for name, peer in peers.items():
            domains.setdefault(peer.domain, []).append(name)
        self._orders = {
            domain: rank(f"relay/{domain}", names) for domain, names in domains.items()
        }

    def is_mesh(self) -> bool:
        """Return whether all daemons exchange heartbeats with each other."""
        return len(self._peers) < MAX_MESH_SIZE

    def list_domain(self, domain: str) -> list[str]:
        """Return the members of a failure domain except this daemon."""
        order = self._orders.get(domain, [])
        return [name for name in order if name != self._name]

    def find_place(self) -> int:
        """Return this daemon's place in the ranking of its failure domain."""
        return self._orders.get(self._domain, [self._name]).index(self._name)

    def plan(self, is_silent: Callable[[str], bool], holds_lock: bool) -> Plan:
        """Return the contacts, given which members are silent.

        The lock holder of a primary change needs acknowledgements of all members, so it
        contacts all relays of all domains.
        """
        if self.is_mesh():
            return Plan(frozenset(self._peers))
        relays = {
            domain: self._choose_relays(order, is_silent)
            for domain, order in self._orders.items()
        }
        relaying = self._name in relays[self._domain]
        contacts = set(relays[self._domain])
        if relaying:
            contacts.update(self._orders[self._domain])
            contacts.update(self._choose_partners(relays, is_silent))
        if holds_lock:
            contacts.update(name for names in relays.values() for name in names)
        contacts.discard(self._name)
        return Plan(frozenset(contacts), relaying, relays)

    def _choose_partners(
        self, relays: dict[str, tuple[str, ...]], is_silent: Callable[[str], bool]
    ) -> set[str]:
        """Return the relays of the other domains that this relay contacts.

        One of each domain is enough: if each relay contacted all others, each would
        hear twice what the daemons of a domain report. Silent ones are contacted as
        well, or their return wouldn't be noticed.
        """

        def list_heard(domain: str) -> list[str]:
            names = relays[domain]
            return [one for one in names if one == self._name or not is_silent(one)]

        place = list_heard(self._domain).index(self._name)
        partners = set()
        for domain in relays.keys() - {self._domain}:
            heard = list_heard(domain)
            if heard:
                partners.add(heard[place % len(heard)])
            partners.update(set(relays[domain]) - set(heard))
        return partners

    def _choose_relays(
        self, order: Iterable[str], is_silent: Callable[[str], bool]
    ) -> tuple[str, ...]:
        """Return the first members of a domain, up to enough that aren't silent.

        Silent ones are included, or their return wouldn't be noticed.
        """
        relays = []
        missing = RELAYS_PER_DOMAIN
        for name in order:
            if missing == 0:
                break
            relays.append(name)
            if name == self._name or not is_silent(name):
                missing -= 1
        return tuple(relays)
