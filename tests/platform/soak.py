"""Randomized soak test of real balancer processes on loopback.

``python -m tests.platform.soak --seeds 1-50`` performs one run per seed and
prints violated invariants. The random choices of a run depend on its seed.
"""

import argparse
import asyncio
import dataclasses
import pathlib
import random
import signal
import sys
import tempfile

from tests.platform import deployment
from tests.platform.deployment import wait_until

FAULT_PHASE_S = 8.0
# Processes need about a second to start while others run.
RECOVERY_TIMEOUT_S = 8
# A configuration has to be in force this long after it was written, or after
# the faults of the store ended: contact_ms plus config_apply_ms.
CONFIG_TIMEOUT_S = 7
# A draining server gets no new flows after this time.
DRAIN_S = 3.0
# Changes need not take effect within this time after a fault of a balancer's
# connection to the store.
CONTACT_GRACE_S = 4.0
# Operator and servers write again what a restored store lacks within this
# time; the entries of servers that are gone lapse later.
WRITE_AGAIN_S = 1.2
LAPSE_S = 3.6
# A domain is evacuated for this long at least, so that the order is due.
EVACUATION_S = 5.0
# Failure domain of additional servers, which may be evacuated.
SPARE_ZONE = "z1"
CLIENT_COUNT = 6
# Seeds of runs that found a fault, with its cause.
REGRESSION_SEEDS: dict[int, str] = {
    93: "fetch() of the tests failed when the process exited during a request"
}


@dataclasses.dataclass
class SoakResult:
    """Results of the clients' requests.

    :ivar refused: flows that could not be opened
    :ivar violations: a line for each violated invariant
    """

    requests: int = 0
    answered: int = 0
    opened: int = 0
    refused: int = 0
    violations: list[str] = dataclasses.field(default_factory=list)


class SoakRun:
    """One run with clients, faults and checks of invariants.

    :ivar faults: names of the injected faults
    """

    def __init__(self, cluster, rng):
        self.cluster = cluster
        self.rng = rng
        self.result = SoakResult()
        self.faults = []
        self.ended = False
        # Start of the drain by server; only drains while the store answered.
        self.drain_started_s = {}
        # When a proxy last disturbed a connection to the store.
        self.store_fault_s = float("-inf")
        # When the order in force was written, None without one; only orders
        # while the store answered.
        self.ordered_s = None
        # Copies that the store may be restored from, oldest first.
        self.copies = []

    async def run(self):
        clients = [
            asyncio.create_task(self._client()) for _ in range(CLIENT_COUNT)
        ]
        loop = asyncio.get_running_loop()
        end_s = loop.time() + FAULT_PHASE_S
        while loop.time() < end_s:
            await asyncio.sleep(self.rng.uniform(0.1, 0.8))
            self.copies.append(self.cluster.store.take_copy())
            await self._inject_fault()
        self._clear_faults()
        await self._check_recovery()
        self.ended = True
        await asyncio.gather(*clients)
        for server in self.cluster.servers.values():
            if server.misdirected:
                self._add_violation(
                    f"server {server.ident} received misdirected packets"
                )
        return self.result

    def _add_violation(self, text):
        self.result.violations.append(text)

    async def _client(self):
        while not self.ended:
            port, service = self.rng.choice(
                (
                    (deployment.FEED_PORT, "counter"),
                    (deployment.DUMP_PORT, "workshop"),
                )
            )
            flow = self.cluster.flow(port)
            opening_s = asyncio.get_running_loop().time()
            if not await flow.open():
                self.result.refused += 1
                continue
            self.result.opened += 1
            await self._send_requests(flow, service, opening_s)

    async def _send_requests(self, flow, service, opening_s):
        server = None
        for number in range(self.rng.randrange(1, 20)):
            body = b"%d" % number
            self.result.requests += 1
            answer = await flow.request(body)
            if answer is None:
                if flow.was_reset and flow.reset_by_balancer:
                    self._check_reset(flow, server)
                return
            self.result.answered += 1
            name, _, echoed = answer.partition(b":")
            current = self.cluster.servers[int(name)]
            if echoed != body:
                self._add_violation(f"answer {answer!r} to request {body!r}")
            if current.service != service:
                self._add_violation(
                    f"{service} was served by {current.service}"
                )
            if server is not None and current is not server:
                self._add_violation(
                    f"flow went from {server.ident} to {current.ident}"
                )
            if server is None:
                self._check_new_flow(current)
                self._check_evacuation(current, opening_s)
            server = current
            await asyncio.sleep(self.rng.uniform(0, 0.3))
        flow.finish()

    def _check_reset(self, flow, server):
        if server is not None and not server.was_unresponsive:
            self._add_violation(
                f"open flow {flow.client_port} at {server.ident} was reset"
            )

    def _check_evacuation(self, server, opening_s):
        """Check that no flow opens in an evacuated domain.

        Skipped while a balancer may not know of the order.
        """
        ordered_s = self.ordered_s
        if ordered_s is None or server.zone != SPARE_ZONE:
            return
        known_s = max(ordered_s, self.store_fault_s + CONTACT_GRACE_S)
        if not self._has_store_fault() and opening_s - known_s > EVACUATION_S:
            self._add_violation(
                f"server {server.ident} of an evacuated domain got a new flow"
            )

    def _check_new_flow(self, server):
        """Check that a drained server gets no new flow.

        Skipped while a balancer may not know of the drain. In a run of seed
        1, one balancer lost the answers of the store while the other two
        restarted.
        """
        drain_started_s = self.drain_started_s.get(server.ident)
        if drain_started_s is None:
            return
        now_s = asyncio.get_running_loop().time()
        known_s = max(drain_started_s, self.store_fault_s + CONTACT_GRACE_S)
        if not self._has_store_fault() and now_s - known_s > DRAIN_S + 2:
            self._add_violation(
                f"drained server {server.ident} got a new flow"
            )

    def _has_store_fault(self):
        return any(
            balancer.proxy.drop_answers or balancer.proxy.delay_s
            for balancer in self.cluster.balancers
        )

    def _note_store_fault(self):
        self.store_fault_s = asyncio.get_running_loop().time()

    async def _inject_fault(self):
        faults = (
            self._kill,
            self._pause,
            self._send_sighup,
            self._send_sigterm,
            self._disturb_store,
            self._restore_store,
            self._reset_connections,
            self._silence_connections,
            self._cut_one_way,
            self._delay_connections,
            self._configure,
            self._add_server,
            self._drain_server,
            self._kill_server,
            self._evacuate,
            self._end_evacuation,
        )
        fault = self.rng.choice(faults)
        self.faults.append(fault.__name__)
        fault()

    def _pick_balancer(self):
        return self.rng.choice(self.cluster.balancers)

    def _kill(self):
        balancer = self._pick_balancer()
        balancer.kill()
        balancer.start()

    def _pause(self):
        balancer = self._pick_balancer()
        if balancer.process.poll() is None:
            balancer.send_signal(signal.SIGSTOP)
            asyncio.get_running_loop().call_later(
                self.rng.uniform(0.1, 2), self._resume, balancer
            )

    @staticmethod
    def _resume(balancer):
        if balancer.process.poll() is None:
            balancer.send_signal(signal.SIGCONT)

    def _send_sighup(self):
        balancer = self._pick_balancer()
        if balancer.process.poll() is None and balancer.has_started():
            balancer.send_signal(signal.SIGHUP)

    def _send_sigterm(self):
        balancer = self._pick_balancer()
        if balancer.process.poll() is None and balancer.has_started():
            balancer.send_signal(signal.SIGTERM)

    def _disturb_store(self):
        store = self.cluster.store
        store.silent = self.rng.random() < 0.3
        store.busy = self.rng.choice((0, 0, 429, 503))
        if self.rng.random() < 0.3:
            store.compact()

    def _restore_store(self):
        store = self.cluster.store
        store.restore(self.rng.choice(self.copies))
        self._note_store_fault()
        loop = asyncio.get_running_loop()
        for key in sorted(store.items.keys() | store.written.keys()):
            is_gone = key not in store.written
            loop.call_later(
                LAPSE_S if is_gone else self.rng.uniform(0, WRITE_AGAIN_S),
                store.write_again,
                key,
            )

    def _reset_connections(self):
        self._note_store_fault()
        self._pick_balancer().proxy.reset()

    def _silence_connections(self):
        self._note_store_fault()
        self._pick_balancer().proxy.blackhole()

    def _cut_one_way(self):
        proxy = self._pick_balancer().proxy
        self._note_store_fault()
        proxy.drop_answers = not proxy.drop_answers

    def _delay_connections(self):
        self._note_store_fault()
        self._pick_balancer().proxy.delay_s = self.rng.choice(
            (0, 0.05, 0.5, 3)
        )

    def _configure(self):
        self.cluster.configure(feed="counter", dump="workshop")

    def _add_server(self):
        service = self.rng.choice(("counter", "workshop"))
        zone = self.rng.choice(("z0", SPARE_ZONE))
        asyncio.get_running_loop().create_task(
            self.cluster.add_server(service, zone)
        )

    def _evacuate(self):
        self.cluster.store.put(f"op/evacuate/{SPARE_ZONE}", b"{}")
        if not self.cluster.store.silent and not self.cluster.store.busy:
            self.ordered_s = asyncio.get_running_loop().time()

    def _end_evacuation(self):
        self.ordered_s = None
        self.cluster.store.remove(f"op/evacuate/{SPARE_ZONE}")

    def _pick_server(self):
        """Return a random server, None unless two others remain in service."""
        candidates = [
            server
            for server in self.cluster.servers.values()
            if server.ident not in self.drain_started_s
            and not server.was_unresponsive
        ]
        server = self.rng.choice(candidates)
        others = [
            item for item in candidates if item.service == server.service
        ]
        return server if len(others) > 2 else None

    def _drain_server(self):
        server = self._pick_server()
        if server is not None:
            self.cluster.put_server_entry(server, "draining")
            if not self.cluster.store.silent and not self.cluster.store.busy:
                self.drain_started_s[server.ident] = (
                    asyncio.get_running_loop().time()
                )

    def _kill_server(self):
        server = self._pick_server()
        if server is not None:
            server.unresponsive = server.was_unresponsive = True
            asyncio.get_running_loop().call_later(
                3.6,
                self.cluster.store.remove,
                f"servers/i-{server.ident:x}",
            )

    def _clear_faults(self):
        self.cluster.store.silent = False
        self.cluster.store.busy = 0
        self._note_store_fault()
        for balancer in self.cluster.balancers:
            balancer.proxy.drop_answers = False
            balancer.proxy.delay_s = 0
            self._resume(balancer)

    async def _check_recovery(self):
        for balancer in self.cluster.balancers:
            try:
                await wait_until(
                    lambda item=balancer: self._is_restarted(item),
                    RECOVERY_TIMEOUT_S,
                )
            except TimeoutError:
                self._add_violation(
                    f"{balancer.name} is not ready after the faults"
                )
        await self._check_configuration()
        await self._check_orders()
        for port in (deployment.FEED_PORT, deployment.DUMP_PORT):
            if not await self._accepts_flows(port):
                self._add_violation(f"no flow to {port} after the faults")

    async def _check_configuration(self):
        """Check that all balancers apply a new configuration in time."""
        self.cluster.configure(feed="counter", dump="workshop")

        async def is_applied():
            versions = [
                await balancer.config_version()
                for balancer in self.cluster.balancers
            ]
            return all(version == self.cluster.version for version in versions)

        try:
            await wait_until(is_applied, CONFIG_TIMEOUT_S)
        except TimeoutError:
            self._add_violation(
                f"version {self.cluster.version} is not in force"
            )

    async def _check_orders(self):
        """Check that an order, and its withdrawal, are in force in time."""
        for is_ordered in (True, False):
            self._evacuate()
            if not is_ordered:
                self._end_evacuation()

            async def is_applied(expected=is_ordered):
                states = [
                    SPARE_ZONE in await balancer.evacuated_domains()
                    for balancer in self.cluster.balancers
                ]
                return all(state is expected for state in states)

            try:
                await wait_until(is_applied, CONFIG_TIMEOUT_S)
            except TimeoutError:
                self._add_violation(
                    f"evacuation of {SPARE_ZONE}: not {is_ordered} everywhere"
                )
            if is_ordered:
                await self._check_new_flows_elsewhere()

    async def _check_new_flows_elsewhere(self):
        for _ in range(10):
            flow = self.cluster.flow(deployment.FEED_PORT)
            answer = await flow.open() and await flow.request(b"x")
            if not answer:
                continue
            server = self.cluster.servers[int(answer.partition(b":")[0])]
            if server.zone == SPARE_ZONE:
                self._add_violation(
                    f"evacuated server {server.ident} got a new flow"
                )

    @staticmethod
    async def _is_restarted(balancer):
        if balancer.process.poll() is not None:
            balancer.start()
        return await balancer.is_ready()

    async def _accepts_flows(self, port):
        for _ in range(5):
            flow = self.cluster.flow(port)
            if await flow.open() and await flow.request(b"x"):
                return True
        return False


async def run_soak(folder, seed):
    """Perform the run of a seed; return its result and its faults."""
    async with deployment.running_cluster(
        folder, balancers=3, servers=4, seed=seed
    ) as cluster:
        for _ in range(2):
            await cluster.add_server("workshop")
            await cluster.add_server("counter", SPARE_ZONE)
        run = SoakRun(cluster, random.Random(seed))
        result = await run.run()
        return result, run.faults


def main():
    """Run a range of seeds; return exit code 1 if any run failed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="1-50")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    failed_runs = 0
    for seed in range(int(first), int(last or first) + 1):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result, faults = asyncio.run(run_soak(folder, seed))
        failed_runs += bool(result.violations)
        print(
            f"seed {seed}: {result.answered} of {result.requests} answered, "
            f"{result.opened} flows opened, {result.refused} refused, "
            f"{len(faults)} faults",
            *(f"  VIOLATION {text} ({folder})" for text in result.violations),
            sep="\n",
            flush=True,
        )
    return 1 if failed_runs else 0


if __name__ == "__main__":
    sys.exit(main())
