"""Accounting of the memory used for callers."""

from cyclamenridge.session import state as state_lib
from cyclamenridge.session import window as window_lib

MAX_SESSION_BYTES = 16 * 2**20
MAX_NODE_BYTES = 48 * 2**20


class MemoryAccount:
    """Counts the bytes of records and payloads, by session and in total."""

    def __init__(self) -> None:
        self.used_bytes = 0

    def has_room(self, session: state_lib.Session, size: int) -> bool:
        """Tell whether ``size`` more bytes stay within both limits."""
        return (
            session.charged_bytes + size <= MAX_SESSION_BYTES
            and self.used_bytes + size <= MAX_NODE_BYTES
        )

    def charge(
        self,
        session: state_lib.Session,
        record: window_lib.RequestRecord,
        size: int,
    ) -> None:
        """Charge ``size`` bytes to a record; a negative size releases them."""
        record.charged_bytes += size
        session.charged_bytes += size
        self.used_bytes += size

    def release(self, session: state_lib.Session, size: int) -> None:
        """Release the memory of records that were removed."""
        session.charged_bytes -= size
        self.used_bytes -= size

    def release_session(self, session: state_lib.Session) -> None:
        """Release all memory of a session that is removed."""
        self.used_bytes -= session.charged_bytes
