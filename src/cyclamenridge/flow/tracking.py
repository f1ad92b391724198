"""Connection tracking, which only feeds the statistics of servers.

Packets of a flow may arrive at any balancer and carry the token of their
server, so forwarding does not depend on these records.
"""

import typing

from cyclamenridge.flow import directory
from cyclamenridge.flow import packet as packet_lib
from cyclamenridge.flow import routes

if typing.TYPE_CHECKING:
    from cyclamenridge.flow import service_window
    from cyclamenridge.flow import waiting

# Clients retransmit data after 200 ms without an acknowledgement. Old data
# that arrives sooner than this after newer data was reordered by the network.
MIN_RETRANSMISSION_MS = 150

FlowKey = tuple[int, int, int, int]


class FlowRecord:
    """State of a flow, as far as its packets arrive at this process.

    :ivar tried_servers: servers that the SYN was sent to
    :ivar server: server of the open flow, None before the handshake
    :ivar syn_seq: initial sequence number, None if the SYN was not seen
    :ivar next_seq: sequence number after the client's newest byte
    :ivar newest_data_ms: when that byte arrived
    :ivar acked: highest sequence number that the client acknowledged
    :ivar saw_first_syn: whether this process received the first SYN, not
        only retransmissions of it
    :ivar is_refused: whether the SYN was answered with a reset
    :ivar is_admitted: whether the SYN was given a slot, which the first
        request uses
    :ivar is_repeated: whether the last data was received before
    :ivar waiting: SYN or request that waits for a slot
    :ivar pending_server: server that a request or a SYN is pending at
    :ivar pending_since_ms: start of that wait
    :ivar started: the same in the window of the service
    :ivar retransmissions: retransmitted packets since the last answer
    :ivar retransmitted_seq: sequence number of the newest of them
    :ivar retransmitted_ms: when that packet was first retransmitted
    """

    __slots__ = (
        "acked",
        "is_admitted",
        "is_refused",
        "is_repeated",
        "last_packet_ms",
        "newest_data_ms",
        "next_seq",
        "opened_ms",
        "pending_server",
        "pending_since_ms",
        "retransmissions",
        "retransmitted_ms",
        "retransmitted_seq",
        "route",
        "saw_first_syn",
        "server",
        "started",
        "syn_seq",
        "tried_servers",
        "waiting",
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
        self.saw_first_syn = False
        self.is_refused = False
        self.is_admitted = False
        self.is_repeated = False
        self.waiting: waiting.Waiting | None = None
        self.pending_server: directory.Server | None = None
        self.pending_since_ms = 0
        self.started: service_window.Started | None = None
        self.retransmissions = 0
        self.retransmitted_seq: int | None = None
        self.retransmitted_ms = 0

    def is_retransmitted_again(self, now_ms: int, seq: int) -> bool:
        """Record a retransmission; return whether the one before was lost.

        Retransmissions that are read at once, after a pause of this process,
        left the server no time to acknowledge the first of them.
        """
        newest = self.retransmitted_seq
        if newest is None or is_seq_after(seq, newest):
            self.retransmitted_seq = seq
            self.retransmitted_ms = now_ms
            return False
        return (
            seq == newest
            and now_ms - self.retransmitted_ms >= MIN_RETRANSMISSION_MS
        )

    def is_unsent(self) -> bool:
        """Return whether the SYN was certainly sent to no server.

        Another balancer may have forwarded a SYN of which this process saw
        only retransmissions.
        """
        return self.saw_first_syn and not self.tried_servers


def flow_key(packet: packet_lib.Packet) -> FlowKey:
    """Return the key of a packet's flow."""
    return packet.client, packet.client_port, packet.host, packet.port


def is_seq_after(number: int, other: int) -> bool:
    """Compare 32-bit sequence numbers that wrap around."""
    return 0 < (number - other) & 0xFFFFFFFF < 0x80000000
