"""Packets without a routing token."""

import collections

import msgspec

from cyclamenridge import address as address_lib
from cyclamenridge.node import context as context_lib
from cyclamenridge.node import events
from cyclamenridge.node import links as links_lib
from cyclamenridge.node import services as services_lib
from cyclamenridge.routing import rendezvous
from cyclamenridge.wire import backend
from cyclamenridge.wire import caller
from cyclamenridge.wire import rpc

Address = address_lib.Address
ServerRef = events.ServerRef

# Callers that sent a packet recently keep their server, and only they
# can be sent packets by it.
MAX_FLOWS = 10_000
FLOW_IDLE_MS = 60_000

_DATAGRAM = msgspec.msgpack.Decoder(backend.Datagram)


class PacketRelay:
    """Relays packets between callers and servers of a service."""

    def __init__(
        self,
        ctx: context_lib.Context,
        services: services_lib.Services,
        links: links_lib.LinkTable,
    ) -> None:
        self._ctx = ctx
        self._services = services
        self._links = links
        self._flows: collections.OrderedDict[
            tuple[str, Address], tuple[ServerRef, int]
        ] = collections.OrderedDict()

    def from_caller(
        self, now_ms: int, source: Address, packet: caller.Datagram
    ) -> None:
        """Pass a packet of a caller to a server of the service."""
        if self._services.acquire(now_ms, packet.service) is None:
            self._ctx.counters["packets_without_service"] += 1
            return
        key = (packet.service, source)
        flow = self._flows.pop(key, None)
        ref = flow[0] if flow is not None else None
        if ref is None or self._links.identity(ref) is None:
            ref = self._choose(packet.service, source)
        if ref is None:
            self._ctx.counters["packets_without_server"] += 1
            return
        self._flows[key] = (ref, now_ms)
        if len(self._flows) > MAX_FLOWS:
            self._flows.popitem(last=False)
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
        flow = self._flows.get((ref.service, dest))
        if flow is None or flow[0] != ref:
            self._ctx.counters["packets_without_caller"] += 1
            return
        data = rpc.notification(
            "datagram", caller.Datagram(ref.service, packet.payload)
        )
        if len(data) > caller.MAX_DATAGRAM_BYTES:
            self._ctx.counters["packets_too_large"] += 1
            return
        self._ctx.send(dest, data)

    def tick(self, now_ms: int) -> None:
        """Forget idle callers."""
        while self._flows:
            key, (_, used_ms) = next(iter(self._flows.items()))
            if now_ms - used_ms < FLOW_IDLE_MS:
                return
            del self._flows[key]

    def _choose(self, service: str, source: Address) -> ServerRef | None:
        runtime = self._services.get(service)
        names = [
            link.ref.server
            for link in self._links.links()
            if link.ref.service == service and link.up
        ]
        if runtime is not None:
            names = [n for n in names if not runtime.drains.get(n)] or names
        if not names:
            return None
        return ServerRef(
            service, rendezvous.choose(str(source).encode(), names)
        )
