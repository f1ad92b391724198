"""Replies to callers."""

from cyclamenridge import address as address_lib
from cyclamenridge.node import context as context_lib
from cyclamenridge.session import parts as parts_lib
from cyclamenridge.session import window as window_lib
from cyclamenridge.wire import caller

Address = address_lib.Address
Outcome = caller.Outcome
Reason = caller.Reason
Record = window_lib.Record

# An answer is sent in windows, because one burst of thousands of parts
# would overflow the socket buffer of the caller.
SEND_WINDOW_PARTS = 32
# A resend of a request with many parts brings many datagrams at once;
# they cause one resend of the answer.
RESEND_INTERVAL_MS = 20


class ReplySender:
    """Sends the state and the outcome of requests."""

    def __init__(self, ctx: context_lib.Context) -> None:
        self._ctx = ctx

    def unknown(
        self,
        source: Address,
        msgid: int,
        seq: int,
        check: int,
        reason: Reason,
    ) -> None:
        """Tell a caller that the outcome of a request is not known."""
        self._ctx.counters["replies_unknown"] += 1
        self._ctx.respond(
            source, msgid, caller.Reply(seq, check, Outcome.UNKNOWN, reason)
        )

    def is_resend(
        self,
        source: Address,
        msgid: int,
        record: Record,
        params: caller.Call,
    ) -> bool:
        """Tell whether a datagram belongs to the request of a record.

        A number that is used for another request is refused.
        """
        if record.check is None:
            record.check = params.check
            record.kind = params.kind
            record.parts = params.parts
            return True
        if record.check != params.check:
            # The number belongs to another request for good, so this
            # payload has not been run under it and never will be.
            self._ctx.counters["seq_reused"] += 1
            reply = caller.Reply(
                params.seq, params.check, Outcome.NOT_RUN, Reason.SEQ_REUSED
            )
            self._ctx.respond(source, msgid, reply)
            return False
        if record.kind != params.kind or record.parts != params.parts:
            self._ctx.counters["seq_reused"] += 1
            self.unknown(
                source, msgid, params.seq, params.check, Reason.SEQ_REUSED
            )
            return False
        return True

    def pending(self, record: Record, part: int) -> None:
        """Tell a caller how much of its request has arrived."""
        self._ctx.respond(
            record.source,
            record.msgid,
            caller.Reply(
                seq=record.seq,
                check=record.check or 0,
                outcome=Outcome.PENDING,
                part=part,
                parts=record.parts,
            ),
        )

    def send(self, now_ms: int, record: Record) -> None:
        """Send the first parts of an outcome."""
        self._send_parts(now_ms, record, 0)

    def resend(self, now_ms: int, record: Record) -> None:
        """Send again what the caller has not acknowledged."""
        if (
            now_ms - record.sent_ms >= RESEND_INTERVAL_MS
            or parts_lib.count(record.payload) == 1
        ):
            self._send_parts(now_ms, record, record.acked_parts)

    def progress(self, now_ms: int, record: Record, acked_parts: int) -> None:
        """Send the parts for which an acknowledgement made room."""
        record.acked_parts = acked_parts
        record.changed_ms = now_ms
        self._send_parts(now_ms, record, max(record.sent_parts, acked_parts))

    def _send_parts(self, now_ms: int, record: Record, first: int) -> None:
        total = parts_lib.count(record.payload)
        last = min(total, record.acked_parts + SEND_WINDOW_PARTS)
        for index in range(first, last):
            self._ctx.respond(
                record.source,
                record.msgid,
                caller.Reply(
                    seq=record.seq,
                    check=record.check or 0,
                    outcome=record.outcome,
                    reason=record.reason,
                    retry_after_ms=record.retry_after_ms,
                    part=index,
                    parts=total,
                    payload=parts_lib.part(record.payload, index),
                ),
            )
        record.sent_parts = max(record.sent_parts, last)
        record.sent_ms = now_ms
