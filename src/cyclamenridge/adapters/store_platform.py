"""Carries out the core's store effects on the key-value store."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import random
from typing import Any

from cyclamenridge.adapters import instances
import cyclamenridge.config.document as document_lib
import cyclamenridge.errors as errors
from cyclamenridge.node import effects
from cyclamenridge.node import events
from cyclamenridge.ports import platform
from cyclamenridge.ports import store as store_port

_FIRST_PAUSE_MS = 200
_MAX_PAUSE_MS = 5000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Format:
    """Keys and values as the platform stores them."""

    config_key: str
    decode_document: Callable[[bytes], document_lib.Document]
    encode_document: Callable[[document_lib.Document], bytes]


class StorePlatform(platform.Platform):
    """One task per watch and one per call."""

    def __init__(
        self,
        store: store_port.KeyValueStore,
        fmt: Format,
        *,
        rng: random.Random,
        counters: collections.Counter[str],
    ) -> None:
        self._store = store
        self._format = fmt
        self._rng = rng
        self._counters = counters
        self._receiver: platform.Receiver | None = None
        self._watches: list[asyncio.Task[None]] = []
        self._calls: set[asyncio.Task[None]] = set()
        self._reading = False

    def set_receiver(self, receiver: platform.Receiver) -> None:
        """Set who gets the events."""
        self._receiver = receiver

    async def start(self) -> None:
        """Nothing to open: the first call connects."""

    async def stop(self) -> None:
        """End all watches and calls."""
        tasks = [*self._watches, *self._calls]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._store.close()

    def read(self) -> None:
        """Read the configuration document once."""
        if not self._reading:
            self._reading = True
            self._spawn(self._read())

    def watch(self, *, active: bool) -> None:
        """Start or stop watching document and instance list."""
        if active and not self._watches:
            loop = asyncio.get_running_loop()
            self._watches = [
                loop.create_task(self._forever(follow), name="store watch")
                for follow in (self._follow_config, self._follow_instances)
            ]
        elif not active:
            for task in self._watches:
                task.cancel()
            self._watches = []

    def write(self, effect: effects.WriteStore) -> None:
        """Write a document back if its key has not changed."""
        self._spawn(self._write(effect))

    def _spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coro)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    def _emit(self, event: platform.PlatformEvent) -> None:
        assert self._receiver is not None
        self._receiver(event)

    def _failed(self, exc: errors.CyclamenridgeError) -> None:
        self._counters["store_failures"] += 1
        self._emit(events.StoreFailed(str(exc) or type(exc).__name__))

    def _emit_document(self, value: bytes | None, mod_revision: int) -> None:
        document = None
        if value is not None:
            document = self._format.decode_document(value)
        self._emit(events.StoreRead(document, mod_revision))

    async def _read(self) -> None:
        try:
            await self._get_document()
        except errors.CyclamenridgeError as exc:
            self._failed(exc)
        finally:
            self._reading = False

    async def _get_document(self) -> int:
        got = await self._store.get(self._format.config_key)
        if got.entry is None:
            self._emit_document(None, 0)
        else:
            self._emit_document(got.entry.value, got.entry.mod_revision)
        return got.revision

    async def _write(self, effect: effects.WriteStore) -> None:
        try:
            put = await self._store.compare_and_put(
                self._format.config_key,
                self._format.encode_document(effect.document),
                mod_revision=effect.mod_revision,
            )
            if put.written:
                self._emit(events.StoreRead(effect.document, put.revision))
            elif put.current is not None:
                self._emit_document(
                    put.current.value, put.current.mod_revision
                )
        except errors.CyclamenridgeError as exc:
            self._failed(exc)

    async def _forever(
        self, follow: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Watch again after each failure, with full jitter."""
        limit_ms = _FIRST_PAUSE_MS
        loop = asyncio.get_running_loop()
        while True:
            started = loop.time()
            try:
                await follow()
            except errors.CyclamenridgeError as exc:
                self._failed(exc)
            if (loop.time() - started) * 1000 > _MAX_PAUSE_MS:
                limit_ms = _FIRST_PAUSE_MS
            await asyncio.sleep(self._rng.uniform(0, limit_ms) / 1000)
            limit_ms = min(limit_ms * 2, _MAX_PAUSE_MS)

    async def _follow_config(self) -> None:
        revision = await self._get_document()
        watch = self._store.watch(
            self._format.config_key, start_revision=revision + 1
        )
        async for batch in watch:
            for change in batch.changes:
                self._emit_document(change.value, change.mod_revision)

    async def _follow_instances(self) -> None:
        got = await self._store.range(instances.PREFIX)
        entries = {entry.key: entry for entry in got.entries}
        self._emit_instances(entries)
        watch = self._store.watch(
            instances.PREFIX, start_revision=got.revision + 1, prefix=True
        )
        async for batch in watch:
            for change in batch.changes:
                if change.value is None:
                    entries.pop(change.key, None)
                else:
                    entries[change.key] = store_port.KeyValue(
                        change.key, change.value, change.mod_revision
                    )
            if batch.changes:
                self._emit_instances(entries)

    def _emit_instances(self, entries: dict[str, store_port.KeyValue]) -> None:
        listed = instances.decode(entries.values())
        self._counters["instances_malformed"] += listed.refused
        self._emit(events.InstancesListed(listed.instances))
