"""Real balancer processes on loopback with simulated surroundings."""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys

from tests.standins import flow_endpoints
from tests.standins import metadata_store
from tests.standins import tcp_proxy

ROOT = pathlib.Path(__file__).parents[2]
HOST = "198.18.0.1"
HOST_NUMBER = 0xC6120001
FEED_PORT = 8443
DUMP_PORT = 9000


def free_ports(count):
    """Return different free ports.

    They are bound at the same time, so that none is returned twice.
    """
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.bind(("127.0.0.1", 0))
            ports.append(sock.getsockname()[1])
        return ports


class BalancerProcess:
    """Balancer process with a loopback address of its own."""

    def __init__(self, cluster, number, folder, proxy):
        self.name = f"front-{number}"
        # Proxy between this process and the store.
        self.proxy = proxy
        self.ip = f"127.0.{os.getpid() % 200 + 20}.{number}"
        self.packet_address = (self.ip, cluster.clients.port)
        self.ready_port = cluster.ready_port
        self.metrics_port = cluster.metrics_port
        self.settings_path = folder / f"{self.name}.json"
        self.log_path = folder / f"{self.name}.log"
        self.process = None
        self.start_count = 0
        fields = {
            "node_name": self.name,
            "ip": self.ip,
            "zone": f"z{number % 2}",
            "internal_ports": [
                cluster.peer_port,
                cluster.peer_port,
            ],
            "seed_nodes": [f"{cluster.seed_ip or self.ip}:1"],
            "discovery": "platform",
            "heartbeat_ms": 1200,
            "forwarding_mode": "echo",
            "listen_addrs": {
                "datagram_addr": f"{self.ip}:{cluster.clients.port}",
                "ready": f"{self.ip}:{self.ready_port}",
            },
            "bounds": {
                "drain_ms": 3000,
                "grace_s": 6,
                "config_apply_ms": 3000,
                "recovery_s": 12,
                "max_flow_s": 60,
            },
            "platform": {
                "address": f"127.0.0.1:{proxy.port}",
                "forwarding_mode": "kv",
            },
        }
        self.settings_path.write_text(
            json.dumps(
                {
                    "metrics_port": self.metrics_port,
                    "platform_fields": fields,
                }
            )
        )

    def start(self):
        self.start_count += 1
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-P", str(ROOT / "deploy/balancer.py")],
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    "PYTHONPATH": str(ROOT / "src"),
                    "CYCLAMENRIDGE_CONFIG": str(self.settings_path),
                },
            )

    def send_signal(self, number):
        self.process.send_signal(number)

    def has_started(self):
        """Return whether every start of the process has completed."""
        started = [e for e in self.log_events() if e["event"] == "started"]
        return len(started) == self.start_count

    def ignores_sighup(self):
        """Return whether the process ignores SIGHUP, according to /proc."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        ignored = status.partition("SigIgn:")[2].split()[0]
        return bool(int(ignored, 16) >> (signal.SIGHUP - 1) & 1)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def fetch(self, port, path):
        """Return status and body of a page; the status is 0 on failure."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(self.ip, port)
                head = f"GET {path} HTTP/1.1\r\nConnection: close\r\n\r\n"
                writer.write(head.encode())
                data = await reader.read()
                writer.close()
        except (OSError, TimeoutError):
            return 0, b""
        head, _, body = data.partition(b"\r\n\r\n")
        if not head:
            # The process exited before it answered.
            return 0, b""
        return int(head.split()[1]), body

    async def config_version(self):
        """Return the version in force, 0 without an answer."""
        status, body = await self.fetch(self.metrics_port, "/dump")
        return json.loads(body)["config_version"] if status == 200 else 0

    async def evacuated_domains(self):
        """Return the evacuated domains, none without an answer."""
        status, body = await self.fetch(self.metrics_port, "/dump")
        if status != 200:
            return set()
        return {
            domain
            for domain, order in json.loads(body)["evacuations"].items()
            if order["in_force"]
        }

    async def is_ready(self):
        return (await self.fetch(self.ready_port, "/ready"))[0] == 200

    def log_events(self):
        """Return the complete lines of the log."""
        lines = self.log_path.read_bytes().splitlines(keepends=True)
        return [
            json.loads(line)
            for line in lines
            if line[:1] == b"{" and line[-2:] == b"}\n"
        ]


class Cluster:
    """Store, backend servers, clients and balancers of one test."""

    def __init__(self, seed=1):
        self.rng = random.Random(seed)
        self.clients = flow_endpoints.Clients()
        self.store = metadata_store.MetadataStore()
        self.servers = {}
        self.balancers = []
        self.version = 0
        self.store_port = 0
        self.seed_ip = None
        self.ready_port, self.metrics_port, self.peer_port = free_ports(3)
        self._client_ports = itertools.count(20_000)
        self._idents = itertools.count(0x1000)

    def configure(self, **routes):
        """Write a new version of the configuration.

        :param routes: service by name of the route
        """
        self.version += 2
        ports = {"feed": FEED_PORT, "dump": DUMP_PORT}
        value = {
            "version": self.version,
            "routes": [
                {
                    "name": name,
                    "host": HOST,
                    "prefix": f"/{ports[name]}/",
                    "type": "safe" if name == "feed" else "upload",
                    "timeout_ms": 2500,
                    "target_latency_ms": 150,
                    "priority": 1,
                    "service": service,
                }
                for name, service in routes.items()
            ],
            "services": [{"name": "counter"}, {"name": "workshop"}],
            "limits": {"idle_timeout_ms": 15_000},
        }
        self.store.put("op/config", json.dumps(value).encode())

    async def add_server(self, service="counter", zone="z0"):
        server = flow_endpoints.Server(next(self._idents), self.clients)
        server.port = await server.start()
        server.service, server.zone = service, zone
        self.servers[server.ident] = server
        self.put_server_entry(server)
        return server

    def put_server_entry(self, server, state="ready"):
        entry = {
            "service": server.service,
            "address": f"127.0.0.1:{server.port}",
            "zone": server.zone,
            "slots": 2,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": 1,
        }
        self.store.put(
            f"servers/i-{server.ident:x}", json.dumps(entry).encode()
        )

    async def add_balancer(self, folder):
        proxy = tcp_proxy.TcpProxy(self.store_port)
        await proxy.start()
        balancer = BalancerProcess(
            self, len(self.balancers) + 1, folder, proxy
        )
        if self.seed_ip is None:
            self.seed_ip = balancer.ip
        self.balancers.append(balancer)
        return balancer

    def flow(self, port=FEED_PORT, balancers=None):
        """Return a flow whose packets go to balancers at random."""
        chosen = self.balancers if balancers is None else balancers
        return flow_endpoints.ClientFlow(
            self.clients,
            lambda: [balancer.packet_address for balancer in chosen],
            self.rng,
            HOST_NUMBER,
            port,
            next(self._client_ports),
        )


async def wait_until(check, wait_s=10):
    """Wait until ``check``, a function or coroutine, returns true."""
    async with asyncio.timeout(wait_s):
        while True:
            result = check()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def running_cluster(folder, *, balancers=2, servers=3, seed=1):
    """Start a cluster; kill its processes at the end."""
    cluster = Cluster(seed)
    await cluster.clients.start()
    cluster.store_port = await cluster.store.start()
    cluster.configure(feed="counter", dump="workshop")
    for _ in range(servers):
        await cluster.add_server()
    await cluster.add_server("workshop")
    try:
        for _ in range(balancers):
            (await cluster.add_balancer(folder)).start()
        for balancer in cluster.balancers:
            await wait_until(balancer.is_ready)
        yield cluster
    finally:
        for balancer in cluster.balancers:
            balancer.kill()
            await balancer.proxy.stop()
        cluster.clients.close()
        for server in cluster.servers.values():
            server.close()
        await cluster.store.stop()
