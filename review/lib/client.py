"""Stand-in for clients: flows over UDP, one socket a zone."""

import asyncio
from collections.abc import Callable
import contextlib
import itertools
import random

from lib import record as record_lib
from lib import wire

_SYN_WAITS_S = (0.2, 0.4, 0.8)


class Clients(asyncio.DatagramProtocol):
    """Clients of one zone; a flow is named by its port.

    :ivar route: returns the balancer that a packet of a flow goes to
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        vip: str,
        route: Callable[[tuple[str, int, str, int]], str | None],
        record: record_lib.Record,
        rng: random.Random,
        first_port: int = 20_000,
    ) -> None:
        self.host = host
        self.port = port
        self.vip = vip
        self.record = record
        self.rng = rng
        self._route = route
        self._ports = itertools.count(first_port)
        self._flows: dict[int, Flow] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.host, self.port)
        )

    def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def flow(self, port: int) -> "Flow":
        """Return a new flow to a port of the virtual address."""
        sport = next(self._ports)
        flow = self._flows[sport] = Flow(self, sport, port)
        return flow

    def send(self, packet: wire.Packet) -> str | None:
        """Hand a packet to the routers; return the balancer it went to."""
        flow = self.host, packet.sport, self.vip, packet.dport
        balancer = self._route(flow)
        if balancer is not None and self._transport is not None:
            self._transport.sendto(packet.encode(), (balancer, self.port))
        return balancer

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a packet to its flow."""
        packet = wire.decode(data)
        flow = self._flows.get(packet.dport)
        if flow is not None:
            flow.handle(packet, addr)


class Flow:
    """Client's end of a flow.

    :ivar state: new, open, refused, timeout or reset
    :ivar balancers: those that its packets went to, in order
    """

    def __init__(self, clients: Clients, sport: int, port: int) -> None:
        self._clients = clients
        self.sport = sport
        self.port = port
        self.state = "new"
        self._seq = clients.rng.getrandbits(32)
        self._ack = 0
        self._echo = 0
        self._acked = self._seq
        self._answer = b""
        self._event = asyncio.Event()
        self.balancers: list[str | None] = []

    def _send(
        self, flags: int, seq: int, ack: int, data: bytes = b""
    ) -> str | None:
        packet = wire.Packet(
            flags,
            wire.number_of(self._clients.host),
            self.sport,
            wire.number_of(self._clients.vip),
            self.port,
            seq,
            ack,
            self._echo,
            data,
        )
        balancer = self._clients.send(packet)
        if not self.balancers or self.balancers[-1] != balancer:
            self.balancers.append(balancer)
        return balancer

    async def open(self) -> bool:
        """Open the flow; return whether that succeeded within 1.4 s."""
        for copy, wait_s in enumerate(_SYN_WAITS_S):
            via = self._send(wire.SYN, self._seq, copy)
            self._clients.record.add(
                "syn", sport=self.sport, port=self.port, copy=copy, via=via
            )
            await self._wait(wait_s)
            if self.state != "new":
                break
        if self.state == "new":
            self.state = "timeout"
        return self.state == "open"

    async def _wait(self, wait_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._event.wait()
        self._event.clear()

    def handle(self, packet: wire.Packet, addr: tuple[str, int]) -> None:
        """Handle a packet for this end."""
        is_system = packet.flags == wire.RST and packet.sum == 0
        if not is_system and not packet.is_genuine:
            self._clients.record.add("mixed", sport=self.sport, via=addr[0])
            return
        if packet.flags & wire.RST:
            self._handle_reset(packet, addr, is_system=is_system)
        elif packet.flags & wire.SYN:
            # Handshakes of other servers are ignored, with their echo.
            if self.state == "new":
                self.state = "open"
                self._seq = self._acked = wire.add(self._seq, 1)
                self._ack = wire.add(packet.seq, 1)
                self._echo = packet.echo
                self._send(wire.ACK, self._seq, self._ack)
                self._event.set()
        elif self.state == "open":
            self._handle_data(packet)

    def _handle_reset(
        self, packet: wire.Packet, addr: tuple[str, int], *, is_system: bool
    ) -> None:
        if self.state == "new":
            self.state = "refused"
        elif self.state == "open":
            if wire.distance(packet.seq, self._ack) > wire.RESET_WINDOW:
                return
            self.state = "reset"
        else:
            return
        self._clients.record.add(
            "reset",
            sport=self.sport,
            port=self.port,
            sender=addr[0],
            by="system" if is_system else "backend",
            state=self.state,
        )
        self._event.set()

    def _handle_data(self, packet: wire.Packet) -> None:
        self._echo = packet.echo
        if wire.is_after(packet.ack, self._acked):
            self._acked = packet.ack
        if packet.data:
            if packet.seq == self._ack:
                self._ack = wire.add(packet.seq, len(packet.data))
                self._answer += packet.data
            # The answer is acknowledged, so that its sender stops.
            self._send(wire.ACK, self._acked, self._ack)
        self._event.set()

    async def request(self, name: str, *, method: str, budget_s: float) -> str:
        """Send a request; return ok, reset, bad or timeout."""
        self._answer = b""
        data = (f"{method} / HTTP/1.1\r\nRequest-Id: {name}\r\n\r\n").encode()
        record = self._clients.record
        end_s = record.now_s() + budget_s
        next_s, pause_s = record.now_s(), 0.2
        end = wire.add(self._seq, len(data))
        is_first = True
        while True:
            now_s = record.now_s()
            if self.state == "reset":
                outcome = "reset"
                break
            if b"\r\n\r\n" in self._answer:
                is_own = self._answer.endswith(f" {name}".encode())
                outcome = "ok" if is_own else "bad"
                break
            if now_s >= end_s:
                outcome = "timeout"
                break
            if now_s >= next_s and self._acked != end:
                via = self._send(wire.ACK, self._seq, self._ack, data)
                if is_first:
                    record.add(
                        "sent",
                        request=name,
                        method=method,
                        sport=self.sport,
                        port=self.port,
                        via=via,
                    )
                    next_s = now_s + pause_s
                else:
                    record.add("repeated", request=name, via=via)
                    pause_s = min(pause_s * 2, 1.6)
                    next_s = now_s + pause_s
                is_first = False
            wait_s = end_s - now_s
            if self._acked != end:
                wait_s = min(wait_s, max(next_s - now_s, 0.001))
            await self._wait(wait_s)
        self._seq = end
        record.add(
            "answered" if outcome == "ok" else "unanswered",
            request=name,
            outcome=outcome,
        )
        return outcome

    def finish(self) -> None:
        """Close the flow."""
        if self.state == "open":
            self._send(wire.FIN | wire.ACK, self._seq, self._ack)
