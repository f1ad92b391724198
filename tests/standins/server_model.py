"""Deterministic model of a backend server.

It implements the backend protocol of docs/protocols.md without sockets,
clocks or threads.
"""

import collections
import dataclasses
import enum
import heapq
import itertools
import random
from typing import Any

import msgspec
import xxhash

from cyclamenridge.wire import backend
from cyclamenridge.wire import rpc
from tests.standins import server_flows

MAX_ECHO_BYTES = 4096
MAX_RECORDED_PAYLOAD_BYTES = 96


class LoadMode(enum.StrEnum):
    """Accuracy of the load reports.

    ``REAL`` is the load at the time of the report, ``LAGGING`` an older
    load, ``FROZEN`` the load of the first report, and ``ZERO`` no load.
    """

    REAL = "real"
    LAGGING = "lagging"
    FROZEN = "frozen"
    ZERO = "zero"


class RunOutcome(enum.StrEnum):
    """State of a run on the server."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    INTERRUPTED = "interrupted"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Profile:
    """Behaviour of a server.

    :param work_ms: mean work time by kind; other kinds use ``default_ms``
    :param work_variation: largest deviation from the mean work time, as a
        fraction of it
    :param queue_limit: requests that may wait on the server for a slot
    :param warmup_ms: time after the start during which work is slower
    :param warmup_factor: work time at the start as a multiple of the mean;
        it falls linearly to 1 during the warm-up
    :param load_lag_ms: age of load reports in mode ``LAGGING``
    :param fail_fast: each run fails at once
    :param event_interval_ms: time between two events of a flow; 0 for no
        events
    """

    slots: int = 2
    connections: int = 2000
    default_ms: int = 20
    work_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    work_variation: float = 0.2
    queue_limit: int = 0
    warmup_ms: int = 0
    warmup_factor: float = 3.0
    load_mode: LoadMode = LoadMode.REAL
    load_lag_ms: int = 2000
    fail_fast: bool = False
    event_interval_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Outgoing:
    """An encoded message and the connection to send it on."""

    conn: int
    data: bytes


@dataclasses.dataclass
class RunRecord:
    """One run of a request, as recorded by the server.

    :param check: xxh32 hash of the whole payload
    :param payload: first bytes of the payload
    """

    service: str
    server: str
    incarnation: int
    balancer: str
    session_id: int
    seq: int
    kind: str
    customer: str
    check: int
    payload: bytes
    started_ms: int
    ended_ms: int = 0
    outcome: RunOutcome = RunOutcome.RUNNING


@dataclasses.dataclass
class _Job:
    """A request that the server accepted.

    :param expires_ms: time at which it is refused if it is still queued
    :param record: None until the run starts
    """

    conn: int
    msgid: int
    run: backend.Run
    expires_ms: int
    record: RunRecord | None = None
    answer: bytes = b""

    @property
    def key(self) -> tuple[int, int]:
        return self.run.session_id, self.run.seq


class ServerModel:
    """A backend server without sockets: messages in, messages out.

    :ivar refusals: number of refused requests by error
    :ivar datagrams: datagrams that were received and echoed
    """

    def __init__(
        self,
        service: str,
        server: str,
        *,
        incarnation: int = 1,
        profile: Profile | None = None,
        rng: random.Random,
        started_ms: int = 0,
    ) -> None:
        self.service = service
        self.server = server
        self.incarnation = incarnation
        self.profile = profile or Profile()
        self.draining = False
        self.records: list[RunRecord] = []
        self.refusals: collections.Counter[str] = collections.Counter()
        self.datagrams: list[backend.Datagram] = []
        self.wrong_links = 0
        self._flow_table = server_flows.FlowTable(f"{service}/{server}")
        self._rng = rng
        self._started_ms = started_ms
        # The balancer is None until a ``hello`` names this server.
        self._balancer_by_conn: dict[int, str | None] = {}

        self._jobs: dict[tuple[int, int], _Job] = {}
        self._queue: collections.deque[_Job] = collections.deque()
        self._running_count = 0
        self._fenced_keys: set[tuple[int, int]] = set()
        self._completions: list[tuple[int, int, _Job]] = []
        self._tie_breaker = itertools.count()
        self._load_history: collections.deque[tuple[int, backend.Load]] = (
            collections.deque()
        )
        self._frozen_load: backend.Load | None = None

    @property
    def flows(self) -> dict[int, server_flows.Flow]:
        """Flows of the server by id, attached or not."""
        return self._flow_table.flows

    @property
    def detached(self) -> list[int]:
        """Ids of flows that a balancer ended with ``detach``."""
        return self._flow_table.detached

    @property
    def identity(self) -> backend.Identity:
        """Identity that the server returns to ``hello``."""
        return backend.Identity(
            service=self.service,
            server=self.server,
            incarnation=self.incarnation,
            slots=self.profile.slots,
            connections=self.profile.connections,
        )

    @property
    def connections(self) -> tuple[int, ...]:
        """Connections that are open."""
        return tuple(self._balancer_by_conn)

    def connected(self, now_ms: int, conn: int) -> None:
        """Accept a connection."""
        self._balancer_by_conn[conn] = None

    def disconnected(self, now_ms: int, conn: int) -> None:
        """Remove a connection; its flows and runs continue."""
        self._balancer_by_conn.pop(conn, None)
        for flow in self.flows.values():
            if flow.conn == conn:
                flow.conn = None

    def crash(self, now_ms: int) -> None:
        """Interrupt all runs without a response, as when a process dies."""
        for job in self._jobs.values():
            if job.record and job.record.outcome is RunOutcome.RUNNING:
                job.record.outcome = RunOutcome.INTERRUPTED
                job.record.ended_ms = now_ms

    def drain(self, now_ms: int) -> list[Outgoing]:
        """Refuse new work from now on; return the notices to balancers."""
        self.draining = True
        data = rpc.notification("draining", backend.Empty())
        return [
            Outgoing(conn, data)
            for conn, balancer in self._balancer_by_conn.items()
            if balancer is not None
        ]

    def load(self, now_ms: int) -> backend.Load:
        """Return the load that the server reports at this time."""
        actual = backend.Load(
            slots_used=self._running_count,
            queued=len(self._queue),
            connections=len(self.flows),
            draining=self.draining,
        )
        match self.profile.load_mode:
            case LoadMode.ZERO:
                return backend.Load(0, 0, 0, self.draining)
            case LoadMode.FROZEN:
                self._frozen_load = self._frozen_load or actual
                return self._frozen_load
            case LoadMode.LAGGING:
                self._load_history.append((now_ms, actual))
                limit = now_ms - self.profile.load_lag_ms
                while (
                    len(self._load_history) > 1
                    and self._load_history[1][0] <= limit
                ):
                    self._load_history.popleft()
                return self._load_history[0][1]
        return actual

    def next_due_ms(self) -> int | None:
        """Return the time of the next call of ``tick`` that has an effect."""
        due = [self._completions[0][0]] if self._completions else []
        due += [job.expires_ms for job in self._queue]
        if self.profile.event_interval_ms:
            due += [flow.next_event_ms for flow in self.flows.values()]
        return min(due, default=None)

    def tick(self, now_ms: int) -> list[Outgoing]:
        """Finish runs that are due, start queued ones and emit events."""
        out: list[Outgoing] = []
        while self._completions and self._completions[0][0] <= now_ms:
            _, _, job = heapq.heappop(self._completions)
            out += self._finish_run(now_ms, job, RunOutcome.DONE)
        out += self._start_queued(now_ms)
        if interval_ms := self.profile.event_interval_ms:
            for flow in self.flows.values():
                while flow.next_event_ms <= now_ms:
                    flow.next_event_ms += interval_ms
                    out += self.emit(flow.flow_id)
        return out

    def emit(
        self, flow_id: int, payload: bytes | None = None
    ) -> list[Outgoing]:
        """Emit an event of a flow; it is buffered until acknowledged."""
        conn, event = self._flow_table.emit(flow_id, payload)
        if conn is None:
            return []
        return [Outgoing(conn, rpc.notification("event", event))]

    def message(
        self, now_ms: int, conn: int, message: rpc.Message
    ) -> list[Outgoing]:
        """Handle a message from a balancer; return what the server sends."""
        out = self.tick(now_ms)
        if isinstance(message, rpc.Notification):
            if message.method == "datagram" and self._balancer_by_conn.get(
                conn
            ):
                packet = _decode_params(message, backend.Datagram)
                self.datagrams.append(packet)
                out.append(
                    Outgoing(conn, rpc.notification("datagram", packet))
                )
            return out
        if not isinstance(message, rpc.Request):
            return out
        handlers = {
            "hello": self._handle_hello,
            "run": self._handle_run,
            "cancel": self._handle_cancel,
            "resolve": self._handle_resolve,
            "attach": self._handle_attach,
            "detach": self._handle_detach,
            "load": self._handle_load,
        }
        handler = handlers.get(message.method)
        if handler is None:
            return [
                *out,
                _error_response(conn, message.msgid, "unknown_method"),
            ]
        if message.method != "hello" and not self._balancer_by_conn.get(conn):
            self.refusals["wrong_service"] += 1
            return [
                *out,
                _error_response(conn, message.msgid, "wrong_service"),
            ]
        try:
            return out + handler(now_ms, conn, message)
        except msgspec.MsgspecError as exc:
            return [
                *out,
                _error_response(conn, message.msgid, f"bad_params: {exc}"),
            ]

    def _handle_hello(
        self, now_ms: int, conn: int, message: rpc.Request
    ) -> list[Outgoing]:
        hello = _decode_params(message, backend.Hello)
        if (hello.service, hello.server) == (self.service, self.server):
            self._balancer_by_conn[conn] = hello.balancer
        else:
            self.wrong_links += 1
        return [Outgoing(conn, rpc.response(message.msgid, self.identity))]

    def _handle_load(
        self, now_ms: int, conn: int, message: rpc.Request
    ) -> list[Outgoing]:
        return [Outgoing(conn, rpc.response(message.msgid, self.load(now_ms)))]

    def _handle_run(
        self, now_ms: int, conn: int, message: rpc.Request
    ) -> list[Outgoing]:
        run = _decode_params(message, backend.Run)
        job = _Job(conn, message.msgid, run, now_ms + run.deadline_ms)
        refusal = None
        if job.key in self._fenced_keys:
            refusal = backend.RunError.CANCELLED
        elif self.draining:
            refusal = backend.RunError.DRAINING
        elif run.deadline_ms <= 0:
            refusal = backend.RunError.EXPIRED
        elif self.profile.fail_fast:
            self._jobs[job.key] = job
            self._start_run(now_ms, job)
            return self._finish_run(now_ms, job, RunOutcome.FAILED)
        elif (
            self._running_count >= self.profile.slots
            and len(self._queue) >= self.profile.queue_limit
        ):
            refusal = backend.RunError.BUSY
        if refusal is not None:
            return [self._refuse_run(job, refusal)]
        self._jobs[job.key] = job
        self._queue.append(job)
        return self._start_queued(now_ms)

    def _refuse_run(self, job: _Job, error: backend.RunError) -> Outgoing:
        self.refusals[error] += 1
        return _error_response(job.conn, job.msgid, error)

    def _start_queued(self, now_ms: int) -> list[Outgoing]:
        out = []
        for job in [j for j in self._queue if j.expires_ms <= now_ms]:
            self._queue.remove(job)
            del self._jobs[job.key]
            self._fenced_keys.add(job.key)
            out.append(self._refuse_run(job, backend.RunError.EXPIRED))
        while self._queue and self._running_count < self.profile.slots:
            job = self._queue.popleft()
            self._start_run(now_ms, job)
            done_ms = now_ms + self._draw_work_ms(now_ms, job.run.kind)
            heapq.heappush(
                self._completions, (done_ms, next(self._tie_breaker), job)
            )
        return out

    def _start_run(self, now_ms: int, job: _Job) -> None:
        self._running_count += 1
        job.record = RunRecord(
            service=self.service,
            server=self.server,
            incarnation=self.incarnation,
            balancer=self._balancer_by_conn.get(job.conn) or "",
            session_id=job.run.session_id,
            seq=job.run.seq,
            kind=job.run.kind,
            customer=job.run.customer,
            check=xxhash.xxh32_intdigest(job.run.payload),
            payload=job.run.payload[:MAX_RECORDED_PAYLOAD_BYTES],
            started_ms=now_ms,
        )
        self.records.append(job.record)

    def _draw_work_ms(self, now_ms: int, kind: str) -> int:
        mean_ms = self.profile.work_ms.get(kind, self.profile.default_ms)
        variation = self.profile.work_variation
        duration_ms = mean_ms * self._rng.uniform(1 - variation, 1 + variation)
        age_ms = now_ms - self._started_ms
        if age_ms < self.profile.warmup_ms:
            remaining = 1 - age_ms / self.profile.warmup_ms
            duration_ms *= 1 + remaining * (self.profile.warmup_factor - 1)
        return max(1, round(duration_ms))

    def _finish_run(
        self, now_ms: int, job: _Job, outcome: RunOutcome
    ) -> list[Outgoing]:
        assert job.record is not None
        self._running_count -= 1
        job.record.ended_ms = now_ms
        job.record.outcome = outcome
        if outcome is RunOutcome.FAILED:
            return [
                _error_response(job.conn, job.msgid, backend.RunError.FAILED)
            ]
        job.answer = answer(self.service, self.server, job.run.payload)
        result = backend.RunResult(job.answer, self.load(now_ms))
        return [Outgoing(job.conn, rpc.response(job.msgid, result))]

    def _handle_cancel(
        self, now_ms: int, conn: int, message: rpc.Request
    ) -> list[Outgoing]:
        key = _decode_params(message, backend.RequestKey)
        out = []
        job = self._jobs.get((key.session_id, key.seq))
        if job is not None and job.record is None:
            self._queue.remove(job)
            del self._jobs[job.key]
            out.append(self._refuse_run(job, backend.RunError.CANCELLED))
        return out + self._handle_resolve(now_ms, conn, message)

    def _handle_resolve(
        self, now_ms: int, conn: int, message: rpc.Request
    ) -> list[Outgoing]:
        # The result of a run is sent on the connection that its request
        # arrived on; a balancer that reconnected repeats ``resolve`` until
        # the state is ``done``. A request that has not arrived is fenced: it
        # is refused if it arrives later.
        key = _decode_params(message, backend.RequestKey)
        job = self._jobs.get((key.session_id, key.seq))
        if job is None:
            self._fenced_keys.add((key.session_id, key.seq))
            status = backend.RunStatus(backend.RunState.NOT_RUN)
        elif job.record is None or job.record.outcome is RunOutcome.RUNNING:
            status = backend.RunStatus(backend.RunState.RUNNING)
        elif job.record.outcome is RunOutcome.DONE:
            status = backend.RunStatus(backend.RunState.DONE, job.answer)
        else:
            status = backend.RunStatus(backend.RunState.FAILED)
        return [Outgoing(conn, rpc.response(message.msgid, status))]

    def _handle_attach(
        self, now_ms: int, conn: int, message: rpc.Request
    ) -> list[Outgoing]:
        attach = _decode_params(message, backend.Attach)
        known = self.flows.get(attach.flow_id)
        previous_conn = known.conn if known is not None else None
        error = self._flow_table.attach(
            attach,
            conn=conn,
            balancer=self._balancer_by_conn[conn] or "",
            first_event_ms=now_ms + self.profile.event_interval_ms,
            max_flows=self.profile.connections,
            draining=self.draining,
        )
        if error is not None:
            return [self._refuse_flow(conn, message, error)]
        flow = self.flows[attach.flow_id]
        first_seq = flow.events[0].seq if flow.events else flow.next_seq
        answer = rpc.response(message.msgid, backend.Attached(first_seq))
        out = [Outgoing(conn, answer)]
        if previous_conn not in (None, conn):
            moved = backend.Moved(flow.flow_id, flow.epoch)
            out.append(
                Outgoing(previous_conn, rpc.notification("moved", moved))
            )
        return out + [
            Outgoing(conn, rpc.notification("event", event))
            for event in flow.events
        ]

    def _handle_detach(
        self, now_ms: int, conn: int, message: rpc.Request
    ) -> list[Outgoing]:
        error = self._flow_table.detach(
            _decode_params(message, backend.Detach)
        )
        if error is not None:
            return [self._refuse_flow(conn, message, error)]
        empty = backend.Empty()
        return [Outgoing(conn, rpc.response(message.msgid, empty))]

    def _refuse_flow(
        self, conn: int, message: rpc.Request, error: backend.AttachError
    ) -> Outgoing:
        self.refusals[error] += 1
        return _error_response(conn, message.msgid, error)


def answer(service: str, server: str, payload: bytes) -> bytes:
    """Return the payload with which a server answers a request."""
    return f"{service}/{server} ".encode() + payload[:MAX_ECHO_BYTES]


def _decode_params(
    message: rpc.Request | rpc.Notification, cls: type[Any]
) -> Any:
    return msgspec.msgpack.decode(message.params, type=cls)


def _error_response(conn: int, msgid: int, error: str) -> Outgoing:
    return Outgoing(conn, rpc.error_response(msgid, str(error)))
