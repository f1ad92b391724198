"""State of a node for `cyclamenridge dump`."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LinkDump:
    """A link to a backend server."""

    service: str
    server: str
    address: str
    state: str
    incarnation: int | None
    silent_ms: int
    calls_open: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceDump:
    """A service that the node serves."""

    service: str
    home: tuple[str, ...]
    users: int
    draining: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NodeDump:
    """What a node knows and owns."""

    name: str
    incarnation: int
    state: str
    revision: int | None
    members: dict[str, str]
    services: tuple[ServiceDump, ...]
    links: tuple[LinkDump, ...]
    sessions: int
    requests_in_progress: int
    buffered_bytes: int
    feeds: int
    counters: dict[str, int]
