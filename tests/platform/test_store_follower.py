import asyncio
import contextlib
import itertools
import json
import random
import time

import pytest

from cyclamenridge import clock as clock_lib
import cyclamenridge.errors as errors
from cyclamenridge.flow import effects
from cyclamenridge.flow import reachability
from cyclamenridge.platform import records
from cyclamenridge.ports import store as store_port
import cyclamenridge.store_follower as store_follower
from tests.flow import builders
from tests.flow import store_history
from tests.standins import read_only_store
from tests.standins import waiting

CONFIG = {
    "version": 4,
    "routes": [],
    "services": [{"name": "counter"}],
    "limits": {"idle_timeout_ms": 15_000},
}


def server_value(state="ready"):
    return json.dumps(
        {
            "service": "counter",
            "address": "10.0.0.1:80",
            "zone": "bne",
            "slots": 2,
            "state": state,
            "warmup_left_ms": 0,
        }
    ).encode()


class ScriptedStore(read_only_store.ReadOnlyStore):
    """Store whose reads and watch batches are given in advance.

    :ivar reads: results of ``range``, or the error to raise
    :ivar batches: queue of batches of watches, or of errors to raise
    """

    def __init__(self, *reads):
        self.reads = list(reads)
        self.read_times = []
        self.stale_reads = 0
        self.batches = asyncio.Queue()

    async def range(self, prefix, *, stale=False):
        self.read_times.append(time.monotonic())
        self.stale_reads += stale
        result = self.reads.pop(0) if len(self.reads) > 1 else self.reads[0]
        if isinstance(result, Exception):
            raise result
        return result

    async def watch(self, key, *, start_revision, prefix=False, epoch=0):
        while True:
            item = await self.batches.get()
            if isinstance(item, Exception):
                raise item
            yield item


def state_at(revision):
    return store_port.RangeResult(
        revision,
        (
            store_port.KeyValue("op/config", json.dumps(CONFIG).encode(), 2),
            store_port.KeyValue("servers/i-1", server_value(), 3),
        ),
    )


@contextlib.asynccontextmanager
async def running_follower(store, clock=None):
    """Yield a core and the number of servers at each update."""
    core = builders.make_core(config=None)
    updates = []
    follower = store_follower.StoreFollower(
        store,
        records.PlatformRecordDecoder(),
        core,
        clock=clock or clock_lib.MonotonicClock(),
        rng=random.Random(1),
        log=builders.ListLog(),
        coalesce_ms=1,
        on_update=lambda: updates.append(
            len(core.directory.ready_servers("counter"))
        ),
    )
    await follower.start()
    try:
        yield core, updates
    finally:
        await follower.stop()


def test_a_start_from_a_stale_read_serves_after_the_changes_since():
    """A server that had left was in use again after a restart."""

    async def run():
        store = ScriptedStore(state_at(5))
        async with running_follower(store) as (core, updates):
            await asyncio.sleep(0.05)
            assert updates == [], "the read may be seconds old"
            drained = store_port.Change(
                "servers/i-1", server_value("draining"), 7
            )
            store.batches.put_nowait(store_port.WatchBatch(7, (drained,)))
            await asyncio.sleep(0.05)
            assert updates == [0]
            assert core.directory.position.revision == 7

    asyncio.run(run())


def test_a_stale_read_is_used_when_the_store_fails_before_the_watch():
    async def run():
        store = ScriptedStore(state_at(5))
        async with running_follower(store) as (core, updates):
            store.batches.put_nowait(errors.StoreUnavailableError("down"))
            await asyncio.sleep(0.05)
            assert updates[0] == 1
            assert core.can_place_flows
            assert core.store_lost

    asyncio.run(run())


def test_a_process_without_state_reads_often():
    """Its back-off once slept over the return of the store."""

    async def run():
        store = ScriptedStore(errors.StoreUnavailableError("down"))
        async with running_follower(store):
            await asyncio.sleep(2)
        times = store.read_times
        gaps = [b - a for a, b in itertools.pairwise(times)]
        assert max(gaps) < 0.4

    asyncio.run(run())


def test_the_back_off_starts_anew_after_a_watch_that_worked():
    """It only did so after a read, so that later failures waited longer."""

    async def run():
        store = ScriptedStore(state_at(5))
        async with running_follower(store) as (core, _):
            for _ in range(6):
                store.batches.put_nowait(store_port.WatchBatch(5, ()))
                store.batches.put_nowait(errors.StoreUnavailableError("cut"))
            await asyncio.sleep(1.5)
            assert store.batches.empty()
            assert core.directory.position.revision == 5

    asyncio.run(run())


def test_an_answer_of_the_lost_history_is_not_applied():
    async def run():
        newer = store_port.RangeResult(9, state_at(9).entries, epoch=2)
        older = store_port.RangeResult(50, (), epoch=1)
        store = ScriptedStore(newer, older, newer)
        async with running_follower(store) as (core, _):
            store.batches.put_nowait(store_port.WatchLostError("compacted"))
            await asyncio.sleep(0.05)
            assert core.directory.position == builders.at(9, 2)
            await waiting.until(lambda: len(store.read_times) == 3)
            assert core.directory.position == builders.at(9, 2)
            assert len(core.directory.ready_servers("counter")) == 1

    asyncio.run(run())


def test_changes_of_the_lost_history_are_not_applied():
    """A peer may tell of a restore before the own watch ends."""

    async def run():
        store = ScriptedStore(
            store_port.RangeResult(5, state_at(5).entries, epoch=1)
        )
        async with running_follower(store) as (core, _):
            await asyncio.sleep(0.05)
            core.directory.advance(builders.at(3, 2))
            lost = store_port.Change("servers/i-9", server_value(), 6)
            store.batches.put_nowait(store_port.WatchBatch(6, (lost,), 1))
            await asyncio.sleep(0.05)
            assert core.directory.get("i-9") is None
            assert core.directory.position == builders.at(3, 2)

    asyncio.run(run())


def test_an_entry_of_the_restored_store_that_cannot_be_read_names_no_server():
    async def run():
        store = ScriptedStore(
            store_port.RangeResult(5, state_at(5).entries, epoch=1),
            store_port.RangeResult(
                4, (store_port.KeyValue("servers/i-1", b"\xff", 4),), epoch=2
            ),
        )
        async with running_follower(store) as (core, _):
            await asyncio.sleep(0.05)
            assert core.directory.ready_servers("counter")
            store.batches.put_nowait(store_port.WatchLostError("restored"))
            await waiting.until(
                lambda: not core.directory.ready_servers("counter"),
                timeout_s=1,
            )

    asyncio.run(run())


def test_a_process_that_learnt_of_a_restore_from_a_peer_reads_the_store():
    """A server that the peer took for gone later stayed listed for ever."""

    async def run():
        store = ScriptedStore(
            store_port.RangeResult(5, state_at(5).entries, epoch=1),
            store_port.RangeResult(4, (), epoch=2),
        )
        async with running_follower(store) as (core, _):
            await asyncio.sleep(0.05)
            store.batches.put_nowait(errors.StoreUnavailableError("cut"))
            core.directory.replace(0, builders.at(4, 2), [])
            await waiting.until(lambda: len(store.read_times) == 2)
            assert core.directory.position == builders.at(4, 2)
            # A stale one may list servers whose removal is not told again.
            assert store.stale_reads == 1

    asyncio.run(run())


def state_in_epoch(epoch, state):
    entry = store_port.KeyValue("servers/i-1", server_value(state), 3)
    return store_port.RangeResult(5, (entry,), epoch)


def test_an_answer_from_before_a_pause_confirms_nothing():
    """A process that had been paused acted on a time that had run out."""

    async def run():
        clock = clock_lib.ManualClock(1000)
        store = ScriptedStore(
            state_in_epoch(1, "draining"), state_in_epoch(2, "ready")
        )
        async with running_follower(store, clock) as (core, _):
            await asyncio.sleep(0.05)
            store.batches.put_nowait(store_port.WatchLostError("restored"))
            await waiting.until(lambda: len(store.read_times) == 2)
            await asyncio.sleep(0.05)
            core.reachability.record_activity(clock.now_ms())
            clock.advance(60_000)
            store.batches.put_nowait(store_port.WatchBatch(5, (), 2))
            await asyncio.sleep(0.05)
            assert not core.directory.ready_servers("counter")
            core.reachability.record_activity(clock.advance(100))
            store.batches.put_nowait(store_port.WatchBatch(5, (), 2))
            await asyncio.sleep(0.05)
            assert core.directory.ready_servers("counter")

    asyncio.run(run())


def test_a_store_that_stops_telling_its_epoch_is_still_followed():
    async def run():
        store = ScriptedStore(
            state_in_epoch(1, "ready"),
            store_port.RangeResult(
                7,
                (store_port.KeyValue("servers/i-1", server_value(), 7),),
            ),
        )
        async with running_follower(store) as (core, _):
            await asyncio.sleep(0.05)
            store.batches.put_nowait(store_port.WatchLostError("compacted"))
            await waiting.until(
                lambda: core.directory.position == builders.at(7, 1)
            )

    asyncio.run(run())


ORDER_KEY = "op/evacuate/bne"


def state_with_order(revision, epoch=0, value=b"{}"):
    order = store_port.KeyValue(ORDER_KEY, value, revision - 1)
    entries = (*state_at(revision).entries, order)
    return store_port.RangeResult(revision, entries, epoch)


def order_change(revision, value=b"{}"):
    return store_port.Change(ORDER_KEY, value, revision)


def ready(core):
    return len(core.directory.ready_servers("counter"))


def test_orders_are_read_and_watched():
    async def run():
        store = ScriptedStore(state_with_order(5))
        async with running_follower(store) as (core, updates):
            store.batches.put_nowait(
                store_port.WatchBatch(6, (order_change(6, None),))
            )
            await waiting.until(lambda: updates == [1])
            store.batches.put_nowait(
                store_port.WatchBatch(7, (order_change(7),))
            )
            await waiting.until(lambda: updates == [1, 0])
            assert core.directory.evacuations.position == builders.at(7)

    asyncio.run(run())


def test_an_order_after_a_stale_read_binds_before_the_process_serves():
    """A restarted process opened flows in an evacuated domain."""

    async def run():
        store = ScriptedStore(state_at(5))
        async with running_follower(store) as (_, updates):
            store.batches.put_nowait(
                store_port.WatchBatch(6, (order_change(6),))
            )
            await waiting.until(lambda: updates)
            assert updates == [0]
            assert store.stale_reads == 1

    asyncio.run(run())


def test_the_value_of_an_order_does_not_matter():
    async def run():
        store = ScriptedStore(state_with_order(5, value=b"\xff"))
        async with running_follower(store) as (core, _):
            await asyncio.sleep(0.05)
            assert core.directory.evacuations.domains() == ["bne"]
            store.batches.put_nowait(
                store_port.WatchBatch(6, (order_change(6, b""),))
            )
            await asyncio.sleep(0.05)
            assert core.directory.evacuations.domains() == ["bne"]
            assert core.counters["entries_refused"] == 0

    asyncio.run(run())


@pytest.mark.parametrize("is_ordered", [False, True])
def test_changes_of_orders_in_a_gap_of_the_watch_take_effect(is_ordered):
    async def run():
        states = [state_with_order(5), state_at(9)]
        if is_ordered:
            states = [state_at(5), state_with_order(9)]
        store = ScriptedStore(*states)
        async with running_follower(store) as (core, _):
            await asyncio.sleep(0.05)
            assert ready(core) == is_ordered
            store.batches.put_nowait(store_port.WatchLostError("compacted"))
            await waiting.until(lambda: ready(core) != is_ordered)

    asyncio.run(run())


def test_an_order_stays_in_force_while_the_store_is_silent():
    async def run():
        store = ScriptedStore(state_at(5))
        async with running_follower(store) as (core, _):
            store.batches.put_nowait(
                store_port.WatchBatch(6, (order_change(6),))
            )
            store.batches.put_nowait(errors.StoreUnavailableError("down"))
            await waiting.until(lambda: core.store_lost)
            assert ready(core) == 0

    asyncio.run(run())


class RecordingStore(ScriptedStore):
    """Scripted store.

    :ivar starts: first revisions of the watches
    """

    def __init__(self, *reads):
        super().__init__(*reads)
        self.starts = []

    def watch(self, key, *, start_revision, prefix=False, epoch=0):
        self.starts.append(start_revision)
        return super().watch(
            key, start_revision=start_revision, prefix=prefix, epoch=epoch
        )


def test_the_watch_brings_orders_that_a_snapshot_did_not_tell():
    """A peer of an older version tells of servers and not of orders."""

    async def run():
        store = RecordingStore(state_at(5))
        async with running_follower(store) as (core, _):
            await asyncio.sleep(0.05)
            core.directory.replace(
                0, builders.at(30), [server.entry for server in core.directory]
            )
            store.batches.put_nowait(errors.StoreUnavailableError("cut"))
            await waiting.until(lambda: len(store.starts) == 2)
            assert store.starts == [6, 6]
            store.batches.put_nowait(
                store_port.WatchBatch(30, (order_change(20),))
            )
            await waiting.until(lambda: ready(core) == 0)

    asyncio.run(run())


def test_an_order_in_a_restored_copy_is_confirmed_by_the_watch():
    """It is held after a known withdrawal, then it is in force."""

    async def run():
        clock = clock_lib.ManualClock(1000)
        store = ScriptedStore(
            state_with_order(5, epoch=1), state_with_order(5, epoch=2)
        )
        async with running_follower(store, clock) as (core, _):
            store.batches.put_nowait(
                store_port.WatchBatch(6, (order_change(6, None),), 1)
            )
            store.batches.put_nowait(store_port.WatchLostError("restored"))
            await waiting.until(lambda: len(store.read_times) == 2)
            await asyncio.sleep(0.05)
            assert ready(core) == 1
            for _ in range(70):
                core.reachability.record_activity(clock.advance(100))
            store.batches.put_nowait(store_port.WatchBatch(5, (), 2))
            store.batches.put_nowait(store_port.WatchBatch(5, (), 2))
            await waiting.until(lambda: ready(core) == 0)

    asyncio.run(run())


def test_a_process_whose_watch_broke_in_a_pause_reads_before_it_starts():
    """SYNs waited for less time than the back-off took."""
    loop = store_history.VirtualLoop()

    async def run():
        clock = store_history.LoopClock(loop)
        store = RecordingStore(state_at(5))
        async with running_follower(store, clock) as (core, _):
            await asyncio.sleep(0.05)
            core.reachability.record_activity(clock.now_ms())
            loop.pause(30)
            resumed_ms = clock.now_ms()
            store.batches.put_nowait(errors.StoreUnavailableError("cut"))
            await waiting.until(lambda: len(store.starts) == 2)
            elapsed_ms = clock.now_ms() - resumed_ms
            assert elapsed_ms < reachability.RESUME_SETTLE_MS

    loop.run_until_complete(run())
    loop.close()


@pytest.mark.parametrize(
    ("config", "is_reset"), [(None, True), (b"{", False), (b"{}", False)]
)
def test_a_batch_of_the_watch_confirms_a_configuration(config, is_reset):
    """A stale read, or an unreadable configuration, proves no route gone."""

    async def run():
        store = ScriptedStore(state_at(5))
        clock = clock_lib.ManualClock()
        async with running_follower(store, clock) as (core, _):

            def has_applied(revision):
                return core.directory.position.revision == revision

            await waiting.until(lambda: has_applied(5))
            flow = builders.Flow(core, port=9999)
            flow.token = 1
            assert builders.forwards(flow.request(clock.advance(10)))
            clock.advance(10)
            store.batches.put_nowait(store_port.WatchBatch(6, ()))
            await waiting.until(lambda: has_applied(6))
            # The call that this batch answers was made before the packet.
            assert builders.forwards(flow.request(clock.advance(10)))
            changes = ()
            if config is not None:
                changes = (store_port.Change("op/config", config, 7),)
            store.batches.put_nowait(store_port.WatchBatch(7, changes))
            await waiting.until(lambda: has_applied(7))
            out = flow.request(clock.advance(10))
            assert (out == effects.RESET) is is_reset

    asyncio.run(run())
