"""Log interface of a process that forwards flows."""

import abc

from cyclamenridge.flow import directory
from cyclamenridge.flow import packet as packet_lib
from cyclamenridge.flow import server_stats as stats_lib


class FlowLog(abc.ABC):
    """Receives the events that are written to the log."""

    @abc.abstractmethod
    def flow_opening(
        self,
        now_ms: int,
        packet: packet_lib.Packet,
        server: directory.Server,
        stats: stats_lib.ServerStats,
        version: int,
    ) -> None:
        """Log the server that a SYN was forwarded to.

        :param stats: what the server was selected by
        :param version: version of the configuration in force
        """

    @abc.abstractmethod
    def flow_event(
        self,
        now_ms: int,
        event: str,
        packet: packet_lib.Packet,
        **basis: object,
    ) -> None:
        """Log a packet that was refused, reset or held.

        :param basis: values that the decision depended on
        """

    @abc.abstractmethod
    def server_event(self, now_ms: int, event: str, name: str) -> None:
        """Log a change in the observed health of a server."""

    @abc.abstractmethod
    def process_event(self, event: str, **fields: object) -> None:
        """Log an event of the process, its store or its peers."""
