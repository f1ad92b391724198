"""Port for connections to backend servers."""

import abc
from collections.abc import Callable

from cyclamenridge.node import effects
from cyclamenridge.node import events

LinkEvent = events.LinkUp | events.LinkDown | events.LinkMessage
Receiver = Callable[[LinkEvent], None]


class LinkTransport(abc.ABC):
    """Connections to backend servers, identified by server and link id."""

    @abc.abstractmethod
    def set_receiver(self, receiver: Receiver) -> None:
        """Set the callback for the events of all links."""

    @abc.abstractmethod
    def open(self, effect: effects.OpenLink) -> None:
        """Connect and exchange ``hello``; results in LinkUp or LinkDown."""

    @abc.abstractmethod
    def send(self, effect: effects.SendLink) -> None:
        """Send a message if the link still exists."""

    @abc.abstractmethod
    def close(self, effect: effects.CloseLink) -> None:
        """Close a link; no LinkDown follows."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Close all links."""
