"""Stand-in for a backend: flows over UDP, entry in the store."""

import asyncio
import base64
from collections.abc import Callable
import dataclasses
import json
import random
import time

from lib import record as record_lib
from lib import store as store_lib
from lib import wire

HEARTBEAT_S = 1.2
_MAX_RETRANSMISSIONS = 8

FlowKey = tuple[int, int, int, int]


@dataclasses.dataclass
class _Flow:
    key: FlowKey
    seq: int
    client_seq: int
    copy: int
    via: str
    echo: int = 0
    is_open: bool = False
    unacked: tuple[int, bytes] | None = None
    packets: int = 0
    timer: asyncio.TimerHandle | None = None


class Backend(asyncio.DatagramProtocol):
    """Runs each request once; answers ``200`` with the request's id.

    A backend that holds `max_connections` flows sends nothing to a SYN.

    :ivar work_s: returns the time that a request takes, by its route's port
    :ivar is_listening: whether it takes SYNs; else it answers with a reset
    """

    def __init__(
        self,
        *,
        ident: str,
        service: str,
        zone: str,
        host: str,
        client_port: int,
        store: store_lib.Store,
        record: record_lib.Record,
        work_s: Callable[[int], float],
        slots: int = 2,
        max_connections: int = 2000,
        warmup_s: float = 0.0,
        rng: random.Random,
    ) -> None:
        self.ident = ident
        self.service = service
        self.zone = zone
        self.host = host
        self.port = 0
        self.state = "ready"
        self._warm_s = time.monotonic() + warmup_s
        self.work_s = work_s
        self.max_connections = max_connections
        self.is_listening = True
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self._client_port = client_port
        self._store = store
        self._record = record
        self._rng = rng
        self._number = int(
            "".join(c for c in ident if c in "0123456789abcdef"), 16
        )
        self._flows: dict[FlowKey, _Flow] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._sequence = 0
        self._born = time.time_ns() // 1_000_000
        self._written: dict[str, object] | None = None
        self._revision = 0

    async def start(self) -> None:
        """Bind, register and write the entry at every heartbeat."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.host, 0)
        )
        self.port = self._transport.get_extra_info("sockname")[1]
        self._spawn(self._beat())

    def stop(self) -> None:
        """End at once; the entry stays."""
        for task in self._tasks:
            task.cancel()
        for flow in self._flows.values():
            if flow.timer is not None:
                flow.timer.cancel()
        if self._transport is not None:
            self._transport.close()

    @property
    def key(self) -> str:
        """Return the key of the entry."""
        return f"servers/{self.ident}"

    def write_entry(self) -> None:
        """Write the entry; it changes when more than `sequence` does."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self._slot_count,
            "state": self.state,
            "warmup_left_ms": max(
                0, round(1000 * (self._warm_s - time.monotonic()))
            ),
            "born": self._born,
        }
        if entry != self._written or not self._is_stored(entry):
            self._written = entry
            self._revision = self._store.put(
                self.key, {**entry, "sequence": self._sequence}
            )

    def _is_stored(self, entry: dict[str, object]) -> bool:
        item = self._store.items.get(self.key)
        if item is None:
            return False
        if item["revision"] == self._revision:
            return True
        try:
            stored = json.loads(base64.b64decode(item["value"]))
            stored.pop("sequence", None)
        except (ValueError, AttributeError):
            return False
        return stored == entry

    def drain(self) -> None:
        """Report that it leaves; the store's answer is the confirmation."""
        self.state = "draining"
        self.write_entry()

    def _spawn(self, coro: object) -> None:
        task = asyncio.get_running_loop().create_task(coro)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _beat(self) -> None:
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram of a balancer."""
        number = int.from_bytes(data[:8], "big")
        if number not in (0, self._number):
            return
        packet = wire.decode(data[8:])
        if not packet.is_genuine:
            self._record.add("unasked", backend=self.ident, via=addr[0])
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self._flows.get(key)
        if packet.flags & wire.SYN:
            self._handle_syn(key, flow, packet, addr[0])
        elif flow is None:
            # It does not hold this flow.
            self._send_packet(
                key, wire.RST, packet.ack, packet.seq, packet.echo
            )
            self._record.add(
                "backend_reset",
                backend=self.ident,
                sport=packet.sport,
                port=packet.dport,
                via=addr[0],
            )
        else:
            self._handle_packet(flow, packet, addr[0])

    def _handle_syn(
        self,
        key: FlowKey,
        flow: _Flow | None,
        packet: wire.Packet,
        via: str,
    ) -> None:
        if not self.is_listening:
            self._send_packet(key, wire.RST, 0, packet.seq, packet.echo)
            return
        if flow is None:
            if len(self._flows) >= self.max_connections:
                self._record.add(
                    "full", backend=self.ident, sport=packet.sport
                )
                return
            flow = self._flows[key] = _Flow(
                key,
                self._rng.getrandbits(32),
                wire.add(packet.seq, 1),
                packet.ack,
                via,
            )
        flow.echo = packet.echo
        if flow.is_open:
            return
        self._send(flow, wire.SYN | wire.ACK, flow.seq)

    def _handle_packet(
        self, flow: _Flow, packet: wire.Packet, via: str
    ) -> None:
        flow.echo = packet.echo
        if packet.flags & wire.RST:
            self._drop(flow)
            return
        if not flow.is_open:
            if packet.ack != wire.add(flow.seq, 1):
                return
            flow.is_open = True
            flow.seq = packet.ack
            self._record.add(
                "flow_open",
                backend=self.ident,
                service=self.service,
                sport=packet.sport,
                port=packet.dport,
                copy=flow.copy,
                via=flow.via,
            )
        if flow.unacked is not None and not wire.is_after(
            wire.add(flow.unacked[0], len(flow.unacked[1])), packet.ack
        ):
            flow.unacked = None
            if flow.timer is not None:
                flow.timer.cancel()
        if packet.data:
            flow.packets += 1
            if packet.seq == flow.client_seq:
                flow.client_seq = wire.add(packet.seq, len(packet.data))
                self._spawn(self._run(flow, packet.data, via))
            # Every second packet is acknowledged without an answer.
            if flow.packets % 2 == 0:
                self._send(flow, wire.ACK, flow.seq)
        if packet.flags & wire.FIN:
            self._send(flow, wire.ACK | wire.FIN, flow.seq, fin=1)
            self._drop(flow)

    def _drop(self, flow: _Flow) -> None:
        if flow.timer is not None:
            flow.timer.cancel()
        self._flows.pop(flow.key, None)

    async def _run(self, flow: _Flow, request: bytes, via: str) -> None:
        name = request.split(b"Request-Id: ")[1].split(b"\r\n")[0].decode()
        async with self._slots:
            self._record.add(
                "run",
                request=name,
                backend=self.ident,
                service=self.service,
                sport=flow.key[1],
                port=flow.key[3],
                copy=flow.copy,
                via=via,
            )
            await asyncio.sleep(self.work_s(flow.key[3]))
        body = f"{self.ident} {name}".encode()
        answer = (
            b"HTTP/1.1 200 OK\r\nResponse-Seal: review\r\n"
            b"Content-Length: %d\r\n\r\n" % len(body)
        ) + body
        flow.unacked = (flow.seq, answer)
        flow.seq = wire.add(flow.seq, len(answer))
        self._transmit(flow, 0)

    def _transmit(self, flow: _Flow, count: int) -> None:
        if flow.unacked is None or count > _MAX_RETRANSMISSIONS:
            return
        seq, answer = flow.unacked
        self._send(flow, wire.ACK, seq, answer)
        flow.timer = asyncio.get_running_loop().call_later(
            min(0.2 * 2**count, 1.6), self._transmit, flow, count + 1
        )

    def _send(
        self,
        flow: _Flow,
        flags: int,
        seq: int,
        data: bytes = b"",
        fin: int = 0,
    ) -> None:
        self._send_packet(
            flow.key,
            flags,
            seq,
            wire.add(flow.client_seq, fin),
            flow.echo,
            data,
        )

    def _send_packet(
        self,
        key: FlowKey,
        flags: int,
        seq: int,
        ack: int,
        echo: int,
        data: bytes = b"",
    ) -> None:
        src, sport, dst, dport = key
        packet = wire.Packet(
            flags, dst, dport, src, sport, seq, ack, echo, data
        )
        assert self._transport is not None
        if not self._transport.is_closing():
            self._transport.sendto(
                packet.encode(), (wire.host_of(src), self._client_port)
            )
