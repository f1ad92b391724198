"""Caller library: sessions and their requests."""

import asyncio

import msgspec

from cyclamenridge.caller import client as client_lib
from cyclamenridge.caller import exchange as exchange_lib
from cyclamenridge.caller import feed as feed_lib
from cyclamenridge.caller import outcomes
import cyclamenridge.errors as errors
from cyclamenridge.wire import caller
from cyclamenridge.wire import rpc

Reason = outcomes.Reason

OPEN_TIMEOUT_MS = 10_000
MAX_OPEN_RETRIES = 8
_OPEN_PAUSE_S = 0.05
_RETRY_ELSEWHERE = frozenset({Reason.LEAVING, Reason.NO_SERVER})
# A balancer removes a session that is idle for 120 s. A later request in it
# would get the outcome ``unknown``.
MAX_IDLE_MS = 60_000
# A balancer has a window of 256 sequence numbers, starting at the oldest
# request in progress, and ignores requests beyond it.
MAX_SEQ_SPAN = 200
# Reasons after which the session can no longer be used.
_SESSION_INVALID = frozenset(
    {Reason.LEAVING, Reason.OWNER_LOST, Reason.WINDOW_PASSED}
)


class Session:
    """Session of one customer with one service.

    :ivar last_token: token with which the newest request was sent
    """

    def __init__(
        self, client: client_lib.Client, service: str, customer: str
    ) -> None:
        self.service = service
        self.customer = customer
        self._client = client
        self._token: bytes | None = None
        self._last_used_ms = 0
        self._last_seq = 0
        self._in_progress: set[int] = set()
        self._lock = asyncio.Lock()
        self.last_token = b""

    async def token(self) -> bytes:
        """Return the token of the session; open one if there is none."""
        async with self._lock:
            self._invalidate_if_stale()
            attempts = 0
            while self._token is None:
                attempts += 1
                params = caller.Open(
                    self.service, self.customer, self._client.new_nonce()
                )
                try:
                    grant = await self._client.request(
                        "open",
                        params,
                        caller.Grant,
                        timeout_ms=OPEN_TIMEOUT_MS,
                    )
                except client_lib.RefusedError as exc:
                    # Another balancer may grant it: this one is stopping, or
                    # has just started and has no configuration yet.
                    reason = exc.refusal.reason
                    if (
                        attempts > MAX_OPEN_RETRIES
                        or reason not in _RETRY_ELSEWHERE
                    ):
                        raise
                    await asyncio.sleep(_OPEN_PAUSE_S)
                    continue
                self._token = grant.token
                self._last_seq = 0
                self._in_progress = set()
            self._last_used_ms = self._client.clock.now_ms()
            return self._token

    def _invalidate_if_stale(self) -> None:
        """Discard a session whose next request might not be run."""
        idle_ms = self._client.clock.now_ms() - self._last_used_ms
        oldest_seq = min(self._in_progress, default=self._last_seq)
        if (
            idle_ms > MAX_IDLE_MS and not self._in_progress
        ) or self._last_seq - oldest_seq >= MAX_SEQ_SPAN:
            self._token = None

    def invalidate(self, token: bytes) -> None:
        """Discard a token, so that the next request opens a new session."""
        if self._token == token:
            self._token = None

    async def call(
        self,
        kind: str,
        payload: bytes,
        *,
        deadline_ms: int = 5000,
        idempotent: bool = False,
    ) -> outcomes.Outcome:
        """Run a request and return its outcome.

        :param idempotent: run it again as a new request, within the
            deadline, when its outcome is unknown
        """
        clock = self._client.clock
        end_ms = clock.now_ms() + deadline_ms
        while True:
            remaining_ms = end_ms - clock.now_ms()
            if remaining_ms <= 0:
                return outcomes.NotRun(Reason.EXPIRED)
            try:
                async with asyncio.timeout(remaining_ms / 1000):
                    token = await self.token()
            except client_lib.RefusedError as exc:
                return outcomes.NotRun(
                    exc.refusal.reason, exc.refusal.retry_after_ms
                )
            except TimeoutError:
                return outcomes.NotRun(Reason.EXPIRED)
            except errors.CallerError:
                return outcomes.NotRun(Reason.NO_SERVER)
            remaining_ms = max(1, end_ms - clock.now_ms())
            outcome = await self._exchange(token, kind, payload, remaining_ms)
            match outcome:
                case outcomes.NotRun(reason=Reason.LEAVING):
                    # It did not run, so it may be sent again as a new request.
                    self.invalidate(token)
                    continue
                case outcomes.Unknown(reason=reason):
                    if reason in _SESSION_INVALID:
                        self.invalidate(token)
                    if idempotent and clock.now_ms() < end_ms:
                        continue
            return outcome

    async def _exchange(
        self, token: bytes, kind: str, payload: bytes, deadline_ms: int
    ) -> outcomes.Outcome:
        client = self._client
        self._last_seq += 1
        seq = self._last_seq
        in_progress = self._in_progress
        in_progress.add(seq)
        self.last_token = token
        exchange = exchange_lib.Exchange(
            client.clock.now_ms(),
            token=token,
            seq=seq,
            kind=kind,
            payload=payload,
            deadline_ms=deadline_ms,
            rng=client.rng,
        )
        changed = asyncio.Event()

        def on_response(response: rpc.Response) -> None:
            if response.error is not None:
                return
            reply = msgspec.msgpack.decode(response.result, type=caller.Reply)
            exchange.handle_reply(client.clock.now_ms(), reply)
            if exchange.ack_part is not None:
                ack = caller.Ack(token, seq, exchange.ack_part)
                client.endpoint.notify("ack", ack)
            changed.set()

        msgid = client.endpoint.add_response_handler(on_response)
        try:
            while exchange.outcome is None:
                changed.clear()
                for call in exchange.poll(client.clock.now_ms()):
                    client.endpoint.request(msgid, "call", call)
                if exchange.outcome is not None:
                    break
                wait_ms = exchange.next_poll_ms - client.clock.now_ms()
                try:
                    async with asyncio.timeout(max(0, wait_ms) / 1000):
                        await changed.wait()
                except TimeoutError:
                    continue
            return exchange.outcome
        except asyncio.CancelledError:
            cancel = caller.Cancel(token, seq)
            client.endpoint.request(msgid, "cancel", cancel)
            raise
        finally:
            in_progress.discard(seq)
            client.endpoint.remove_response_handler(msgid)

    async def subscribe(
        self, kind: str, *, last_seq: int = 0
    ) -> feed_lib.Feed:
        """Open a feed; iterate over it to get its events."""
        feed = feed_lib.Feed(self._client, self, kind, last_seq=last_seq)
        await feed.start()
        return feed

    async def close(self) -> None:
        """End the session."""
        if self._token is not None:
            self._client.endpoint.notify_twice(
                "close", caller.Close(self._token)
            )
            self._token = None
