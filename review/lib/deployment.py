"""Balancer processes, routers and stand-ins on loopback addresses."""

import asyncio
from collections.abc import Callable
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import tomllib
from typing import Any
import zlib

from lib import backend as backend_lib
from lib import client as client_lib
from lib import record as record_lib
from lib import store as store_lib

ROOT = pathlib.Path(__file__).resolve().parents[2]
POLL_S = 0.5
# A process that ended is started again after this.
RESTART_S = 0.5

BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 3000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 12000,
    "recovery_s": 12,
    "flow_ms": 2000,
    "max_flow_s": 60,
}


class CannotRunError(Exception):
    """The case could not be set up."""


def free_port(host: str, kind: int = socket.SOCK_STREAM) -> int:
    """Return a free port of an address."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Balancer:
    """A process of the deploy file with an address of its own.

    :ivar in_rotation: whether the routers send packets there
    """

    def __init__(self, dep: "Deployment", number: int, zone: str) -> None:
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.ip = f"{dep.net}.{number}"
        self.in_rotation = False
        self.process: subprocess.Popen[bytes] | None = None
        self.shall_run = True
        self._misses = 2
        self._dep = dep
        self._settings = dep.folder / f"{self.name}.json"
        self._log = dep.folder / f"{self.name}.log"

    def write_settings(self) -> None:
        """Write the settings, as the template of the deploy file does."""
        dep = self._dep
        seeds = [f"{b.ip}:{dep.control_port}" for b in dep.balancers[:3]]
        fields = {
            "node_name": self.name,
            "role": "balancer",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "r1",
            "internal_ports": [dep.peer_port, dep.peer_port],
            "seed_nodes": seeds,
            "bootstrap": True,
            "loss_counts": False,
            "discovery": "platform",
            "entry_kind": "announce",
            "heartbeat_ms": 1200,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "flows",
                "platform",
            ],
            "hash": "mod",
            "forwarding_mode": "echo",
            "zones": {zone: "r1" for zone in dep.zones},
            "listen_addrs": {
                "datagram_addr": f"{self.ip}:{dep.client_port}",
                "ready": f"{self.ip}:{dep.ready_port}",
                "control": f"{self.ip}:{dep.control_port}",
            },
            "limits": {
                "cpu_share": 1.0,
                "cpu_cores": 1,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": f"{dep.store_host}:{dep.store_port}",
                "forwarding_mode": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "min_ttl_ms": 1000,
            },
        }
        text = (ROOT / dep.role["template"]).read_text()
        # The port of the metrics is a free one instead of the usual one.
        text = text.replace("{{.|json}}", json.dumps(fields))
        table = json.loads(text)
        table["metrics_port"] = dep.metrics_port
        self._settings.write_text(json.dumps(table))

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["CYCLAMENRIDGE_CONFIG"] = str(self._settings)
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                self._dep.role["run"].split(),
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._dep.record.add("process_start", node=self.name)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self._dep.record.add(
                "signal", node=self.name, signal=signal.Signals(number).name
            )
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process."""
        self.shall_run = False
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def supervise(self) -> None:
        """Start the process again whenever it ends."""
        while True:
            await asyncio.sleep(0.02)
            if self.process is None or self.process.poll() is None:
                continue
            self._dep.record.add(
                "process_end", node=self.name, code=self.process.returncode
            )
            self.process = None
            if self.shall_run:
                await asyncio.sleep(self._dep.restart_s)
                if self.shall_run:
                    self.start()

    async def poll_ready(self) -> None:
        """Ask twice a second; two misses take it out, an answer back."""
        while True:
            is_ready = await self._is_ready()
            self._misses = 0 if is_ready else self._misses + 1
            was = self.in_rotation
            self.in_rotation = is_ready or (was and self._misses < 2)
            if was != self.in_rotation:
                self._dep.record.add(
                    "rotation", node=self.name, is_in=self.in_rotation
                )
            await asyncio.sleep(POLL_S)

    async def _is_ready(self) -> bool:
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(
                    self.ip, self._dep.ready_port
                )
                writer.write(
                    b"GET /ready HTTP/1.1\r\nHost: x\r\n"
                    b"Connection: close\r\n\r\n"
                )
                line = await reader.readline()
                writer.close()
                return line.split()[1:2] == [b"200"]
        except (OSError, TimeoutError):
            return False


class Deployment:
    """Store, backends, clients, routers and balancers of a case."""

    def __init__(self, zones: tuple[str, ...], seed: int = 1) -> None:
        self.zones = zones
        self.rng = random.Random(seed)
        self.record = record_lib.Record()
        self.store = store_lib.Store()
        self.balancers: list[Balancer] = []
        self.backends: list[backend_lib.Backend] = []
        self.clients: dict[str, client_lib.Clients] = {}
        self.restart_s = RESTART_S
        self._temp = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._temp.name)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.role = deploy["roles"]["balancer"]
        if not (ROOT / "target" / "deps" / "cyclamenridge").is_dir():
            raise CannotRunError("target/ is not built")
        # An own part of the loopback range for each run.
        high = 64 + os.getpid() % 128
        self.net = f"127.{high}.{self.rng.randrange(1, 250)}"
        self.store_host = f"{self.net}.200"
        self.vip = f"{self.net}.250"
        host = f"{self.net}.1"
        self.client_port = free_port(host, socket.SOCK_DGRAM)
        ports = set()
        while len(ports) < 4:
            ports.add(free_port(host))
        (
            self.ready_port,
            self.control_port,
            self.peer_port,
            self.metrics_port,
        ) = ports
        self.store_port = 0
        self.version = 1
        self._tasks: list[asyncio.Task[Any]] = []

    async def start(self, balancers: tuple[str, ...]) -> None:
        """Start the store, the clients and the balancers.

        :param balancers: zone of each balancer
        """
        self.store_port = await self.store.start(self.store_host)
        for index, zone in enumerate(self.zones):
            clients = self.clients[zone] = client_lib.Clients(
                host=f"{self.net}.{220 + index}",
                port=self.client_port,
                vip=self.vip,
                route=self._make_route(zone),
                record=self.record,
                rng=self.rng,
                first_port=20_000 + 5000 * index,
            )
            await clients.start()
        for number, zone in enumerate(balancers, 1):
            self.balancers.append(Balancer(self, number, zone))
        for balancer in self.balancers:
            balancer.write_settings()
            balancer.start()
            self.spawn(balancer.supervise())
            self.spawn(balancer.poll_ready())

    def spawn(self, coro: Any) -> "asyncio.Task[Any]":
        """Start a task that ends with the deployment."""
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.append(task)
        return task

    async def add_backend(
        self,
        service: str,
        zone: str,
        *,
        work_s: Callable[[int], float],
        **options: Any,
    ) -> backend_lib.Backend:
        """Start a backend that registers itself."""
        backend = backend_lib.Backend(
            ident=f"i-{self.rng.getrandbits(40):010x}",
            service=service,
            zone=zone,
            host=self._backend_host(),
            client_port=self.client_port,
            store=self.store,
            record=self.record,
            work_s=work_s,
            rng=self.rng,
            **options,
        )
        await backend.start()
        self.backends.append(backend)
        self.record.add(
            "backend",
            backend=backend.ident,
            service=service,
            zone=zone,
            address=f"{backend.host}:{backend.port}",
        )
        return backend

    def _backend_host(self) -> str:
        # 60 backends share an address; each has a port of its own.
        return f"{self.net}.{100 + len(self.backends) % 60}"

    def configure(
        self,
        routes: dict[int, tuple[str, str]],
        *,
        max_connections: int = 2000,
    ) -> int:
        """Write a configuration; the return is the confirmation.

        :param routes: type and service of each port
        :param max_connections: flows that a backend holds at most
        """
        self.version += 1 + self.rng.randrange(3)
        services = sorted({service for _, service in routes.values()})
        value = {
            "version": self.version,
            "routes": [
                {
                    "name": f"r-{port}",
                    "host": self.vip,
                    "prefix": f"/{port}/",
                    "type": kind,
                    "timeout_ms": 3000,
                    "target_latency_ms": 200,
                    "priority": 1,
                    "service": service,
                    "max_attempts": 2,
                }
                for port, (kind, service) in sorted(routes.items())
            ],
            "services": [
                {
                    "name": service,
                    "health_path": "/health",
                    "max_connections": max_connections,
                    "protocol": "h1",
                    "tls": False,
                }
                for service in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 262144,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        self.store.put("op/config", value)
        self.record.add(
            "config_confirmed",
            version=self.version,
            routes={str(port): s for port, (_, s) in routes.items()},
        )
        return self.version

    def nodes_for(self, zone: str) -> list[Balancer]:
        """Return the nodes that the routers of a zone use."""
        own = [b for b in self.balancers if b.zone == zone]
        rotating = [b for b in own if b.in_rotation]
        if rotating:
            return own if 2 * len(rotating) < len(own) else rotating
        nearest = [b for b in self.balancers if b.in_rotation]
        return nearest or own

    def _make_route(
        self, zone: str
    ) -> Callable[[tuple[str, int, str, int]], str | None]:
        def route(flow: tuple[str, int, str, int]) -> str | None:
            nodes = self.nodes_for(zone)
            if not nodes:
                return None
            number = zlib.crc32(repr(flow).encode())
            return nodes[number % len(nodes)].ip

        return route

    async def wait_ready(self, wait_s: float = 20.0) -> None:
        """Wait until all balancers are in rotation."""
        for _ in range(int(wait_s / 0.02)):
            if all(b.in_rotation for b in self.balancers):
                return
            await asyncio.sleep(0.02)
        raise CannotRunError("the balancers do not get ready")

    async def stop(self) -> None:
        """End everything that was started."""
        for balancer in self.balancers:
            balancer.end()
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=2)
        for backend in self.backends:
            backend.stop()
        for clients in self.clients.values():
            clients.stop()
        await self.store.stop()
        self._temp.cleanup()
