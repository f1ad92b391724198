"""Snapshot of a node's state, printed by `cyclamenridge dump`."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LinkDump:
    """A link to a backend server.

    :param silent_ms: time since the last message; 0 while the link is down
    :param calls_open: calls that have not been answered
    """

    service: str
    server: str
    address: str
    state: str
    incarnation: int | None
    silent_ms: int
    calls_open: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceDump:
    """A service that the node serves.

    :param home: balancers of the home set
    :param users: sessions and feeds that need the service
    :param draining: names of draining servers
    """

    service: str
    home: tuple[str, ...]
    users: int
    draining: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NodeDump:
    """State of a node.

    :param revision: revision of the current configuration
    :param members: state of each balancer by name
    """

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
