"""Sessions granted by this node and the outcomes of their requests."""

import collections
from collections.abc import Iterator

from cyclamenridge import address as address_lib
from cyclamenridge.config import model
from cyclamenridge.node import context as context_lib
from cyclamenridge.node import services as services_lib
from cyclamenridge.scheduling import types as scheduling
from cyclamenridge.session import execution
from cyclamenridge.session import parts as parts_lib
from cyclamenridge.session import window as window_lib
from cyclamenridge.wire import caller
from cyclamenridge.wire import token as token_lib

Address = address_lib.Address
Outcome = caller.Outcome
Reason = caller.Reason
Record = window_lib.Record
Phase = window_lib.Phase

SESSION_IDLE_MS = 120_000
# A session is about 1 KB without payloads; a node has 128 MB.
MAX_SESSIONS = 50_000
MAX_SESSION_BYTES = 16 * 2**20
MAX_NODE_BYTES = 48 * 2**20
# A record without payload, with its place in the table.
RECORD_BYTES = 400
# An answer is sent in windows, because one burst of thousands of parts
# would overflow the socket buffer of the caller.
SEND_WINDOW_PARTS = 32
# A resend of a request with many parts brings many datagrams at once;
# they cause one resend of the answer.
RESEND_INTERVAL_MS = 20
# How long a planned stop waits for the acknowledgement of an answer.
LINGER_MS = 2000
_OVERLOADED_RETRY_MS = 1000


class Session:
    """A session of a caller with a service."""

    __slots__ = (
        "bytes",
        "customer",
        "feeds",
        "ident",
        "in_progress",
        "opened_by",
        "service",
        "token",
        "used_ms",
        "window",
    )

    def __init__(
        self,
        ident: int,
        service: str,
        customer: str,
        token: bytes,
        opened_by: tuple[str, str, int, Address],
        now_ms: int,
    ) -> None:
        self.ident = ident
        self.service = service
        self.customer = customer
        self.token = token
        self.opened_by = opened_by
        self.used_ms = now_ms
        self.window = window_lib.Window()
        self.bytes = 0
        self.in_progress = 0
        self.feeds: dict[int, int] = {}


class SessionOwner(execution.OutcomeListener):
    """Owns sessions: grants, windows, parts and replies."""

    def __init__(
        self, ctx: context_lib.Context, services: services_lib.Services
    ) -> None:
        self._ctx = ctx
        self._services = services
        # Ordered by last use.
        self._sessions: collections.OrderedDict[int, Session] = (
            collections.OrderedDict()
        )
        self._opened: dict[tuple[str, str, int, Address], int] = {}
        self._partial: dict[scheduling.RequestKey, Record] = {}
        self._lingering: dict[scheduling.RequestKey, Record] = {}
        self._bytes = 0
        self.executor: execution.Executor

    @property
    def session_count(self) -> int:
        """Number of sessions."""
        return len(self._sessions)

    @property
    def buffered_bytes(self) -> int:
        """Memory charged for records and payloads."""
        return self._bytes

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

    def get(self, now_ms: int, ident: int) -> Session | None:
        """Return a session and note that it was used."""
        session = self._sessions.get(ident)
        if session is not None:
            session.used_ms = now_ms
            self._sessions.move_to_end(ident)
        return session

    def open(
        self, now_ms: int, source: Address, msgid: int, params: caller.Open
    ) -> None:
        """Grant a session, or the same one again for a resend."""
        opened_by = (params.service, params.customer, params.nonce, source)
        known = self._opened.get(opened_by)
        if known is not None:
            session = self._sessions[known]
            self._ctx.respond(source, msgid, caller.Grant(session.token))
            return
        if self._ctx.leaving:
            self._ctx.refuse(source, msgid, Reason.LEAVING, 100)
            return
        cfg = self._ctx.config
        if cfg is None:
            self._ctx.refuse(source, msgid, Reason.NO_SERVER, 500)
            return
        if (
            params.service not in cfg.services
            or params.customer not in cfg.customers
        ):
            self._ctx.refuse(source, msgid, Reason.BAD_REQUEST)
            return
        if len(self._sessions) >= MAX_SESSIONS:
            self._ctx.refuse(
                source, msgid, Reason.OVERLOADED, _OVERLOADED_RETRY_MS
            )
            return
        runtime = self._services.acquire(now_ms, params.service)
        assert runtime is not None
        runtime.users += 1
        me = self._ctx.me
        ident = self._ctx.rng.getrandbits(64)
        token = self._ctx.tokens.encode(
            token_lib.Token(
                type=token_lib.TokenType.SESSION,
                service=token_lib.name_hash(params.service),
                owner=me.peer_address,
                incarnation=me.incarnation,
                ident=ident,
            )
        )
        self._sessions[ident] = Session(
            ident, params.service, params.customer, token, opened_by, now_ms
        )
        self._opened[opened_by] = ident
        self._ctx.counters["sessions_opened"] += 1
        self._ctx.respond(source, msgid, caller.Grant(token))

    def call(
        self,
        now_ms: int,
        source: Address,
        msgid: int,
        params: caller.Call,
        ident: int,
    ) -> None:
        """Take one part of a request."""
        session = self.get(now_ms, ident)
        if session is None:
            self.unknown(
                source, msgid, params.seq, params.check, Reason.OWNER_LOST
            )
            return
        record = session.window.records.get(params.seq)
        if record is None:
            if params.seq < session.window.floor:
                self.unknown(
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
        elif not self._is_resend(source, msgid, record, params):
            return
        record.source = source
        record.msgid = msgid
        if record.phase is Phase.PARTIAL:
            self._take_part(now_ms, session, record, params)
        elif record.phase is Phase.ACTIVE:
            self._pending(record, record.parts)
        elif record.phase is Phase.DONE:
            self._resend(now_ms, record)

    def cancel(
        self,
        now_ms: int,
        source: Address,
        msgid: int,
        params: caller.Cancel,
        ident: int,
    ) -> None:
        """Abandon a request; one that has not arrived is refused later."""
        session = self.get(now_ms, ident)
        if session is None:
            self.unknown(source, msgid, params.seq, 0, Reason.OWNER_LOST)
            return
        record = session.window.records.get(params.seq)
        if record is None:
            if params.seq < session.window.floor:
                self.unknown(
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
                self._pending(record, record.parts)
        elif record.phase is Phase.DONE:
            self._resend(now_ms, record)

    def ack(self, now_ms: int, params: caller.Ack, ident: int) -> None:
        """Send further parts of an answer, or free it."""
        session = self.get(now_ms, ident)
        if session is None:
            return
        record = session.window.records.get(params.seq)
        if record is None or record.phase is not Phase.DONE:
            return
        total = parts_lib.count(record.payload)
        if params.part >= total:
            self._lingering.pop(scheduling.RequestKey(ident, params.seq), None)
            self._charge(session, record, RECORD_BYTES - record.charged)
            before = len(session.window.records)
            session.window.acknowledged(record)
            freed = before - len(session.window.records)
            self._free(session, freed * RECORD_BYTES)
        elif params.part > record.acked_parts:
            record.acked_parts = params.part
            record.changed_ms = now_ms
            self._send_parts(
                now_ms, record, max(record.sent_parts, params.part)
            )

    def close(self, now_ms: int, ident: int) -> None:
        """End a session; what is queued is not run."""
        session = self._sessions.get(ident)
        if session is not None:
            self._remove(now_ms, session)

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
        session = self._sessions.get(key.session_id)
        if session is None:
            return
        record = session.window.records.get(key.seq)
        if record is None or record.phase is not Phase.ACTIVE:
            self._ctx.counters["outcomes_unexpected"] += 1
            return
        self._charge(session, record, RECORD_BYTES - record.charged)
        if payload:
            too_large = len(payload) > caller.MAX_PARTS * caller.MAX_PART_BYTES
            if too_large or not self._has_room(session, len(payload)):
                outcome, reason = Outcome.UNKNOWN, Reason.TOO_LARGE
                payload = b""
            else:
                self._charge(session, record, len(payload))
        if outcome in (Outcome.ANSWERED, Outcome.FAILED):
            self._ctx.record_latency(record.kind, now_ms - record.started_ms)
        self._close(
            now_ms, session, record, outcome, reason, retry_after_ms, payload
        )

    def stop_partial(self, now_ms: int, reason: Reason) -> None:
        """Refuse all requests that have not arrived whole."""
        for key, record in list(self._partial.items()):
            session = self._sessions[key.session_id]
            self._close(now_ms, session, record, Outcome.NOT_RUN, reason)

    def tick(self, now_ms: int) -> None:
        """Expire requests that did not arrive whole and idle sessions."""
        for key, record in list(self._partial.items()):
            if now_ms >= record.deadline_ms:
                self._close(
                    now_ms,
                    self._sessions[key.session_id],
                    record,
                    Outcome.NOT_RUN,
                    Reason.EXPIRED,
                )
        for session in self._idle(now_ms):
            if session.in_progress:
                self.get(now_ms, session.ident)
            else:
                self._ctx.counters["sessions_expired"] += 1
                self._remove(now_ms, session)

    def _idle(self, now_ms: int) -> Iterator[Session]:
        while self._sessions:
            session = next(iter(self._sessions.values()))
            if now_ms - session.used_ms < SESSION_IDLE_MS:
                return
            yield session

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
        record.deadline_ms = now_ms + params.deadline_ms
        reason = self._screen(session, params)
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

    def _screen(self, session: Session, params: caller.Call) -> Reason | None:
        if self._ctx.leaving:
            return Reason.LEAVING
        kind = self._kind(session, params.kind)
        if (
            kind is None
            or kind.mode is model.Mode.FEED
            or params.part >= params.parts
        ):
            return Reason.BAD_REQUEST
        least = (params.parts - 1) * caller.MAX_PART_BYTES
        if least + len(params.payload) > kind.max_bytes and (
            params.parts == 1 or least >= kind.max_bytes
        ):
            return Reason.TOO_LARGE
        if not self._has_room(session, least):
            return Reason.OVERLOADED
        return None

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
        if not self._has_room(session, RECORD_BYTES):
            self._ctx.counters["calls_dropped_memory"] += 1
            return None
        leaving = session.window.admit(seq)
        if leaving is None:
            self._ctx.counters["calls_dropped_window"] += 1
            return None
        for old in leaving:
            self._free(session, old.charged)
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
        self._charge(session, record, RECORD_BYTES)
        return record

    def _is_resend(
        self,
        source: Address,
        msgid: int,
        record: Record,
        params: caller.Call,
    ) -> bool:
        """Tell whether a datagram belongs to the request of a record."""
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
                if not self._has_room(session, len(params.payload)):
                    self._close(
                        now_ms,
                        session,
                        record,
                        Outcome.NOT_RUN,
                        Reason.OVERLOADED,
                        _OVERLOADED_RETRY_MS,
                    )
                    return
                self._charge(session, record, len(params.payload))
            if not record.received.complete:
                self._pending(record, record.received.first_missing)
                return
            payload = record.received.join()
        self._submit(now_ms, session, record, payload)

    def _submit(
        self, now_ms: int, session: Session, record: Record, payload: bytes
    ) -> None:
        kind = self._kind(session, record.kind)
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
            self._charge(session, record, len(payload))
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

    def _kind(self, session: Session, name: str) -> model.Kind | None:
        cfg = self._ctx.config
        kind = cfg.kinds.get(name) if cfg is not None else None
        if kind is None or kind.service != session.service:
            return None
        return kind

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
            self._charge(session, record, RECORD_BYTES - record.charged)
        record.phase = Phase.DONE
        record.outcome = outcome
        record.reason = reason
        record.retry_after_ms = retry_after_ms
        record.payload = payload
        record.changed_ms = now_ms
        session.in_progress -= 1
        self._lingering[key] = record
        self._ctx.counters[f"replies_{outcome.value}"] += 1
        self._send_parts(now_ms, record, 0)

    def _resend(self, now_ms: int, record: Record) -> None:
        if (
            now_ms - record.sent_ms >= RESEND_INTERVAL_MS
            or parts_lib.count(record.payload) == 1
        ):
            self._send_parts(now_ms, record, record.acked_parts)

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

    def _pending(self, record: Record, part: int) -> None:
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

    def _has_room(self, session: Session, size: int) -> bool:
        return (
            session.bytes + size <= MAX_SESSION_BYTES
            and self._bytes + size <= MAX_NODE_BYTES
        )

    def _charge(self, session: Session, record: Record, size: int) -> None:
        record.charged += size
        session.bytes += size
        self._bytes += size

    def _free(self, session: Session, size: int) -> None:
        session.bytes -= size
        self._bytes -= size

    def _remove(self, now_ms: int, session: Session) -> None:
        del self._sessions[session.ident]
        del self._opened[session.opened_by]
        self._bytes -= session.bytes
        for record in session.window.records.values():
            key = scheduling.RequestKey(session.ident, record.seq)
            self._partial.pop(key, None)
            self._lingering.pop(key, None)
            if record.phase is Phase.ACTIVE:
                self.executor.cancel(now_ms, key, Reason.CANCELLED)
        runtime = self._services.get(session.service)
        if runtime is not None:
            runtime.users -= 1
