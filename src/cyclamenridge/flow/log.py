"""Port for the log lines of a process that forwards flows."""

import abc

from cyclamenridge.flow import directory
from cyclamenridge.flow import observed
from cyclamenridge.flow import packet as packet_lib


class FlowLog(abc.ABC):
    """Takes the decisions that are worth a line."""

    @abc.abstractmethod
    def opening(
        self,
        now_ms: int,
        packet: packet_lib.Packet,
        known: directory.Known,
        seen: observed.Observed,
        version: int,
    ) -> None:
        """Note the server that an opening packet was sent to."""

    @abc.abstractmethod
    def flow(
        self,
        now_ms: int,
        event: str,
        packet: packet_lib.Packet,
        **basis: object,
    ) -> None:
        """Note a packet that was refused, reset or held, and on what basis."""

    @abc.abstractmethod
    def server(self, now_ms: int, event: str, name: str) -> None:
        """Note a change of what is believed of a server."""

    @abc.abstractmethod
    def process(self, event: str, **fields: object) -> None:
        """Note a change of the process or of what it depends on."""
