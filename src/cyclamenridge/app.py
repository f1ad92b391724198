"""Lifecycle of a balancer process."""

import asyncio
import collections
from collections.abc import Callable
import gc
import signal
from typing import Any
from typing import Protocol

from absl import logging
from hdrh import histogram
import transitions

from cyclamenridge.adapters import logs
import cyclamenridge.address as address_lib
import cyclamenridge.clock as clock_lib
import cyclamenridge.errors as errors
from cyclamenridge.node import effects
from cyclamenridge.node import events
from cyclamenridge.ports import component
from cyclamenridge.ports import datagrams
from cyclamenridge.ports import links as links_port
from cyclamenridge.ports import platform as platform_port

TICK_INTERVAL_MS = 50
DEFAULT_STOP_TIMEOUT_MS = 30_000

# A full garbage collection pauses the process for 0.16 s at 200,000 feeds.
# The state of flows has no reference cycles, so full collections can be rare.
GC_THRESHOLDS = (10_000, 20, 1_000)

EXIT_STOPPED = 0
EXIT_SECOND_SIGNAL = 4

_STATES = ["created", "starting", "serving", "leaving", "stopped"]
_TRANSITIONS = [
    {"trigger": "begin", "source": "created", "dest": "starting"},
    {"trigger": "serve", "source": "starting", "dest": "serving"},
    {
        "trigger": "leave",
        "source": ["starting", "serving"],
        "dest": "leaving",
    },
    {"trigger": "end", "source": "*", "dest": "stopped"},
]


class Core(Protocol):
    """Decides what the process does: takes events and returns effects."""

    counters: collections.Counter[str]
    latencies: dict[str, histogram.HdrHistogram]

    def start(self, now_ms: int) -> list[effects.Effect]:
        """Return the initial effects."""

    def handle(self, now_ms: int, event: events.Event) -> list[effects.Effect]:
        """Handle an event and return the resulting effects."""

    def dump(self, now_ms: int) -> Any:
        """Return a dump of the state for operators."""


class Application:
    """Passes events to the core and carries out the returned effects.

    :ivar on_ready: callbacks that run when all endpoints are open
    """

    state: str

    def __init__(
        self,
        core: Core,
        *,
        clock: clock_lib.Clock,
        caller_endpoint: datagrams.DatagramEndpoint,
        peer_endpoint: datagrams.DatagramEndpoint,
        links: links_port.LinkTransport,
        platform: platform_port.Platform,
        stop_timeout_ms: int = DEFAULT_STOP_TIMEOUT_MS,
    ) -> None:
        self.core = core
        self.clock = clock
        self.on_ready: list[Callable[[], None]] = []
        self._caller_endpoint = caller_endpoint
        self._peer_endpoint = peer_endpoint
        self._links = links
        self._platform = platform
        self._components: list[component.Component] = []
        self._stop_timeout_ms = stop_timeout_ms
        self._stop_request_count = 0
        self._tick_task: asyncio.Task[None] | None = None
        self._exit_code_future: asyncio.Future[int] | None = None
        self._machine = transitions.Machine(
            model=self,
            states=_STATES,
            transitions=_TRANSITIONS,
            initial="created",
            auto_transitions=False,
            after_state_change="_log_state",
            send_event=True,
        )
        self._effect_handlers: dict[type, Callable[[Any], None]] = {
            effects.SendCaller: self._send_to_caller,
            effects.SendPeer: self._send_to_peer,
            effects.OpenLink: links.open,
            effects.CloseLink: links.close,
            effects.SendLink: links.send,
            effects.ReadStore: lambda _: platform.read(),
            effects.WatchStore: lambda e: platform.watch(active=e.active),
            effects.WriteStore: platform.write,
            effects.StateChanged: logs.log_state_change,
            effects.Stopped: self._handle_stopped,
        }

    def add_component(self, item: component.Component) -> None:
        """Start and stop a component together with the application."""
        self._components.append(item)

    async def run(self) -> int:
        """Serve until a graceful stop is complete; return the exit code."""
        gc.set_threshold(*GC_THRESHOLDS)
        try:
            await self.start()
            assert self._exit_code_future is not None
            return await self._exit_code_future
        finally:
            await self.stop()

    async def start(self) -> None:
        """Open all endpoints and start the core."""
        self.begin()  # type: ignore[attr-defined]
        loop = asyncio.get_running_loop()
        self._exit_code_future = loop.create_future()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self.request_stop)
        self._links.set_receiver(self.dispatch)
        self._platform.set_receiver(self.dispatch)
        await self._platform.start()
        for item in self._components:
            await item.start()
        self._execute_effects(self.core.start(self.clock.now_ms()))
        self._caller_endpoint.open(self._handle_caller_datagram)
        self._peer_endpoint.open(self._handle_peer_datagram)
        self._tick_task = loop.create_task(self._run_ticks(), name="ticker")
        self.set_ready()

    def set_ready(self) -> None:
        """Change to state ``serving`` and run the ``on_ready`` callbacks."""
        if self.state == "starting":
            self.serve()  # type: ignore[attr-defined]
        for callback in self.on_ready:
            callback()

    async def stop(self) -> None:
        """Stop all components; requests in progress are abandoned."""
        if self._tick_task is not None:
            self._tick_task.cancel()
            await asyncio.gather(self._tick_task, return_exceptions=True)
        self._caller_endpoint.close()
        self._peer_endpoint.close()
        await self._links.stop()
        await self._platform.stop()
        for item in reversed(self._components):
            await item.stop()
        self.end()  # type: ignore[attr-defined]

    def request_stop(self) -> None:
        """Begin a graceful stop; a second request exits at once."""
        self._stop_request_count += 1
        if self._stop_request_count > 1:
            self._set_exit_code(EXIT_SECOND_SIGNAL)
            return
        self.drain()

    def drain(self) -> None:
        """Begin a graceful stop; further calls have no effect."""
        if self.state not in ("starting", "serving"):
            return
        self.leave()  # type: ignore[attr-defined]
        deadline_ms = self.clock.now_ms() + self._stop_timeout_ms
        self.dispatch(events.StopRequested(deadline_ms))

    def dispatch(self, event: events.Event) -> None:
        """Pass an event to the core and carry out the returned effects."""
        try:
            effect_list = self.core.handle(self.clock.now_ms(), event)
        except errors.CyclamenridgeError:
            self.core.counters["events_refused"] += 1
            return
        except Exception:
            # One bad input must not stop the process and drop all its flows.
            self.core.counters["internal_errors"] += 1
            logging.exception(
                "%s",
                logs.format_fields(event="internal_error", on=type(event)),
            )
            return
        if effect_list:
            self._execute_effects(effect_list)

    def _execute_effects(self, effect_list: list[effects.Effect]) -> None:
        handlers = self._effect_handlers
        for effect in effect_list:
            handlers[type(effect)](effect)

    def _handle_caller_datagram(
        self, source: address_lib.Address, data: bytes
    ) -> None:
        self.dispatch(events.CallerDatagram(source, data))

    def _handle_peer_datagram(
        self, source: address_lib.Address, data: bytes
    ) -> None:
        self.dispatch(events.PeerDatagram(source, data))

    def _send_to_caller(self, effect: effects.SendCaller) -> None:
        self._caller_endpoint.send(effect.dest, effect.data)

    def _send_to_peer(self, effect: effects.SendPeer) -> None:
        if effect.control:
            self.core.counters["control_bytes_sent"] += len(effect.data)
        self._peer_endpoint.send(effect.dest, effect.data)

    def _handle_stopped(self, effect: effects.Stopped) -> None:
        self._set_exit_code(effect.exit_code)

    def _set_exit_code(self, code: int) -> None:
        if (
            self._exit_code_future is not None
            and not self._exit_code_future.done()
        ):
            self._exit_code_future.set_result(code)

    async def _run_ticks(self) -> None:
        while True:
            self.dispatch(events.Tick())
            await asyncio.sleep(TICK_INTERVAL_MS / 1000)

    def _log_state(self, event: transitions.EventData) -> None:
        logging.info(
            "%s",
            logs.format_fields(
                event="state_changed",
                subject="process",
                old=event.transition.source,
                new=event.transition.dest,
            ),
        )
