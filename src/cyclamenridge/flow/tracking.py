"""What this process has seen of flows; nothing here decides where they go.

Any packet may come to any balancer, so these records only feed the
observations on servers. A process that lacks them forwards all the same.
"""

from cyclamenridge.flow import directory
from cyclamenridge.flow import packet as packet_lib
from cyclamenridge.flow import routes

FlowKey = tuple[int, int, int, int]


class FlowRecord:
    """A flow whose packets come to this process.

    :ivar tried: servers that copies of the opening packet were sent to
    :ivar server: server that the flow was opened at, None before
    :ivar high: sequence number after the newest byte of the client
    :ivar high_ms: when that byte came
    :ivar acked: what the client had acknowledged
    :ivar waiting: server that a request or an opening packet waits at
    :ivar waiting_ms: since when
    :ivar silent: packets that were repeated without an answer
    """

    __slots__ = (
        "acked",
        "high",
        "high_ms",
        "last_ms",
        "opened_ms",
        "route",
        "seq",
        "server",
        "silent",
        "tried",
        "waiting",
        "waiting_ms",
    )

    def __init__(self, now_ms: int, route: routes.Route | None) -> None:
        self.route = route
        self.opened_ms = now_ms
        self.last_ms = now_ms
        self.tried: list[directory.Known] = []
        self.server: directory.Known | None = None
        self.seq: int | None = None
        self.high: int | None = None
        self.high_ms = now_ms
        self.acked: int | None = None
        self.waiting: str | None = None
        self.waiting_ms = 0
        self.silent = 0


def key_of(packet: packet_lib.Packet) -> FlowKey:
    """Return the key of a packet's flow."""
    return packet.client, packet.client_port, packet.host, packet.port


def is_after(number: int, other: int) -> bool:
    """Return whether a sequence number is past another one."""
    return 0 < (number - other) & 0xFFFFFFFF < 0x80000000
