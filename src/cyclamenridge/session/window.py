"""Window of request records that makes each sequence number run once."""

import enum

from cyclamenridge import address as address_lib
from cyclamenridge.session import parts as parts_lib
from cyclamenridge.wire import caller

# A caller may have this many sequence numbers between the oldest that it
# has not acknowledged and the newest.
WINDOW = 256


class Phase(enum.IntEnum):
    """Progress of a request."""

    PARTIAL = 0
    ACTIVE = 1
    DONE = 2
    ACKED = 3


class Record:
    """What the owner knows about one sequence number.

    :param check: check of the request; None when it was cancelled before
        any of it arrived, and then any request is refused
    """

    __slots__ = (
        "acked_parts",
        "changed_ms",
        "charged",
        "check",
        "deadline_ms",
        "kind",
        "msgid",
        "outcome",
        "parts",
        "payload",
        "phase",
        "reason",
        "received",
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
        self.received: parts_lib.PartBuffer | None = None
        self.outcome = caller.Outcome.PENDING
        self.reason = caller.Reason.NONE
        self.retry_after_ms = 0
        self.payload = b""
        self.acked_parts = 0
        self.sent_parts = 0
        self.sent_ms = -1
        self.changed_ms = now_ms
        self.charged = 0

    @property
    def in_progress(self) -> bool:
        """Tell whether the outcome is still open."""
        return self.phase <= Phase.ACTIVE


class Window:
    """Records of a session between the floor and the newest number.

    Every number below the floor may have run. A number at or above the
    floor without a record has never been accepted.
    """

    __slots__ = ("floor", "newest", "records")

    def __init__(self) -> None:
        # Callers number their requests from 1.
        self.floor = 1
        self.newest = 0
        self.records: dict[int, Record] = {}

    def admit(self, seq: int) -> list[Record] | None:
        """Make room for a new number at or above the floor.

        :return: the records that left the window, or None when a request
            in progress would have to leave
        """
        floor = max(self.floor, seq - WINDOW + 1)
        leaving = (
            [r for s, r in self.records.items() if s < floor]
            if (floor > self.floor)
            else []
        )
        if any(record.in_progress for record in leaving):
            return None
        for record in leaving:
            del self.records[record.seq]
        self.floor = floor
        self.newest = max(self.newest, seq)
        return leaving

    def acknowledged(self, record: Record) -> None:
        """Drop a finished record and raise the floor over its like."""
        record.phase = Phase.ACKED
        record.payload = b""
        while True:
            lowest = self.records.get(self.floor)
            if lowest is None or lowest.phase is not Phase.ACKED:
                return
            del self.records[self.floor]
            self.floor += 1
