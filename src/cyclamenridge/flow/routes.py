"""Routes of a configuration and the services that they target."""

from collections.abc import Mapping
import random

import msgspec

from cyclamenridge.flow import fields


class Target(msgspec.Struct, frozen=True):
    """Service that a route targets, with its weight for new flows."""

    service: str
    weight: fields.Amount


class Route(msgspec.Struct, frozen=True):
    """Virtual address that clients open flows to.

    :param host: IPv4 address as a number
    :param idempotent: whether requests may run more than once
    :param deadline_ms: time until a request times out
    :param aim_ms: target latency of answers
    :param rank: position in the order of precedence, 0 is the highest
    """

    name: str
    host: int
    port: fields.Number
    targets: tuple[Target, ...]
    idempotent: bool
    deadline_ms: fields.Duration
    aim_ms: fields.Duration
    rank: fields.Number

    def pick_service(self, rng: random.Random) -> str:
        """Return a target service, drawn at random by weight."""
        if len(self.targets) == 1:
            return self.targets[0].service
        return rng.choices(
            [target.service for target in self.targets],
            [target.weight for target in self.targets],
        )[0]


class Warmup(msgspec.Struct, frozen=True):
    """Warm-up of the servers of a service.

    :param duration_ms: how long a server stays cold after its start
    :param flows_per_s: new flows a second that a cold server can handle, 0
        for no limit
    """

    duration_ms: fields.Duration
    flows_per_s: fields.Amount


class RouteTable(msgspec.Struct, frozen=True):
    """Routes of one version of the configuration.

    :param routes: routes by host and port
    :param idle_ms: idle timeout of flows
    :param epoch: epoch of the store that it was read in
    :param warmups: warm-ups by service; balancers of earlier versions do not
        send them in snapshots
    """

    version: fields.Version
    routes: Mapping[tuple[int, int], Route]
    services: frozenset[str]
    idle_ms: fields.Duration
    epoch: fields.Version = 0
    warmups: Mapping[str, Warmup] = {}

    def preferred_keys(self) -> frozenset[tuple[int, int]]:
        """Return the keys of routes that precede another one of a service."""
        last_rank: dict[str, int] = {}
        for route in self.routes.values():
            for target in route.targets:
                rank = last_rank.get(target.service, route.rank)
                last_rank[target.service] = max(rank, route.rank)
        return frozenset(
            key
            for key, route in self.routes.items()
            if any(route.rank < last_rank[t.service] for t in route.targets)
        )

    def find(self, host: int, port: int) -> Route | None:
        """Return the route of an address, None when there is none."""
        return self.routes.get((host, port))
