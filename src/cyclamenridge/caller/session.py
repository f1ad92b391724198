"""Caller library: sessions and the requests within them."""

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
MAX_OPENS = 8
_OPEN_PAUSE_S = 0.05
_ELSEWHERE = frozenset({Reason.LEAVING, Reason.NO_SERVER})
# A balancer ends a session after 120 s without use, and a request that is
# sent then is answered ``unknown``.
UNUSED_MS = 60_000
# A balancer keeps 256 numbers of a session, counted from the oldest request
# in progress, and ignores requests above that.
MAX_SPAN = 200
# After these reasons the session itself is of no more use.
_SESSION_LOST = frozenset(
    {Reason.LEAVING, Reason.OWNER_LOST, Reason.WINDOW_PASSED}
)


class Session:
    """Requests and feeds of one customer at one service.

    ``last_token`` is the token under which the newest request was sent.
    """

    def __init__(
        self, client: client_lib.Client, service: str, customer: str
    ) -> None:
        self.service = service
        self.customer = customer
        self._client = client
        self._token: bytes | None = None
        self._used_ms = 0
        self._next_seq = 0
        self._in_progress: set[int] = set()
        self._lock = asyncio.Lock()
        self.last_token = b""

    async def token(self) -> bytes:
        """Return the token, after opening the session if need be."""
        async with self._lock:
            self._retire()
            tries = 0
            while self._token is None:
                tries += 1
                open_ = caller.Open(
                    self.service, self.customer, self._client.nonce()
                )
                try:
                    grant = await self._client.ask(
                        "open",
                        open_,
                        caller.Grant,
                        timeout_ms=OPEN_TIMEOUT_MS,
                    )
                except client_lib.RefusedError as exc:
                    # Another balancer may grant it: this one stops, or has
                    # just started and has no configuration yet.
                    reason = exc.refusal.reason
                    if tries > MAX_OPENS or reason not in _ELSEWHERE:
                        raise
                    await asyncio.sleep(_OPEN_PAUSE_S)
                    continue
                self._token = grant.token
                self._next_seq = 0
                self._in_progress = set()
            self._used_ms = self._client.clock.now_ms()
            return self._token

    def _retire(self) -> None:
        """Stop to use a session whose next request might be ignored."""
        unused_ms = self._client.clock.now_ms() - self._used_ms
        first = min(self._in_progress, default=self._next_seq)
        if (
            unused_ms > UNUSED_MS and not self._in_progress
        ) or self._next_seq - first >= MAX_SPAN:
            self._token = None

    def lost(self, token: bytes) -> None:
        """Open a new session before the next request."""
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
            left_ms = end_ms - clock.now_ms()
            if left_ms <= 0:
                return outcomes.NotRun(Reason.EXPIRED)
            try:
                async with asyncio.timeout(left_ms / 1000):
                    token = await self.token()
            except client_lib.RefusedError as exc:
                return outcomes.NotRun(
                    exc.refusal.reason, exc.refusal.retry_after_ms
                )
            except TimeoutError:
                return outcomes.NotRun(Reason.EXPIRED)
            except errors.CallerError:
                return outcomes.NotRun(Reason.NO_SERVER)
            left_ms = max(1, end_ms - clock.now_ms())
            outcome = await self._exchange(token, kind, payload, left_ms)
            match outcome:
                case outcomes.NotRun(reason=Reason.LEAVING):
                    # The proof that it did not run permits a new request.
                    self.lost(token)
                    continue
                case outcomes.Unknown(reason=reason):
                    if reason in _SESSION_LOST:
                        self.lost(token)
                    if idempotent and clock.now_ms() < end_ms:
                        continue
            return outcome

    async def _exchange(
        self, token: bytes, kind: str, payload: bytes, deadline_ms: int
    ) -> outcomes.Outcome:
        client = self._client
        self._next_seq += 1
        seq = self._next_seq
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

        def replied(response: rpc.Response) -> None:
            if response.error is not None:
                return
            reply = msgspec.msgpack.decode(response.result, type=caller.Reply)
            exchange.reply(client.clock.now_ms(), reply)
            if exchange.ack_part is not None:
                ack = caller.Ack(token, seq, exchange.ack_part)
                client.endpoint.notify("ack", ack)
            changed.set()

        msgid = client.endpoint.register(replied)
        try:
            while exchange.outcome is None:
                changed.clear()
                for call in exchange.poll(client.clock.now_ms()):
                    client.endpoint.request(msgid, "call", call)
                if exchange.outcome is not None:
                    break
                wait_ms = exchange.due_ms - client.clock.now_ms()
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
            client.endpoint.release(msgid)

    async def subscribe(
        self, kind: str, *, last_seq: int = 0
    ) -> feed_lib.Feed:
        """Open a feed and return it; iterate over it for its events."""
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
