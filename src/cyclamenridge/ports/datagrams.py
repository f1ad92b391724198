"""Port for sending and receiving datagrams."""

import abc
from collections.abc import Callable

from cyclamenridge import address as address_lib

Receiver = Callable[[address_lib.Address, bytes], None]


class DatagramEndpoint(abc.ABC):
    """A bound datagram endpoint."""

    @abc.abstractmethod
    def open(self, receiver: Receiver) -> None:
        """Start passing each received datagram to ``receiver``."""

    @abc.abstractmethod
    def send(self, dest: address_lib.Address, data: bytes) -> None:
        """Send a datagram; one that cannot be sent is counted and dropped."""

    @abc.abstractmethod
    def close(self) -> None:
        """Stop receiving and release the endpoint."""
