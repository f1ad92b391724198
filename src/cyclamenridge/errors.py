"""Exception hierarchy; each layer converts errors of lower layers."""


class CyclamenridgeError(Exception):
    """Base class of all errors that this package raises."""


class WireError(CyclamenridgeError):
    """A datagram or message could not be decoded or authenticated."""


class ConfigError(CyclamenridgeError):
    """The configuration, the settings or an address is invalid."""


class ControlError(CyclamenridgeError):
    """A control message from another balancer is invalid."""


class StoreError(CyclamenridgeError):
    """A call to the platform's key-value store failed."""


class StoreUnavailableError(StoreError):
    """The store is unavailable; the call had no effect."""


class StoreOutcomeUnknownError(StoreError):
    """The response was lost; the write may have taken effect."""


class LinkError(CyclamenridgeError):
    """A connection to a backend server failed."""


class CallerError(CyclamenridgeError):
    """An operation of the caller library failed."""
