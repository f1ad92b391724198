"""Stand-in for the platform's store: linearizable, answers in 4 ms."""

import asyncio
import base64
import contextlib
import json
import random
import time
from typing import Any
import urllib.parse

ANSWER_S = 0.004
_PAGE = 500


class Store:
    """Keys, revisions, ranges and watches over HTTP.

    :ivar lags_s: how old a read with `stale_ok` may be: each call is answered
        by one of as many replicas, chosen at random
    """

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.lags_s: tuple[float, ...] = (0.0,)
        self.rng = random.Random(1)
        self._times_s: list[float] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any] | None] = set()

    async def start(self, host: str) -> int:
        """Listen; return the port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        return self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            if task is not None:
                task.cancel()

    def put(self, key: str, value: Any) -> int:
        """Write a key; the return is the confirmation."""
        data = (
            value if isinstance(value, bytes) else json.dumps(value).encode()
        )
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self.items[key] = item
        self._note(item)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note(
                {"key": key, "revision": self.revision, "deleted": True}
            )

    def _note(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        self._times_s.append(time.monotonic())
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                method, target, _ = head.split(b" ", 2)
                status, body = await self._answer(
                    method.decode(), target.decode()
                )
                data = json.dumps(body).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _answer(self, method: str, target: str) -> tuple[int, Any]:
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, True))
        if method != "GET":
            return 400, {}
        if url.path == "/kv-watch":
            return await self._watch(query)
        await asyncio.sleep(ANSWER_S)
        if url.path == "/kv-range":
            items, revision = self.items, self.revision
            if query.get("stale_ok") == "1":
                items, revision = self._state_before(
                    self.rng.choice(self.lags_s)
                )
            found = [
                items[key]
                for key in sorted(items)
                if key.startswith(query.get("prefix", ""))
                and key > query.get("after", "")
            ]
            return 200, {
                "items": found[:_PAGE],
                "has_more": len(found) > _PAGE,
                "store_revision": revision,
            }
        if url.path == "/kv-key":
            item = self.items.get(query.get("key", ""))
            if item is None:
                return 404, {"store_revision": self.revision}
            return 200, {**item, "store_revision": self.revision}
        return 400, {}

    def _state_before(self, lag_s: float) -> tuple[dict[str, Any], int]:
        """Return the items and the revision as they were some time ago."""
        if not lag_s:
            return self.items, self.revision
        end_s = time.monotonic() - lag_s
        items: dict[str, Any] = {}
        revision = 1
        for event, time_s in zip(self.history, self._times_s, strict=True):
            if time_s > end_s:
                break
            revision = event["revision"]
            if event.get("deleted"):
                items.pop(event["key"], None)
            else:
                items[event["key"]] = event
        return items, revision

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(query["wait_ms"]) / 1000
        after = int(query["after"])
        while True:
            changed = self._changed
            events = [
                event
                for event in self.history
                if event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]
            left_s = end_s - loop.time()
            if events or left_s <= 0:
                revision = self.revision
                await asyncio.sleep(ANSWER_S)
                return 200, {"events": events, "store_revision": revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed.wait()
