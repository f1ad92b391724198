"""Port for the format of what the store keeps."""

import abc

from cyclamenridge.flow import directory
from cyclamenridge.flow import routes


class Records(abc.ABC):
    """Reads entries of the store."""

    @abc.abstractmethod
    def is_config(self, key: str) -> bool:
        """Return whether the key holds the configuration."""

    @abc.abstractmethod
    def is_server(self, key: str) -> bool:
        """Return whether the key holds a backend server."""

    @abc.abstractmethod
    def server_name(self, key: str) -> str:
        """Return the name of the server of a key."""

    @abc.abstractmethod
    def decode_config(self, value: bytes) -> routes.RouteTable:
        """Read a configuration; raises ConfigError."""

    @abc.abstractmethod
    def decode_server(
        self, key: str, value: bytes, revision: int
    ) -> directory.Listing:
        """Read the entry of a backend server; raises StoreError."""
