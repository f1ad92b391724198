"""Core of a balancer node: a deterministic state machine without I/O."""

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
from cyclamenridge.node import counter_totals
from cyclamenridge.node import directory as directory_lib
from cyclamenridge.node import dispatch
from cyclamenridge.node import dump as dump_lib
from cyclamenridge.node import effects as effects_lib
from cyclamenridge.node import events
from cyclamenridge.node import forwarding
from cyclamenridge.node import links as links_lib
from cyclamenridge.node import packets as packets_lib
from cyclamenridge.node import services as services_lib
from cyclamenridge.node import shutdown as shutdown_lib
from cyclamenridge.routing import home_sets
from cyclamenridge.session import execution
from cyclamenridge.session import owner as session_owner
from cyclamenridge.wire import backend
from cyclamenridge.wire import rpc

Address = address_lib.Address
Effect = effects_lib.Effect
ServerRef = events.ServerRef

DEMAND_INTERVAL_MS = 1000
_CONTROL_DATAGRAM = 1
_MAX_CACHED_HOSTS = 4096
# The application counts the bytes that it actually sends; the control
# plane's own count is not added to the totals.
_COUNTED_BY_APP = frozenset({"control_bytes_sent"})

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


class NodeCore(links_lib.LinkListener):
    """Passes events to the components of a node and collects effects.

    :param me: identity of this node
    :param keys: keys of the message authentication; the first one signs
    :param seeds: peer addresses that are contacted first
    """

    state: str

    def __init__(
        self,
        me: home_sets.Balancer,
        *,
        keys: tuple[bytes, ...],
        seeds: tuple[Address, ...],
        rng: random.Random,
    ) -> None:
        self._ctx = context_lib.Context(me, keys=keys, rng=rng)
        self._codec = forwarding.ForwardCodec(keys)
        self._directory = directory_lib.Directory(self._ctx)
        self._links = links_lib.LinkTable(self._ctx, self, rng)
        self._services = services_lib.ServiceRuntimes(
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
            self._plane.send_pinned_filter,
        )
        self._dispatch = dispatch.CallerDispatcher(
            self._ctx,
            self._directory,
            self._sessions,
            self._feeds,
            self._packets,
            self._codec,
        )
        self._stop = shutdown_lib.GracefulShutdown(
            self._ctx, self._sessions, self._executor, self._feeds
        )
        self._counter_totals = counter_totals.CounterTotals(self._ctx.counters)
        self._deployment_networks: tuple[ipaddress.IPv4Network, ...] | None = (
            None
        )
        self._host_checks: dict[str, bool] = {}
        self._demands_sent_ms = 0
        transitions.Machine(
            model=self,
            states=_STATES,
            transitions=_TRANSITIONS,
            initial="starting",
            auto_transitions=False,
        )
        self._handlers: dict[type, Callable[[int, Any], None]] = {
            events.CallerDatagram: self._on_caller_datagram,
            events.PeerDatagram: self._on_peer_datagram,
            events.LinkMessage: self._links.on_message,
            events.LinkUp: self._links.on_link_up,
            events.LinkDown: self._links.on_link_down,
            events.InstancesListed: self._on_instances,
            events.StoreRead: self._on_store_read,
            events.StoreFailed: self._on_store_failed,
            events.Tick: self._tick,
            events.StopRequested: self._on_stop_requested,
        }
        self.counters = self._ctx.counters
        self.latencies: dict[str, histogram.HdrHistogram] = self._ctx.latencies

    def start(self, now_ms: int) -> list[Effect]:
        """Start discovering peers and fetching the configuration."""
        self._directory.start(now_ms)
        self._apply_output(now_ms, self._plane.start(now_ms))
        return self._ctx.take_effects()

    def handle(self, now_ms: int, event: events.Event) -> list[Effect]:
        """Handle one event and return the resulting effects."""
        self._handlers[type(event)](now_ms, event)
        ctx = self._ctx
        out, ctx.effects = ctx.effects, []
        return out

    def dump(self, now_ms: int) -> dump_lib.NodeDump:
        """Return a snapshot of the node's state for operators."""
        document = self._plane.document
        return dump_lib.NodeDump(
            name=self._ctx.me.name,
            incarnation=self._ctx.me.incarnation,
            state=self.state,
            revision=document.revision if document is not None else None,
            members=self._directory.member_states(),
            services=tuple(
                dump_lib.ServiceDump(
                    service=runtime.name,
                    home=tuple(
                        member.name
                        for member in self._directory.home_set(runtime.name)
                    ),
                    users=runtime.users,
                    draining=tuple(
                        sorted(
                            n for n, by in runtime.drain_sources.items() if by
                        )
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

    # Link events

    def on_link_up(
        self, now_ms: int, ref: ServerRef, identity: backend.Identity
    ) -> None:
        """Resolve requests and attach feeds that wait for a server."""
        self._services.on_link_up(now_ms, ref, identity)
        self._executor.on_link_up(now_ms, ref, identity)
        self._feeds.on_link_up(now_ms, ref, identity)

    def on_link_lost(self, now_ms: int, ref: ServerRef) -> None:
        """Suspend the requests and feeds that were at a server."""
        self._services.on_link_lost(now_ms, ref)
        self._executor.on_link_lost(now_ms, ref)
        self._feeds.on_link_lost(now_ms, ref)

    def on_load_report(
        self, now_ms: int, ref: ServerRef, load: backend.Load
    ) -> None:
        """Pass a load report to the scheduler of the service."""
        self._services.on_load_report(now_ms, ref, load)

    def on_response(
        self,
        now_ms: int,
        ref: ServerRef,
        pending: links_lib.PendingCall,
        response: rpc.Response,
    ) -> None:
        """Handle a server's response to a call of this node."""
        if pending.method in ("attach", "detach"):
            self._feeds.on_response(now_ms, ref, pending, response)
        else:
            self._executor.on_response(now_ms, ref, pending, response)

    def on_notification(
        self, now_ms: int, ref: ServerRef, notification: rpc.Notification
    ) -> None:
        """Handle a notification from a server."""
        if notification.method == "event":
            self._feeds.handle_event(ref, notification.params)
        elif notification.method == "moved":
            self._feeds.handle_moved(ref, notification.params)
        elif notification.method == "draining":
            self._services.on_server_draining(now_ms, ref)
        elif notification.method == "datagram":
            self._packets.relay_to_caller(now_ms, ref, notification.params)
        else:
            self._ctx.counters["link_messages_malformed"] += 1

    # Events

    def _on_caller_datagram(
        self, now_ms: int, event: events.CallerDatagram
    ) -> None:
        self._dispatch.on_datagram(
            now_ms, event.source, event.data, forwarded=False
        )

    def _on_peer_datagram(
        self, now_ms: int, event: events.PeerDatagram
    ) -> None:
        data = event.data
        if not data or not self._is_deployment_host(event.source.host):
            self._ctx.counters["peer_datagrams_refused"] += 1
        elif data[0] == forwarding.FORWARDED_DATAGRAM:
            try:
                source, inner = self._codec.unwrap(data)
            except errors.WireError:
                self._ctx.counters["peer_datagrams_refused"] += 1
                return
            self._dispatch.on_datagram(now_ms, source, inner, forwarded=True)
        elif data[0] == _CONTROL_DATAGRAM:
            self._apply_output(
                now_ms, self._plane.handle_datagram(now_ms, event.source, data)
            )
        else:
            self._ctx.counters["peer_datagrams_refused"] += 1

    def _on_instances(
        self, now_ms: int, event: events.InstancesListed
    ) -> None:
        self._services.set_instances(now_ms, event.instances)
        self._apply_output(
            now_ms, self._plane.set_listed_instances(now_ms, event.instances)
        )

    def _on_store_read(self, now_ms: int, event: events.StoreRead) -> None:
        self._apply_output(
            now_ms, self._plane.handle_store_read(now_ms, event)
        )

    def _on_store_failed(self, now_ms: int, event: events.StoreFailed) -> None:
        self._apply_output(
            now_ms, self._plane.handle_store_failure(now_ms, event)
        )

    def _tick(self, now_ms: int, event: events.Tick) -> None:
        self._packets.tick(now_ms)
        self._apply_output(now_ms, self._plane.tick(now_ms))
        self._links.tick(now_ms)
        self._executor.tick(now_ms)
        self._sessions.tick(now_ms)
        self._feeds.tick(now_ms)
        self._services.tick(now_ms)
        if now_ms - self._demands_sent_ms >= DEMAND_INTERVAL_MS:
            self._demands_sent_ms = now_ms
            self._plane.set_demands(now_ms, self._services.demands(now_ms))
            self._collect_counters()
        if self.state == "leaving":
            exit_code = self._stop.tick(now_ms)
            if exit_code is not None:
                self._finish_stop(exit_code)

    def _collect_counters(self) -> None:
        self._counter_totals.collect(
            "control", self._plane.counters, skip=_COUNTED_BY_APP
        )
        for runtime in self._services.runtimes():
            self._counter_totals.collect(
                f"scheduler {runtime.name}",
                runtime.scheduler.counters,
                prefix="scheduler_",
            )

    def _on_stop_requested(
        self, now_ms: int, event: events.StopRequested
    ) -> None:
        if self.state == "stopped":
            return
        if self.state == "leaving":
            self._finish_stop(shutdown_lib.EXIT_FORCED)
            return
        old = self.state
        self.leave()  # type: ignore[attr-defined]
        self._ctx.leaving = True
        self._ctx.report_transition("node", old, "leaving", "stop requested")
        self._stop.begin(now_ms, event.deadline_ms)
        self._apply_output(now_ms, self._plane.leave(now_ms))
        self._directory.update(self._plane.members())

    def _finish_stop(self, exit_code: int) -> None:
        self.stop()  # type: ignore[attr-defined]
        self._ctx.report_transition(
            "node", "leaving", "stopped", f"exit {exit_code}"
        )
        self._ctx.effects.append(effects_lib.Stopped(exit_code))

    def _apply_output(self, now_ms: int, output: control.Output) -> None:
        """Apply the output of one step of the control plane."""
        self._ctx.effects.extend(output.effects)
        if effects_lib.WatchStore(active=False) in output.effects:
            # Without a watch the instance list is no longer up to date.
            self._services.set_instances(now_ms, ())
        adopted = output.adopted_document is not None and self._adopt_config(
            output.adopted_document.body, output.adopted_document.revision
        )
        home_changes: frozenset[str] = frozenset()
        if adopted or output.members_changed:
            home_changes = self._directory.update(self._plane.members())
        if adopted:
            for runtime, refusals in self._services.reconfigure(
                now_ms, home_changes
            ):
                for refusal in refusals:
                    self._executor.handle_refusal(now_ms, refusal)
                self._executor.poll(now_ms, runtime)
        else:
            self._services.update_home_sets(now_ms, home_changes)
        for received in output.demands:
            self._services.on_peer_demand(now_ms, received)
        for announcement in output.filters:
            self._packets.on_filter(now_ms, announcement)

    def _adopt_config(self, body: str, revision: int) -> bool:
        try:
            cfg = loader.parse(body, source=f"revision {revision}")
            networks = tuple(
                ipaddress.IPv4Network(network)
                for domain in cfg.failure_domains.values()
                for network in domain.networks
            )
        except (errors.ConfigError, ValueError) as exc:
            self._ctx.counters["config_refused"] += 1
            self._ctx.report_transition(
                "config", "", f"revision {revision} refused", str(exc)
            )
            return False
        self._ctx.set_config(cfg)
        self._deployment_networks = networks
        self._host_checks.clear()
        self._ctx.report_transition("config", "", f"revision {revision}", "")
        if self.state == "starting":
            self.serve()  # type: ignore[attr-defined]
            self._ctx.report_transition("node", "starting", "serving", "")
        return True

    def _is_deployment_host(self, host: str) -> bool:
        """Tell whether a host is in one of the deployment's networks.

        Before the first configuration every host is accepted.
        """
        if self._deployment_networks is None:
            return True
        inside = self._host_checks.get(host)
        if inside is None:
            if len(self._host_checks) >= _MAX_CACHED_HOSTS:
                self._host_checks.clear()
            ip = ipaddress.IPv4Address(host)
            inside = any(
                ip in network for network in self._deployment_networks
            )
            self._host_checks[host] = inside
        return inside
