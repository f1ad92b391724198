"""Port for parts of the process that have a life cycle."""

import abc


class Component(abc.ABC):
    """Something that the application starts and stops."""

    @abc.abstractmethod
    async def start(self) -> None:
        """Take up work; raises ConfigError when that is impossible."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Release everything."""
