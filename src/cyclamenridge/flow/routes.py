"""Routes of a configuration and the services that they lead to."""

from collections.abc import Mapping
import random

import msgspec


class Target(msgspec.Struct, frozen=True):
    """A service that a route leads to, with its share of new flows."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """An address that clients open flows to.

    :param host: IPv4 address as a number
    :param idempotent: whether requests may run more than once
    :param deadline_ms: time that a request has in all
    :param aim_ms: time within which an answer is worth most
    :param rank: place in the order of precedence, 0 for the first
    """

    name: str
    host: int
    port: int
    targets: tuple[Target, ...]
    idempotent: bool
    deadline_ms: int
    aim_ms: int
    rank: int

    def pick_service(self, rng: random.Random) -> str:
        """Draw a service by weight."""
        if len(self.targets) == 1:
            return self.targets[0].service
        return rng.choices(
            [target.service for target in self.targets],
            [target.weight for target in self.targets],
        )[0]


class RouteTable(msgspec.Struct, frozen=True):
    """Routes of one version of the configuration.

    :param idle_ms: a flow without packets for this long may be forgotten
    """

    version: int
    routes: Mapping[tuple[int, int], Route]
    services: frozenset[str]
    idle_ms: int

    def preferred(self) -> frozenset[tuple[int, int]]:
        """Return the keys of routes that go before others of a service."""
        last: dict[str, int] = {}
        for route in self.routes.values():
            for target in route.targets:
                rank = last.get(target.service, route.rank)
                last[target.service] = max(rank, route.rank)
        return frozenset(
            key
            for key, route in self.routes.items()
            if any(route.rank < last[t.service] for t in route.targets)
        )

    def find(self, host: int, port: int) -> Route | None:
        """Return the route of an address, None when there is none."""
        return self.routes.get((host, port))
