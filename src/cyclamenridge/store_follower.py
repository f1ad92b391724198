"""Keeps configuration and backend servers in sync with the store."""

import asyncio
from collections.abc import Callable
import random

from cyclamenridge import clock as clock_lib
from cyclamenridge import errors
from cyclamenridge.flow import core as core_lib
from cyclamenridge.flow import directory
from cyclamenridge.flow import log as log_port
from cyclamenridge.flow import position as position_lib
from cyclamenridge.flow import routes
from cyclamenridge.ports import component
from cyclamenridge.ports import records as records_port
from cyclamenridge.ports import store as store_port

_INITIAL_BACKOFF_MS = 100
_MAX_BACKOFF_MS = 1500
# A process that cannot place flows is of no use until the store answers.
_MAX_BACKOFF_WITHOUT_STATE_MS = 300
# After a pause no request starts for reachability.RESUME_SETTLE_MS. The
# changes made meanwhile have to be read in this time.
_RESUME_BACKOFF_MS = 10
# Limits the length of a line of the log.
MAX_LOGGED_NAMES = 20


class StoreFollower(component.Component):
    """Reads all keys once, then applies the changes of a watch."""

    def __init__(
        self,
        store: store_port.KeyValueStore,
        records: records_port.RecordDecoder,
        core: core_lib.FlowCore,
        *,
        clock: clock_lib.Clock,
        rng: random.Random,
        log: log_port.FlowLog,
        coalesce_ms: int,
        on_update: Callable[[], None],
    ) -> None:
        self._store = store
        self._records = records
        self._core = core
        self._clock = clock
        self._rng = rng
        self._log = log
        self._coalesce_ms = coalesce_ms
        self._on_update = on_update
        self._task: asyncio.Task[None] | None = None
        # Whether the store answered since the last failure.
        self._has_answer = False
        # Epoch of the last complete read. A peer may tell of a later one.
        self._read_epoch = 0
        # Whether the newest configuration that the store returned is valid.
        self._is_config_valid = True

    async def start(self) -> None:
        """Start the task that reads and watches the store."""
        self._task = asyncio.get_running_loop().create_task(
            self._run(), name="store"
        )

    async def stop(self) -> None:
        """Cancel the task and close the connections to the store."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._store.close()

    async def _run(self) -> None:
        backoff_ms = _INITIAL_BACKOFF_MS
        stale = True
        needs_read = True
        while True:
            try:
                if needs_read or self._knows_later_epoch():
                    await self._read_all(stale=stale)
                    needs_read = stale = False
                await self._watch()
            except store_port.WatchLostError as exc:
                self._note_store_failure("store_history_lost", exc)
                # A stale read might miss the changes that the watch lost.
                stale = False
                needs_read = True
            except errors.StoreError as exc:
                self._note_store_failure("store_lost", exc)
            if not needs_read:
                # A read without a confirmation is better than no state.
                self._on_update()
            if self._has_answer:
                self._has_answer = False
                backoff_ms = _INITIAL_BACKOFF_MS
            await asyncio.sleep(self._retry_delay_ms(backoff_ms) / 1000)
            backoff_ms = min(backoff_ms * 2, self._max_backoff_ms())

    def _knows_later_epoch(self) -> bool:
        """Return whether a peer told of an epoch that was not read here.

        The peer may have listed servers that it takes for gone since then.
        """
        return self._core.directory.position.epoch > self._read_epoch

    def _retry_delay_ms(self, backoff_ms: float) -> float:
        now_ms = self._clock.now_ms()
        self._core.reachability.record_activity(now_ms)
        if self._core.reachability.is_resuming(now_ms):
            return _RESUME_BACKOFF_MS
        return self._rng.uniform(backoff_ms / 2, backoff_ms)

    def _max_backoff_ms(self) -> int:
        if self._core.can_place_flows:
            return _MAX_BACKOFF_MS
        return _MAX_BACKOFF_WITHOUT_STATE_MS

    async def _read_all(self, *, stale: bool) -> None:
        asked_ms = self._clock.now_ms()
        result = await self._store.range("", stale=stale)
        known = self._core.directory.position
        position = position_lib.Position(
            result.epoch or known.epoch, result.revision
        )
        if position.epoch < known.epoch:
            raise store_port.WatchLostError(
                f"the store answered from epoch {position.epoch} after "
                f"{known.epoch}"
            )
        self._note_store_answer()
        self._read_epoch = position.epoch
        server_entries = []
        orders = {}
        refused = []
        for entry in result.entries:
            if self._records.is_config(entry.key):
                self._apply_config(
                    entry.value, position.epoch, is_current=not stale
                )
            elif self._records.is_evacuation(entry.key):
                domain = self._records.evacuated_domain(entry.key)
                orders[domain] = position_lib.Position(
                    position.epoch, entry.mod_revision
                )
            elif self._records.is_server(entry.key):
                server_entry = self._decode_server_entry(
                    entry.key,
                    entry.value,
                    position_lib.Position(position.epoch, entry.mod_revision),
                )
                if server_entry is None:
                    refused.append(self._records.server_name(entry.key))
                else:
                    server_entries.append(server_entry)
        now_ms = self._clock.now_ms()
        listing = self._core.directory.replace(
            now_ms, position, server_entries
        )
        for name in refused:
            self._core.directory.remove(now_ms, name, position)
        self._core.directory.evacuations.replace(
            now_ms, position, orders, source="store"
        )
        if not stale:
            self._confirm_config(asked_ms)
        self._settle(now_ms, asked_ms)
        self._core.counters["store_reads"] += 1
        self._core.counters["entries_held"] += len(listing.held)
        self._log.process_event(
            "store_read",
            epoch=position.epoch,
            revision=position.revision,
            known_epoch=known.epoch,
            known_revision=known.revision,
            stale=stale,
            servers=len(server_entries),
            evacuations=len(orders),
            put=listing.put[:MAX_LOGGED_NAMES],
            removed=listing.removed[:MAX_LOGGED_NAMES],
            held=listing.held[:MAX_LOGGED_NAMES],
        )

    async def _watch(self) -> None:
        evacuations = self._core.directory.evacuations
        # A peer's snapshot may bring servers and leave out orders.
        start = min(self._core.directory.position, evacuations.position)
        batches = self._store.watch(
            "",
            start_revision=start.revision + 1,
            prefix=True,
            epoch=start.epoch,
        )
        is_confirmed = False
        asked_ms = self._clock.now_ms()
        async for batch in batches:
            self._note_store_answer()
            now_ms = self._clock.now_ms()
            if self._knows_later_epoch():
                raise store_port.WatchLostError(
                    f"a peer knows a later epoch than {start.epoch}"
                )
            for change in batch.changes:
                self._apply_change(now_ms, change, start.epoch)
            position = position_lib.Position(start.epoch, batch.revision)
            self._core.directory.advance(position)
            evacuations.advance(position)
            self._confirm_config(asked_ms)
            self._settle(now_ms, asked_ms)
            if batch.changes or not is_confirmed:
                # A stale read may list servers that have left. The first
                # batch brings what has changed since.
                self._on_update()
            is_confirmed = True
            if batch.changes:
                await asyncio.sleep(self._coalesce_ms / 1000)
            asked_ms = self._clock.now_ms()

    def _settle(self, now_ms: int, asked_ms: int) -> None:
        """Apply what was held for long enough.

        :param asked_ms: when the store was asked; after a pause its answer
            may be as old as that
        """
        self._core.reachability.record_activity(now_ms)
        if self._core.reachability.has_paused_since(asked_ms):
            return
        names = self._core.directory.settle(now_ms)
        if names:
            self._log.process_event(
                "held_entries_applied", servers=names[:MAX_LOGGED_NAMES]
            )

    def _apply_change(
        self, now_ms: int, change: store_port.Change, epoch: int
    ) -> None:
        position = position_lib.Position(epoch, change.mod_revision)
        if self._records.is_config(change.key):
            if change.value is not None:
                self._apply_config(change.value, epoch)
        elif self._records.is_evacuation(change.key):
            evacuations = self._core.directory.evacuations
            apply = (
                evacuations.withdraw
                if change.value is None
                else evacuations.order
            )
            domain = self._records.evacuated_domain(change.key)
            apply(now_ms, domain, position, source="store")
        elif self._records.is_server(change.key):
            name = self._records.server_name(change.key)
            if change.value is None:
                if self._core.directory.remove(now_ms, name, position):
                    self._log.process_event(
                        "server_removed",
                        server=name,
                        revision=change.mod_revision,
                    )
                return
            server_entry = self._decode_server_entry(
                change.key, change.value, position
            )
            if server_entry is None:
                self._core.directory.remove(now_ms, name, position)
            elif self._core.directory.put(now_ms, server_entry):
                self._log.process_event(
                    "server_listed",
                    server=name,
                    service=server_entry.service,
                    state=server_entry.state.value,
                    failure_domain=server_entry.failure_domain,
                    warmup_ms=server_entry.warmup_ms,
                    revision=server_entry.revision,
                )

    def _decode_server_entry(
        self, key: str, value: bytes, position: position_lib.Position
    ) -> directory.ServerEntry | None:
        try:
            return self._records.decode_server(
                key, value, position.revision, epoch=position.epoch
            )
        except errors.StoreError as exc:
            self._core.counters["entries_refused"] += 1
            self._log.process_event("entry_refused", key=key, error=str(exc))
            return None

    def _confirm_config(self, asked_ms: int) -> None:
        """Record that the newest configuration is in force.

        :param asked_ms: when the store was asked
        """
        if self._is_config_valid:
            self._core.confirm_configuration(asked_ms)

    def _apply_config(
        self, value: bytes, epoch: int, *, is_current: bool = True
    ) -> None:
        try:
            table: routes.RouteTable = self._records.decode_config(
                value, epoch=epoch
            )
        except errors.ConfigError as exc:
            self._is_config_valid = False
            self._core.counters["configurations_refused"] += 1
            self._log.process_event("configuration_refused", error=str(exc))
            return
        self._is_config_valid = True
        if self._core.configure(table, is_current=is_current):
            self._log.process_event(
                "configured",
                version=table.version,
                epoch=epoch,
                routes=len(table.routes),
            )

    def _note_store_answer(self) -> None:
        self._has_answer = True
        if self._core.record_store_answer(self._clock.now_ms()):
            self._log.process_event("store_regained")

    def _note_store_failure(self, event: str, exc: errors.StoreError) -> None:
        self._core.counters["store_failures"] += 1
        if self._core.record_store_failure():
            self._log.process_event(event, error=str(exc))
