"""Exception tree; each layer turns errors from below into its own."""


class CyclamenridgeError(Exception):
    """Base of all errors that this package raises."""


class WireError(CyclamenridgeError):
    """A datagram or message that cannot be decoded or authenticated."""


class ConfigError(CyclamenridgeError):
    """A configuration or settings file that cannot be accepted."""


class ControlError(CyclamenridgeError):
    """A control message between balancers that cannot be used."""


class StoreError(CyclamenridgeError):
    """The platform's key-value service did not answer as expected."""


class StoreUnavailableError(StoreError):
    """The store was not reached, so the operation had no effect."""


class StoreOutcomeUnknownError(StoreError):
    """The answer was lost; the write may have taken effect."""


class LinkError(CyclamenridgeError):
    """A connection to a backend server failed."""


class CallerError(CyclamenridgeError):
    """The caller library could not carry out an operation."""
