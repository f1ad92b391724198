"""State of a complete request until its outcome is final."""

import abc
import enum

from cyclamenridge.node import events
from cyclamenridge.scheduling import types as scheduling
from cyclamenridge.wire import caller

Outcome = caller.Outcome
Reason = caller.Reason
RequestKey = scheduling.RequestKey
ServerRef = events.ServerRef


class Phase(enum.Enum):
    """Execution phase of a request."""

    QUEUED = "queued"
    RUNNING = "running"
    IN_DOUBT = "in_doubt"


class ActiveRequest:
    """A request without a final outcome, and its current attempt.

    :ivar ref: server of the current attempt
    :ivar incarnation: incarnation of that server when the request was sent
    :ivar in_doubt_since_ms: when the link to that server was lost
    :ivar last_query_ms: when the server was last asked for the status
    :ivar may_have_run: an earlier attempt may have run, so a refusal of a
        later one does not prove that the request was not run
    :ivar cancel_reason: why the request is being cancelled, None if it is not
    """

    __slots__ = (
        "attempt",
        "cancel_reason",
        "in_doubt_since_ms",
        "incarnation",
        "last_query_ms",
        "may_have_run",
        "phase",
        "ref",
        "request",
        "sent_ms",
        "service",
    )

    def __init__(
        self, request: scheduling.QueuedRequest, service: str
    ) -> None:
        self.request = request
        self.service = service
        self.phase = Phase.QUEUED
        self.ref = ServerRef(service, "")
        self.incarnation = 0
        self.attempt = 0
        self.sent_ms = 0
        self.in_doubt_since_ms = 0
        self.last_query_ms = 0
        self.may_have_run = False
        self.cancel_reason: Reason | None = None


class OutcomeListener(abc.ABC):
    """Receives the outcome of each request."""

    @abc.abstractmethod
    def request_finished(
        self,
        now_ms: int,
        key: RequestKey,
        outcome: Outcome,
        reason: Reason,
        retry_after_ms: int,
        payload: bytes,
    ) -> None:
        """Handle the final outcome of a request."""
