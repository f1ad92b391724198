"""Data classes of the configuration of a deployment.

They are immutable, and pydantic validates their fields.
"""

import enum
from typing import Annotated

import pydantic
from pydantic import dataclasses

_STRICT = pydantic.ConfigDict(extra="forbid")

Name = Annotated[
    str,
    pydantic.StringConstraints(
        pattern=r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$"
    ),
]
Percent = Annotated[float, pydantic.Field(ge=0, le=100)]


class Mode(enum.StrEnum):
    """How callers use a kind of work: as a feed or by requests."""

    FEED = "feed"
    REQUEST = "request"
    BULK = "bulk"


class ServerState(enum.StrEnum):
    """State of a backend server as set by the operator."""

    ACTIVE = "active"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, config=_STRICT)
class FailureDomain:
    """A failure domain and the IPv4 networks of its balancers."""

    region: Name
    networks: tuple[str, ...]


@dataclasses.dataclass(frozen=True, config=_STRICT)
class Server:
    """A backend server."""

    address: str
    failure_domain: Name
    slots: Annotated[int, pydantic.Field(ge=1, le=10_000)] = 2
    connections: Annotated[int, pydantic.Field(ge=1, le=1_000_000)] = 2000
    state: ServerState = ServerState.ACTIVE


@dataclasses.dataclass(frozen=True, config=_STRICT)
class Service:
    """A service and its backend servers."""

    servers: dict[Name, Server]
    home_set_size: Annotated[int, pydantic.Field(ge=1, le=64)] = 5
    queue_limit: Annotated[int, pydantic.Field(ge=1, le=100_000)] = 1000
    retry_percent: Percent = 20.0
    slow_start_ms: Annotated[int, pydantic.Field(ge=0, le=600_000)] = 10_000


@dataclasses.dataclass(frozen=True, config=_STRICT)
class Kind:
    """A kind of work.

    :param floor_percent: part of the service's slots that the kind keeps
        when kinds ranked above it could use all of them
    :param deadline_ms: upper bound of the deadlines that callers set
    """

    service: Name
    mode: Mode
    idempotent: bool = False
    floor_percent: Percent = 0.0
    deadline_ms: Annotated[int, pydantic.Field(ge=1, le=600_000)] = 5000
    max_bytes: Annotated[int, pydantic.Field(ge=1, le=8_000_000)] = 1024


@dataclasses.dataclass(frozen=True, config=_STRICT)
class Customer:
    """A customer and its share of each kind of work.

    :param share: weight relative to the shares of the other customers
    """

    share: Annotated[float, pydantic.Field(gt=0, le=1000)] = 1.0


@dataclasses.dataclass(frozen=True, config=_STRICT)
class Config:
    """The whole configuration of a deployment.

    :param precedence: all kinds of work, from the highest precedence to the
        lowest
    """

    deployment: Name
    failure_domains: dict[Name, FailureDomain]
    services: dict[Name, Service]
    kinds: dict[Name, Kind]
    customers: dict[Name, Customer]
    precedence: tuple[Name, ...]
