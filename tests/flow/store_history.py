"""Processes, servers and an operator around a store that goes back.

Everything runs on one event loop in virtual time, so that a history of
minutes takes milliseconds and repeats exactly for its seed. The followers and
peers are the real ones; the store keeps the promises of its protocol.
"""

import asyncio
import copy
import json
import random

from cyclamenridge import clock as clock_lib
import cyclamenridge.errors as errors
from cyclamenridge.flow import directory
from cyclamenridge.flow import holds
from cyclamenridge.flow import peers as peers_lib
from cyclamenridge.flow import position as position_lib
from cyclamenridge.platform import records
from cyclamenridge.ports import store as store_port
import cyclamenridge.store_follower as store_follower
from tests.flow import builders
from tests.standins import read_only_store

TICK_MS = 100
REPORT_INTERVAL_MS = 1200
LAPSE_MS = 3 * REPORT_INTERVAL_MS
WATCH_WAIT_MS = 3000
COALESCE_MS = 1000
LAG_TOLERANCE_MS = 1500
CALL_MS = 4
POLL_MS = 50
# Bounds of the installations of 5 machines.
CONTACT_MS = 4000
CHANGE_MS = 3000
HOLD_MS = holds.entry_hold_ms(REPORT_INTERVAL_MS)
# The operator writes again what a restored store lost within this time.
MAX_WRITE_AGAIN_MS = 3000
# Time until a process without the store has the snapshot of a peer ahead.
PEER_MS = 1000
# Failure domains of the servers by number; orders name others as well.
DOMAINS = ("bne", "syd")
# Copies that the store can be restored from.
MAX_COPIES = 150


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time passes only while nothing is ready."""

    def __init__(self):
        super().__init__()
        self._now_s = 0.0
        select = self._selector.select

        def skip(timeout):
            if timeout:
                self._now_s += timeout
            return select(0)

        self._selector.select = skip

    def time(self):
        return self._now_s

    def pause(self, duration_s):
        """Let time pass in which the process does not run."""
        self._now_s += duration_s


class LoopClock(clock_lib.Clock):
    """Clock of a virtual loop."""

    def __init__(self, loop):
        self._loop = loop

    def now_ms(self):
        return round(self._loop.time() * 1000)


class Store:
    """State of the store.

    :ivar copies: earlier (revision, items) of this and earlier histories
    """

    def __init__(self):
        self.epoch = 1
        self.revision = 1
        self.items = {}
        self.log = []
        self.oldest = 0
        self.up = True
        self.up_since_ms = 0
        self.copies = []

    def write(self, key, value):
        """Put, or with None delete, a key."""
        self.revision += 1
        if value is None:
            del self.items[key]
        else:
            self.items[key] = store_port.KeyValue(key, value, self.revision)
        self.log.append(store_port.Change(key, value, self.revision))

    def take_copy(self):
        self.copies.append((self.revision, copy.copy(self.items)))
        del self.copies[:-MAX_COPIES]

    def restore(self, age):
        """Restore the copy that is ``age`` copies old."""
        age = min(age, len(self.copies) - 1)
        self.revision, items = self.copies[-1 - age]
        self.items = dict(items)
        self.log = []
        self.oldest = self.revision
        self.epoch += 1


class Client(read_only_store.ReadOnlyStore):
    """Connection of one process to the store.

    :ivar connected: whether the store answers this process
    :ivar calls: times of the calls in milliseconds
    :ivar reads: times of the calls that read everything
    """

    def __init__(self, store, clock):
        self._store = store
        self._clock = clock
        self.connected = True
        self.calls = []
        self.reads = []

    async def _call(self):
        self.calls.append(self._clock.now_ms())
        await asyncio.sleep(CALL_MS / 1000)
        self._check()

    def _check(self):
        if not self._store.up or not self.connected:
            raise errors.StoreUnavailableError("down")

    async def range(self, prefix, *, stale=False):
        self.reads.append(self._clock.now_ms())
        await self._call()
        store = self._store
        entries = tuple(store.items[key] for key in sorted(store.items))
        return store_port.RangeResult(store.revision, entries, store.epoch)

    async def watch(self, key, *, start_revision, prefix=False, epoch=0):
        after = start_revision - 1
        wait_ms = 1
        store = self._store
        while True:
            await self._call()
            if epoch and epoch != store.epoch:
                raise store_port.WatchLostError("another epoch")
            if not store.oldest <= after <= store.revision:
                raise store_port.WatchLostError("compacted")
            deadline_ms = self._clock.now_ms() + wait_ms
            while after == store.revision:
                if self._clock.now_ms() >= deadline_ms:
                    break
                await asyncio.sleep(POLL_MS / 1000)
                self._check()
                if epoch != store.epoch:
                    raise errors.StoreUnavailableError("cut")
            changes = tuple(c for c in store.log if c.mod_revision > after)
            after = store.revision
            wait_ms = WATCH_WAIT_MS
            yield store_port.WatchBatch(after, changes, store.epoch)


class Server:
    """A backend server that reports to the store.

    :ivar confirmed_ms: when the store first accepted the present state
    """

    def __init__(self, number, born):
        self.key = f"servers/i-{number:08x}"
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.born = born
        self.state = "ready"
        self.alive = True
        self.next_report_ms = 0
        self.last_report_ms = 0
        self.confirmed_ms = None

    def value(self):
        return json.dumps(
            {
                "service": "counter",
                "address": f"10.9.0.1:{8000 + self.born % 1000}",
                "zone": self.domain,
                "slots": 2,
                "state": self.state,
                "warmup_left_ms": 0,
                "born": self.born,
            }
        ).encode()


class Order:
    """What the operator last wanted for a failure domain.

    :ivar confirmed_ms: when the store first accepted it, None before that
    :ivar position: store position of its last write, None before that
    :ivar told: processes that had read the epoch of that write before
    """

    def __init__(self, *, is_in_force):
        self.is_in_force = is_in_force
        self.confirmed_ms = None
        self.position = None
        self.told = []


class Process:
    """A balancer without packets.

    :ivar connected_ms: since when the store and the process reach each other
    :ivar drained: (name, incarnation) of servers that it knew to drain
    :ivar was_ready: what ``ready`` returned last
    :ivar bound_by: orders and withdrawals that it knew, by domain
    """

    def __init__(self, number, store, loop):
        self.host = f"10.0.0.{number}"
        self.clock = LoopClock(loop)
        self.client = Client(store, self.clock)
        self.core = builders.make_core(seed=number, config=None)
        self.started_ms = self.clock.now_ms()
        self.connected_ms = self.started_ms
        self.version = 0
        self.drained = set()
        self.was_ready = set()
        self.bound_by = {}
        self.peers = peers_lib.Peers(
            self.core,
            name=f"node-{number}",
            failure_domain="bne",
            host=self.host,
            seeds=(),
            lag_tolerance_ms=LAG_TOLERANCE_MS,
            rng=random.Random(number),
        )
        self.follower = store_follower.StoreFollower(
            self.client,
            records.PlatformRecordDecoder(),
            self.core,
            clock=self.clock,
            rng=random.Random(number),
            log=builders.ListLog(),
            coalesce_ms=COALESCE_MS,
            on_update=lambda: None,
        )

    def ready(self):
        """Return the (name, incarnation) of servers that are in service.

        Orders to evacuate their domains are left out of account.
        """
        return {
            (server.entry.name, server.entry.born_ms)
            for server in self.core.directory.listed_servers("counter")
            if server.entry.state is directory.ServerState.READY
        }

    def domains_of_new_flows(self):
        """Return the failure domains whose servers get new flows."""
        return {
            server.entry.failure_domain
            for server in self.core.directory.ready_servers("counter")
        }

    @property
    def evacuations(self):
        return self.core.directory.evacuations

    def holds(self, domain):
        """Return whether a change of a domain has to be confirmed."""
        section = self.evacuations.dump(0).get(domain)
        return section is not None and section["held"]


class World:
    """The store with all that reads and writes it."""

    def __init__(self, seed, *, processes=3, servers=4):
        self.rng = random.Random(seed)
        self.loop = VirtualLoop()
        self.store = Store()
        self.servers = {}
        self.processes = {}
        self.next_born = 1
        self.operator_version = 0
        self.orders = {}
        self.orders_after_ms = 0
        # Versions with the time of their first confirmation.
        self.confirmed = []
        for number in range(1, servers + 1):
            self.start_server(number)
        self.change_config()
        self.run(2000)
        for number in range(processes):
            self.start_process(number)
        self.run(2000)

    @property
    def now_ms(self):
        return round(self.loop.time() * 1000)

    def close(self):
        for number in list(self.processes):
            self.kill_process(number)
        self.loop.close()

    def run(self, duration_ms):
        for _ in range(duration_ms // TICK_MS):
            self.loop.run_until_complete(asyncio.sleep(TICK_MS / 1000))
            for process in self.processes.values():
                process.core.reachability.record_activity(self.now_ms)
            self._write_state()
            self._exchange_beacons()
            self._check()

    def start_server(self, number):
        """Start a server, or start it again under its name."""
        self.next_born += 1
        self.servers[number] = Server(number, self.next_born)

    def drain_server(self, number):
        server = self.servers[number]
        server.state = "draining"
        server.confirmed_ms = None
        server.next_report_ms = self.now_ms

    def change_config(self):
        self.operator_version += self.rng.randint(1, 4)

    def order(self, domain, *, is_in_force):
        """Order an evacuation, or withdraw the order."""
        known = self.orders.get(domain)
        if known is None or known.is_in_force != is_in_force:
            self.orders[domain] = Order(is_in_force=is_in_force)

    def start_process(self, number):
        process = Process(number, self.store, self.loop)
        self.processes[number] = process
        self.loop.run_until_complete(process.follower.start())

    def kill_process(self, number):
        process = self.processes.pop(number)
        self.loop.run_until_complete(process.follower.stop())

    def set_connected(self, number, connected):
        process = self.processes[number]
        process.client.connected = connected
        process.connected_ms = self.now_ms

    def set_up(self, up):
        if up and not self.store.up:
            self.orders_after_ms = self.now_ms + self.rng.randrange(
                MAX_WRITE_AGAIN_MS
            )
        self.store.up = up
        self.store.up_since_ms = self.now_ms

    def _write_state(self):
        store = self.store
        if not store.up:
            return
        stored = store.items.get("op/config")
        value = json.dumps(
            {
                "version": self.operator_version,
                "routes": [],
                "services": [{"name": "counter"}],
                "limits": {"idle_timeout_ms": 15_000},
            }
        ).encode()
        if stored is None or stored.value != value:
            store.write("op/config", value)
        if not self.confirmed or self.confirmed[-1][0] != (
            self.operator_version
        ):
            self.confirmed.append((self.operator_version, self.now_ms))
        for server in self.servers.values():
            self._report(server)
        if self.now_ms >= self.orders_after_ms:
            for domain, order in self.orders.items():
                self._write_order(domain, order)
        self._remove_lapsed_entries()
        store.take_copy()

    def _write_order(self, domain, order, *, again=False):
        """Write what the operator wants, and write again what was lost.

        :param again: withdraw an order that the store does not list
        """
        store = self.store
        key = f"op/evacuate/{domain}"
        if again and not order.is_in_force and key not in store.items:
            store.write(key, b"{}")
        if order.is_in_force != (key in store.items):
            store.write(key, b"{}" if order.is_in_force else None)
            order.position = position_lib.Position(store.epoch, store.revision)
            order.told = [
                process
                for process in self.processes.values()
                if process.core.directory.position.epoch == store.epoch
            ]
        if order.confirmed_ms is None:
            order.confirmed_ms = self.now_ms

    def _report(self, server):
        if not server.alive or self.now_ms < server.next_report_ms:
            return
        server.next_report_ms = self.now_ms + REPORT_INTERVAL_MS
        server.last_report_ms = self.now_ms
        stored = self.store.items.get(server.key)
        if stored is None or stored.value != server.value():
            self.store.write(server.key, server.value())
        if server.confirmed_ms is None:
            server.confirmed_ms = self.now_ms

    def _remove_lapsed_entries(self):
        reported = {
            server.key: server.last_report_ms
            for server in self.servers.values()
        }
        for key in [key for key in self.store.items if key in reported]:
            heard_ms = max(reported[key], self.store.up_since_ms)
            if self.now_ms - heard_ms > LAPSE_MS:
                self.store.write(key, None)

    def _exchange_beacons(self):
        if self.now_ms % peers_lib.BEACON_INTERVAL_MS:
            return
        for here in self.processes.values():
            for other in self.processes.values():
                if other is not here:
                    self._exchange(here, other)

    def _exchange(self, here, other):
        beacon = other.peers.encode_beacon()
        action = here.peers.handle_beacon(self.now_ms, other.host, beacon)
        if action.pull:
            here.peers.apply_snapshot(
                self.now_ms, other.peers.encode_snapshot()
            )

    def _is_in_touch(self, process, duration_ms=CONTACT_MS):
        """Return whether changes are due at a process."""
        return (
            self.store.up
            and process.client.connected
            and self.now_ms
            - max(
                self.store.up_since_ms,
                process.connected_ms,
                process.started_ms,
            )
            > duration_ms
        )

    def _serving(self):
        """Return the (name, incarnation) of servers that live and stay."""
        return {
            (server.key.removeprefix("servers/"), server.born)
            for server in self.servers.values()
            if server.alive and server.state == "ready"
        }

    def _check(self):
        for process in self.processes.values():
            self._check_order(process)
            self._check_known_orders(process)
            if self._is_told_by_peers(process):
                for domain, order in self.orders.items():
                    self._check_order_of_peers(process, domain, order)
            if self._is_in_touch(process):
                self._check_in_force(process)
                for domain, order in self.orders.items():
                    self._check_order_in_force(process, domain, order)

    def _check_order(self, process):
        routes = process.core.routes
        version = 0 if routes is None else routes.version
        assert version >= process.version, "the configuration went back"
        assert version <= self.operator_version
        process.version = version
        ready = process.ready()
        assert not ready & process.drained, "a drain was undone"
        serving = process.was_ready & self._serving()
        assert serving <= ready, "a server that lives was dropped"
        process.was_ready = ready
        for server in process.core.directory:
            entry = server.entry
            if entry.state.value == "draining":
                process.drained.add((entry.name, entry.born_ms))

    def _check_known_orders(self, process):
        """Check that an order, or its withdrawal, is not undone."""
        for domain, order in self.orders.items():
            known = process.evacuations.find(domain)
            if process.bound_by.get(domain) is order:
                assert known.is_in_force == order.is_in_force, (
                    "an order, or a withdrawal, was undone"
                )
            elif (
                order.position is not None
                and known is not None
                and known.is_in_force == order.is_in_force
                and known.position >= order.position
            ):
                process.bound_by[domain] = order

    def _check_order_in_force(self, process, domain, order):
        """Check that a confirmed order, or its withdrawal, binds in time.

        What a restored store contradicts is confirmed by time. A process
        that read an epoch after the withdrawal cannot tell whether the copy
        lacked the order.
        """
        if order.confirmed_ms is None:
            return
        # What was held for long enough is applied with an answer of the watch.
        wait_ms = HOLD_MS + WATCH_WAIT_MS if process.holds(domain) else 0
        due_ms = self.now_ms - CHANGE_MS - wait_ms
        if order.confirmed_ms >= due_ms or not self._is_in_touch(
            process, CONTACT_MS + wait_ms
        ):
            return
        if order.is_in_force:
            assert domain not in process.domains_of_new_flows(), (
                "an order is not in force"
            )
        elif (
            order.position is not None
            and order.position.epoch == self.store.epoch
            and process in order.told
        ):
            assert domain not in process.evacuations.domains(), (
                "a withdrawal is not in force"
            )

    def _is_told_by_peers(self, process):
        """Return whether a process has only its peers to learn changes."""
        return (
            not process.client.connected
            and self.now_ms - max(process.connected_ms, process.started_ms)
            > CONTACT_MS
            and any(
                self._is_in_touch(other, CONTACT_MS + CHANGE_MS)
                for other in self.processes.values()
            )
        )

    def _check_order_of_peers(self, process, domain, order):
        if (
            order.confirmed_ms is None
            or order.confirmed_ms >= self.now_ms - CHANGE_MS - PEER_MS
            or any(other.holds(domain) for other in self.processes.values())
        ):
            return
        if order.is_in_force:
            assert domain not in process.domains_of_new_flows(), (
                "no peer told of an order"
            )
        elif all(
            other in order.told or other is process
            for other in self.processes.values()
        ):
            assert domain not in process.evacuations.domains(), (
                "no peer told of a withdrawal"
            )

    def _check_in_force(self, process):
        due_ms = self.now_ms - CHANGE_MS
        version = max(
            (v for v, confirmed_ms in self.confirmed if confirmed_ms < due_ms),
            default=0,
        )
        assert process.version >= version, "a change is not in force"
        ready = process.ready()
        for server in self.servers.values():
            confirmed_ms = server.confirmed_ms
            if confirmed_ms is None or confirmed_ms >= due_ms:
                continue
            key = server.key.removeprefix("servers/"), server.born
            if server.state == "draining":
                assert key not in ready, "a drain is not in force"
        recent = [t for t in process.client.reads if t > self.now_ms - 1000]
        assert len(recent) <= 1, "everything is read again and again"

    def settle(self):
        """End all faults; check that all processes agree with the truth."""
        if not self.store.up:
            self.set_up(True)
        for number in self.processes:
            self.set_connected(number, True)
        self.run(2 * CONTACT_MS)
        for domain, order in self.orders.items():
            self._write_order(domain, order, again=True)
        self.run(2 * LAPSE_MS + 2 * CONTACT_MS)
        truth = self._serving()
        wanted = {d for d, order in self.orders.items() if order.is_in_force}
        for process in self.processes.values():
            assert set(process.evacuations.domains()) == wanted
            assert not process.domains_of_new_flows() & wanted
            assert process.ready() == truth
            assert process.version == self.operator_version
            last_ms = self.now_ms - CONTACT_MS
            assert not [t for t in process.client.reads if t > last_ms]
