"""Arguments and results of the scheduler of a service."""

import dataclasses
import enum

from cyclamenridge.wire import caller

Reason = caller.Reason


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class RequestKey:
    """Identifies a request by its session and sequence number."""

    session_id: int
    seq: int


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A completely received request that waits for a slot.

    :param arrived_ms: monotonic time of its arrival
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
    """A request that is refused and will not be run.

    :param retry_after_ms: delay before a retry; 0 when none would help
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
    """How an assignment ended.

    ``UNKNOWN`` means that the server may or may not have run the request.
    """

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
    """Demand of a balancer, sent to the other members of the home set.

    :param draining: servers that the balancer knows to be draining
    """

    service: str
    kinds: tuple[KindDemand, ...]
    draining: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Decisions:
    """Requests to send and to refuse, as returned by ``poll``."""

    assignments: tuple[Assignment, ...] = ()
    refusals: tuple[Refusal, ...] = ()
