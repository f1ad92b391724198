"""Deterministic model of a backend server that speaks docs/protocols.md."""

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

ANSWER_ECHO_BYTES = 4096
RECORDED_PAYLOAD_BYTES = 96


class LoadMode(enum.StrEnum):
    """How truthful the load reports are."""

    REAL = "real"
    LAGGING = "lagging"
    FROZEN = "frozen"
    ZERO = "zero"


class RunOutcome(enum.StrEnum):
    """How a run ended on the server."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    INTERRUPTED = "interrupted"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Profile:
    """Behaviour of a server.

    :param work_ms: mean work time by kind; other kinds use ``default_ms``
    :param spread: work time varies by up to this part in both directions
    :param queue_limit: requests that may wait on the server for a slot
    :param cold_ms: time after the start during which work is slower
    :param cold_factor: work time at the start as a multiple of the mean
    :param load_lag_ms: age of load reports in mode ``LAGGING``
    :param fail_fast: each run fails at once
    :param event_interval_ms: each flow gets an event so often; 0: never
    """

    slots: int = 2
    connections: int = 2000
    default_ms: int = 20
    work_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    spread: float = 0.2
    queue_limit: int = 0
    cold_ms: int = 0
    cold_factor: float = 3.0
    load_mode: LoadMode = LoadMode.REAL
    load_lag_ms: int = 2000
    fail_fast: bool = False
    event_interval_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Outgoing:
    """An encoded message for a connection."""

    conn: int
    data: bytes


@dataclasses.dataclass
class RunRecord:
    """One start of one request: what the server really did."""

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
    """A backend server without sockets: messages in, messages out."""

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
        self._flows = server_flows.FlowTable(f"{service}/{server}")
        self._rng = rng
        self._started_ms = started_ms
        self._conns: dict[int, str | None] = {}
        self._jobs: dict[tuple[int, int], _Job] = {}
        self._waiting: collections.deque[_Job] = collections.deque()
        self._running = 0
        self._fenced: set[tuple[int, int]] = set()
        self._due: list[tuple[int, int, _Job]] = []
        self._order = itertools.count()
        self._loads: collections.deque[tuple[int, backend.Load]] = (
            collections.deque()
        )
        self._frozen: backend.Load | None = None

    @property
    def flows(self) -> dict[int, server_flows.Flow]:
        """Flows that the server holds."""
        return self._flows.flows

    @property
    def detached(self) -> list[int]:
        """Flows that were ended by a balancer."""
        return self._flows.detached

    @property
    def identity(self) -> backend.Identity:
        """What the server answers to ``hello``."""
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
        return tuple(self._conns)

    def connected(self, now_ms: int, conn: int) -> None:
        """Accept a connection."""
        self._conns[conn] = None

    def disconnected(self, now_ms: int, conn: int) -> None:
        """Forget a connection; its flows and runs go on."""
        self._conns.pop(conn, None)
        for flow in self.flows.values():
            if flow.conn == conn:
                flow.conn = None

    def crash(self, now_ms: int) -> None:
        """End all work without an answer, as when the process dies."""
        for job in self._jobs.values():
            if job.record and job.record.outcome is RunOutcome.RUNNING:
                job.record.outcome = RunOutcome.INTERRUPTED
                job.record.ended_ms = now_ms

    def drain(self, now_ms: int) -> list[Outgoing]:
        """Refuse new work from now on and tell all balancers."""
        self.draining = True
        data = rpc.notification("draining", backend.Empty())
        return [
            Outgoing(conn, data)
            for conn, balancer in self._conns.items()
            if balancer is not None
        ]

    def load(self, now_ms: int) -> backend.Load:
        """Return the load report that the server gives at this time."""
        actual = backend.Load(
            slots_used=self._running,
            queued=len(self._waiting),
            connections=len(self.flows),
            draining=self.draining,
        )
        match self.profile.load_mode:
            case LoadMode.ZERO:
                return backend.Load(0, 0, 0, self.draining)
            case LoadMode.FROZEN:
                self._frozen = self._frozen or actual
                return self._frozen
            case LoadMode.LAGGING:
                self._loads.append((now_ms, actual))
                limit = now_ms - self.profile.load_lag_ms
                while len(self._loads) > 1 and self._loads[1][0] <= limit:
                    self._loads.popleft()
                return self._loads[0][1]
        return actual

    def next_due_ms(self) -> int | None:
        """Return when ``tick`` has something to do next."""
        due = [self._due[0][0]] if self._due else []
        due += [job.expires_ms for job in self._waiting]
        if self.profile.event_interval_ms:
            due += [flow.next_event_ms for flow in self.flows.values()]
        return min(due, default=None)

    def tick(self, now_ms: int) -> list[Outgoing]:
        """Finish work that is due and produce events of flows."""
        out: list[Outgoing] = []
        while self._due and self._due[0][0] <= now_ms:
            _, _, job = heapq.heappop(self._due)
            out += self._finish(now_ms, job, RunOutcome.DONE)
        out += self._start_waiting(now_ms)
        if interval := self.profile.event_interval_ms:
            for flow in self.flows.values():
                while flow.next_event_ms <= now_ms:
                    flow.next_event_ms += interval
                    out += self.emit(flow.flow_id)
        return out

    def emit(
        self, flow_id: int, payload: bytes | None = None
    ) -> list[Outgoing]:
        """Produce an event of a flow; it is kept until acknowledged."""
        conn, event = self._flows.emit(flow_id, payload)
        if conn is None:
            return []
        return [Outgoing(conn, rpc.notification("event", event))]

    def message(
        self, now_ms: int, conn: int, message: rpc.Message
    ) -> list[Outgoing]:
        """Handle a message of a balancer."""
        out = self.tick(now_ms)
        if isinstance(message, rpc.Notification):
            if message.method == "datagram" and self._conns.get(conn):
                packet = _params(message, backend.Datagram)
                self.datagrams.append(packet)
                out.append(
                    Outgoing(conn, rpc.notification("datagram", packet))
                )
            return out
        if not isinstance(message, rpc.Request):
            return out
        handlers = {
            "hello": self._hello,
            "run": self._run,
            "cancel": self._cancel,
            "resolve": self._resolve,
            "attach": self._attach,
            "detach": self._detach,
            "load": self._load,
        }
        handler = handlers.get(message.method)
        if handler is None:
            return [*out, _error(conn, message.msgid, "unknown_method")]
        if message.method != "hello" and not self._conns.get(conn):
            self.refusals["wrong_service"] += 1
            return [*out, _error(conn, message.msgid, "wrong_service")]
        try:
            return out + handler(now_ms, conn, message)
        except msgspec.MsgspecError as exc:
            return [*out, _error(conn, message.msgid, f"bad_params: {exc}")]

    def _hello(
        self, now_ms: int, conn: int, message: rpc.Request
    ) -> list[Outgoing]:
        hello = _params(message, backend.Hello)
        if (hello.service, hello.server) == (self.service, self.server):
            self._conns[conn] = hello.balancer
        return [Outgoing(conn, rpc.response(message.msgid, self.identity))]

    def _load(
        self, now_ms: int, conn: int, message: rpc.Request
    ) -> list[Outgoing]:
        return [Outgoing(conn, rpc.response(message.msgid, self.load(now_ms)))]

    def _run(
        self, now_ms: int, conn: int, message: rpc.Request
    ) -> list[Outgoing]:
        run = _params(message, backend.Run)
        job = _Job(conn, message.msgid, run, now_ms + run.deadline_ms)
        refusal = None
        if job.key in self._fenced:
            refusal = backend.RunError.CANCELLED
        elif self.draining:
            refusal = backend.RunError.DRAINING
        elif run.deadline_ms <= 0:
            refusal = backend.RunError.EXPIRED
        elif self.profile.fail_fast:
            self._jobs[job.key] = job
            self._begin(now_ms, job)
            return self._finish(now_ms, job, RunOutcome.FAILED)
        elif (
            self._running >= self.profile.slots
            and len(self._waiting) >= self.profile.queue_limit
        ):
            refusal = backend.RunError.BUSY
        if refusal is not None:
            return [self._refuse(job, refusal)]
        self._jobs[job.key] = job
        self._waiting.append(job)
        return self._start_waiting(now_ms)

    def _refuse(self, job: _Job, error: backend.RunError) -> Outgoing:
        self.refusals[error] += 1
        return _error(job.conn, job.msgid, error)

    def _start_waiting(self, now_ms: int) -> list[Outgoing]:
        out = []
        for job in [j for j in self._waiting if j.expires_ms <= now_ms]:
            self._waiting.remove(job)
            del self._jobs[job.key]
            self._fenced.add(job.key)
            out.append(self._refuse(job, backend.RunError.EXPIRED))
        while self._waiting and self._running < self.profile.slots:
            job = self._waiting.popleft()
            self._begin(now_ms, job)
            done_ms = now_ms + self._work_ms(now_ms, job.run.kind)
            heapq.heappush(self._due, (done_ms, next(self._order), job))
        return out

    def _begin(self, now_ms: int, job: _Job) -> None:
        self._running += 1
        job.record = RunRecord(
            service=self.service,
            server=self.server,
            incarnation=self.incarnation,
            balancer=self._conns.get(job.conn) or "",
            session_id=job.run.session_id,
            seq=job.run.seq,
            kind=job.run.kind,
            customer=job.run.customer,
            check=xxhash.xxh32_intdigest(job.run.payload),
            payload=job.run.payload[:RECORDED_PAYLOAD_BYTES],
            started_ms=now_ms,
        )
        self.records.append(job.record)

    def _work_ms(self, now_ms: int, kind: str) -> int:
        mean = self.profile.work_ms.get(kind, self.profile.default_ms)
        spread = self.profile.spread
        work = mean * self._rng.uniform(1 - spread, 1 + spread)
        age = now_ms - self._started_ms
        if age < self.profile.cold_ms:
            left = 1 - age / self.profile.cold_ms
            work *= 1 + left * (self.profile.cold_factor - 1)
        return max(1, round(work))

    def _finish(
        self, now_ms: int, job: _Job, outcome: RunOutcome
    ) -> list[Outgoing]:
        assert job.record is not None
        self._running -= 1
        job.record.ended_ms = now_ms
        job.record.outcome = outcome
        if outcome is RunOutcome.FAILED:
            return [_error(job.conn, job.msgid, backend.RunError.FAILED)]
        job.answer = answer(self.service, self.server, job.run.payload)
        result = backend.RunResult(job.answer, self.load(now_ms))
        return [Outgoing(job.conn, rpc.response(job.msgid, result))]

    def _cancel(
        self, now_ms: int, conn: int, message: rpc.Request
    ) -> list[Outgoing]:
        key = _params(message, backend.RequestKey)
        out = []
        job = self._jobs.get((key.session_id, key.seq))
        if job is not None and job.record is None:
            self._waiting.remove(job)
            del self._jobs[job.key]
            out.append(self._refuse(job, backend.RunError.CANCELLED))
        return out + self._resolve(now_ms, conn, message)

    def _resolve(
        self, now_ms: int, conn: int, message: rpc.Request
    ) -> list[Outgoing]:
        # The result of a run goes to the connection that carried it; a
        # balancer with a new connection asks again until it is ``done``.
        key = _params(message, backend.RequestKey)
        job = self._jobs.get((key.session_id, key.seq))
        if job is None:
            self._fenced.add((key.session_id, key.seq))
            status = backend.RunStatus(backend.RunState.NOT_RUN)
        elif job.record is None or job.record.outcome is RunOutcome.RUNNING:
            status = backend.RunStatus(backend.RunState.RUNNING)
        elif job.record.outcome is RunOutcome.DONE:
            status = backend.RunStatus(backend.RunState.DONE, job.answer)
        else:
            status = backend.RunStatus(backend.RunState.FAILED)
        return [Outgoing(conn, rpc.response(message.msgid, status))]

    def _attach(
        self, now_ms: int, conn: int, message: rpc.Request
    ) -> list[Outgoing]:
        attach = _params(message, backend.Attach)
        known = self.flows.get(attach.flow_id)
        previous = known.conn if known is not None else None
        error = self._flows.attach(
            attach,
            conn=conn,
            balancer=self._conns[conn] or "",
            first_event_ms=now_ms + self.profile.event_interval_ms,
            limit=self.profile.connections,
            draining=self.draining,
        )
        if error is not None:
            return [self._refuse_flow(conn, message, error)]
        flow = self.flows[attach.flow_id]
        first = flow.events[0].seq if flow.events else flow.next_seq
        answer = rpc.response(message.msgid, backend.Attached(first))
        out = [Outgoing(conn, answer)]
        if previous not in (None, conn):
            moved = backend.Moved(flow.flow_id, flow.epoch)
            out.append(Outgoing(previous, rpc.notification("moved", moved)))
        return out + [
            Outgoing(conn, rpc.notification("event", event))
            for event in flow.events
        ]

    def _detach(
        self, now_ms: int, conn: int, message: rpc.Request
    ) -> list[Outgoing]:
        error = self._flows.detach(_params(message, backend.Detach))
        if error is not None:
            return [self._refuse_flow(conn, message, error)]
        empty = backend.Empty()
        return [Outgoing(conn, rpc.response(message.msgid, empty))]

    def _refuse_flow(
        self, conn: int, message: rpc.Request, error: backend.AttachError
    ) -> Outgoing:
        self.refusals[error] += 1
        return _error(conn, message.msgid, error)


def answer(service: str, server: str, payload: bytes) -> bytes:
    """Return the answer of a server to a request."""
    return f"{service}/{server} ".encode() + payload[:ANSWER_ECHO_BYTES]


def _params(message: rpc.Request | rpc.Notification, cls: type[Any]) -> Any:
    return msgspec.msgpack.decode(message.params, type=cls)


def _error(conn: int, msgid: int, error: str) -> Outgoing:
    return Outgoing(conn, rpc.error_response(msgid, str(error)))
