"""Structured logging to a pipe without blocking the process."""

import os
import time
from typing import Any

import msgspec

from cyclamenridge.flow import directory
from cyclamenridge.flow import log
from cyclamenridge.flow import packet as packet_lib
from cyclamenridge.flow import server_stats as stats_lib

# Rate limit for lines of one event; further lines are only counted.
MAX_LINES_PER_SECOND = 50
# Lines are discarded while more than this waits for the reader of the pipe.
MAX_BUFFER_BYTES = 256 * 1024
_SECOND_MS = 1000


class JsonLog(log.FlowLog):
    """Writes one JSON object per line.

    Lines are buffered until ``flush``. When the pipe is full they stay in the
    buffer; when the buffer is full, new lines are left out and counted.

    :ivar lines_left_out: lines left out since the start
    """

    def __init__(self, fd: int, *, node: str) -> None:
        self._fd = fd
        self._node = node
        self._encode = msgspec.json.Encoder().encode
        self._buffer = bytearray()
        self._current_second = 0
        self._written_counts: dict[str, int] = {}
        self._left_out_counts: dict[str, int] = {}
        self.lines_left_out = 0
        os.set_blocking(fd, False)

    def flow_opening(
        self,
        now_ms: int,
        packet: packet_lib.Packet,
        server: directory.Server,
        stats: stats_lib.ServerStats,
        version: int,
    ) -> None:
        """Log the server that a SYN was forwarded to."""
        if not self._check_rate_limit("flow_opening", now_ms):
            return
        self._write(
            "flow_opening",
            now_ms=now_ms,
            flow=packet_lib.flow_id(packet),
            seq=packet.seq,
            copy=packet.ack,
            server=server.entry.name,
            server_revision=server.position.revision,
            waiting=stats.pending,
            waiting_elsewhere=round(stats.peer_pending, 1),
            answered_ms_ago=stats.answered_ms_ago(now_ms),
            config=version,
        )

    def flow_event(
        self,
        now_ms: int,
        event: str,
        packet: packet_lib.Packet,
        **basis: object,
    ) -> None:
        """Log a packet that was refused, reset or held."""
        if self._check_rate_limit(event, now_ms):
            self._write(
                event,
                now_ms=now_ms,
                flow=packet_lib.flow_id(packet),
                seq=packet.seq,
                length=packet.length,
                **basis,
            )

    def server_event(self, now_ms: int, event: str, name: str) -> None:
        """Log a change in the observed health of a server."""
        if self._check_rate_limit(event, now_ms):
            self._write(event, now_ms=now_ms, server=name)

    def process_event(self, event: str, **fields: object) -> None:
        """Log an event of the process, its store or its peers."""
        if self._check_rate_limit(event, time.monotonic_ns() // 1_000_000):
            self._write(event, **fields)

    def flush(self) -> None:
        """Write as much of the buffer as the pipe accepts."""
        if not self._buffer:
            return
        try:
            written = os.write(self._fd, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader closed the pipe. Losing the log must not stop the
            # forwarding of packets.
            written = len(self._buffer)
        del self._buffer[:written]

    def _check_rate_limit(self, event: str, now_ms: int) -> bool:
        """Count a line and return whether it may be written."""
        second = now_ms // _SECOND_MS
        if second != self._current_second:
            self._current_second = second
            self._written_counts.clear()
            if self._left_out_counts and len(self._buffer) <= MAX_BUFFER_BYTES:
                left_out, self._left_out_counts = self._left_out_counts, {}
                self._write("lines_left_out", counts=left_out)
        count = self._written_counts.get(event, 0)
        if (
            count >= MAX_LINES_PER_SECOND
            or len(self._buffer) > MAX_BUFFER_BYTES
        ):
            self._left_out_counts[event] = (
                self._left_out_counts.get(event, 0) + 1
            )
            self.lines_left_out += 1
            return False
        self._written_counts[event] = count + 1
        return True

    def _write(self, event: str, **fields: Any) -> None:
        line = {
            "time": round(time.time(), 3),
            "node": self._node,
            "event": event,
            **fields,
        }
        self._buffer += self._encode(line)
        self._buffer += b"\n"
