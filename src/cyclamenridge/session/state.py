"""State of one session."""

from cyclamenridge import address as address_lib
from cyclamenridge.session import window as window_lib

Address = address_lib.Address


class Session:
    """A session of a caller with a service.

    :ivar open_key: service, customer, nonce and source of the ``open``
        request, by which its resends are recognised
    :ivar charged_bytes: memory charged for records and payloads
    :ivar feeds_by_nonce: id of the feed that each subscription opened
    """

    __slots__ = (
        "charged_bytes",
        "customer",
        "feeds_by_nonce",
        "ident",
        "last_used_ms",
        "open_key",
        "requests_in_progress",
        "service",
        "token",
        "window",
    )

    def __init__(
        self,
        ident: int,
        service: str,
        customer: str,
        token: bytes,
        open_key: tuple[str, str, int, Address],
        now_ms: int,
    ) -> None:
        self.ident = ident
        self.service = service
        self.customer = customer
        self.token = token
        self.open_key = open_key
        self.last_used_ms = now_ms
        self.window = window_lib.Window()
        self.charged_bytes = 0
        self.requests_in_progress = 0
        self.feeds_by_nonce: dict[int, int] = {}
