"""Input and output types of the scheduler of a service."""

import dataclasses
import enum

from cyclamenridge.wire import backend
from cyclamenridge.wire import caller

Reason = caller.Reason


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class RequestKey:
    """Names a request: session id and sequence number."""

    session_id: int
    seq: int


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A whole request that waits for a slot.

    :param deadline_ms: monotonic time after which it must not start
    """

    key: RequestKey
    kind: str
    customer: str
    idempotent: bool
    arrived_ms: int
    deadline_ms: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A request that is not run.

    :param retry_after_ms: 0 when a retry would not help
    """

    key: RequestKey
    reason: Reason
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """A request to be sent to a server now."""

    request: QueuedRequest
    server: str


class Completion(enum.Enum):
    """How an assignment ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class KindDemand:
    """Slots that one balancer could use for a kind of work now."""

    kind: str
    slots: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceDemand:
    """What a balancer tells the other members of a home set.

    :param draining: servers known to be leaving
    """

    service: str
    kinds: tuple[KindDemand, ...]
    draining: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ServerReport:
    """What a load report of a server says, with its slots."""

    slots: int
    connections_limit: int
    load: backend.Load


@dataclasses.dataclass(frozen=True, slots=True)
class Poll:
    """What the scheduler decided since the last poll."""

    assignments: tuple[Assignment, ...] = ()
    refusals: tuple[Refusal, ...] = ()
