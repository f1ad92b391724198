"""Window of request records: runs each sequence number at most once."""

import enum

from cyclamenridge import address as address_lib
from cyclamenridge.session import parts as parts_lib
from cyclamenridge.wire import caller

# Sequence numbers that the window covers, from the oldest that the caller has
# not acknowledged to the newest.
WINDOW_SIZE = 256


class Phase(enum.IntEnum):
    """Progress of a request."""

    PARTIAL = 0
    ACTIVE = 1
    DONE = 2
    ACKED = 3


class RequestRecord:
    """State of the request with one sequence number.

    :param check: checksum of the request payload; None if the request was
        cancelled before any part arrived; a request with this number is
        refused then
    :ivar last_progress_ms: when the outcome was set, or when the caller
        last acknowledged parts of it
    :ivar sent_parts: number of parts of the reply sent so far
    """

    __slots__ = (
        "acked_parts",
        "charged_bytes",
        "check",
        "deadline_ms",
        "kind",
        "last_progress_ms",
        "msgid",
        "outcome",
        "part_buffer",
        "parts",
        "payload",
        "phase",
        "reason",
        "retry_after_ms",
        "sent_ms",
        "sent_parts",
        "seq",
        "source",
        "started_ms",
    )

    def __init__(
        self,
        seq: int,
        check: int | None,
        *,
        kind: str,
        parts: int,
        source: address_lib.Address,
        msgid: int,
        now_ms: int,
    ) -> None:
        self.seq = seq
        self.check = check
        self.kind = kind
        self.parts = parts
        self.source = source
        self.msgid = msgid
        self.started_ms = now_ms
        self.deadline_ms = now_ms
        self.phase = Phase.PARTIAL
        self.part_buffer: parts_lib.PartBuffer | None = None
        self.outcome = caller.Outcome.PENDING
        self.reason = caller.Reason.NONE
        self.retry_after_ms = 0
        self.payload = b""
        self.acked_parts = 0
        self.sent_parts = 0
        self.sent_ms = -1
        self.last_progress_ms = now_ms
        self.charged_bytes = 0

    @property
    def in_progress(self) -> bool:
        """Tell whether the request has no outcome yet."""
        return self.phase <= Phase.ACTIVE


class Window:
    """Records of a session, from ``base_seq`` to the newest number.

    A number below ``base_seq`` may have run. A number at or above it
    without a record has never been accepted.
    """

    __slots__ = ("base_seq", "records")

    def __init__(self) -> None:
        # Callers number their requests from 1.
        self.base_seq = 1
        self.records: dict[int, RequestRecord] = {}

    def advance(self, seq: int) -> list[RequestRecord] | None:
        """Move the window so that it includes a new number.

        :param seq: number at or above ``base_seq``
        :return: the evicted records, or None if a request in progress would
            have to be evicted; the window is unchanged then
        """
        base_seq = max(self.base_seq, seq - WINDOW_SIZE + 1)
        evicted = (
            [r for s, r in self.records.items() if s < base_seq]
            if (base_seq > self.base_seq)
            else []
        )
        if any(record.in_progress for record in evicted):
            return None
        for record in evicted:
            del self.records[record.seq]
        self.base_seq = base_seq
        return evicted

    def acknowledge(self, record: RequestRecord) -> None:
        """Mark a reply as acknowledged and move ``base_seq`` past it."""
        record.phase = Phase.ACKED
        record.payload = b""
        while True:
            lowest = self.records.get(self.base_seq)
            if lowest is None or lowest.phase is not Phase.ACKED:
                return
            del self.records[self.base_seq]
            self.base_seq += 1
