"""Carries out the store effects of the core on the key-value store."""

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

_INITIAL_BACKOFF_MS = 200
_MAX_BACKOFF_MS = 5000


@dataclasses.dataclass(frozen=True, kw_only=True)
class DocumentFormat:
    """Key and encoding of the configuration document in the store."""

    config_key: str
    decode_document: Callable[[bytes], document_lib.Document]
    encode_document: Callable[[document_lib.Document], bytes]


class StorePlatform(platform.Platform):
    """Runs one task per watch and one per call."""

    def __init__(
        self,
        store: store_port.KeyValueStore,
        fmt: DocumentFormat,
        *,
        rng: random.Random,
        counters: collections.Counter[str],
    ) -> None:
        self._store = store
        self._format = fmt
        self._rng = rng
        self._counters = counters
        self._receiver: platform.Receiver | None = None
        self._watch_tasks: list[asyncio.Task[None]] = []
        self._call_tasks: set[asyncio.Task[None]] = set()
        self._read_in_progress = False

    def set_receiver(self, receiver: platform.Receiver) -> None:
        """Set the callback for the events."""
        self._receiver = receiver

    async def start(self) -> None:
        """Do nothing: the first call connects."""

    async def stop(self) -> None:
        """Cancel all watches and calls and close the store client."""
        tasks = [*self._watch_tasks, *self._call_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._store.close()

    def read(self) -> None:
        """Read the configuration document once."""
        if not self._read_in_progress:
            self._read_in_progress = True
            self._spawn(self._read_config())

    def watch(self, *, active: bool) -> None:
        """Start or stop watching the document and the instance list."""
        if active and not self._watch_tasks:
            loop = asyncio.get_running_loop()
            self._watch_tasks = [
                loop.create_task(
                    self._retry_forever(follow), name="store watch"
                )
                for follow in (self._follow_config, self._follow_instances)
            ]
        elif not active:
            for task in self._watch_tasks:
                task.cancel()
            self._watch_tasks = []

    def write(self, effect: effects.WriteStore) -> None:
        """Write a document back if its key has not changed."""
        self._spawn(self._write_config(effect))

    def _spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coro)
        self._call_tasks.add(task)
        task.add_done_callback(self._call_tasks.discard)

    def _emit(self, event: platform.PlatformEvent) -> None:
        assert self._receiver is not None
        self._receiver(event)

    def _report_failure(self, exc: errors.CyclamenridgeError) -> None:
        self._counters["store_failures"] += 1
        self._emit(events.StoreFailed(str(exc) or type(exc).__name__))

    def _emit_document(self, value: bytes | None, mod_revision: int) -> None:
        document = None
        if value is not None:
            document = self._format.decode_document(value)
        self._emit(events.StoreRead(document, mod_revision, value))

    async def _read_config(self) -> None:
        try:
            await self._read_document()
        except errors.CyclamenridgeError as exc:
            self._report_failure(exc)
        finally:
            self._read_in_progress = False

    async def _read_document(self) -> int:
        result = await self._store.get(self._format.config_key)
        if result.entry is None:
            self._emit_document(None, 0)
        else:
            self._emit_document(result.entry.value, result.entry.mod_revision)
        return result.revision

    async def _write_config(self, effect: effects.WriteStore) -> None:
        try:
            value = self._format.encode_document(effect.document)
            result = await self._store.compare_and_put(
                self._format.config_key,
                value,
                mod_revision=effect.mod_revision,
                previous_value=effect.previous_value,
            )
            if result.written:
                self._emit(
                    events.StoreRead(effect.document, result.revision, value)
                )
            elif result.current is not None:
                self._emit_document(
                    result.current.value, result.current.mod_revision
                )
        except errors.CyclamenridgeError as exc:
            self._report_failure(exc)

    async def _retry_forever(
        self, follow: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        """Restart a watch when it ends; exponential back-off, full jitter."""
        backoff_ms = _INITIAL_BACKOFF_MS
        loop = asyncio.get_running_loop()
        while True:
            started_s = loop.time()
            try:
                await follow()
            except errors.CyclamenridgeError as exc:
                self._report_failure(exc)
            if (loop.time() - started_s) * 1000 > _MAX_BACKOFF_MS:
                backoff_ms = _INITIAL_BACKOFF_MS
            await asyncio.sleep(self._rng.uniform(0, backoff_ms) / 1000)
            backoff_ms = min(backoff_ms * 2, _MAX_BACKOFF_MS)

    async def _follow_config(self) -> None:
        revision = await self._read_document()
        watch = self._store.watch(
            self._format.config_key, start_revision=revision + 1
        )
        async for batch in watch:
            for change in batch.changes:
                self._emit_document(change.value, change.mod_revision)

    async def _follow_instances(self) -> None:
        result = await self._store.range(instances.PREFIX)
        entries = {entry.key: entry for entry in result.entries}
        self._emit_instances(entries)
        watch = self._store.watch(
            instances.PREFIX, start_revision=result.revision + 1, prefix=True
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
        instance_list = instances.decode(entries.values())
        self._counters["instances_malformed"] += instance_list.malformed_count
        self._emit(events.InstancesListed(instance_list.instances))
