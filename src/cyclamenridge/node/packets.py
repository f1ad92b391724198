"""Packets without a routing token."""

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
from cyclamenridge.routing import pinned
from cyclamenridge.routing import tokenless
from cyclamenridge.wire import backend
from cyclamenridge.wire import caller
from cyclamenridge.wire import rpc

Address = address_lib.Address
ServerRef = events.ServerRef
SendFilter = Callable[[int, str, str, pinned.PinnedFilter], bool]

# Flows of one service; about 30 MB.
MAX_FLOWS = 200_000
FLOW_IDLE_MS = 60_000
# A server whose link is down gets no new flows after the first time, and
# loses its flows after the second one.
AVOID_SERVER_MS = 3_000
FORGET_SERVER_MS = 30_000
# Flows that are looked at in one tick after a change; below 10 ms of work.
SCAN_STEP = 2_000

_DATAGRAM = msgspec.msgpack.Decoder(backend.Datagram)


class PacketRelay:
    """Relays packets between callers and servers of a service."""

    def __init__(
        self,
        ctx: context_lib.Context,
        directory: directory_lib.Directory,
        services: services_lib.Services,
        links: links_lib.LinkTable,
        send_filter: SendFilter,
    ) -> None:
        self._ctx = ctx
        self._directory = directory
        self._services = services
        self._links = links
        self._send_filter = send_filter
        self._relays: dict[str, _ServiceRelay] = {}

    def from_caller(
        self, now_ms: int, source: Address, packet: caller.Datagram
    ) -> None:
        """Pass a packet of a caller to a server of the service."""
        if self._services.acquire(now_ms, packet.service) is None:
            self._ctx.counters["packets_without_service"] += 1
            return
        relay = self._relay(now_ms, packet.service)
        server = relay.router.route(now_ms, _key(source))
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

    def from_server(
        self, now_ms: int, ref: ServerRef, params: msgspec.Raw
    ) -> None:
        """Pass a packet of a server to the caller that wrote to it."""
        try:
            packet = _DATAGRAM.decode(params)
        except msgspec.DecodeError:
            self._ctx.counters["link_messages_malformed"] += 1
            return
        dest = Address(packet.host, packet.port)
        relay = self._relays.get(ref.service)
        # Only callers that wrote to the server can be sent packets by it.
        if relay is None or not relay.router.remembers(_key(dest), ref.server):
            self._ctx.counters["packets_without_caller"] += 1
            return
        data = rpc.notification(
            "datagram", caller.Datagram(ref.service, packet.payload)
        )
        if len(data) > caller.MAX_DATAGRAM_BYTES:
            self._ctx.counters["packets_too_large"] += 1
            return
        self._ctx.send(dest, data)

    def learn(self, now_ms: int, told: control.FilterReceived) -> None:
        """Take a filter of another balancer."""
        cfg = self._ctx.config
        if cfg is None or told.service not in cfg.services:
            return
        servers = cfg.services[told.service].servers
        if told.filter.is_completion or told.filter.server in servers:
            relay = self._relay(now_ms, told.service)
            relay.router.learn(told.peer, told.filter)

    def tick(self, now_ms: int) -> None:
        """Follow changes and tell the flows that they move."""
        for service, relay in self._relays.items():
            self._refresh(now_ms, service, relay)
            relay.outbox.extend(relay.router.step(SCAN_STEP))
            while relay.outbox:
                item = relay.outbox[0]
                if not self._send_filter(
                    now_ms, item.member, service, item.filter
                ):
                    break
                relay.outbox.popleft()

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
            member.name for member in self._directory.usable(service)
        )
        if members != relay.members:
            relay.members = members
            relay.outbox.clear()
            relay.router.set_members(now_ms, members)
        usable, known = self._servers(now_ms, service)
        if (usable, known) != (relay.usable, relay.known):
            for name in sorted(set(relay.known) - set(known)):
                relay.router.forget_server(name)
            relay.usable, relay.known = usable, known
            relay.outbox.clear()
            relay.router.set_servers(now_ms, usable, known)

    def _servers(
        self, now_ms: int, service: str
    ) -> tuple[tuple[str, ...], ...]:
        """Return the servers for new flows and all servers with flows."""
        cfg = self._ctx.config
        runtime = self._services.get(service)
        if cfg is None or service not in cfg.services:
            return (), ()
        known = sorted(
            name
            for name in cfg.services[service].servers
            if self._down_ms(now_ms, service, name) < FORGET_SERVER_MS
        )
        servers = cfg.services[service].servers
        drains = runtime.drains if runtime is not None else {}
        usable = [
            name
            for name in known
            if servers[name].state is model.ServerState.ACTIVE
            and not drains.get(name)
            and self._down_ms(now_ms, service, name) < AVOID_SERVER_MS
        ]
        return tuple(usable), tuple(known)

    def _down_ms(self, now_ms: int, service: str, name: str) -> int:
        link = self._links.get(ServerRef(service, name))
        if link is None or link.up:
            return 0
        return now_ms - link.down_since_ms


class _ServiceRelay:
    """Packets of one service."""

    def __init__(self, me: str) -> None:
        self.router = tokenless.TokenlessRouter(
            me, flow_limit=MAX_FLOWS, idle_ms=FLOW_IDLE_MS
        )
        self.members: tuple[str, ...] = ()
        self.usable: tuple[str, ...] = ()
        self.known: tuple[str, ...] = ()
        self.outbox: collections.deque[tokenless.FilterTarget] = (
            collections.deque()
        )


def _key(source: Address) -> bytes:
    return str(source).encode()
