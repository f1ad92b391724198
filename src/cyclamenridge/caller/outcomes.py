"""Outcomes of requests and items of feeds."""

import dataclasses

from cyclamenridge.wire import caller

Reason = caller.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The request ran; ``payload`` is the complete answer."""

    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The request ran and failed."""

    payload: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request is proven not to have run.

    :param retry_after_ms: 0 when a retry would not help
    """

    reason: Reason
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request may or may not have run."""

    reason: Reason = Reason.NONE


Outcome = Answered | Failed | NotRun | Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class FeedEvent:
    """An event of a feed.

    :param missed: number of lost events right before this one
    """

    seq: int
    payload: bytes
    missed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class FeedBroken:
    """The flow has ended on its server; the feed opens a new one."""

    reason: Reason


FeedItem = FeedEvent | FeedBroken
