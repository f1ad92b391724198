"""Connection tracking, which only feeds the statistics of servers.

Packets of a flow may arrive at any balancer and carry the token of their
server, so forwarding does not depend on these records.
"""

from cyclamenridge.flow import directory
from cyclamenridge.flow import packet as packet_lib
from cyclamenridge.flow import routes

FlowKey = tuple[int, int, int, int]


class FlowRecord:
    """State of a flow, as far as its packets arrive at this process.

    :ivar tried_servers: servers that the SYN was sent to
    :ivar server: server of the open flow, None before the handshake
    :ivar syn_seq: initial sequence number, None if the SYN was not seen
    :ivar next_seq: sequence number after the client's newest byte
    :ivar newest_data_ms: when that byte arrived
    :ivar acked: highest sequence number that the client acknowledged
    :ivar pending_server: name of the server that a request or a SYN is
        pending at
    :ivar pending_since_ms: start of that wait
    :ivar retransmissions: retransmitted packets since the last answer
    """

    __slots__ = (
        "acked",
        "last_packet_ms",
        "newest_data_ms",
        "next_seq",
        "opened_ms",
        "pending_server",
        "pending_since_ms",
        "retransmissions",
        "route",
        "server",
        "syn_seq",
        "tried_servers",
    )

    def __init__(self, now_ms: int, route: routes.Route | None) -> None:
        self.route = route
        self.opened_ms = now_ms
        self.last_packet_ms = now_ms
        self.tried_servers: list[directory.Server] = []
        self.server: directory.Server | None = None
        self.syn_seq: int | None = None
        self.next_seq: int | None = None
        self.newest_data_ms = now_ms
        self.acked: int | None = None
        self.pending_server: str | None = None
        self.pending_since_ms = 0
        self.retransmissions = 0


def flow_key(packet: packet_lib.Packet) -> FlowKey:
    """Return the key of a packet's flow."""
    return packet.client, packet.client_port, packet.host, packet.port


def is_seq_after(number: int, other: int) -> bool:
    """Compare 32-bit sequence numbers that wrap around."""
    return 0 < (number - other) & 0xFFFFFFFF < 0x80000000
