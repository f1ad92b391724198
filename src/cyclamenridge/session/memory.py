"""Memory held for the callers of a node."""

from cyclamenridge.session import state as state_lib
from cyclamenridge.session import window as window_lib

MAX_SESSION_BYTES = 16 * 2**20
MAX_NODE_BYTES = 48 * 2**20


class Memory:
    """Charges records and payloads to their session and to the node."""

    def __init__(self) -> None:
        self.used = 0

    def has_room(self, session: state_lib.Session, size: int) -> bool:
        """Tell whether both limits leave room."""
        return (
            session.bytes + size <= MAX_SESSION_BYTES
            and self.used + size <= MAX_NODE_BYTES
        )

    def charge(
        self,
        session: state_lib.Session,
        record: window_lib.Record,
        size: int,
    ) -> None:
        """Charge a record; a negative size gives memory back."""
        record.charged += size
        session.bytes += size
        self.used += size

    def free(self, session: state_lib.Session, size: int) -> None:
        """Give back the memory of records that are gone."""
        session.bytes -= size
        self.used -= size

    def release(self, session: state_lib.Session) -> None:
        """Give back all memory of a session."""
        self.used -= session.bytes
