"""Relays packets without a routing token between callers and servers."""

import collections
from collections.abc import Callable

import msgspec

from cyclamenridge import address as address_lib
from cyclamenridge.config import model
from cyclamenridge.control import types as control
from cyclamenridge.node import context as context_lib
from cyclamenridge.node import directory as directory_lib
from cyclamenridge.node import events
from cyclamenridge.node import links as links_lib
from cyclamenridge.node import services as services_lib
from cyclamenridge.routing import flow_router
from cyclamenridge.routing import pinned_flows
from cyclamenridge.wire import backend
from cyclamenridge.wire import caller
from cyclamenridge.wire import rpc

Address = address_lib.Address
ServerRef = events.ServerRef
SendPinnedFilter = Callable[[int, str, str, pinned_flows.PinnedFilter], bool]

# Flows remembered per service; they take about 30 MB.
MAX_FLOWS = 200_000
FLOW_IDLE_MS = 60_000
# A server whose link has been down this long gets no new flows, or loses
# the flows that it has.
SERVER_EXCLUDE_AFTER_MS = 3_000
SERVER_EVICT_AFTER_MS = 30_000
# Flows checked per tick after a change of servers or members; takes less
# than 10 ms.
FLOWS_SCANNED_PER_TICK = 2_000

_DATAGRAM_DECODER = msgspec.msgpack.Decoder(backend.Datagram)


class PacketRelay:
    """Relays packets without a token for all services.

    Each packet of a flow goes to the same server.
    """

    def __init__(
        self,
        ctx: context_lib.Context,
        directory: directory_lib.Directory,
        services: services_lib.ServiceRuntimes,
        links: links_lib.LinkTable,
        send_pinned_filter: SendPinnedFilter,
    ) -> None:
        self._ctx = ctx
        self._directory = directory
        self._services = services
        self._links = links
        self._send_pinned_filter = send_pinned_filter
        self._relays: dict[str, _ServiceRelay] = {}

    def relay_to_server(
        self, now_ms: int, source: Address, packet: caller.Datagram
    ) -> None:
        """Relay a caller's packet to a server of the service."""
        if self._services.get_or_create(now_ms, packet.service) is None:
            self._ctx.counters["packets_without_service"] += 1
            return
        relay = self._relay(now_ms, packet.service)
        server = relay.router.route(now_ms, _flow_key(source))
        if server is None:
            self._ctx.counters["packets_without_server"] += 1
            return
        ref = ServerRef(packet.service, server)
        if self._links.identity(ref) is None:
            # The flow keeps its server while the link is replaced.
            self._ctx.counters["packets_without_link"] += 1
            return
        self._links.notify(
            ref,
            "datagram",
            backend.Datagram(source.host, source.port, packet.payload),
        )

    def relay_to_caller(
        self, now_ms: int, ref: ServerRef, params: msgspec.Raw
    ) -> None:
        """Relay a server's packet to a caller that has sent it packets."""
        try:
            packet = _DATAGRAM_DECODER.decode(params)
        except msgspec.DecodeError:
            self._ctx.counters["link_messages_malformed"] += 1
            return
        dest = Address(packet.host, packet.port)
        relay = self._relays.get(ref.service)
        # A server may send packets only to callers that sent it packets, so
        # it cannot make the balancer send to arbitrary addresses.
        if relay is None or not relay.router.has_flow(
            _flow_key(dest), ref.server
        ):
            self._ctx.counters["packets_without_caller"] += 1
            return
        data = rpc.notification(
            "datagram", caller.Datagram(ref.service, packet.payload)
        )
        if len(data) > caller.MAX_DATAGRAM_BYTES:
            self._ctx.counters["packets_too_large"] += 1
            return
        self._ctx.send_to_caller(dest, data)

    def on_filter(
        self, now_ms: int, received: control.PinnedFilterReceived
    ) -> None:
        """Add a membership filter received from another balancer."""
        cfg = self._ctx.config
        if cfg is None or received.service not in cfg.services:
            return
        servers = cfg.services[received.service].servers
        if (
            received.filter.is_completion_marker
            or received.filter.server in servers
        ):
            relay = self._relay(now_ms, received.service)
            relay.router.add_filter(received.peer, received.filter)

    def tick(self, now_ms: int) -> None:
        """Apply changes of members and servers and send pending filters."""
        for service, relay in self._relays.items():
            self._refresh(now_ms, service, relay)
            relay.filter_queue.extend(
                relay.router.scan_step(FLOWS_SCANNED_PER_TICK)
            )
            while relay.filter_queue:
                item = relay.filter_queue[0]
                if not self._send_pinned_filter(
                    now_ms, item.member, service, item.filter
                ):
                    break
                relay.filter_queue.popleft()

    def _relay(self, now_ms: int, service: str) -> "_ServiceRelay":
        relay = self._relays.get(service)
        if relay is None:
            relay = _ServiceRelay(self._ctx.me.name)
            self._relays[service] = relay
            self._refresh(now_ms, service, relay)
        return relay

    def _refresh(
        self, now_ms: int, service: str, relay: "_ServiceRelay"
    ) -> None:
        members = tuple(
            member.name for member in self._directory.eligible_members(service)
        )
        if members != relay.members:
            relay.members = members
            relay.filter_queue.clear()
            relay.router.set_members(now_ms, members)
        usable, known = self._usable_and_known(now_ms, service)
        if (usable, known) != (relay.usable, relay.known):
            for name in sorted(set(relay.known) - set(known)):
                relay.router.remove_server(name)
            relay.usable, relay.known = usable, known
            relay.filter_queue.clear()
            relay.router.set_servers(now_ms, usable, known)

    def _usable_and_known(
        self, now_ms: int, service: str
    ) -> tuple[tuple[str, ...], ...]:
        """Return the servers for new flows and those that keep flows."""
        cfg = self._ctx.config
        runtime = self._services.get(service)
        if cfg is None or service not in cfg.services:
            return (), ()
        known = sorted(
            name
            for name in cfg.services[service].servers
            if self._link_down_ms(now_ms, service, name)
            < SERVER_EVICT_AFTER_MS
        )
        servers = cfg.services[service].servers
        drain_sources = runtime.drain_sources if runtime is not None else {}
        usable = [
            name
            for name in known
            if servers[name].state is model.ServerState.ACTIVE
            and not drain_sources.get(name)
            and self._link_down_ms(now_ms, service, name)
            < SERVER_EXCLUDE_AFTER_MS
        ]
        return tuple(usable), tuple(known)

    def _link_down_ms(self, now_ms: int, service: str, name: str) -> int:
        link = self._links.get(ServerRef(service, name))
        if link is None or link.up:
            return 0
        return now_ms - link.down_since_ms


class _ServiceRelay:
    """Flows, members and servers of one service.

    :ivar usable: servers that get new flows
    :ivar known: servers that keep the flows they have
    :ivar filter_queue: filters that are yet to be sent to other members
    """

    def __init__(self, me: str) -> None:
        self.router = flow_router.FlowRouter(
            me, flow_limit=MAX_FLOWS, idle_ms=FLOW_IDLE_MS
        )
        self.members: tuple[str, ...] = ()
        self.usable: tuple[str, ...] = ()
        self.known: tuple[str, ...] = ()
        self.filter_queue: collections.deque[flow_router.AddressedFilter] = (
            collections.deque()
        )


def _flow_key(source: Address) -> bytes:
    return str(source).encode()
