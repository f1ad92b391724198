"""Messages of the backend protocol (MessagePack-RPC over TCP)."""

import enum

import msgspec


class RunError(enum.StrEnum):
    """Error of ``run``; all but ``FAILED`` prove that nothing ran."""

    BUSY = "busy"
    DRAINING = "draining"
    EXPIRED = "expired"
    CANCELLED = "cancelled"
    WRONG_SERVICE = "wrong_service"
    FAILED = "failed"


class AttachError(enum.StrEnum):
    """Error of ``attach``."""

    STALE_EPOCH = "stale_epoch"
    FULL = "full"
    DRAINING = "draining"
    UNKNOWN_FLOW = "unknown_flow"


class RunState(enum.StrEnum):
    """State of a request as told by its server."""

    NOT_RUN = "not_run"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Load report of a server."""

    slots_used: int
    queued: int
    connections: int
    draining: bool = False


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """First message on a link: whom the balancer expects to reach."""

    service: str
    server: str
    balancer: str


class Identity(msgspec.Struct, frozen=True, array_like=True):
    """Answer to ``hello``: who the server is."""

    service: str
    server: str
    incarnation: int
    slots: int
    connections: int


class Run(msgspec.Struct, frozen=True, array_like=True):
    """Run a request; ``deadline_ms`` is the time that is left."""

    session_id: int
    seq: int
    kind: str
    customer: str
    deadline_ms: int
    payload: bytes


class RunResult(msgspec.Struct, frozen=True, array_like=True):
    """Result of a request that ran."""

    payload: bytes
    load: Load


class RequestKey(msgspec.Struct, frozen=True, array_like=True):
    """Names a request in ``cancel`` and ``resolve``."""

    session_id: int
    seq: int


class RunStatus(msgspec.Struct, frozen=True, array_like=True):
    """Answer to ``cancel`` and ``resolve``.

    ``NOT_RUN`` also fences the request: the server refuses a late copy.
    """

    state: RunState
    payload: bytes = b""


class Attach(msgspec.Struct, frozen=True, array_like=True):
    """Bind a flow to this link, creating it if ``create`` is set."""

    flow_id: int
    epoch: int
    kind: str
    customer: str
    last_seq: int
    create: bool


class Attached(msgspec.Struct, frozen=True, array_like=True):
    """Answer to ``attach``: sequence number of the next event."""

    next_seq: int


class Detach(msgspec.Struct, frozen=True, array_like=True):
    """End a flow."""

    flow_id: int
    epoch: int


class Moved(msgspec.Struct, frozen=True, array_like=True):
    """Tells a link that another one attached a flow at a higher epoch."""

    flow_id: int
    epoch: int


class Empty(msgspec.Struct, frozen=True, array_like=True):
    """Parameters of methods that have none."""


class Event(msgspec.Struct, frozen=True, array_like=True):
    """A message of a flow from the server."""

    flow_id: int
    seq: int
    payload: bytes


class Datagram(msgspec.Struct, frozen=True, array_like=True):
    """A packet of a caller without a token, in either direction."""

    host: str
    port: int
    payload: bytes
