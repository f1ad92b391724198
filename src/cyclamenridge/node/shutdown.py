"""Graceful shutdown of a node: the planned stop of the operators."""

from cyclamenridge.feed import owner as feed_owner
from cyclamenridge.node import context as context_lib
from cyclamenridge.session import execution
from cyclamenridge.session import owner as session_owner
from cyclamenridge.wire import caller

EXIT_COMPLETE = 0
EXIT_CANCELLED = 3
EXIT_FORCED = 4

# Gossip takes about a second until most peers send this node no new work.
LEAVE_PROPAGATION_MS = 1000
# After the deadline, servers have this long to confirm which requests did
# not run.
CANCEL_GRACE_MS = 500


class GracefulShutdown:
    """Waits, up to a deadline, for requests, answers and feeds to finish."""

    def __init__(
        self,
        ctx: context_lib.Context,
        sessions: session_owner.SessionOwner,
        executor: execution.Executor,
        feeds: feed_owner.FeedOwner,
    ) -> None:
        self._ctx = ctx
        self._sessions = sessions
        self._executor = executor
        self._feeds = feeds
        self._started_ms = 0
        self._deadline_ms = 0
        self._cancelled_at_ms: int | None = None

    def begin(self, now_ms: int, deadline_ms: int) -> None:
        """Start the shutdown.

        :param deadline_ms: monotonic time at which unfinished requests are
            cancelled; extended to the latest deadline of a request
        """
        self._started_ms = now_ms
        self._deadline_ms = max(
            deadline_ms,
            self._executor.longest_deadline_ms() + execution.DEADLINE_GRACE_MS,
        )

    def tick(self, now_ms: int) -> int | None:
        """Return the exit code once the process may exit, until then None."""
        if self._cancelled_at_ms is not None:
            if not self._sessions.unfinished_count:
                return EXIT_CANCELLED
            if now_ms - self._cancelled_at_ms >= CANCEL_GRACE_MS:
                self._executor.finish_all_as_unknown(
                    now_ms, caller.Reason.LEAVING
                )
                return EXIT_CANCELLED
            return None
        unfinished = self._sessions.unfinished_count
        if now_ms >= self._deadline_ms:
            if not unfinished:
                return EXIT_COMPLETE
            self._cancelled_at_ms = now_ms
            self._ctx.counters["stop_cancelled"] += unfinished
            self._sessions.refuse_incomplete(now_ms, caller.Reason.LEAVING)
            self._executor.cancel_all(now_ms, caller.Reason.LEAVING)
            return None
        self._feeds.pacer.probe_moved_feeds(now_ms)
        if (
            unfinished
            or self._feeds.feed_count
            or now_ms - self._started_ms < LEAVE_PROPAGATION_MS
            or self._sessions.awaits_acknowledgements(now_ms)
        ):
            return None
        return EXIT_COMPLETE
