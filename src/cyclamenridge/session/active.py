"""A request on its way to an outcome."""

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
    """Where a request is."""

    QUEUED = "queued"
    RUNNING = "running"
    IN_DOUBT = "in_doubt"


class Active:
    """A request whose outcome is open.

    :param maybe_run: an earlier attempt may have run, so that a refusal
        of a later one does not prove that the request was not run
    :param stop_reason: why the request is being abandoned
    """

    __slots__ = (
        "attempt",
        "doubt_ms",
        "incarnation",
        "maybe_run",
        "phase",
        "ref",
        "request",
        "resolve_ms",
        "sent_ms",
        "service",
        "stop_reason",
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
        self.doubt_ms = 0
        self.resolve_ms = 0
        self.maybe_run = False
        self.stop_reason: Reason | None = None


class OutcomeListener(abc.ABC):
    """Takes the outcome of each request."""

    @abc.abstractmethod
    def finished(
        self,
        now_ms: int,
        key: RequestKey,
        outcome: Outcome,
        reason: Reason,
        retry_after_ms: int,
        payload: bytes,
    ) -> None:
        """Take the final outcome of a request."""
