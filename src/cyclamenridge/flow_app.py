"""Lifecycle and packet loop of a process that forwards flows."""

import asyncio
from collections.abc import Callable
import signal

import transitions

from cyclamenridge.adapters import jsonlog
import cyclamenridge.address as address_lib
import cyclamenridge.clock as clock_lib
import cyclamenridge.errors as errors
from cyclamenridge.flow import core as core_lib
from cyclamenridge.flow import effects
from cyclamenridge.flow import packet as packet_lib
from cyclamenridge.flow import settings as settings_lib
from cyclamenridge.ports import component
from cyclamenridge.ports import datagrams
from cyclamenridge.ports import packet_codec

TICK_INTERVAL_MS = 100
# Routers notice within a second that a process is no longer ready; the rest
# covers packets in flight.
LEAVE_DELAY_MS = 2500
# Time reserved for stopping the components before the process is killed.
STOP_MARGIN_MS = 1500

_STATES = ["starting", "serving", "leaving", "stopped"]
_TRANSITIONS = [
    {"trigger": "serve", "source": "starting", "dest": "serving"},
    {
        "trigger": "leave",
        "source": ["starting", "serving"],
        "dest": "leaving",
    },
    {"trigger": "end", "source": "*", "dest": "stopped"},
]


def _no_op() -> None:
    """Default callback."""


class FlowApplication:
    """Passes packets to the core and carries out the returned effects.

    :ivar on_reload: called on SIGHUP
    """

    state: str

    def __init__(
        self,
        core: core_lib.FlowCore,
        *,
        settings: settings_lib.FlowSettings,
        clock: clock_lib.Clock,
        packets: datagrams.DatagramEndpoint,
        codec: packet_codec.PacketCodec,
        log: jsonlog.JsonLog,
    ) -> None:
        self.core = core
        self.clock = clock
        self._settings = settings
        self._packets = packets
        self._codec = codec
        self._log = log
        self.on_reload: Callable[[], None] = _no_op
        self._components: list[component.Component] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._exit: asyncio.Event = asyncio.Event()
        self._release_timer: asyncio.TimerHandle | None = None
        self._machine = transitions.Machine(
            model=self,
            states=_STATES,
            transitions=_TRANSITIONS,
            initial="starting",
            auto_transitions=False,
        )

    @property
    def ready(self) -> bool:
        """Whether routers should send packets here."""
        return self.state == "serving"

    def add_component(self, item: component.Component) -> None:
        """Start and stop a component together with the application."""
        self._components.append(item)

    async def run(self) -> int:
        """Serve until a graceful stop is complete; return the exit code."""
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self._handle_sighup)
        try:
            self._packets.open(self._handle_datagram)
            for item in self._components:
                await item.start()
            self._tasks.append(
                loop.create_task(self._run_ticks(), name="tick")
            )
            self._log.process_event("started", state=self.state)
            await self._exit.wait()
            return 0
        finally:
            await self.stop()

    async def stop(self) -> None:
        """Cancel the tasks, stop the components and close the sockets."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._release_timer is not None:
            self._release_timer.cancel()
        for waiting in self.core.release_all(self.clock.now_ms()):
            self._carry_out(waiting.packet, waiting.datagram, waiting.effects)
        for item in reversed(self._components):
            await item.stop()
        self._packets.close()
        self.end()  # type: ignore[attr-defined]
        self._log.process_event("stopped", counters=dict(self.core.counters))
        self._log.flush()

    def request_stop(self) -> None:
        """Report not ready, serve until routers noticed, then stop.

        A second request stops at once.
        """
        if self.state not in ("starting", "serving"):
            self._exit.set()
            return
        self.leave()  # type: ignore[attr-defined]
        self._log.process_event("leaving")
        loop = asyncio.get_running_loop()
        delay_ms = min(LEAVE_DELAY_MS, self._settings.stop_ms - STOP_MARGIN_MS)
        loop.call_later(max(delay_ms, 0) / 1000, self._exit.set)

    def set_settings(self, settings: settings_lib.FlowSettings) -> None:
        """Replace the settings after a reload."""
        self._settings = settings

    def _handle_sighup(self) -> None:
        self.on_reload()

    def serve_if_ready(self) -> None:
        """Report ready once new flows can be placed."""
        if self.state == "starting" and self.core.can_place_flows:
            self.serve()  # type: ignore[attr-defined]
            assert self.core.routes is not None
            self._log.process_event(
                "serving",
                config=self.core.routes.version,
                servers=len(self.core.directory),
            )

    def _handle_datagram(
        self, source: address_lib.Address, data: bytes
    ) -> None:
        try:
            packet = self._codec.decode(data)
        except errors.WireError:
            self.core.counters["packets_malformed"] += 1
            return
        now_ms = self.clock.now_ms()
        self._carry_out(
            packet, data, self.core.handle_packet(now_ms, packet, data)
        )
        if self.core.admission.waiting_count:
            self._release(now_ms)

    def _release(self, now_ms: int) -> None:
        """Carry out what the core decided on packets that waited."""
        for item in self.core.release(now_ms):
            self._carry_out(item.packet, item.datagram, item.effects)
        if self.core.admission.waiting_count and self._release_timer is None:
            self._release_timer = asyncio.get_running_loop().call_later(
                core_lib.RELEASE_INTERVAL_MS / 1000, self._on_release_timer
            )

    def _on_release_timer(self) -> None:
        self._release_timer = None
        self._release(self.clock.now_ms())

    def _carry_out(
        self,
        packet: packet_lib.Packet,
        data: bytes,
        items: effects.Effects,
    ) -> None:
        for effect in items:
            if type(effect) is effects.Forward:
                self._packets.send(
                    effect.address,
                    self._codec.encode_forward(
                        data, ident=effect.ident, token=effect.token
                    ),
                )
            elif type(effect) is effects.Reset:
                self._packets.send(
                    self._client_address(packet),
                    self._codec.encode_reset(packet),
                )

    def _client_address(
        self, packet: packet_lib.Packet
    ) -> address_lib.Address:
        number = packet.client
        host = ".".join(str(number >> shift & 255) for shift in (24, 16, 8, 0))
        return address_lib.Address(host, self._settings.packets.port)

    async def _run_ticks(self) -> None:
        ticks = 0
        while True:
            await asyncio.sleep(TICK_INTERVAL_MS / 1000)
            ticks += 1
            self.core.reachability.record_activity(self.clock.now_ms())
            self._log.flush()
            if ticks % (core_lib.SWEEP_INTERVAL_MS // TICK_INTERVAL_MS) == 0:
                for item in self.core.sweep(self.clock.now_ms()):
                    self._carry_out(item.packet, item.datagram, item.effects)
