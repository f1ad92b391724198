"""Network transport of beacons and snapshots between balancers."""

import asyncio
from collections.abc import Callable

from cyclamenridge.adapters import http
import cyclamenridge.address as address_lib
import cyclamenridge.clock as clock_lib
import cyclamenridge.errors as errors
from cyclamenridge.flow import core as core_lib
from cyclamenridge.flow import log as log_port
from cyclamenridge.flow import peers as peers_lib
from cyclamenridge.ports import component
from cyclamenridge.ports import datagrams

SNAPSHOT_PATH = "/snapshot"
_CONNECT_TIMEOUT_MS = 500
_PULL_TIMEOUT_MS = 1500


class PeerLink(component.Component):
    """Sends and receives beacons; fetches snapshots from peers."""

    def __init__(
        self,
        peers: peers_lib.Peers,
        core: core_lib.FlowCore,
        *,
        port: int,
        beacons: datagrams.DatagramEndpoint,
        server: http.HttpServer,
        clock: clock_lib.Clock,
        log: log_port.FlowLog,
        on_update: Callable[[], None],
    ) -> None:
        self._peers = peers
        self._core = core
        self._port = port
        self._beacons = beacons
        self._server = server
        self._clock = clock
        self._log = log
        self._on_update = on_update
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start serving snapshots and sending beacons."""
        await self._server.start()
        self._beacons.open(self._handle_datagram)
        self._spawn(self._send_beacons())

    async def stop(self) -> None:
        """Cancel the tasks and close the sockets."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        data = self._peers.encode_beacon(leaving=True)
        for host in self._peers.hosts():
            self._send_to(host, data)
        self._beacons.close()
        await self._server.stop()

    def _spawn(self, coro: "asyncio.Future[None] | object") -> None:
        task = asyncio.get_running_loop().create_task(coro)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_beacons(self) -> None:
        while True:
            request_reply = not self._core.can_place_flows
            targets = self._peers.beacon_targets(self._clock.now_ms())
            if targets:
                data = self._peers.encode_beacon(request_reply=request_reply)
                for host in targets:
                    self._send_to(host, data)
            await asyncio.sleep(peers_lib.BEACON_INTERVAL_MS / 1000)

    def _send_to(self, host: str, data: bytes) -> None:
        self._core.counters["beacon_bytes_sent"] += len(data)
        self._beacons.send(address_lib.Address(host, self._port), data)

    def _handle_datagram(
        self, source: address_lib.Address, data: bytes
    ) -> None:
        now_ms = self._clock.now_ms()
        try:
            action = self._peers.handle_beacon(now_ms, source.host, data)
        except errors.ControlError as exc:
            self._core.counters["beacons_malformed"] += 1
            self._log.process_event("beacon_refused", error=str(exc))
            return
        if action.reply:
            self._send_to(source.host, self._peers.encode_beacon())
        if action.pull:
            self._spawn(self._pull_snapshot(source.host))

    async def _pull_snapshot(self, host: str) -> None:
        client = http.HttpClient(address_lib.Address(host, self._port))
        previous = self._core.directory.position
        try:
            response = await client.request(
                "GET",
                SNAPSHOT_PATH,
                timeout_ms=_PULL_TIMEOUT_MS,
                connect_timeout_ms=_CONNECT_TIMEOUT_MS,
            )
            if response.status == 200 and self._peers.apply_snapshot(
                self._clock.now_ms(), response.body
            ):
                routes = self._core.routes
                position = self._core.directory.position
                self._log.process_event(
                    "snapshot_taken",
                    peer=host,
                    config=0 if routes is None else routes.version,
                    epoch=position.epoch,
                    revision=position.revision,
                    previous_epoch=previous.epoch,
                    previous_revision=previous.revision,
                )
                self._on_update()
        except (
            http.ConnectError,
            http.NoResponseError,
            errors.ControlError,
        ) as exc:
            self._core.counters["snapshots_failed"] += 1
            self._log.process_event(
                "snapshot_failed", peer=host, error=str(exc)
            )
        finally:
            client.close()
