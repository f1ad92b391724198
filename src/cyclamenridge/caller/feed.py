"""Caller library: feeds of events that survive the loss of a balancer."""

import asyncio
from collections.abc import AsyncIterator
import logging
from typing import Protocol

from cyclamenridge.caller import client as client_lib
from cyclamenridge.caller import outcomes
from cyclamenridge.caller import reorder as reorder_lib
import cyclamenridge.errors as errors
from cyclamenridge.wire import caller

KEEPALIVE_MS = 2000
_SUBSCRIBE_TIMEOUT_MS = 10_000
# A feed without an answered keepalive for this time is opened again, as the
# server of its flow and all balancers that know the flow are unreachable then.
_KEEPALIVE_TIMEOUT_MS = 15_000
_FIRST_RETRY_MS = 300
_MAX_RETRY_MS = 5000
_GAP_POLL_MS = 500

Reason = outcomes.Reason


class TokenSource(Protocol):
    """Interface of a session that a feed needs."""

    async def token(self) -> bytes:
        """Return a valid session token."""

    def invalidate(self, token: bytes) -> None:
        """Discard a token, so that a new session is opened for the next."""


class Feed:
    """Feed that yields its events in order and without duplicates.

    :ivar break_count: number of flows that ended on their server
    """

    def __init__(
        self,
        client: client_lib.Client,
        session: TokenSource,
        kind: str,
        *,
        last_seq: int = 0,
    ) -> None:
        self.kind = kind
        self.feed_id = 0
        self.break_count = 0
        self._client = client
        self._session = session
        self._reorder_buffer = reorder_lib.ReorderBuffer(last_seq)
        self._token = b""
        self._items: asyncio.Queue[outcomes.FeedItem] = asyncio.Queue()
        self._task: asyncio.Task[None] | None = None

    @property
    def last_seq(self) -> int:
        """Sequence number of the last event that was delivered."""
        return self._reorder_buffer.last_seq

    async def start(self) -> None:
        """Open the feed and keep it alive."""
        await self._subscribe()
        self._task = asyncio.get_running_loop().create_task(
            self._keepalive_loop(), name=f"feed {self.kind}"
        )

    async def __aiter__(self) -> AsyncIterator[outcomes.FeedItem]:
        while True:
            yield await self._items.get()

    async def next(self) -> outcomes.FeedItem:
        """Return the next item."""
        return await self._items.get()

    async def close(self) -> None:
        """End the feed."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._client.endpoint.remove_event_handler(self.feed_id)
        if self._token:
            self._client.endpoint.notify_twice(
                "close", caller.Close(self._token)
            )

    async def _subscribe(self) -> None:
        nonce = self._client.new_nonce()
        while True:
            token = await self._session.token()
            params = caller.Subscribe(
                token, self.kind, nonce, self._reorder_buffer.last_seq
            )
            try:
                grant = await self._client.request(
                    "subscribe",
                    params,
                    caller.FeedGrant,
                    timeout_ms=_SUBSCRIBE_TIMEOUT_MS,
                )
                break
            except client_lib.RefusedError as exc:
                reason = exc.refusal.reason
                if reason in (Reason.LEAVING, Reason.OWNER_LOST):
                    self._session.invalidate(token)
                elif not exc.refusal.retry_after_ms:
                    raise
                await asyncio.sleep(max(exc.refusal.retry_after_ms, 50) / 1000)
        self._token = grant.token
        self.feed_id = grant.feed_id
        self._client.endpoint.add_event_handler(
            grant.feed_id, self._handle_event
        )

    def _handle_event(self, event: caller.Event) -> None:
        now_ms = self._client.clock.now_ms()
        for item in self._reorder_buffer.add(now_ms, event.seq, event.payload):
            self._items.put_nowait(item)

    async def _keepalive_loop(self) -> None:
        last_keepalive_ms = self._client.clock.now_ms()
        while True:
            for item in self._reorder_buffer.poll(self._client.clock.now_ms()):
                self._items.put_nowait(item)
            now_ms = self._client.clock.now_ms()
            wait_ms = max(0, last_keepalive_ms + KEEPALIVE_MS - now_ms)
            if self._reorder_buffer.has_gap:
                wait_ms = min(wait_ms, _GAP_POLL_MS)
            await asyncio.sleep(wait_ms / 1000)
            last_keepalive_ms = self._client.clock.now_ms()
            reason = await self._send_keepalive()
            if reason is not None:
                await self._reopen(reason)

    async def _send_keepalive(self) -> Reason | None:
        """Send a keepalive; return why the flow ended, None if it goes on."""
        deadline_ms = self._client.clock.now_ms() + _KEEPALIVE_TIMEOUT_MS
        reason = Reason.NONE
        while self._client.clock.now_ms() < deadline_ms:
            params = caller.Keepalive(
                self._token, self._reorder_buffer.last_seq
            )
            try:
                grant = await self._client.request(
                    "keepalive",
                    params,
                    caller.FeedGrant,
                    timeout_ms=KEEPALIVE_MS,
                )
            except client_lib.RefusedError as exc:
                reason = exc.refusal.reason
                if not exc.refusal.retry_after_ms:
                    return reason
                await asyncio.sleep(exc.refusal.retry_after_ms / 1000)
            except errors.CallerError:
                continue
            else:
                self._token = grant.token
                return None
        return reason

    async def _reopen(self, reason: Reason) -> None:
        self.break_count += 1
        self._client.endpoint.remove_event_handler(self.feed_id)
        self._items.put_nowait(outcomes.FeedBroken(reason))
        self._reorder_buffer = reorder_lib.ReorderBuffer()
        pause_ms = _FIRST_RETRY_MS
        while True:
            try:
                await self._subscribe()
                return
            except errors.CallerError as exc:
                logging.debug("subscribing failed, retrying: %s", exc)
                await asyncio.sleep(
                    pause_ms * self._client.rng.uniform(0.5, 1) / 1000
                )
                pause_ms = min(pause_ms * 2, _MAX_RETRY_MS)
