"""Backend servers and clients that speak packets of flows over UDP.

They write the 36 bytes of the head themselves, so that a mistake in the
product's codec does not hide in its tests.
"""

import asyncio
import struct

HEAD = struct.Struct(">B5s4sHHIIHIII")
SYN, ACK, FIN, RST = 64, 2, 32, 4
CLIENT_HOST = 0x7F000001


def pack(flags, sport, dst, src, dport, seq, ack, echo, data=b""):
    return (
        HEAD.pack(
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
            echo,
        )
        + data
    )


class Server(asyncio.DatagramProtocol):
    """Answers each request with its own name.

    :ivar unresponsive: receives packets and answers none
    :ivar was_unresponsive: was unresponsive at any time
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
        flags, _, _, length, sport, dst, src, dport, seq, ack, echo = (
            HEAD.unpack_from(data, 8)
        )
        body = data[8 + HEAD.size :]
        assert length == len(body)
        key = (src, sport, dst, dport)
        if flags & SYN:
            self.flows[key] = 9000
            self._send(key, SYN | ACK, 9000, seq + 1, echo)
        elif key not in self.flows:
            self._send(key, RST, ack, seq, echo)
        elif body:
            self.requests.append(body)
            reply = b"%d:" % self.ident + body
            self._send(key, ACK, ack, seq + len(body), echo, reply)
        elif flags & FIN:
            del self.flows[key]

    def _send(self, key, flags, seq, ack, echo, data=b""):
        src, sport, dst, dport = key
        packet = pack(flags, dport, src, dst, sport, seq, ack, echo, data)
        self._transport.sendto(packet, ("127.0.0.1", self._clients.port))


class Clients(asyncio.DatagramProtocol):
    """All clients' ends; packets are told apart by the client's port."""

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
        queue = self._queues.get(HEAD.unpack_from(data)[7])
        if queue is not None:
            queue.put_nowait(data)

    def open(self, client_port):
        """Return the queue of packets for a client's port."""
        return self._queues.setdefault(client_port, asyncio.Queue())

    def send(self, balancer, packet):
        self._transport.sendto(packet, balancer)


class ClientFlow:
    """A flow as a client sees it; each packet may go to another balancer."""

    def __init__(self, clients, balancers, rng, host, port, client_port):
        self._clients = clients
        self._balancers = balancers
        self._rng = rng
        self._queue = clients.open(client_port)
        self._ends = (client_port, host, CLIENT_HOST, port)
        self.client_port = client_port
        self.seq = 100
        self.ack = 0
        self.echo = 0
        self.was_reset = False
        # Resets of balancers carry no sum.
        self.reset_by_balancer = False

    def _send(self, flags, data=b"", copy=None):
        ack = self.ack if copy is None else copy
        packet = pack(flags, *self._ends, self.seq, ack, self.echo, data)
        balancer = self._rng.choice(self._balancers())
        self._clients.send(balancer, packet)

    async def _receive(self, wait_s):
        """Return the next packet that belongs to the flow as it stands.

        A server that answers an opening packet later than another one is
        ignored, and so is the field that it echoes; data that came before
        is dropped, as the ends of a flow do.
        """
        async with asyncio.timeout(wait_s):
            while True:
                data = await self._queue.get()
                head = HEAD.unpack_from(data)
                late = head[0] & SYN and self.echo
                again = len(data) > HEAD.size and head[8] != self.ack
                if not late and not again:
                    break
        self.was_reset = bool(head[0] & RST)
        self.reset_by_balancer = self.was_reset and head[2] == bytes(4)
        return head, data[HEAD.size :]

    async def open(self):
        """Open the flow; return whether that worked within 1.4 s."""
        for copy, wait_s in enumerate((0.2, 0.4, 0.8)):
            self._send(SYN, copy=copy)
            try:
                head, _ = await self._receive(wait_s)
            except TimeoutError:
                continue
            if self.was_reset:
                return False
            self.seq += 1
            self.ack = head[8] + 1
            self.echo = head[10]
            self._send(ACK)
            return True
        return False

    async def request(self, body):
        """Send a request; return its answer, None without one."""
        for wait_s in (0.2, 0.4, 0.8, 1.6):
            self._send(ACK, body)
            try:
                _, data = await self._receive(wait_s)
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
