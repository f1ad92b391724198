"""Application object: life cycle of a balancer process."""

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

TICK_MS = 50
DEFAULT_STOP_MS = 30_000

# A full collection stops the process for 0.16 s at 200,000 feeds. What is
# held per flow has no reference cycles, so full collections are made rare.
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
    """The decisions of the process: events in, effects out."""

    counters: collections.Counter[str]
    latencies: dict[str, histogram.HdrHistogram]

    def start(self, now_ms: int) -> list[effects.Effect]:
        """Return what to do first."""

    def handle(self, now_ms: int, event: events.Event) -> list[effects.Effect]:
        """Take an event and return what to do."""

    def dump(self, now_ms: int) -> Any:
        """Return the whole state for an operator."""


class Application:
    """Carries out the effects of the core and feeds it with events."""

    state: str

    def __init__(
        self,
        core: Core,
        *,
        clock: clock_lib.Clock,
        callers: datagrams.Datagrams,
        peers: datagrams.Datagrams,
        links: links_port.Links,
        platform: platform_port.Platform,
        stop_ms: int = DEFAULT_STOP_MS,
    ) -> None:
        self.core = core
        self.clock = clock
        self.on_ready: list[Callable[[], None]] = []
        self._callers = callers
        self._peers = peers
        self._links = links
        self._platform = platform
        self._components: list[component.Component] = []
        self._stop_ms = stop_ms
        self._signals = 0
        self._ticker: asyncio.Task[None] | None = None
        self._exit: asyncio.Future[int] | None = None
        self._machine = transitions.Machine(
            model=self,
            states=_STATES,
            transitions=_TRANSITIONS,
            initial="created",
            auto_transitions=False,
            after_state_change="_log_state",
            send_event=True,
        )
        self._actions: dict[type, Callable[[Any], None]] = {
            effects.SendCaller: self._send_caller,
            effects.SendPeer: self._send_peer,
            effects.OpenLink: links.open,
            effects.CloseLink: links.close,
            effects.SendLink: links.send,
            effects.ReadStore: lambda _: platform.read(),
            effects.WatchStore: lambda e: platform.watch(active=e.active),
            effects.WriteStore: platform.write,
            effects.StateChanged: logs.log_state_change,
            effects.Stopped: self._stopped,
        }

    def add_component(self, item: component.Component) -> None:
        """Start and stop another part together with the application."""
        self._components.append(item)

    async def run(self) -> int:
        """Serve until the planned stop is complete; return the exit code."""
        gc.set_threshold(*GC_THRESHOLDS)
        try:
            await self.start()
            assert self._exit is not None
            return await self._exit
        finally:
            await self.stop()

    async def start(self) -> None:
        """Open all ports and start the core."""
        self.begin()  # type: ignore[attr-defined]
        loop = asyncio.get_running_loop()
        self._exit = loop.create_future()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self.request_stop)
        self._links.set_receiver(self.dispatch)
        self._platform.set_receiver(self.dispatch)
        await self._platform.start()
        for item in self._components:
            await item.start()
        self._execute(self.core.start(self.clock.now_ms()))
        self._callers.open(self._caller_datagram)
        self._peers.open(self._peer_datagram)
        self._ticker = loop.create_task(self._tick(), name="ticker")
        self.ready()

    def ready(self) -> None:
        """Tell that all ports are open."""
        if self.state == "starting":
            self.serve()  # type: ignore[attr-defined]
        for callback in self.on_ready:
            callback()

    async def stop(self) -> None:
        """Release everything; work that is left is abandoned."""
        if self._ticker is not None:
            self._ticker.cancel()
            await asyncio.gather(self._ticker, return_exceptions=True)
        self._callers.close()
        self._peers.close()
        await self._links.stop()
        await self._platform.stop()
        for item in reversed(self._components):
            await item.stop()
        self.end()  # type: ignore[attr-defined]

    def request_stop(self) -> None:
        """Begin a planned stop; at the second request exit at once."""
        self._signals += 1
        if self._signals > 1:
            self._finish(EXIT_SECOND_SIGNAL)
            return
        self.drain()

    def drain(self) -> None:
        """Begin a planned stop; repeating it has no effect."""
        if self.state not in ("starting", "serving"):
            return
        self.leave()  # type: ignore[attr-defined]
        deadline_ms = self.clock.now_ms() + self._stop_ms
        self.dispatch(events.StopRequested(deadline_ms))

    def dispatch(self, event: events.Event) -> None:
        """Pass an event to the core and carry out what it decides."""
        try:
            out = self.core.handle(self.clock.now_ms(), event)
        except errors.CyclamenridgeError:
            self.core.counters["events_refused"] += 1
            return
        except Exception:
            # One bad input must not end the process and all its flows.
            self.core.counters["internal_errors"] += 1
            logging.exception(
                "%s",
                logs.format_fields(event="internal_error", on=type(event)),
            )
            return
        if out:
            self._execute(out)

    def _execute(self, out: list[effects.Effect]) -> None:
        actions = self._actions
        for effect in out:
            actions[type(effect)](effect)

    def _caller_datagram(
        self, source: address_lib.Address, data: bytes
    ) -> None:
        self.dispatch(events.CallerDatagram(source, data))

    def _peer_datagram(self, source: address_lib.Address, data: bytes) -> None:
        self.dispatch(events.PeerDatagram(source, data))

    def _send_caller(self, effect: effects.SendCaller) -> None:
        self._callers.send(effect.dest, effect.data)

    def _send_peer(self, effect: effects.SendPeer) -> None:
        if effect.control:
            self.core.counters["control_bytes_sent"] += len(effect.data)
        self._peers.send(effect.dest, effect.data)

    def _stopped(self, effect: effects.Stopped) -> None:
        self._finish(effect.exit_code)

    def _finish(self, code: int) -> None:
        if self._exit is not None and not self._exit.done():
            self._exit.set_result(code)

    async def _tick(self) -> None:
        while True:
            self.dispatch(events.Tick())
            await asyncio.sleep(TICK_MS / 1000)

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
