"""Sessions granted by this node and the outcomes of their requests."""

from cyclamenridge import address as address_lib
from cyclamenridge.node import context as context_lib
from cyclamenridge.node import services as services_lib
from cyclamenridge.scheduling import types as scheduling
from cyclamenridge.session import active as active_lib
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
Record = window_lib.Record
Session = state_lib.Session
Phase = window_lib.Phase

# A record without payload, with its place in the table.
RECORD_BYTES = 400
# How long a planned stop waits for the acknowledgement of an answer.
LINGER_MS = 2000
_OVERLOADED_RETRY_MS = 1000


class SessionOwner(active_lib.OutcomeListener):
    """Owns sessions: grants, windows, parts and replies."""

    def __init__(
        self, ctx: context_lib.Context, services: services_lib.Services
    ) -> None:
        self._ctx = ctx
        self.table = table_lib.SessionTable(ctx, services)
        self._partial: dict[scheduling.RequestKey, Record] = {}
        self._lingering: dict[scheduling.RequestKey, Record] = {}
        self._memory = memory_lib.Memory()
        self.replies = replies_lib.ReplySender(ctx)
        self.executor: execution.Executor

    @property
    def buffered_bytes(self) -> int:
        """Memory charged for records and payloads."""
        return self._memory.used

    @property
    def unfinished_count(self) -> int:
        """Number of requests that are not whole or have no outcome."""
        return len(self._partial) + self.executor.active_count

    def waits_for_callers(self, now_ms: int) -> bool:
        """Tell whether a recent answer has not been acknowledged."""
        for key, record in list(self._lingering.items()):
            if now_ms - record.changed_ms < LINGER_MS:
                return True
            del self._lingering[key]
        return False

    def call(
        self,
        now_ms: int,
        source: Address,
        msgid: int,
        params: caller.Call,
        ident: int,
    ) -> None:
        """Take one part of a request."""
        session = self.table.use(now_ms, ident)
        if session is None:
            self.replies.unknown(
                source, msgid, params.seq, params.check, Reason.OWNER_LOST
            )
            return
        record = session.window.records.get(params.seq)
        if record is None:
            if params.seq < session.window.floor:
                self.replies.unknown(
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
        elif not self.replies.is_resend(source, msgid, record, params):
            return
        record.source = source
        record.msgid = msgid
        if record.phase is Phase.PARTIAL:
            self._take_part(now_ms, session, record, params)
        elif record.phase is Phase.ACTIVE:
            self.replies.pending(record, record.parts)
        elif record.phase is Phase.DONE:
            self.replies.resend(now_ms, record)

    def cancel(
        self,
        now_ms: int,
        source: Address,
        msgid: int,
        params: caller.Cancel,
        ident: int,
    ) -> None:
        """Abandon a request; one that has not arrived is refused later."""
        session = self.table.use(now_ms, ident)
        if session is None:
            self.replies.unknown(
                source, msgid, params.seq, 0, Reason.OWNER_LOST
            )
            return
        record = session.window.records.get(params.seq)
        if record is None:
            if params.seq < session.window.floor:
                self.replies.unknown(
                    source, msgid, params.seq, 0, Reason.WINDOW_PASSED
                )
                return
            record = self._new_record(
                now_ms, session, params.seq, None, "", 1, source, msgid
            )
            if record is None:
                return
            self._close(
                now_ms, session, record, Outcome.NOT_RUN, Reason.CANCELLED
            )
            return
        record.source = source
        record.msgid = msgid
        if record.phase is Phase.PARTIAL:
            self._close(
                now_ms, session, record, Outcome.NOT_RUN, Reason.CANCELLED
            )
        elif record.phase is Phase.ACTIVE:
            self.executor.cancel(
                now_ms,
                scheduling.RequestKey(ident, params.seq),
                Reason.CANCELLED,
            )
            if record.phase is Phase.ACTIVE:
                self.replies.pending(record, record.parts)
        elif record.phase is Phase.DONE:
            self.replies.resend(now_ms, record)

    def ack(self, now_ms: int, params: caller.Ack, ident: int) -> None:
        """Send further parts of an answer, or free it."""
        session = self.table.use(now_ms, ident)
        if session is None:
            return
        record = session.window.records.get(params.seq)
        if record is None or record.phase is not Phase.DONE:
            return
        total = parts_lib.count(record.payload)
        if params.part >= total:
            self._lingering.pop(scheduling.RequestKey(ident, params.seq), None)
            self._memory.charge(session, record, RECORD_BYTES - record.charged)
            before = len(session.window.records)
            session.window.acknowledged(record)
            freed = before - len(session.window.records)
            self._memory.free(session, freed * RECORD_BYTES)
        elif params.part > record.acked_parts:
            self.replies.progress(now_ms, record, params.part)

    def close(self, now_ms: int, ident: int) -> None:
        """End a session; what is queued is not run."""
        session = self.table.get(ident)
        if session is not None:
            self._remove(now_ms, session)

    def finished(
        self,
        now_ms: int,
        key: scheduling.RequestKey,
        outcome: Outcome,
        reason: Reason,
        retry_after_ms: int,
        payload: bytes,
    ) -> None:
        """Keep the outcome of a request and tell the caller."""
        session = self.table.get(key.session_id)
        if session is None:
            return
        record = session.window.records.get(key.seq)
        if record is None or record.phase is not Phase.ACTIVE:
            self._ctx.counters["outcomes_unexpected"] += 1
            return
        self._memory.charge(session, record, RECORD_BYTES - record.charged)
        if payload:
            too_large = len(payload) > caller.MAX_PARTS * caller.MAX_PART_BYTES
            if too_large or not self._memory.has_room(session, len(payload)):
                outcome, reason = Outcome.UNKNOWN, Reason.TOO_LARGE
                payload = b""
            else:
                self._memory.charge(session, record, len(payload))
        if outcome in (Outcome.ANSWERED, Outcome.FAILED):
            self._ctx.record_latency(record.kind, now_ms - record.started_ms)
        self._close(
            now_ms, session, record, outcome, reason, retry_after_ms, payload
        )

    def stop_partial(self, now_ms: int, reason: Reason) -> None:
        """Refuse all requests that have not arrived whole."""
        for key, record in list(self._partial.items()):
            session = self.table[key.session_id]
            self._close(now_ms, session, record, Outcome.NOT_RUN, reason)

    def tick(self, now_ms: int) -> None:
        """Expire requests that did not arrive whole and idle sessions."""
        for key, record in list(self._partial.items()):
            if now_ms >= record.deadline_ms:
                self._close(
                    now_ms,
                    self.table[key.session_id],
                    record,
                    Outcome.NOT_RUN,
                    Reason.EXPIRED,
                )
        for session in self.table.idle(now_ms):
            if session.in_progress:
                self.table.use(now_ms, session.ident)
            else:
                self._ctx.counters["sessions_expired"] += 1
                self._remove(now_ms, session)

    def _accept(
        self,
        now_ms: int,
        session: Session,
        source: Address,
        msgid: int,
        params: caller.Call,
    ) -> Record | None:
        """Admit a new request; None when nothing more is to be done."""
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
        reason = admission.screen(self._ctx, self._memory, session, params)
        if reason is not None:
            retry_ms = _OVERLOADED_RETRY_MS
            self._close(
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
    ) -> Record | None:
        # A refusal without a record could be followed by a run of a late
        # copy. Without room for a record the datagram is dropped instead.
        if not self._memory.has_room(session, RECORD_BYTES):
            self._ctx.counters["calls_dropped_memory"] += 1
            return None
        leaving = session.window.admit(seq)
        if leaving is None:
            self._ctx.counters["calls_dropped_window"] += 1
            return None
        for old in leaving:
            self._memory.free(session, old.charged)
            self._lingering.pop(
                scheduling.RequestKey(session.ident, old.seq), None
            )
        record = Record(
            seq,
            check,
            kind=kind,
            parts=parts,
            source=source,
            msgid=msgid,
            now_ms=now_ms,
        )
        session.window.records[seq] = record
        session.in_progress += 1
        self._memory.charge(session, record, RECORD_BYTES)
        return record

    def _take_part(
        self,
        now_ms: int,
        session: Session,
        record: Record,
        params: caller.Call,
    ) -> None:
        if record.parts == 1:
            payload = params.payload
        else:
            if record.received is None:
                record.received = parts_lib.PartBuffer(record.parts)
                key = scheduling.RequestKey(session.ident, record.seq)
                self._partial[key] = record
            if record.received.add(params.part, params.payload):
                if not self._memory.has_room(session, len(params.payload)):
                    self._close(
                        now_ms,
                        session,
                        record,
                        Outcome.NOT_RUN,
                        Reason.OVERLOADED,
                        _OVERLOADED_RETRY_MS,
                    )
                    return
                self._memory.charge(session, record, len(params.payload))
            if not record.received.complete:
                self.replies.pending(record, record.received.first_missing)
                return
            payload = record.received.join()
        self._submit(now_ms, session, record, payload)

    def _submit(
        self, now_ms: int, session: Session, record: Record, payload: bytes
    ) -> None:
        kind = admission.kind_of(self._ctx, session, record.kind)
        if kind is None or caller.payload_check(payload) != record.check:
            self._close(
                now_ms, session, record, Outcome.NOT_RUN, Reason.BAD_REQUEST
            )
            return
        if len(payload) > kind.max_bytes:
            self._close(
                now_ms, session, record, Outcome.NOT_RUN, Reason.TOO_LARGE
            )
            return
        if record.parts == 1:
            self._memory.charge(session, record, len(payload))
        key = scheduling.RequestKey(session.ident, record.seq)
        self._partial.pop(key, None)
        record.received = None
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

    def _close(
        self,
        now_ms: int,
        session: Session,
        record: Record,
        outcome: Outcome,
        reason: Reason,
        retry_after_ms: int = 0,
        payload: bytes = b"",
    ) -> None:
        """Give a record its final outcome and send it."""
        key = scheduling.RequestKey(session.ident, record.seq)
        self._partial.pop(key, None)
        if record.received is not None:
            record.received = None
            self._memory.charge(session, record, RECORD_BYTES - record.charged)
        record.phase = Phase.DONE
        record.outcome = outcome
        record.reason = reason
        record.retry_after_ms = retry_after_ms
        record.payload = payload
        record.changed_ms = now_ms
        session.in_progress -= 1
        self._lingering[key] = record
        self._ctx.counters[f"replies_{outcome.value}"] += 1
        self.replies.send(now_ms, record)

    def _remove(self, now_ms: int, session: Session) -> None:
        self.table.remove(session)
        self._memory.release(session)
        for record in session.window.records.values():
            key = scheduling.RequestKey(session.ident, record.seq)
            self._partial.pop(key, None)
            self._lingering.pop(key, None)
            if record.phase is Phase.ACTIVE:
                self.executor.cancel(now_ms, key, Reason.CANCELLED)
