"""State of one request on the side of the caller."""

import random

from cyclamenridge.caller import outcomes
from cyclamenridge.wire import caller

# Maximum number of request parts sent beyond those known to have arrived.
WINDOW_PARTS = 32
_FIRST_RESEND_MS = 120
_MAX_RESEND_MS = 1000
_MAX_ATTEMPT = 1000
# Time after the deadline for the final reply of the balancer to arrive.
_DEADLINE_GRACE_MS = 1500
_ACK_EVERY_PARTS = 16


class Exchange:
    """Sends the parts of one request and reassembles its reply.

    Does no input or output itself. Times are in milliseconds on one
    monotonic clock.

    :ivar outcome: final outcome, None while it is open
    :ivar ack_part: number of reply parts to acknowledge now, None for none
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
        self._request_parts = [
            payload[start : start + size]
            for start in range(0, len(payload), size)
        ] or [b""]
        if len(self._request_parts) > caller.MAX_PARTS:
            raise ValueError(
                f"payload of {len(payload)} bytes exceeds the maximum of "
                f"{caller.MAX_PARTS * size} bytes"
            )
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
        self._delivered_parts = 0
        self._resend_ms = now_ms
        self._interval_ms = _FIRST_RESEND_MS
        self._first_reply: caller.Reply | None = None
        self._received: dict[int, bytes] = {}
        self._contiguous_parts = 0
        self._acked_parts = 0

    @property
    def next_poll_ms(self) -> int:
        """Time by which ``poll`` must be called again."""
        return min(self._resend_ms, self._deadline_ms + _DEADLINE_GRACE_MS)

    def poll(self, now_ms: int) -> list[caller.Call]:
        """Return the parts to send now."""
        if self.outcome is not None:
            return []
        if now_ms >= self._deadline_ms + _DEADLINE_GRACE_MS:
            self.outcome = outcomes.Unknown(outcomes.Reason.EXPIRED)
            return []
        if now_ms >= self._resend_ms:
            if self._next_part:
                self._attempt = min(self._attempt + 1, _MAX_ATTEMPT)
                self._next_part = min(
                    self._delivered_parts, len(self._request_parts) - 1
                )
            self._resend_ms = now_ms + round(
                self._interval_ms * self._rng.uniform(0.8, 1.2)
            )
            self._interval_ms = min(self._interval_ms * 2, _MAX_RESEND_MS)
        end = min(
            self._delivered_parts + WINDOW_PARTS, len(self._request_parts)
        )
        calls = [
            self._make_call(now_ms, part)
            for part in range(self._next_part, end)
        ]
        self._next_part = max(self._next_part, end)
        return calls

    def _make_call(self, now_ms: int, part: int) -> caller.Call:
        return caller.Call(
            token=self._token,
            seq=self._seq,
            kind=self._kind,
            attempt=self._attempt,
            deadline_ms=max(1, self._deadline_ms - now_ms),
            part=part,
            parts=len(self._request_parts),
            check=self._check,
            payload=self._request_parts[part],
        )

    def handle_reply(self, now_ms: int, reply: caller.Reply) -> None:
        """Handle a reply; updates ``ack_part`` and ``outcome``."""
        self.ack_part = None
        if reply.seq != self._seq or reply.check != self._check:
            return
        if reply.part >= reply.parts and (
            reply.outcome is not caller.Outcome.PENDING
        ):
            # A part outside of its answer could make it look complete.
            return
        if self.outcome is not None:
            # The acknowledgement of the complete reply was lost.
            self.ack_part = self._acked_parts
            return
        if reply.outcome is caller.Outcome.PENDING:
            self._handle_pending(now_ms, reply)
            return
        self._handle_part(now_ms, reply)

    def _handle_pending(self, now_ms: int, reply: caller.Reply) -> None:
        if reply.part > self._delivered_parts:
            self._delivered_parts = min(reply.part, len(self._request_parts))
            self._interval_ms = _FIRST_RESEND_MS
            self._resend_ms = now_ms + self._interval_ms
        if self._delivered_parts == len(self._request_parts):
            # All parts have arrived: resends only ask for the outcome.
            self._interval_ms = max(self._interval_ms, _MAX_RESEND_MS // 2)
            self._resend_ms = max(
                self._resend_ms, now_ms + self._interval_ms // 2
            )

    def _handle_part(self, now_ms: int, reply: caller.Reply) -> None:
        first = self._first_reply
        if first is None or (first.outcome, first.parts) != (
            reply.outcome,
            reply.parts,
        ):
            self._first_reply = reply
            self._received.clear()
            self._contiguous_parts = self._acked_parts = 0
        self._delivered_parts = len(self._request_parts)
        if reply.part not in self._received:
            self._received[reply.part] = reply.payload
            self._interval_ms = _FIRST_RESEND_MS
            self._resend_ms = now_ms + self._interval_ms
        while self._contiguous_parts in self._received:
            self._contiguous_parts += 1
        complete = len(self._received) == reply.parts
        if (
            complete
            or self._contiguous_parts - self._acked_parts >= _ACK_EVERY_PARTS
        ):
            self._acked_parts = self.ack_part = self._contiguous_parts
        if complete:
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
