"""State of one request at its caller: parts, resends and reassembly."""

import random

from cyclamenridge.caller import outcomes
from cyclamenridge.wire import caller

# Parts of a request that may be on the way without a sign of arrival.
WINDOW_PARTS = 32
_FIRST_RESEND_MS = 120
_MAX_RESEND_MS = 1000
_MAX_ATTEMPT = 1000
# The balancer's own verdict at the deadline needs this long to arrive.
_GRACE_MS = 1500
_ACK_EVERY_PARTS = 16


class Exchange:
    """One request: what to send, when, and what the replies mean.

    Times are in milliseconds on one monotonic clock.
    """

    def __init__(
        self,
        now_ms: int,
        *,
        token: bytes,
        seq: int,
        kind: str,
        payload: bytes,
        deadline_ms: int,
        rng: random.Random,
    ) -> None:
        size = caller.MAX_PART_BYTES
        self._chunks = [
            payload[start : start + size]
            for start in range(0, len(payload), size)
        ] or [b""]
        if len(self._chunks) > caller.MAX_PARTS:
            raise ValueError("payload has too many parts")
        self.outcome: outcomes.Outcome | None = None
        self.ack_part: int | None = None
        self._token = token
        self._seq = seq
        self._kind = kind
        self._check = caller.payload_check(payload)
        self._deadline_ms = now_ms + deadline_ms
        self._rng = rng
        self._attempt = 1
        self._next_part = 0
        self._arrived = 0
        self._resend_ms = now_ms
        self._interval_ms = _FIRST_RESEND_MS
        self._reply: caller.Reply | None = None
        self._received: dict[int, bytes] = {}
        self._contiguous = 0
        self._acked = 0

    @property
    def due_ms(self) -> int:
        """When ``poll`` has to be called at the latest."""
        return min(self._resend_ms, self._deadline_ms + _GRACE_MS)

    def poll(self, now_ms: int) -> list[caller.Call]:
        """Return the parts to send now."""
        if self.outcome is not None:
            return []
        if now_ms >= self._deadline_ms + _GRACE_MS:
            self.outcome = outcomes.Unknown(outcomes.Reason.EXPIRED)
            return []
        if now_ms >= self._resend_ms:
            if self._next_part:
                self._attempt = min(self._attempt + 1, _MAX_ATTEMPT)
                self._next_part = min(self._arrived, len(self._chunks) - 1)
            self._resend_ms = now_ms + round(
                self._interval_ms * self._rng.uniform(0.8, 1.2)
            )
            self._interval_ms = min(self._interval_ms * 2, _MAX_RESEND_MS)
        end = min(self._arrived + WINDOW_PARTS, len(self._chunks))
        calls = [
            self._call(now_ms, part) for part in range(self._next_part, end)
        ]
        self._next_part = max(self._next_part, end)
        return calls

    def _call(self, now_ms: int, part: int) -> caller.Call:
        return caller.Call(
            token=self._token,
            seq=self._seq,
            kind=self._kind,
            attempt=self._attempt,
            deadline_ms=max(1, self._deadline_ms - now_ms),
            part=part,
            parts=len(self._chunks),
            check=self._check,
            payload=self._chunks[part],
        )

    def reply(self, now_ms: int, reply: caller.Reply) -> None:
        """Take a reply; ``ack_part`` and ``outcome`` change with it."""
        self.ack_part = None
        if reply.seq != self._seq or reply.check != self._check:
            return
        if self.outcome is not None:
            # The ack of the whole reply was lost.
            self.ack_part = self._acked
            return
        if reply.outcome is caller.Outcome.PENDING:
            self._pending(now_ms, reply)
            return
        self._part(now_ms, reply)

    def _pending(self, now_ms: int, reply: caller.Reply) -> None:
        if reply.part > self._arrived:
            self._arrived = min(reply.part, len(self._chunks))
            self._interval_ms = _FIRST_RESEND_MS
            self._resend_ms = now_ms + self._interval_ms
        if self._arrived == len(self._chunks):
            # All parts are there: further resends only ask for the result.
            self._interval_ms = max(self._interval_ms, _MAX_RESEND_MS // 2)
            self._resend_ms = max(
                self._resend_ms, now_ms + self._interval_ms // 2
            )

    def _part(self, now_ms: int, reply: caller.Reply) -> None:
        first = self._reply
        if first is None or (first.outcome, first.parts) != (
            reply.outcome,
            reply.parts,
        ):
            self._reply = reply
            self._received.clear()
            self._contiguous = self._acked = 0
        self._arrived = len(self._chunks)
        if reply.part not in self._received:
            self._received[reply.part] = reply.payload
            self._interval_ms = _FIRST_RESEND_MS
            self._resend_ms = now_ms + self._interval_ms
        while self._contiguous in self._received:
            self._contiguous += 1
        whole = len(self._received) == reply.parts
        if whole or self._contiguous - self._acked >= _ACK_EVERY_PARTS:
            self._acked = self.ack_part = self._contiguous
        if whole:
            payload = b"".join(
                self._received[part] for part in range(reply.parts)
            )
            self.outcome = _outcome(reply, payload)


def _outcome(reply: caller.Reply, payload: bytes) -> outcomes.Outcome:
    match reply.outcome:
        case caller.Outcome.ANSWERED:
            return outcomes.Answered(payload)
        case caller.Outcome.FAILED:
            return outcomes.Failed(payload)
        case caller.Outcome.NOT_RUN:
            return outcomes.NotRun(reply.reason, reply.retry_after_ms)
    return outcomes.Unknown(reply.reason)
