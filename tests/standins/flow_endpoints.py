"""Backend servers and clients that exchange packets of flows over UDP.

They encode the 36-byte packet header themselves, so that a fault in the
codec of the balancer does not go unnoticed in its tests.
"""

import asyncio
import struct

HEADER = struct.Struct(">B5s4sHHIIHIII")
SYN, ACK, FIN, RST = 64, 2, 32, 4
CLIENT_HOST = 0x7F000001


def pack_packet(flags, sport, dst, src, dport, seq, ack, token, data=b""):
    return (
        HEADER.pack(
            flags,
            bytes(5),
            b"\x01\x02\x03\x04",
            len(data),
            sport,
            dst,
            src,
            dport,
            seq,
            ack,
            token,
        )
        + data
    )


class Server(asyncio.DatagramProtocol):
    """Backend server that answers a request with its number and the body.

    :ivar unresponsive: drops all packets that it receives
    :ivar was_unresponsive: whether it was unresponsive at any time
    :ivar flows: initial sequence number by flow
    :ivar misdirected: number of packets that were meant for another server
    """

    def __init__(self, ident, clients):
        self.ident = ident
        self.unresponsive = False
        self.was_unresponsive = False
        self.flows = {}
        self.misdirected = 0
        self.requests = []
        self._clients = clients
        self._transport = None

    async def start(self):
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", 0)
        )
        return self._transport.get_extra_info("sockname")[1]

    def close(self):
        self._transport.close()

    def datagram_received(self, data, addr):
        if self.unresponsive:
            return
        if int.from_bytes(data[:8], "big") != self.ident:
            self.misdirected += 1
            return
        flags, _, _, length, sport, dst, src, dport, seq, ack, token = (
            HEADER.unpack_from(data, 8)
        )
        body = data[8 + HEADER.size :]
        assert length == len(body)
        key = (src, sport, dst, dport)
        if flags & SYN:
            self.flows[key] = 9000
            self._send(key, SYN | ACK, 9000, seq + 1, token)
        elif key not in self.flows:
            self._send(key, RST, ack, seq, token)
        elif body:
            self.requests.append(body)
            reply = b"%d:" % self.ident + body
            self._send(key, ACK, ack, seq + len(body), token, reply)
        elif flags & FIN:
            del self.flows[key]

    def _send(self, key, flags, seq, ack, token, data=b""):
        src, sport, dst, dport = key
        packet = pack_packet(
            flags, dport, src, dst, sport, seq, ack, token, data
        )
        self._transport.sendto(packet, ("127.0.0.1", self._clients.port))


class Clients(asyncio.DatagramProtocol):
    """One socket for all clients; packets are matched by client port."""

    def __init__(self):
        self.port = 0
        self._queues = {}
        self._transport = None

    async def start(self):
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", 0)
        )
        self.port = self._transport.get_extra_info("sockname")[1]

    def close(self):
        self._transport.close()

    def datagram_received(self, data, addr):
        queue = self._queues.get(HEADER.unpack_from(data)[7])
        if queue is not None:
            queue.put_nowait(data)

    def packet_queue(self, client_port):
        """Return the queue of packets for a client's port."""
        return self._queues.setdefault(client_port, asyncio.Queue())

    def send(self, balancer, packet):
        self._transport.sendto(packet, balancer)


class ClientFlow:
    """Client side of a flow; sends each packet to a random balancer."""

    def __init__(self, clients, balancers, rng, host, port, client_port):
        self._clients = clients
        self._balancers = balancers
        self._rng = rng
        self._queue = clients.packet_queue(client_port)
        self._endpoints = (client_port, host, CLIENT_HOST, port)
        self.client_port = client_port
        self.seq = 100
        self.ack = 0
        self.token = 0
        self.was_reset = False
        # The checksum field of a balancer's reset is zero.
        self.reset_by_balancer = False

    def _send(self, flags, data=b"", retransmission=None):
        ack = self.ack if retransmission is None else retransmission
        packet = pack_packet(
            flags, *self._endpoints, self.seq, ack, self.token, data
        )
        balancer = self._rng.choice(self._balancers())
        self._clients.send(balancer, packet)

    async def _receive(self, timeout_s):
        """Return the next packet that is new to the flow.

        Once the flow is open, further SYN-ACKs are ignored with the token
        that they carry: they come from other servers that received a
        retransmission of the SYN. Data out of sequence is dropped.
        """
        async with asyncio.timeout(timeout_s):
            while True:
                data = await self._queue.get()
                header = HEADER.unpack_from(data)
                is_late_syn_ack = header[0] & SYN and self.token
                is_duplicate = (
                    len(data) > HEADER.size and header[8] != self.ack
                )
                if not is_late_syn_ack and not is_duplicate:
                    break
        self.was_reset = bool(header[0] & RST)
        self.reset_by_balancer = self.was_reset and header[2] == bytes(4)
        return header, data[HEADER.size :]

    async def open(self):
        """Open the flow; return whether it succeeded within 1.4 s."""
        for retransmission, timeout_s in enumerate((0.2, 0.4, 0.8)):
            self._send(SYN, retransmission=retransmission)
            try:
                header, _ = await self._receive(timeout_s)
            except TimeoutError:
                continue
            if self.was_reset:
                return False
            self.seq += 1
            self.ack = header[8] + 1
            self.token = header[10]
            self._send(ACK)
            return True
        return False

    async def request(self, body):
        """Send a request; return its answer, or None if there is none."""
        for timeout_s in (0.2, 0.4, 0.8, 1.6):
            self._send(ACK, body)
            try:
                _, data = await self._receive(timeout_s)
            except TimeoutError:
                continue
            if self.was_reset:
                return None
            self.seq += len(body)
            self.ack += len(data)
            self._send(ACK)
            return data
        return None

    def finish(self):
        self._send(FIN)
