"""Structured log lines on standard output that never block the process."""

import os
import time
from typing import Any

import msgspec

from cyclamenridge.flow import directory
from cyclamenridge.flow import log
from cyclamenridge.flow import packet as packet_lib
from cyclamenridge.flow import server_stats as stats_lib

# Lines of one kind that are written in a second; the rest is counted.
LINES_PER_SECOND = 50
# Lines that wait for a reader that does not read.
MAX_PENDING_BYTES = 256 * 1024
_SECOND_MS = 1000


class JsonLog(log.FlowLog):
    """One JSON object a line.

    Lines are gathered and written together; what a full pipe does not take
    waits up to a bound and is then left out.
    """

    def __init__(self, fd: int, *, node: str) -> None:
        self._fd = fd
        self._node = node
        self._encode = msgspec.json.Encoder().encode
        self._pending = bytearray()
        self._second = 0
        self._written: dict[str, int] = {}
        self._left_out: dict[str, int] = {}
        self.lines_left_out = 0
        os.set_blocking(fd, False)

    def opening(
        self,
        now_ms: int,
        packet: packet_lib.Packet,
        server: directory.Server,
        stats: stats_lib.ServerStats,
        version: int,
    ) -> None:
        """Note the server that an opening packet was sent to."""
        if not self._admit("flow_opening", now_ms):
            return
        self._write(
            "flow_opening",
            now_ms=now_ms,
            flow=packet_lib.flow_id(packet),
            seq=packet.seq,
            copy=packet.ack,
            server=server.listing.name,
            server_revision=server.revision,
            waiting=stats.pending,
            waiting_elsewhere=round(stats.peer_pending, 1),
            answered_ms_ago=stats.answered_ms_ago(now_ms),
            config=version,
        )

    def flow(
        self,
        now_ms: int,
        event: str,
        packet: packet_lib.Packet,
        **basis: object,
    ) -> None:
        """Note a packet that was refused, reset or held, and on what basis."""
        if self._admit(event, now_ms):
            self._write(
                event,
                now_ms=now_ms,
                flow=packet_lib.flow_id(packet),
                seq=packet.seq,
                length=packet.length,
                **basis,
            )

    def server(self, now_ms: int, event: str, name: str) -> None:
        """Note a change of what is believed of a server."""
        if self._admit(event, now_ms):
            self._write(event, now_ms=now_ms, server=name)

    def process(self, event: str, **fields: object) -> None:
        """Note a change of the process or of what it depends on."""
        if self._admit(event, time.monotonic_ns() // 1_000_000):
            self._write(event, **fields)

    def flush(self) -> None:
        """Write what the reader takes now."""
        if not self._pending:
            return
        try:
            written = os.write(self._fd, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more; lines are lost, packets are not.
            written = len(self._pending)
        del self._pending[:written]

    def _admit(self, event: str, now_ms: int) -> bool:
        second = now_ms // _SECOND_MS
        if second != self._second:
            self._second = second
            self._written.clear()
            if self._left_out and len(self._pending) <= MAX_PENDING_BYTES:
                left_out, self._left_out = self._left_out, {}
                self._write("lines_left_out", counts=left_out)
        count = self._written.get(event, 0)
        if count >= LINES_PER_SECOND or len(self._pending) > MAX_PENDING_BYTES:
            self._left_out[event] = self._left_out.get(event, 0) + 1
            self.lines_left_out += 1
            return False
        self._written[event] = count + 1
        return True

    def _write(self, event: str, **fields: Any) -> None:
        line = {
            "time": round(time.time(), 3),
            "node": self._node,
            "event": event,
            **fields,
        }
        self._pending += self._encode(line)
        self._pending += b"\n"
