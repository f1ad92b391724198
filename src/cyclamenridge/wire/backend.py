"""Messages of the backend protocol (MessagePack-RPC over TCP)."""

import enum

import msgspec


class RunError(enum.StrEnum):
    """Error of ``run``; all but ``FAILED`` prove that it did not run."""

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
    """State of a request as its server reports it."""

    NOT_RUN = "not_run"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Load report of a server.

    :param slots_used: requests that are running
    :param queued: requests that wait for a slot
    :param connections: flows that the server holds
    """

    slots_used: int
    queued: int
    connections: int
    draining: bool = False


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """First message on a link: the server that the balancer expects.

    :param balancer: name of the balancer
    """

    service: str
    server: str
    balancer: str


class Identity(msgspec.Struct, frozen=True, array_like=True):
    """Response to ``hello``: the identity of the server.

    :param incarnation: differs for each process of a server
    :param slots: requests that can run at once
    :param connections: flows that the server can hold
    """

    service: str
    server: str
    incarnation: int
    slots: int
    connections: int


class Run(msgspec.Struct, frozen=True, array_like=True):
    """Run a request.

    :param deadline_ms: time left until the deadline
    """

    session_id: int
    seq: int
    kind: str
    customer: str
    deadline_ms: int
    payload: bytes


class RunResult(msgspec.Struct, frozen=True, array_like=True):
    """Response to ``run``: the result of a request that ran."""

    payload: bytes
    load: Load


class RequestKey(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a request in ``cancel`` and ``resolve``."""

    session_id: int
    seq: int


class RunStatus(msgspec.Struct, frozen=True, array_like=True):
    """Response to ``cancel`` and ``resolve``.

    ``NOT_RUN`` also fences the request: from then on the server refuses
    copies of it that arrive late.
    """

    state: RunState
    payload: bytes = b""


class Attach(msgspec.Struct, frozen=True, array_like=True):
    """Bind a flow to this link.

    :param epoch: the attach with the highest epoch owns the flow
    :param last_seq: events up to this number are not sent again
    :param create: create the flow if the server does not have it
    """

    flow_id: int
    epoch: int
    kind: str
    customer: str
    last_seq: int
    create: bool


class Attached(msgspec.Struct, frozen=True, array_like=True):
    """Response to ``attach``: sequence number of the next event."""

    next_seq: int


class Detach(msgspec.Struct, frozen=True, array_like=True):
    """End a flow."""

    flow_id: int
    epoch: int


class Moved(msgspec.Struct, frozen=True, array_like=True):
    """Notifies a link that another one attached a flow at a higher epoch."""

    flow_id: int
    epoch: int


class Empty(msgspec.Struct, frozen=True, array_like=True):
    """Parameters of methods that have none."""


class Event(msgspec.Struct, frozen=True, array_like=True):
    """A message that the server sends on a flow."""

    flow_id: int
    seq: int
    payload: bytes


class Datagram(msgspec.Struct, frozen=True, array_like=True):
    """A packet without a routing token, in either direction.

    :param host: address of the caller
    """

    host: str
    port: int
    payload: bytes
