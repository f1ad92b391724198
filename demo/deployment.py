"""Deployment of real processes on loopback: platform, servers, balancers."""

import dataclasses
import json
import pathlib
import secrets
import signal
import subprocess
import sys
import time
from typing import Any
import urllib.error
import urllib.request

import msgspec
import yaml

from cyclamenridge import address as address_lib
from cyclamenridge.wire import token as token_lib
from demo import processes as processes_lib
from tests.standins import server as server_lib

DOMAINS = ("qld-bne", "qld-tsv", "qld-cns", "qld-too")
CUSTOMERS = ("arrowtail-fitters", "brigalow-doors", "coolabah-lifts")
START_TIMEOUT_S = 15.0
_POLL_S = 0.05

Address = address_lib.Address


@dataclasses.dataclass(frozen=True)
class Balancer:
    """Name, failure domain and addresses of a balancer."""

    name: str
    domain: str
    caller: Address
    peer: Address
    admin: Address


@dataclasses.dataclass(frozen=True)
class Server:
    """Name, failure domain and address of a backend server."""

    service: str
    name: str
    domain: str
    address: Address


class Deployment:
    """Processes and files of a deployment.

    :param directory: for configuration, settings, logs and run records
    :param balancers: number of balancers
    :param servers: number of backend servers by service
    :param stop_deadline_ms: longest time of a planned stop of a balancer
    """

    def __init__(
        self,
        directory: pathlib.Path,
        *,
        seed: int = 1,
        balancers: int = 4,
        servers: dict[str, int] | None = None,
        event_interval_ms: int = 200,
        stop_deadline_ms: int = 10_000,
    ) -> None:
        self.directory = directory
        self.processes = processes_lib.Processes(directory)
        self.seed = seed
        self.stop_deadline_ms = stop_deadline_ms
        self.key = secrets.token_bytes(32)
        self.codec = token_lib.TokenCodec((self.key,))
        self.event_interval_ms = event_interval_ms
        self.store_url = ""
        self.control_url = ""
        self.balancers = tuple(
            _create_balancer(number) for number in range(1, balancers + 1)
        )
        self.servers = tuple(
            _create_server(service, number)
            for service, count in (
                servers or {"counter": 4, "workshop": 3}
            ).items()
            for number in range(1, count + 1)
        )

    def start_platform(self) -> None:
        """Start the store and register all instances in it."""
        port = processes_lib.free_port("127.0.0.1")
        self.processes.start(
            "platform",
            "tests.standins.platform",
            "--listen",
            f"127.0.0.1:{port}",
        )
        self.processes.wait_for_text("platform", "\n", START_TIMEOUT_S)
        line = self.processes.output("platform").splitlines()[0]
        self.store_url, self.control_url = line.split()
        for balancer in self.balancers:
            self.register_instance(
                balancer.name, balancer.peer, balancer.domain, "balancer"
            )
        for server in self.servers:
            self.register_instance(
                server.name, server.address, server.domain, server.service
            )

    def register_instance(
        self,
        name: str,
        address: Address,
        domain: str,
        role: str,
        state: str = "live",
    ) -> None:
        """Add or replace an entry of the platform's instance list."""
        value = {
            "address": str(address),
            "domain": domain,
            "role": role,
            "state": state,
        }
        post_json(
            f"{self.control_url}/instance", {"name": name, "value": value}
        )

    def start_servers(self, **options: str) -> None:
        """Start the backend servers and wait until they listen.

        :param options: more options of the command line, without dashes
        """
        for server in self.servers:
            self.start_server(server, **options)
        for server in self.servers:
            self.processes.wait_for_text(server.name, "ready", START_TIMEOUT_S)

    def start_server(self, server: Server, **options: str) -> None:
        """Start a backend server without waiting for it."""
        arguments = {
            "service": server.service,
            "server": server.name,
            "listen": str(server.address),
            "event-interval-ms": str(self.event_interval_ms),
            "seed": str(self.seed),
            "records": str(self._records_path(server)),
            **options,
        }
        self.processes.start(
            server.name,
            "tests.standins.server",
            *(f"--{key}={value}" for key, value in arguments.items()),
        )

    def start_balancers(self) -> None:
        """Start all balancers without waiting for them."""
        for balancer in self.balancers:
            self.start_balancer(balancer)

    def start_balancer(self, balancer: Balancer) -> None:
        """Write the settings of a balancer and start its process."""
        path = self.directory / f"{balancer.name}.yaml"
        path.write_text(yaml.safe_dump(self.settings(balancer)))
        self.processes.start(
            balancer.name, "cyclamenridge", "balancer", "--settings", str(path)
        )

    def settings(self, balancer: Balancer) -> dict[str, object]:
        """Return the content of the settings file of a balancer."""
        return {
            "name": balancer.name,
            "failure_domain": balancer.domain,
            "caller_address": str(balancer.caller),
            "peer_address": str(balancer.peer),
            "admin_address": str(balancer.admin),
            "seeds": [
                str(other.peer)
                for other in self.balancers
                if other is not balancer
            ],
            "store": [self.store_url],
            "keys": [self.key.hex()],
            "stop_deadline_ms": self.stop_deadline_ms,
        }

    def config(self) -> dict[str, Any]:
        """Return the configuration of the deployment."""
        services: dict[str, dict] = {}
        for server in self.servers:
            service = services.setdefault(server.service, {"servers": {}})
            service["servers"][server.name] = {
                "address": str(server.address),
                "failure_domain": server.domain,
                "slots": 2,
                "connections": 2000,
            }
            service["slow_start_ms"] = 0
        kinds = {
            "door": ("counter", "feed", {}),
            "bench": ("workshop", "feed", {}),
            "setting": ("counter", "request", {}),
            "status": ("counter", "request", {"idempotent": True}),
            "setting-batch": ("workshop", "request", {"max_bytes": 10_000}),
            "dump": (
                "workshop",
                "bulk",
                {"max_bytes": 1_000_000, "deadline_ms": 30_000},
            ),
        }
        kinds = {
            kind: entry
            for kind, entry in kinds.items()
            if entry[0] in services
        }
        return {
            "deployment": "demo",
            "failure_domains": {
                domain: {
                    "region": "queensland",
                    "networks": [f"127.0.0.{10 + number}/32"],
                }
                for number, domain in enumerate(DOMAINS, 1)
            },
            "services": services,
            "precedence": list(kinds),
            "kinds": {
                kind: {"service": service, "mode": mode, **options}
                for kind, (service, mode, options) in kinds.items()
            },
            "customers": {name: {"share": 1} for name in CUSTOMERS},
        }

    def apply(self, *, base: int = 0, queue_limit: int = 1000) -> str:
        """Apply the configuration with the command line tool.

        :param base: revision that the file is based on
        :param queue_limit: queue limit of each service
        """
        cfg = self.config()
        for service in cfg["services"].values():
            service["queue_limit"] = queue_limit
        path = self.directory / "config.yaml"
        path.write_text(yaml.safe_dump(cfg, sort_keys=False))
        return self.run_command(
            "config",
            "apply",
            str(path),
            f"--store={self.store_url}",
            f"--base={base}",
        )

    def run_command(self, *arguments: str) -> str:
        """Run a ``cyclamenridge`` command and return its standard output.

        :raises RuntimeError: the command failed
        """
        result = subprocess.run(
            [sys.executable, "-m", "cyclamenridge", *arguments],
            cwd=processes_lib.ROOT,
            env=processes_lib.environment(),
            capture_output=True,
            text=True,
            timeout=START_TIMEOUT_S,
            check=False,
        )
        if result.returncode:
            raise RuntimeError(
                f"cyclamenridge {' '.join(arguments)} exited with code "
                f"{result.returncode}: {result.stderr.strip()}"
            )
        return result.stdout.strip()

    def status(self, balancer: Balancer) -> dict | None:
        """Return the status of a balancer, or None if it does not respond."""
        try:
            with urllib.request.urlopen(
                f"http://{balancer.admin}/status", timeout=1
            ) as response:
                return json.load(response)
        except (OSError, urllib.error.URLError, ValueError):
            return None

    def wait_serving(
        self, revision: int = 1, timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Wait until all balancers serve with links to all servers.

        :param revision: revision that each must have at least
        """
        deadline_s = time.monotonic() + timeout_s
        link_count = len(self.servers)
        for balancer in self.balancers:
            while True:
                status = self.status(balancer) or {}
                if (
                    status.get("revision", 0) >= revision
                    and status.get("links_up", 0) >= link_count
                    and status.get("members", 0) >= len(self.balancers)
                ):
                    break
                if time.monotonic() > deadline_s:
                    raise RuntimeError(
                        f"{balancer.name} is not serving: {status}; "
                        + self.processes.output(balancer.name)[-800:]
                    )
                time.sleep(_POLL_S)

    def signal(self, name: str, signum: signal.Signals) -> None:
        """Send a signal to a process of the deployment."""
        self.processes.signal(name, signum)

    def server_records(self) -> list[server_lib.RunRecords]:
        """Return the run records of the servers without stopping them."""
        for server in self.servers:
            self._records_path(server).unlink(missing_ok=True)
            self.signal(server.name, signal.SIGUSR2)
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while not all(self._records_path(s).exists() for s in self.servers):
            if time.monotonic() > deadline_s:
                raise RuntimeError("a server did not write its run records")
            time.sleep(_POLL_S)
        return self._read_records()

    def stop_servers(self) -> list[server_lib.RunRecords]:
        """Stop the servers and return their run records."""
        for server in self.servers:
            if self.processes.running(server.name):
                self.signal(server.name, signal.SIGTERM)
        for server in self.servers:
            self.processes.wait(server.name, START_TIMEOUT_S)
        return self._read_records()

    def _records_path(self, server: Server) -> pathlib.Path:
        return self.directory / f"{server.name}.json"

    def _read_records(self) -> list[server_lib.RunRecords]:
        return [
            msgspec.json.decode(
                self._records_path(server).read_bytes(),
                type=server_lib.RunRecords,
            )
            for server in self.servers
        ]


def post_json(url: str, body: dict) -> None:
    """Send a body as JSON with POST.

    :raises urllib.error.HTTPError: the server refused the request
    """
    request = urllib.request.Request(
        url, data=json.dumps(body).encode(), method="POST"
    )
    with urllib.request.urlopen(request, timeout=5):
        pass


def _create_balancer(number: int) -> Balancer:
    host = f"127.0.0.{10 + number}"
    return Balancer(
        f"b{number}",
        DOMAINS[number - 1],
        *(Address(host, processes_lib.free_port(host)) for _ in range(3)),
    )


def _create_server(service: str, number: int) -> Server:
    host = f"127.0.0.{20 + number}"
    return Server(
        service,
        f"{service}-{number}",
        DOMAINS[(number - 1) % len(DOMAINS)],
        Address(host, processes_lib.free_port(host)),
    )
