"""Port for components that the application starts and stops."""

import abc


class Component(abc.ABC):
    """A component with a life cycle, such as a server or a watcher."""

    @abc.abstractmethod
    async def start(self) -> None:
        """Start the component.

        :raises ConfigError: when it cannot start with its settings, for
            example because a port is in use
        """

    @abc.abstractmethod
    async def stop(self) -> None:
        """Stop the component and release its resources."""
