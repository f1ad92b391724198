"""Core of a balancer: one deterministic state machine."""

from collections.abc import Callable
import ipaddress
import random
from typing import Any

from hdrh import histogram
import transitions

from cyclamenridge import address as address_lib
from cyclamenridge.config import loader
from cyclamenridge.control import plane as plane_lib
from cyclamenridge.control import types as control
import cyclamenridge.errors as errors
from cyclamenridge.feed import owner as feed_owner
from cyclamenridge.node import context as context_lib
from cyclamenridge.node import directory as directory_lib
from cyclamenridge.node import dispatch
from cyclamenridge.node import dump as dump_lib
from cyclamenridge.node import effects as effects_lib
from cyclamenridge.node import events
from cyclamenridge.node import forwarding
from cyclamenridge.node import links as links_lib
from cyclamenridge.node import packets as packets_lib
from cyclamenridge.node import services as services_lib
from cyclamenridge.node import stop as stop_lib
from cyclamenridge.node import tallies
from cyclamenridge.routing import homes
from cyclamenridge.session import execution
from cyclamenridge.session import owner as session_owner
from cyclamenridge.wire import backend
from cyclamenridge.wire import rpc

Address = address_lib.Address
Effect = effects_lib.Effect
ServerRef = events.ServerRef

DEMAND_INTERVAL_MS = 1000
_CONTROL = 1
_MAX_CHECKED_HOSTS = 4096
# The application counts what it really sends.
_COUNTED_ELSEWHERE = frozenset({"control_bytes_sent"})

_STATES = ["starting", "serving", "leaving", "stopped"]
_TRANSITIONS = [
    {"trigger": "serve", "source": "starting", "dest": "serving"},
    {
        "trigger": "leave",
        "source": ["starting", "serving"],
        "dest": "leaving",
    },
    {"trigger": "stop", "source": "leaving", "dest": "stopped"},
]


class NodeCore(links_lib.Listener):
    """Ties routing, scheduling, sessions, feeds and control together."""

    state: str

    def __init__(
        self,
        me: homes.Balancer,
        *,
        keys: tuple[bytes, ...],
        seeds: tuple[Address, ...],
        rng: random.Random,
    ) -> None:
        self._ctx = context_lib.Context(me, keys=keys, rng=rng)
        self._codec = forwarding.ForwardCodec(keys)
        self._directory = directory_lib.Directory(self._ctx)
        self._links = links_lib.LinkTable(self._ctx, self, rng)
        self._services = services_lib.Services(
            self._ctx, self._directory, self._links, rng
        )
        self._sessions = session_owner.SessionOwner(self._ctx, self._services)
        self._executor = execution.Executor(
            self._ctx, self._services, self._links, self._sessions
        )
        self._sessions.executor = self._executor
        self._feeds = feed_owner.FeedOwner(
            self._ctx, self._services, self._links
        )
        self._plane = plane_lib.ControlPlane(
            me, keys=keys, seeds=seeds, rng=rng
        )
        self._packets = packets_lib.PacketRelay(
            self._ctx,
            self._directory,
            self._services,
            self._links,
            self._plane.send_filter,
        )
        self._dispatch = dispatch.CallerDispatch(
            self._ctx,
            self._directory,
            self._sessions,
            self._feeds,
            self._packets,
            self._codec,
        )
        self._stop = stop_lib.PlannedStop(
            self._ctx, self._sessions, self._executor, self._feeds
        )
        self._tallies = tallies.TallyCollector(self._ctx.counters)
        self._networks: tuple[ipaddress.IPv4Network, ...] | None = None
        self._hosts: dict[str, bool] = {}
        self._demands_ms = 0
        transitions.Machine(
            model=self,
            states=_STATES,
            transitions=_TRANSITIONS,
            initial="starting",
            auto_transitions=False,
        )
        self._handlers: dict[type, Callable[[int, Any], None]] = {
            events.CallerDatagram: self._caller_datagram,
            events.PeerDatagram: self._peer_datagram,
            events.LinkMessage: self._links.message,
            events.LinkUp: self._links.established,
            events.LinkDown: self._links.ended,
            events.InstancesListed: self._instances,
            events.StoreRead: self._store_read,
            events.StoreFailed: self._store_failed,
            events.Tick: self._tick,
            events.StopRequested: self._stop_requested,
        }
        self.counters = self._ctx.counters
        self.latencies: dict[str, histogram.HdrHistogram] = self._ctx.latencies

    def start(self, now_ms: int) -> list[Effect]:
        """Start to look for peers and a configuration."""
        self._directory.start(now_ms)
        self._apply(now_ms, self._plane.start(now_ms))
        return self._ctx.take_effects()

    def handle(self, now_ms: int, event: events.Event) -> list[Effect]:
        """Handle one event and return what is to be done."""
        self._handlers[type(event)](now_ms, event)
        ctx = self._ctx
        out, ctx.effects = ctx.effects, []
        return out

    def dump(self, now_ms: int) -> dump_lib.NodeDump:
        """Return the state of the node for operators."""
        document = self._plane.document
        return dump_lib.NodeDump(
            name=self._ctx.me.name,
            incarnation=self._ctx.me.incarnation,
            state=self.state,
            revision=document.revision if document is not None else None,
            members=self._directory.states(),
            services=tuple(
                dump_lib.ServiceDump(
                    service=runtime.name,
                    home=tuple(
                        member.name
                        for member in self._directory.home(runtime.name)
                    ),
                    users=runtime.users,
                    draining=tuple(
                        sorted(n for n, by in runtime.drains.items() if by)
                    ),
                )
                for runtime in self._services.runtimes()
            ),
            links=tuple(
                dump_lib.LinkDump(
                    service=link.ref.service,
                    server=link.ref.server,
                    address=str(link.address),
                    state=link.state,
                    incarnation=(
                        link.identity.incarnation
                        if link.identity is not None
                        else None
                    ),
                    silent_ms=now_ms - link.last_rx_ms if link.up else 0,
                    calls_open=len(link.pending),
                )
                for link in self._links.links()
            ),
            sessions=len(self._sessions.table),
            requests_in_progress=self._sessions.unfinished_count,
            buffered_bytes=self._sessions.buffered_bytes,
            feeds=self._feeds.feed_count,
            counters=dict(self._ctx.counters),
        )

    # What happens on links

    def link_up(
        self, now_ms: int, ref: ServerRef, identity: backend.Identity
    ) -> None:
        """Resolve and attach what waits for a server."""
        self._services.link_up(now_ms, ref, identity)
        self._executor.link_up(now_ms, ref, identity)
        self._feeds.link_up(now_ms, ref, identity)

    def link_lost(self, now_ms: int, ref: ServerRef) -> None:
        """Hold what was in flight at a server."""
        self._services.link_lost(now_ms, ref)
        self._executor.link_lost(now_ms, ref)
        self._feeds.link_lost(now_ms, ref)

    def load(self, now_ms: int, ref: ServerRef, load: backend.Load) -> None:
        """Take a load report."""
        self._services.load(now_ms, ref, load)

    def answered(
        self,
        now_ms: int,
        ref: ServerRef,
        pending: links_lib.Pending,
        answer: rpc.Response,
    ) -> None:
        """Take the answer to a call of this node."""
        if pending.method in ("attach", "detach"):
            self._feeds.answered(now_ms, ref, pending, answer)
        else:
            self._executor.answered(now_ms, ref, pending, answer)

    def notified(
        self, now_ms: int, ref: ServerRef, note: rpc.Notification
    ) -> None:
        """Take a notification of a server."""
        if note.method == "event":
            self._feeds.event(now_ms, ref, note.params)
        elif note.method == "moved":
            self._feeds.moved(ref, note.params)
        elif note.method == "draining":
            self._services.said_draining(now_ms, ref)
        elif note.method == "datagram":
            self._packets.from_server(now_ms, ref, note.params)
        else:
            self._ctx.counters["link_messages_malformed"] += 1

    # Events

    def _caller_datagram(
        self, now_ms: int, event: events.CallerDatagram
    ) -> None:
        self._dispatch.datagram(
            now_ms, event.source, event.data, forwarded=False
        )

    def _peer_datagram(self, now_ms: int, event: events.PeerDatagram) -> None:
        data = event.data
        if not data or not self._is_inside(event.source.host):
            self._ctx.counters["peer_datagrams_refused"] += 1
        elif data[0] == forwarding.FORWARDED:
            try:
                source, inner = self._codec.unwrap(data)
            except errors.WireError:
                self._ctx.counters["peer_datagrams_refused"] += 1
                return
            self._dispatch.datagram(now_ms, source, inner, forwarded=True)
        elif data[0] == _CONTROL:
            self._apply(
                now_ms, self._plane.datagram(now_ms, event.source, data)
            )
        else:
            self._ctx.counters["peer_datagrams_refused"] += 1

    def _instances(self, now_ms: int, event: events.InstancesListed) -> None:
        self._services.instances(now_ms, event.instances)
        self._apply(now_ms, self._plane.instances(now_ms, event.instances))

    def _store_read(self, now_ms: int, event: events.StoreRead) -> None:
        self._apply(now_ms, self._plane.store_read(now_ms, event))

    def _store_failed(self, now_ms: int, event: events.StoreFailed) -> None:
        self._apply(now_ms, self._plane.store_failed(now_ms, event))

    def _tick(self, now_ms: int, event: events.Tick) -> None:
        self._packets.tick(now_ms)
        self._apply(now_ms, self._plane.tick(now_ms))
        self._links.tick(now_ms)
        self._executor.tick(now_ms)
        self._sessions.tick(now_ms)
        self._feeds.tick(now_ms)
        self._services.tick(now_ms)
        if now_ms - self._demands_ms >= DEMAND_INTERVAL_MS:
            self._demands_ms = now_ms
            self._plane.set_demands(now_ms, self._services.demands(now_ms))
            self._collect_counters()
        if self.state == "leaving":
            exit_code = self._stop.tick(now_ms)
            if exit_code is not None:
                self._finish_stop(exit_code)

    def _collect_counters(self) -> None:
        self._tallies.collect(
            "control", self._plane.counters, skip=_COUNTED_ELSEWHERE
        )
        for runtime in self._services.runtimes():
            self._tallies.collect(
                f"scheduler {runtime.name}",
                runtime.scheduler.counters,
                prefix="scheduler_",
            )

    def _stop_requested(
        self, now_ms: int, event: events.StopRequested
    ) -> None:
        if self.state == "stopped":
            return
        if self.state == "leaving":
            self._finish_stop(stop_lib.EXIT_AT_ONCE)
            return
        old = self.state
        self.leave()  # type: ignore[attr-defined]
        self._ctx.leaving = True
        self._ctx.changed("node", old, "leaving", "stop requested")
        self._stop.begin(now_ms, event.deadline_ms)
        self._apply(now_ms, self._plane.leave(now_ms))
        self._directory.update(self._plane.members())

    def _finish_stop(self, exit_code: int) -> None:
        self.stop()  # type: ignore[attr-defined]
        self._ctx.changed("node", "leaving", "stopped", f"exit {exit_code}")
        self._ctx.effects.append(effects_lib.Stopped(exit_code))

    def _apply(self, now_ms: int, output: control.Output) -> None:
        """Carry out a step of the control plane."""
        self._ctx.effects.extend(output.effects)
        if effects_lib.WatchStore(active=False) in output.effects:
            # The list is not kept up to date any more.
            self._services.instances(now_ms, ())
        adopted = output.adopted is not None and self._adopt(
            output.adopted.body, output.adopted.revision
        )
        rehomed: frozenset[str] = frozenset()
        if adopted or output.members_changed:
            rehomed = self._directory.update(self._plane.members())
        if adopted:
            for runtime, refusals in self._services.reconfigure(
                now_ms, rehomed
            ):
                for refusal in refusals:
                    self._executor.refused(now_ms, refusal)
                self._executor.poll(now_ms, runtime)
        else:
            self._services.rehome(now_ms, rehomed)
        for received in output.demands:
            self._services.peer_demand(now_ms, received)
        for told in output.filters:
            self._packets.learn(now_ms, told)

    def _adopt(self, body: str, revision: int) -> bool:
        try:
            cfg = loader.parse(body, source=f"revision {revision}")
            networks = tuple(
                ipaddress.IPv4Network(network)
                for domain in cfg.failure_domains.values()
                for network in domain.networks
            )
        except (errors.ConfigError, ValueError) as exc:
            self._ctx.counters["config_refused"] += 1
            self._ctx.changed(
                "config", "", f"revision {revision} refused", str(exc)
            )
            return False
        self._ctx.set_config(cfg)
        self._networks = networks
        self._hosts.clear()
        self._ctx.changed("config", "", f"revision {revision}", "")
        if self.state == "starting":
            self.serve()  # type: ignore[attr-defined]
            self._ctx.changed("node", "starting", "serving", "")
        return True

    def _is_inside(self, host: str) -> bool:
        """Tell whether a host is in a network of the deployment."""
        if self._networks is None:
            return True
        inside = self._hosts.get(host)
        if inside is None:
            if len(self._hosts) >= _MAX_CHECKED_HOSTS:
                self._hosts.clear()
            ip = ipaddress.IPv4Address(host)
            inside = any(ip in network for network in self._networks)
            self._hosts[host] = inside
        return inside
