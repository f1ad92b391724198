"""Replies to callers."""

from cyclamenridge import address as address_lib
from cyclamenridge.node import context as context_lib
from cyclamenridge.session import parts as parts_lib
from cyclamenridge.session import window as window_lib
from cyclamenridge.wire import caller

Address = address_lib.Address
Outcome = caller.Outcome
Reason = caller.Reason
RequestRecord = window_lib.RequestRecord

# Parts sent without an acknowledgement. A burst of thousands of parts would
# overflow the socket buffer of the caller.
SEND_WINDOW_PARTS = 32
# Minimum time between two resends of a reply. A request with many parts is
# resent as many datagrams, which must cause only one resend.
RESEND_INTERVAL_MS = 20


class ReplySender:
    """Sends callers the progress and the outcome of their requests."""

    def __init__(self, ctx: context_lib.Context) -> None:
        self._ctx = ctx

    def send_unknown(
        self,
        source: Address,
        msgid: int,
        seq: int,
        check: int,
        reason: Reason,
    ) -> None:
        """Reply that the outcome of a request is unknown."""
        self._ctx.counters["replies_unknown"] += 1
        self._ctx.respond(
            source, msgid, caller.Reply(seq, check, Outcome.UNKNOWN, reason)
        )

    def accept_resend(
        self,
        source: Address,
        msgid: int,
        record: RequestRecord,
        params: caller.Call,
    ) -> bool:
        """Tell whether a datagram belongs to the request of a record.

        Replies with an error if its sequence number is in use for another
        request. A record without a check takes over that of the datagram.
        """
        if record.check is None:
            record.check = params.check
            record.kind = params.kind
            record.parts = params.parts
            return True
        if record.check != params.check:
            # The sequence number stays with the other request, so this
            # payload has not been run under it and never will be.
            self._ctx.counters["seq_reused"] += 1
            reply = caller.Reply(
                params.seq, params.check, Outcome.NOT_RUN, Reason.SEQ_REUSED
            )
            self._ctx.respond(source, msgid, reply)
            return False
        if record.kind != params.kind or record.parts != params.parts:
            self._ctx.counters["seq_reused"] += 1
            self.send_unknown(
                source, msgid, params.seq, params.check, Reason.SEQ_REUSED
            )
            return False
        return True

    def send_pending(self, record: RequestRecord, part: int) -> None:
        """Tell a caller that its request is pending.

        :param part: first part of the request that has not arrived
        """
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

    def send_outcome(self, now_ms: int, record: RequestRecord) -> None:
        """Send the first parts of a reply."""
        self._send_parts(now_ms, record, 0)

    def resend_outcome(self, now_ms: int, record: RequestRecord) -> None:
        """Resend the parts that the caller has not acknowledged."""
        if (
            now_ms - record.sent_ms >= RESEND_INTERVAL_MS
            or parts_lib.count(record.payload) == 1
        ):
            self._send_parts(now_ms, record, record.acked_parts)

    def acknowledge_parts(
        self, now_ms: int, record: RequestRecord, acked_parts: int
    ) -> None:
        """Move the send window after an acknowledgement."""
        record.acked_parts = acked_parts
        record.last_progress_ms = now_ms
        self._send_parts(now_ms, record, max(record.sent_parts, acked_parts))

    def _send_parts(
        self, now_ms: int, record: RequestRecord, first: int
    ) -> None:
        part_count = parts_lib.count(record.payload)
        last = min(part_count, record.acked_parts + SEND_WINDOW_PARTS)
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
                    parts=part_count,
                    payload=parts_lib.part(record.payload, index),
                ),
            )
        record.sent_parts = max(record.sent_parts, last)
        record.sent_ms = now_ms
