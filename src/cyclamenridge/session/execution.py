"""At-most-once execution of complete requests on backend servers."""

import msgspec

from cyclamenridge.node import context as context_lib
from cyclamenridge.node import events
from cyclamenridge.node import links as links_lib
from cyclamenridge.node import services as services_lib
from cyclamenridge.scheduling import types as scheduling
from cyclamenridge.session import active_request
from cyclamenridge.wire import backend
from cyclamenridge.wire import caller
from cyclamenridge.wire import rpc

ActiveRequest = active_request.ActiveRequest
Outcome = caller.Outcome
Phase = active_request.Phase
Reason = caller.Reason
RequestKey = scheduling.RequestKey
ServerRef = events.ServerRef

# How long a request waits for a new link to its server before the attempt is
# abandoned: the silence limit of a link plus the time that a restarted server
# needs to accept connections.
IN_DOUBT_TIMEOUT_MS = 3000
RESOLVE_INTERVAL_MS = 200
# The server may still report the outcome for this long after the deadline.
DEADLINE_GRACE_MS = 1000
# A dispatch that fails at once requeues its request, which needs another
# poll; this bounds the rounds when every dispatch fails.
_MAX_POLL_ROUNDS = 8

_RUN_RESULT = msgspec.msgpack.Decoder(backend.RunResult)
_RUN_STATUS = msgspec.msgpack.Decoder(backend.RunStatus)
_NOT_RUN_ERRORS = frozenset(
    error.value
    for error in backend.RunError
    if error is not backend.RunError.FAILED
)


class Executor:
    """Dispatches requests to servers and determines their outcomes."""

    def __init__(
        self,
        ctx: context_lib.Context,
        services: services_lib.ServiceRuntimes,
        links: links_lib.LinkTable,
        listener: active_request.OutcomeListener,
    ) -> None:
        self._ctx = ctx
        self._services = services
        self._links = links
        self._listener = listener
        self._active: dict[RequestKey, ActiveRequest] = {}
        self._dispatched: dict[RequestKey, ActiveRequest] = {}
        self._requeued = False

    @property
    def active_count(self) -> int:
        """Number of requests without a final outcome."""
        return len(self._active)

    def longest_deadline_ms(self) -> int:
        """Return the latest deadline of all requests in progress."""
        return max(
            (a.request.deadline_ms for a in self._active.values()), default=0
        )

    def submit(
        self, now_ms: int, service: str, request: scheduling.QueuedRequest
    ) -> None:
        """Queue a complete request."""
        runtime = self._services.get_or_create(now_ms, service)
        active = self._active[request.key] = ActiveRequest(request, service)
        if runtime is None:
            self._finish(now_ms, active, Outcome.NOT_RUN, Reason.NO_SERVER)
            return
        refusal = runtime.scheduler.submit(now_ms, request)
        if refusal is not None:
            self.handle_refusal(now_ms, refusal)
        else:
            self.poll(now_ms, runtime)

    def cancel(self, now_ms: int, key: RequestKey, reason: Reason) -> None:
        """Cancel a request.

        A queued request ends at once. One that was sent ends with the response
        of its server, or as unknown without one.
        """
        active = self._active.get(key)
        if active is None:
            return
        if active.phase is Phase.QUEUED:
            runtime = self._services.get(active.service)
            if runtime is None or runtime.scheduler.cancel(now_ms, key):
                self._finish(now_ms, active, Outcome.NOT_RUN, reason)
        elif active.cancel_reason is None:
            active.cancel_reason = reason
            if active.phase is Phase.RUNNING:
                self._request_status(now_ms, active, "cancel")

    def cancel_all(self, now_ms: int, reason: Reason) -> None:
        """Cancel all requests."""
        for key in list(self._active):
            self.cancel(now_ms, key, reason)

    def finish_all_as_unknown(self, now_ms: int, reason: Reason) -> None:
        """Finish all remaining requests with an unknown outcome."""
        for active in list(self._active.values()):
            self._report_completion(
                now_ms, active, scheduling.Completion.UNKNOWN
            )
            self._finish(now_ms, active, Outcome.UNKNOWN, reason)

    def handle_refusal(self, now_ms: int, refusal: scheduling.Refusal) -> None:
        """Finish a queued request that the scheduler refused."""
        active = self._active.get(refusal.key)
        if active is not None and active.phase is Phase.QUEUED:
            self._finish(
                now_ms,
                active,
                Outcome.NOT_RUN,
                refusal.reason,
                refusal.retry_after_ms,
            )

    def poll(self, now_ms: int, runtime: services_lib.ServiceRuntime) -> None:
        """Carry out the refusals and assignments of a scheduler."""
        for _ in range(_MAX_POLL_ROUNDS):
            self._requeued = False
            poll = runtime.scheduler.poll(now_ms)
            for refusal in poll.refusals:
                self.handle_refusal(now_ms, refusal)
            for assignment in poll.assignments:
                self._dispatch(now_ms, runtime, assignment)
            if not self._requeued:
                return

    def on_response(
        self,
        now_ms: int,
        ref: ServerRef,
        pending: links_lib.PendingCall,
        response: rpc.Response,
    ) -> None:
        """Handle a response to ``run``, ``cancel`` or ``resolve``."""
        active = self._dispatched.get(pending.ident)  # type: ignore[call-overload]
        if (
            active is None
            or active.ref != ref
            or active.attempt != pending.attempt
        ):
            self._ctx.counters["run_answers_late"] += 1
            return
        if pending.method == "run":
            self._handle_run_response(now_ms, active, response)
        else:
            self._handle_status_response(now_ms, active, response)
        runtime = self._services.get(ref.service)
        if runtime is not None:
            self.poll(now_ms, runtime)

    def on_link_up(
        self, now_ms: int, ref: ServerRef, identity: backend.Identity
    ) -> None:
        """Resolve the requests in doubt of a server whose link is back.

        A server with another incarnation has restarted and does not know
        them.
        """
        for active in list(self._dispatched.values()):
            if active.ref != ref or active.phase is not Phase.IN_DOUBT:
                continue
            if active.incarnation == identity.incarnation:
                self._request_status(now_ms, active, "resolve")
            else:
                self._abandon_attempt(now_ms, active)
        runtime = self._services.get(ref.service)
        if runtime is not None:
            self.poll(now_ms, runtime)

    def on_link_lost(self, now_ms: int, ref: ServerRef) -> None:
        """Mark the running requests of a server as in doubt.

        Their responses can no longer arrive on the lost link.
        """
        for active in self._dispatched.values():
            if active.ref == ref and active.phase is Phase.RUNNING:
                active.phase = Phase.IN_DOUBT
                active.in_doubt_since_ms = now_ms

    def tick(self, now_ms: int) -> None:
        """Enforce deadlines and poll the schedulers."""
        for active in list(self._dispatched.values()):
            deadline_ms = active.request.deadline_ms
            if now_ms >= deadline_ms + DEADLINE_GRACE_MS:
                self._report_completion(
                    now_ms, active, scheduling.Completion.UNKNOWN
                )
                self._finish(now_ms, active, Outcome.UNKNOWN, Reason.EXPIRED)
            elif active.phase is Phase.IN_DOUBT:
                self._tick_in_doubt(now_ms, active)
            elif now_ms >= deadline_ms and active.cancel_reason is None:
                self.cancel(now_ms, active.request.key, Reason.EXPIRED)
        for runtime in self._services.runtimes():
            self.poll(now_ms, runtime)

    def _tick_in_doubt(self, now_ms: int, active: ActiveRequest) -> None:
        if self._links.identity(active.ref) is not None:
            if now_ms - active.last_query_ms >= RESOLVE_INTERVAL_MS:
                self._request_status(now_ms, active, "resolve")
        elif now_ms - active.in_doubt_since_ms >= IN_DOUBT_TIMEOUT_MS:
            self._abandon_attempt(now_ms, active)

    def _dispatch(
        self,
        now_ms: int,
        runtime: services_lib.ServiceRuntime,
        assignment: scheduling.Assignment,
    ) -> None:
        request = assignment.request
        active = self._active.get(request.key)
        if active is None or active.phase is not Phase.QUEUED:
            self._ctx.counters["assignments_unexpected"] += 1
            runtime.scheduler.assignment_completed(
                now_ms,
                request.key,
                assignment.server,
                scheduling.Completion.NOT_RUN,
                0,
            )
            return
        # The deadline and the identity of the server are checked right
        # before the request is sent, as both may have changed while it was
        # queued.
        ref = ServerRef(runtime.name, assignment.server)
        identity = self._links.identity(ref)
        remaining_ms = request.deadline_ms - now_ms
        active.ref = ref
        if remaining_ms <= 0:
            self._handle_not_run(now_ms, active, backend.RunError.EXPIRED)
            return
        if identity is None:
            self._handle_not_run(now_ms, active, backend.RunError.BUSY)
            return
        active.phase = Phase.RUNNING
        active.incarnation = identity.incarnation
        active.attempt += 1
        active.sent_ms = now_ms
        self._dispatched[request.key] = active
        self._services.add_server_users(ref, 1)
        run = backend.Run(
            session_id=request.key.session_id,
            seq=request.key.seq,
            kind=request.kind,
            customer=request.customer,
            deadline_ms=remaining_ms,
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

    def _handle_run_response(
        self, now_ms: int, active: ActiveRequest, response: rpc.Response
    ) -> None:
        if response.error is None:
            try:
                result = _RUN_RESULT.decode(response.result)
            except msgspec.DecodeError:
                self._ctx.counters["link_messages_malformed"] += 1
                self._abandon_attempt(now_ms, active)
                return
            self._report_completion(
                now_ms, active, scheduling.Completion.ANSWERED
            )
            self._services.on_load_report(now_ms, active.ref, result.load)
            self._finish(
                now_ms, active, Outcome.ANSWERED, payload=result.payload
            )
        elif response.error == backend.RunError.FAILED:
            self._report_completion(
                now_ms, active, scheduling.Completion.FAILED
            )
            self._finish(now_ms, active, Outcome.FAILED)
        elif response.error in _NOT_RUN_ERRORS:
            error = backend.RunError(response.error)
            if error is backend.RunError.WRONG_SERVICE:
                self._ctx.counters["identity_mismatch"] += 1
            self._handle_not_run(now_ms, active, error)
        else:
            self._abandon_attempt(now_ms, active)

    def _handle_status_response(
        self, now_ms: int, active: ActiveRequest, response: rpc.Response
    ) -> None:
        if response.error is not None:
            self._ctx.counters["link_messages_malformed"] += 1
            return
        try:
            status = _RUN_STATUS.decode(response.result)
        except msgspec.DecodeError:
            self._ctx.counters["link_messages_malformed"] += 1
            return
        match status.state:
            case backend.RunState.NOT_RUN if active.cancel_reason is None:
                self._retry_fenced(now_ms, active)
            case backend.RunState.NOT_RUN:
                self._handle_not_run(
                    now_ms, active, backend.RunError.CANCELLED
                )
            case backend.RunState.DONE:
                self._report_completion(
                    now_ms, active, scheduling.Completion.ANSWERED
                )
                self._finish(
                    now_ms, active, Outcome.ANSWERED, payload=status.payload
                )
            case backend.RunState.FAILED:
                self._report_completion(
                    now_ms, active, scheduling.Completion.FAILED
                )
                self._finish(now_ms, active, Outcome.FAILED)
            case backend.RunState.RUNNING:
                pass

    def _handle_not_run(
        self, now_ms: int, active: ActiveRequest, error: backend.RunError
    ) -> None:
        """Requeue or finish a request that is proven not to have run."""
        self._forget_attempt(active)
        if active.cancel_reason is not None:
            self._report_completion(
                now_ms, active, scheduling.Completion.NOT_RUN
            )
            self._finish(now_ms, active, Outcome.NOT_RUN, active.cancel_reason)
            return
        runtime = self._services.get(active.service)
        if runtime is None:
            self._finish(now_ms, active, Outcome.NOT_RUN, Reason.NO_SERVER)
            return
        active.phase = Phase.QUEUED
        self._requeued = True
        refusal = runtime.scheduler.request_not_run(
            now_ms, active.request.key, active.ref.server, error
        )
        if refusal is not None:
            self.handle_refusal(now_ms, refusal)

    def _retry_fenced(self, now_ms: int, active: ActiveRequest) -> None:
        """Retry a request on another server after a fenced attempt.

        The server has confirmed that it did not run the request and refuses
        late copies of it.
        """
        self._forget_attempt(active)
        self._report_completion(now_ms, active, scheduling.Completion.NOT_RUN)
        self._resubmit(now_ms, active)

    def _abandon_attempt(self, now_ms: int, active: ActiveRequest) -> None:
        """End an attempt whose outcome cannot be determined.

        Only an idempotent request is run again.
        """
        self._forget_attempt(active)
        self._report_completion(now_ms, active, scheduling.Completion.UNKNOWN)
        active.may_have_run = True
        if active.request.idempotent and active.cancel_reason is None:
            self._resubmit(now_ms, active)
        else:
            self._finish(now_ms, active, Outcome.UNKNOWN, Reason.SERVER_LOST)

    def _resubmit(self, now_ms: int, active: ActiveRequest) -> None:
        runtime = self._services.get(active.service)
        active.phase = Phase.QUEUED
        if runtime is None:
            self._finish(now_ms, active, Outcome.NOT_RUN, Reason.NO_SERVER)
            return
        refusal = runtime.scheduler.resubmit(
            now_ms, active.request, exclude=active.ref.server
        )
        if refusal is not None:
            self.handle_refusal(now_ms, refusal)

    def _request_status(
        self, now_ms: int, active: ActiveRequest, method: str
    ) -> None:
        """Send ``cancel`` or ``resolve``, both answered with the status."""
        active.last_query_ms = now_ms
        key = active.request.key
        self._links.request(
            now_ms,
            active.ref,
            method,
            backend.RequestKey(key.session_id, key.seq),
            ident=key,
            attempt=active.attempt,
        )

    def _forget_attempt(self, active: ActiveRequest) -> None:
        if self._dispatched.pop(active.request.key, None) is not None:
            self._services.add_server_users(active.ref, -1)

    def _report_completion(
        self,
        now_ms: int,
        active: ActiveRequest,
        completion: scheduling.Completion,
    ) -> None:
        runtime = self._services.get(active.service)
        if runtime is None:
            return
        if active.phase is Phase.QUEUED:
            runtime.scheduler.cancel(now_ms, active.request.key)
        else:
            runtime.scheduler.assignment_completed(
                now_ms,
                active.request.key,
                active.ref.server,
                completion,
                now_ms - active.sent_ms,
            )

    def _finish(
        self,
        now_ms: int,
        active: ActiveRequest,
        outcome: Outcome,
        reason: Reason = Reason.NONE,
        retry_after_ms: int = 0,
        payload: bytes = b"",
    ) -> None:
        key = active.request.key
        self._forget_attempt(active)
        del self._active[key]
        if outcome is Outcome.NOT_RUN and active.may_have_run:
            outcome, reason, retry_after_ms = (
                Outcome.UNKNOWN,
                Reason.SERVER_LOST,
                0,
            )
        self._listener.request_finished(
            now_ms, key, outcome, reason, retry_after_ms, payload
        )
