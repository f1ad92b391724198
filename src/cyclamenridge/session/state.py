"""State of one session."""

from cyclamenridge import address as address_lib
from cyclamenridge.session import window as window_lib

Address = address_lib.Address


class Session:
    """A session of a caller with a service."""

    __slots__ = (
        "bytes",
        "customer",
        "feeds",
        "ident",
        "in_progress",
        "opened_by",
        "service",
        "token",
        "used_ms",
        "window",
    )

    def __init__(
        self,
        ident: int,
        service: str,
        customer: str,
        token: bytes,
        opened_by: tuple[str, str, int, Address],
        now_ms: int,
    ) -> None:
        self.ident = ident
        self.service = service
        self.customer = customer
        self.token = token
        self.opened_by = opened_by
        self.used_ms = now_ms
        self.window = window_lib.Window()
        self.bytes = 0
        self.in_progress = 0
        self.feeds: dict[int, int] = {}
