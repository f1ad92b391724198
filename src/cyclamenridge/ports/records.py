"""Port for the format of the records in the store."""

import abc

from cyclamenridge.flow import directory
from cyclamenridge.flow import routes


class RecordDecoder(abc.ABC):
    """Decodes the keys and values of records in the store."""

    @abc.abstractmethod
    def is_config(self, key: str) -> bool:
        """Tell whether the key holds the configuration."""

    @abc.abstractmethod
    def is_server(self, key: str) -> bool:
        """Tell whether the key holds a backend server."""

    @abc.abstractmethod
    def server_name(self, key: str) -> str:
        """Return the name of the server that a key belongs to."""

    @abc.abstractmethod
    def is_evacuation(self, key: str) -> bool:
        """Tell whether the key orders to evacuate a failure domain."""

    @abc.abstractmethod
    def evacuated_domain(self, key: str) -> str:
        """Return the failure domain that an order is for."""

    @abc.abstractmethod
    def decode_config(
        self, value: bytes, *, epoch: int = 0
    ) -> routes.RouteTable:
        """Decode a configuration.

        :param epoch: epoch of the store that it was read in
        :raises ConfigError: when it is not valid
        """

    @abc.abstractmethod
    def decode_server(
        self, key: str, value: bytes, revision: int, *, epoch: int = 0
    ) -> directory.ServerEntry:
        """Decode the record of a backend server.

        :param revision: store revision of the record
        :param epoch: epoch of the store that the revision belongs to
        :raises StoreError: when it is not valid
        """
