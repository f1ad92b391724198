"""Port for the core's access to the platform's store."""

import abc
from collections.abc import Callable

from cyclamenridge.node import effects
from cyclamenridge.node import events
from cyclamenridge.ports import component

PlatformEvent = events.StoreRead | events.StoreFailed | events.InstancesListed
Receiver = Callable[[PlatformEvent], None]


class Platform(component.Component):
    """Carries out store effects; results come back as events."""

    @abc.abstractmethod
    def set_receiver(self, receiver: Receiver) -> None:
        """Set the callback for the events."""

    @abc.abstractmethod
    def read(self) -> None:
        """Read the configuration document once."""

    @abc.abstractmethod
    def watch(self, *, active: bool) -> None:
        """Start or stop watching the document and the instance list."""

    @abc.abstractmethod
    def write(self, effect: effects.WriteStore) -> None:
        """Write a document back if its key has not changed."""
