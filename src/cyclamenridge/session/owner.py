"""Requests of the sessions that this node granted."""

from cyclamenridge import address as address_lib
from cyclamenridge.node import context as context_lib
from cyclamenridge.node import services as services_lib
from cyclamenridge.scheduling import types as scheduling
from cyclamenridge.session import active_request
from cyclamenridge.session import admission
from cyclamenridge.session import execution
from cyclamenridge.session import memory as memory_lib
from cyclamenridge.session import parts as parts_lib
from cyclamenridge.session import replies as replies_lib
from cyclamenridge.session import state as state_lib
from cyclamenridge.session import table as table_lib
from cyclamenridge.session import window as window_lib
from cyclamenridge.wire import caller

Address = address_lib.Address
Outcome = caller.Outcome
Reason = caller.Reason
RequestRecord = window_lib.RequestRecord
Session = state_lib.Session
Phase = window_lib.Phase

# Size of a record without payload, including its entry in the table.
RECORD_BYTES = 400
# How long a planned stop waits for the acknowledgement of a reply.
ACK_WAIT_MS = 2000
_OVERLOADED_RETRY_MS = 1000


class SessionOwner(active_request.OutcomeListener):
    """Handles requests of sessions: admission, reassembly and replies."""

    def __init__(
        self, ctx: context_lib.Context, services: services_lib.ServiceRuntimes
    ) -> None:
        self._ctx = ctx
        self.table = table_lib.SessionTable(ctx, services)
        self._partial_records: dict[scheduling.RequestKey, RequestRecord] = {}
        self._unacknowledged: dict[scheduling.RequestKey, RequestRecord] = {}
        self._memory = memory_lib.MemoryAccount()
        self.replies = replies_lib.ReplySender(ctx)
        self.executor: execution.Executor

    @property
    def buffered_bytes(self) -> int:
        """Memory charged for records and payloads."""
        return self._memory.used_bytes

    @property
    def unfinished_count(self) -> int:
        """Number of requests that are incomplete or have no outcome."""
        return len(self._partial_records) + self.executor.active_count

    def awaits_acknowledgements(self, now_ms: int) -> bool:
        """Tell whether a recent reply has not been acknowledged yet."""
        for key, record in list(self._unacknowledged.items()):
            if now_ms - record.last_progress_ms < ACK_WAIT_MS:
                return True
            del self._unacknowledged[key]
        return False

    def handle_call(
        self,
        now_ms: int,
        source: Address,
        msgid: int,
        params: caller.Call,
        ident: int,
    ) -> None:
        """Handle one part of a request."""
        session = self.table.touch(now_ms, ident)
        if session is None:
            self.replies.send_unknown(
                source, msgid, params.seq, params.check, Reason.OWNER_LOST
            )
            return
        record = session.window.records.get(params.seq)
        if record is None:
            if params.seq < session.window.base_seq:
                self.replies.send_unknown(
                    source,
                    msgid,
                    params.seq,
                    params.check,
                    Reason.WINDOW_PASSED,
                )
                return
            record = self._accept(now_ms, session, source, msgid, params)
            if record is None:
                return
        elif not self.replies.accept_resend(source, msgid, record, params):
            return
        record.source = source
        record.msgid = msgid
        if record.phase is Phase.PARTIAL:
            self._add_part(now_ms, session, record, params)
        elif record.phase is Phase.ACTIVE:
            self.replies.send_pending(record, record.parts)
        elif record.phase is Phase.DONE:
            self.replies.resend_outcome(now_ms, record)

    def handle_cancel(
        self,
        now_ms: int,
        source: Address,
        msgid: int,
        params: caller.Cancel,
        ident: int,
    ) -> None:
        """Cancel a request.

        A request that has not arrived yet gets a record, so that it is
        refused when it does.
        """
        session = self.table.touch(now_ms, ident)
        if session is None:
            self.replies.send_unknown(
                source, msgid, params.seq, 0, Reason.OWNER_LOST
            )
            return
        record = session.window.records.get(params.seq)
        if record is None:
            if params.seq < session.window.base_seq:
                self.replies.send_unknown(
                    source, msgid, params.seq, 0, Reason.WINDOW_PASSED
                )
                return
            record = self._new_record(
                now_ms, session, params.seq, None, "", 1, source, msgid
            )
            if record is None:
                return
            self._finish(
                now_ms, session, record, Outcome.NOT_RUN, Reason.CANCELLED
            )
            return
        record.source = source
        record.msgid = msgid
        if record.phase is Phase.PARTIAL:
            self._finish(
                now_ms, session, record, Outcome.NOT_RUN, Reason.CANCELLED
            )
        elif record.phase is Phase.ACTIVE:
            self.executor.cancel(
                now_ms,
                scheduling.RequestKey(ident, params.seq),
                Reason.CANCELLED,
            )
            if record.phase is Phase.ACTIVE:
                self.replies.send_pending(record, record.parts)
        elif record.phase is Phase.DONE:
            self.replies.resend_outcome(now_ms, record)

    def handle_ack(self, now_ms: int, params: caller.Ack, ident: int) -> None:
        """Send the next parts of a reply, or free an acknowledged one."""
        session = self.table.touch(now_ms, ident)
        if session is None:
            return
        record = session.window.records.get(params.seq)
        if record is None or record.phase is not Phase.DONE:
            return
        part_count = parts_lib.count(record.payload)
        if params.part >= part_count:
            self._unacknowledged.pop(
                scheduling.RequestKey(ident, params.seq), None
            )
            self._memory.charge(
                session, record, RECORD_BYTES - record.charged_bytes
            )
            record_count = len(session.window.records)
            session.window.acknowledge(record)
            freed_records = record_count - len(session.window.records)
            self._memory.release(session, freed_records * RECORD_BYTES)
        elif params.part > record.acked_parts:
            self.replies.acknowledge_parts(now_ms, record, params.part)

    def handle_close(self, now_ms: int, ident: int) -> None:
        """End a session and cancel its requests."""
        session = self.table.get(ident)
        if session is not None:
            self._remove_session(now_ms, session)

    def request_finished(
        self,
        now_ms: int,
        key: scheduling.RequestKey,
        outcome: Outcome,
        reason: Reason,
        retry_after_ms: int,
        payload: bytes,
    ) -> None:
        """Store the outcome of a request and send it to the caller."""
        session = self.table.get(key.session_id)
        if session is None:
            return
        record = session.window.records.get(key.seq)
        if record is None or record.phase is not Phase.ACTIVE:
            self._ctx.counters["outcomes_unexpected"] += 1
            return
        self._memory.charge(
            session, record, RECORD_BYTES - record.charged_bytes
        )
        if payload:
            too_large = len(payload) > caller.MAX_PARTS * caller.MAX_PART_BYTES
            if too_large or not self._memory.has_room(session, len(payload)):
                outcome, reason = Outcome.UNKNOWN, Reason.TOO_LARGE
                payload = b""
            else:
                self._memory.charge(session, record, len(payload))
        if outcome in (Outcome.ANSWERED, Outcome.FAILED):
            self._ctx.record_latency(record.kind, now_ms - record.started_ms)
        self._finish(
            now_ms, session, record, outcome, reason, retry_after_ms, payload
        )

    def refuse_incomplete(self, now_ms: int, reason: Reason) -> None:
        """Refuse all incomplete requests."""
        for key, record in list(self._partial_records.items()):
            session = self.table[key.session_id]
            self._finish(now_ms, session, record, Outcome.NOT_RUN, reason)

    def tick(self, now_ms: int) -> None:
        """Expire incomplete requests and idle sessions."""
        for key, record in list(self._partial_records.items()):
            if now_ms >= record.deadline_ms:
                self._finish(
                    now_ms,
                    self.table[key.session_id],
                    record,
                    Outcome.NOT_RUN,
                    Reason.EXPIRED,
                )
        for session in self.table.idle_sessions(now_ms):
            if session.requests_in_progress:
                self.table.touch(now_ms, session.ident)
            else:
                self._ctx.counters["sessions_expired"] += 1
                self._remove_session(now_ms, session)

    def _accept(
        self,
        now_ms: int,
        session: Session,
        source: Address,
        msgid: int,
        params: caller.Call,
    ) -> RequestRecord | None:
        """Create the record of a new request.

        :return: None if the request was rejected or dropped
        """
        record = self._new_record(
            now_ms,
            session,
            params.seq,
            params.check,
            params.kind,
            params.parts,
            source,
            msgid,
        )
        if record is None:
            return None
        record.deadline_ms = now_ms + admission.time_limit_ms(
            self._ctx, session, params
        )
        reason = admission.rejection_reason(
            self._ctx, self._memory, session, params
        )
        if reason is not None:
            retry_ms = _OVERLOADED_RETRY_MS
            self._finish(
                now_ms,
                session,
                record,
                Outcome.NOT_RUN,
                reason,
                retry_ms if reason is Reason.OVERLOADED else 0,
            )
            return None
        return record

    def _new_record(
        self,
        now_ms: int,
        session: Session,
        seq: int,
        check: int | None,
        kind: str,
        parts: int,
        source: Address,
        msgid: int,
    ) -> RequestRecord | None:
        # Without a record, a refused request could still be run by a late
        # copy. If there is no room for one, the datagram is dropped instead.
        if not self._memory.has_room(session, RECORD_BYTES):
            self._ctx.counters["calls_dropped_memory"] += 1
            return None
        evicted = session.window.advance(seq)
        if evicted is None:
            self._ctx.counters["calls_dropped_window"] += 1
            return None
        for evicted_record in evicted:
            self._memory.release(session, evicted_record.charged_bytes)
            self._unacknowledged.pop(
                scheduling.RequestKey(session.ident, evicted_record.seq), None
            )
        record = RequestRecord(
            seq,
            check,
            kind=kind,
            parts=parts,
            source=source,
            msgid=msgid,
            now_ms=now_ms,
        )
        session.window.records[seq] = record
        session.requests_in_progress += 1
        self._memory.charge(session, record, RECORD_BYTES)
        return record

    def _add_part(
        self,
        now_ms: int,
        session: Session,
        record: RequestRecord,
        params: caller.Call,
    ) -> None:
        if record.parts == 1:
            payload = params.payload
        else:
            if record.part_buffer is None:
                record.part_buffer = parts_lib.PartBuffer(record.parts)
                # Admission has checked that there is room.
                self._memory.charge(
                    session, record, parts_lib.buffer_bytes(record.parts)
                )
                key = scheduling.RequestKey(session.ident, record.seq)
                self._partial_records[key] = record
            if record.part_buffer.add(params.part, params.payload):
                if not self._memory.has_room(session, len(params.payload)):
                    self._finish(
                        now_ms,
                        session,
                        record,
                        Outcome.NOT_RUN,
                        Reason.OVERLOADED,
                        _OVERLOADED_RETRY_MS,
                    )
                    return
                self._memory.charge(session, record, len(params.payload))
            if not record.part_buffer.complete:
                self.replies.send_pending(
                    record, record.part_buffer.first_missing
                )
                return
            payload = record.part_buffer.join()
        self._submit(now_ms, session, record, payload)

    def _submit(
        self,
        now_ms: int,
        session: Session,
        record: RequestRecord,
        payload: bytes,
    ) -> None:
        kind = admission.find_kind(self._ctx, session, record.kind)
        if kind is None or caller.payload_check(payload) != record.check:
            self._finish(
                now_ms, session, record, Outcome.NOT_RUN, Reason.BAD_REQUEST
            )
            return
        if len(payload) > kind.max_bytes:
            self._finish(
                now_ms, session, record, Outcome.NOT_RUN, Reason.TOO_LARGE
            )
            return
        if record.parts == 1:
            self._memory.charge(session, record, len(payload))
        else:
            self._memory.charge(
                session, record, -parts_lib.buffer_bytes(record.parts)
            )
        key = scheduling.RequestKey(session.ident, record.seq)
        self._partial_records.pop(key, None)
        record.part_buffer = None
        record.phase = Phase.ACTIVE
        self.executor.submit(
            now_ms,
            session.service,
            scheduling.QueuedRequest(
                key=key,
                kind=record.kind,
                customer=session.customer,
                idempotent=kind.idempotent,
                arrived_ms=now_ms,
                deadline_ms=record.deadline_ms,
                payload=payload,
            ),
        )

    def _finish(
        self,
        now_ms: int,
        session: Session,
        record: RequestRecord,
        outcome: Outcome,
        reason: Reason,
        retry_after_ms: int = 0,
        payload: bytes = b"",
    ) -> None:
        """Set the final outcome of a request and send it."""
        key = scheduling.RequestKey(session.ident, record.seq)
        self._partial_records.pop(key, None)
        if record.part_buffer is not None:
            record.part_buffer = None
            self._memory.charge(
                session, record, RECORD_BYTES - record.charged_bytes
            )
        record.phase = Phase.DONE
        record.outcome = outcome
        record.reason = reason
        record.retry_after_ms = retry_after_ms
        record.payload = payload
        record.last_progress_ms = now_ms
        session.requests_in_progress -= 1
        self._unacknowledged[key] = record
        self._ctx.counters[f"replies_{outcome.value}"] += 1
        self.replies.send_outcome(now_ms, record)

    def _remove_session(self, now_ms: int, session: Session) -> None:
        self.table.remove(session)
        self._memory.release_session(session)
        for record in session.window.records.values():
            key = scheduling.RequestKey(session.ident, record.seq)
            self._partial_records.pop(key, None)
            self._unacknowledged.pop(key, None)
            if record.phase is Phase.ACTIVE:
                self.executor.cancel(now_ms, key, Reason.CANCELLED)
