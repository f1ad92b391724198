"""Execution of whole requests on backend servers, at most once."""

import msgspec

from cyclamenridge.node import context as context_lib
from cyclamenridge.node import events
from cyclamenridge.node import links as links_lib
from cyclamenridge.node import services as services_lib
from cyclamenridge.scheduling import types as scheduling
from cyclamenridge.session import active as active_lib
from cyclamenridge.wire import backend
from cyclamenridge.wire import caller
from cyclamenridge.wire import rpc

Active = active_lib.Active
Outcome = caller.Outcome
Phase = active_lib.Phase
Reason = caller.Reason
RequestKey = scheduling.RequestKey
ServerRef = events.ServerRef

# How long a request waits for a new link to its server before its
# outcome is given up. It exceeds the silence limit of a link by the time
# that a restarted server needs to accept connections.
IN_DOUBT_LIMIT_MS = 3000
RESOLVE_INTERVAL_MS = 200
# Time after the deadline in which the server may still tell the outcome.
DEADLINE_GRACE_MS = 1000
# A poll can return requests that are refused at once and queued again.
_MAX_POLLS = 8

_RUN_RESULT = msgspec.msgpack.Decoder(backend.RunResult)
_RUN_STATUS = msgspec.msgpack.Decoder(backend.RunStatus)
_NOT_RUN_ERRORS = frozenset(
    error.value
    for error in backend.RunError
    if error is not backend.RunError.FAILED
)


class Executor:
    """Drives requests from the queue of a service to their outcome."""

    def __init__(
        self,
        ctx: context_lib.Context,
        services: services_lib.Services,
        links: links_lib.LinkTable,
        listener: active_lib.OutcomeListener,
    ) -> None:
        self._ctx = ctx
        self._services = services
        self._links = links
        self._listener = listener
        self._active: dict[RequestKey, Active] = {}
        self._sent: dict[RequestKey, Active] = {}
        self._queued_again = False

    @property
    def active_count(self) -> int:
        """Number of requests without an outcome."""
        return len(self._active)

    def longest_deadline_ms(self) -> int:
        """Return the latest deadline of all requests in progress."""
        return max(
            (a.request.deadline_ms for a in self._active.values()), default=0
        )

    def submit(
        self, now_ms: int, service: str, request: scheduling.QueuedRequest
    ) -> None:
        """Queue a whole request."""
        runtime = self._services.acquire(now_ms, service)
        active = self._active[request.key] = Active(request, service)
        if runtime is None:
            self._finish(now_ms, active, Outcome.NOT_RUN, Reason.NO_SERVER)
            return
        refusal = runtime.scheduler.submit(now_ms, request)
        if refusal is not None:
            self.refused(now_ms, refusal)
        else:
            self.poll(now_ms, runtime)

    def cancel(self, now_ms: int, key: RequestKey, reason: Reason) -> None:
        """Abandon a request; its outcome follows when it is proved."""
        active = self._active.get(key)
        if active is None:
            return
        if active.phase is Phase.QUEUED:
            runtime = self._services.get(active.service)
            if runtime is None or runtime.scheduler.cancel(now_ms, key):
                self._finish(now_ms, active, Outcome.NOT_RUN, reason)
        elif active.stop_reason is None:
            active.stop_reason = reason
            if active.phase is Phase.RUNNING:
                self._ask(now_ms, active, "cancel")

    def cancel_all(self, now_ms: int, reason: Reason) -> None:
        """Abandon all requests."""
        for key in list(self._active):
            self.cancel(now_ms, key, reason)

    def give_up_all(self, now_ms: int, reason: Reason) -> None:
        """Close all requests that are left; their outcome is unknown."""
        for active in list(self._active.values()):
            self._completed(now_ms, active, scheduling.Completion.UNKNOWN)
            self._finish(now_ms, active, Outcome.UNKNOWN, reason)

    def refused(self, now_ms: int, refusal: scheduling.Refusal) -> None:
        """Take a refusal of the scheduler."""
        active = self._active.get(refusal.key)
        if active is not None and active.phase is Phase.QUEUED:
            self._finish(
                now_ms,
                active,
                Outcome.NOT_RUN,
                refusal.reason,
                refusal.retry_after_ms,
            )

    def poll(self, now_ms: int, runtime: services_lib.Runtime) -> None:
        """Carry out what the scheduler of a service decided."""
        for _ in range(_MAX_POLLS):
            self._queued_again = False
            poll = runtime.scheduler.poll(now_ms)
            for refusal in poll.refusals:
                self.refused(now_ms, refusal)
            for assignment in poll.assignments:
                self._dispatch(now_ms, runtime, assignment)
            if not self._queued_again:
                return

    def answered(
        self,
        now_ms: int,
        ref: ServerRef,
        pending: links_lib.Pending,
        answer: rpc.Response,
    ) -> None:
        """Take the answer of a server to ``run``, ``cancel``, ``resolve``."""
        active = self._sent.get(pending.ident)  # type: ignore[call-overload]
        if (
            active is None
            or active.ref != ref
            or active.attempt != pending.attempt
        ):
            self._ctx.counters["run_answers_late"] += 1
            return
        if pending.method == "run":
            self._run_answered(now_ms, active, answer)
        else:
            self._status(now_ms, active, answer)
        runtime = self._services.get(ref.service)
        if runtime is not None:
            self.poll(now_ms, runtime)

    def link_up(
        self, now_ms: int, ref: ServerRef, identity: backend.Identity
    ) -> None:
        """Ask the server about requests that were sent on an older link."""
        for active in list(self._sent.values()):
            if active.ref != ref or active.phase is not Phase.IN_DOUBT:
                continue
            if active.incarnation == identity.incarnation:
                self._ask(now_ms, active, "resolve")
            else:
                self._lost(now_ms, active)
        runtime = self._services.get(ref.service)
        if runtime is not None:
            self.poll(now_ms, runtime)

    def link_lost(self, now_ms: int, ref: ServerRef) -> None:
        """Mark requests whose answer can no longer arrive."""
        for active in self._sent.values():
            if active.ref == ref and active.phase is Phase.RUNNING:
                active.phase = Phase.IN_DOUBT
                active.doubt_ms = now_ms

    def tick(self, now_ms: int) -> None:
        """Enforce deadlines and poll the schedulers."""
        for active in list(self._sent.values()):
            deadline_ms = active.request.deadline_ms
            if now_ms >= deadline_ms + DEADLINE_GRACE_MS:
                self._completed(now_ms, active, scheduling.Completion.UNKNOWN)
                self._finish(now_ms, active, Outcome.UNKNOWN, Reason.EXPIRED)
            elif active.phase is Phase.IN_DOUBT:
                self._tick_in_doubt(now_ms, active)
            elif now_ms >= deadline_ms and active.stop_reason is None:
                self.cancel(now_ms, active.request.key, Reason.EXPIRED)
        for runtime in self._services.runtimes():
            self.poll(now_ms, runtime)

    def _tick_in_doubt(self, now_ms: int, active: Active) -> None:
        if self._links.identity(active.ref) is not None:
            if now_ms - active.resolve_ms >= RESOLVE_INTERVAL_MS:
                self._ask(now_ms, active, "resolve")
        elif now_ms - active.doubt_ms >= IN_DOUBT_LIMIT_MS:
            self._lost(now_ms, active)

    def _dispatch(
        self,
        now_ms: int,
        runtime: services_lib.Runtime,
        assignment: scheduling.Assignment,
    ) -> None:
        request = assignment.request
        active = self._active.get(request.key)
        if active is None or active.phase is not Phase.QUEUED:
            self._ctx.counters["assignments_unexpected"] += 1
            runtime.scheduler.completed(
                now_ms,
                request.key,
                assignment.server,
                scheduling.Completion.NOT_RUN,
                0,
            )
            return
        # The deadline, the link and the identity behind it are checked
        # at the last moment before the payload leaves.
        ref = ServerRef(runtime.name, assignment.server)
        identity = self._links.identity(ref)
        left_ms = request.deadline_ms - now_ms
        active.ref = ref
        if left_ms <= 0:
            self._proved_not_run(now_ms, active, backend.RunError.EXPIRED)
            return
        if identity is None:
            self._proved_not_run(now_ms, active, backend.RunError.BUSY)
            return
        active.phase = Phase.RUNNING
        active.incarnation = identity.incarnation
        active.attempt += 1
        active.sent_ms = now_ms
        self._sent[request.key] = active
        self._services.use_server(ref, 1)
        run = backend.Run(
            session_id=request.key.session_id,
            seq=request.key.seq,
            kind=request.kind,
            customer=request.customer,
            deadline_ms=left_ms,
            payload=request.payload,
        )
        self._links.request(
            now_ms,
            ref,
            "run",
            run,
            ident=request.key,
            attempt=active.attempt,
        )
        self._ctx.counters["runs_sent"] += 1

    def _run_answered(
        self, now_ms: int, active: Active, answer: rpc.Response
    ) -> None:
        if answer.error is None:
            try:
                result = _RUN_RESULT.decode(answer.result)
            except msgspec.DecodeError:
                self._ctx.counters["link_messages_malformed"] += 1
                self._lost(now_ms, active)
                return
            self._completed(now_ms, active, scheduling.Completion.ANSWERED)
            self._services.load(now_ms, active.ref, result.load)
            self._finish(
                now_ms, active, Outcome.ANSWERED, payload=result.payload
            )
        elif answer.error == backend.RunError.FAILED:
            self._completed(now_ms, active, scheduling.Completion.FAILED)
            self._finish(now_ms, active, Outcome.FAILED)
        elif answer.error in _NOT_RUN_ERRORS:
            error = backend.RunError(answer.error)
            if error is backend.RunError.WRONG_SERVICE:
                self._ctx.counters["identity_mismatch"] += 1
            self._proved_not_run(now_ms, active, error)
        else:
            self._lost(now_ms, active)

    def _status(
        self, now_ms: int, active: Active, answer: rpc.Response
    ) -> None:
        if answer.error is not None:
            self._ctx.counters["link_messages_malformed"] += 1
            return
        try:
            status = _RUN_STATUS.decode(answer.result)
        except msgspec.DecodeError:
            self._ctx.counters["link_messages_malformed"] += 1
            return
        match status.state:
            case backend.RunState.NOT_RUN if active.stop_reason is None:
                self._fenced(now_ms, active)
            case backend.RunState.NOT_RUN:
                self._proved_not_run(
                    now_ms, active, backend.RunError.CANCELLED
                )
            case backend.RunState.DONE:
                self._completed(now_ms, active, scheduling.Completion.ANSWERED)
                self._finish(
                    now_ms, active, Outcome.ANSWERED, payload=status.payload
                )
            case backend.RunState.FAILED:
                self._completed(now_ms, active, scheduling.Completion.FAILED)
                self._finish(now_ms, active, Outcome.FAILED)
            case backend.RunState.RUNNING:
                pass

    def _proved_not_run(
        self, now_ms: int, active: Active, error: backend.RunError
    ) -> None:
        self._unsend(active)
        if active.stop_reason is not None:
            self._completed(now_ms, active, scheduling.Completion.NOT_RUN)
            self._finish(now_ms, active, Outcome.NOT_RUN, active.stop_reason)
            return
        runtime = self._services.get(active.service)
        if runtime is None:
            self._finish(now_ms, active, Outcome.NOT_RUN, Reason.NO_SERVER)
            return
        active.phase = Phase.QUEUED
        self._queued_again = True
        refusal = runtime.scheduler.not_run(
            now_ms, active.request.key, active.ref.server, error
        )
        if refusal is not None:
            self.refused(now_ms, refusal)

    def _fenced(self, now_ms: int, active: Active) -> None:
        """Run a request elsewhere that its server promised not to run."""
        self._unsend(active)
        self._completed(now_ms, active, scheduling.Completion.NOT_RUN)
        self._resubmit(now_ms, active)

    def _lost(self, now_ms: int, active: Active) -> None:
        """Close an attempt whose outcome cannot be learned."""
        self._unsend(active)
        self._completed(now_ms, active, scheduling.Completion.UNKNOWN)
        active.maybe_run = True
        if active.request.idempotent and active.stop_reason is None:
            self._resubmit(now_ms, active)
        else:
            self._finish(now_ms, active, Outcome.UNKNOWN, Reason.SERVER_LOST)

    def _resubmit(self, now_ms: int, active: Active) -> None:
        runtime = self._services.get(active.service)
        active.phase = Phase.QUEUED
        if runtime is None:
            self._finish(now_ms, active, Outcome.NOT_RUN, Reason.NO_SERVER)
            return
        refusal = runtime.scheduler.resubmit(
            now_ms, active.request, exclude=active.ref.server
        )
        if refusal is not None:
            self.refused(now_ms, refusal)

    def _ask(self, now_ms: int, active: Active, method: str) -> None:
        active.resolve_ms = now_ms
        key = active.request.key
        self._links.request(
            now_ms,
            active.ref,
            method,
            backend.RequestKey(key.session_id, key.seq),
            ident=key,
            attempt=active.attempt,
        )

    def _unsend(self, active: Active) -> None:
        if self._sent.pop(active.request.key, None) is not None:
            self._services.use_server(active.ref, -1)

    def _completed(
        self,
        now_ms: int,
        active: Active,
        completion: scheduling.Completion,
    ) -> None:
        runtime = self._services.get(active.service)
        if runtime is None:
            return
        if active.phase is Phase.QUEUED:
            runtime.scheduler.cancel(now_ms, active.request.key)
        else:
            runtime.scheduler.completed(
                now_ms,
                active.request.key,
                active.ref.server,
                completion,
                now_ms - active.sent_ms,
            )

    def _finish(
        self,
        now_ms: int,
        active: Active,
        outcome: Outcome,
        reason: Reason = Reason.NONE,
        retry_after_ms: int = 0,
        payload: bytes = b"",
    ) -> None:
        key = active.request.key
        self._unsend(active)
        del self._active[key]
        if outcome is Outcome.NOT_RUN and active.maybe_run:
            outcome, reason, retry_after_ms = (
                Outcome.UNKNOWN,
                Reason.SERVER_LOST,
                0,
            )
        self._listener.finished(
            now_ms, key, outcome, reason, retry_after_ms, payload
        )
