"""Detection of backend servers that are gone for good."""

from cyclamenridge.flow import directory as directory_lib
from cyclamenridge.flow import server_stats as stats_lib

# Retransmissions of one flow without an answer that confirm a removal. Two
# packets of a flow are hardly ever lost in a row while the server is alive.
MIN_RETRANSMISSIONS = 2
# A server that answered within this time counts as reachable.
RECENT_ANSWER_MS = 600


class ServerLiveness:
    """Decides by the store's removal and by missing answers.

    Neither is sufficient alone: an entry also lapses while the store is down
    or the server is cut off from it, and a saturated link loses packets to a
    server that lives.

    :ivar store_returned_ms: when the store answered again after a failure
    """

    def __init__(
        self,
        directory: directory_lib.Directory,
        server_stats: stats_lib.ServerStatsTable,
    ) -> None:
        self.store_returned_ms = 0
        self._directory = directory
        self._server_stats = server_stats

    def is_gone(
        self,
        now_ms: int,
        server: directory_lib.Server,
        *,
        store_lost: bool,
        retransmissions: int,
    ) -> bool:
        """Return whether a server will never answer a flow again.

        :param store_lost: whether the last call to the store failed
        :param retransmissions: of the flow, since the server's last answer
        """
        if server.removed_ms is None or store_lost:
            return False
        if (
            now_ms - self.store_returned_ms
            < directory_lib.REGISTRATION_TIMEOUT_MS
        ):
            return False
        stats = self._server_stats.for_server(server.entry.name)
        if stats.last_answer_ms >= server.removed_ms:
            # It lives, but the store does not hear from it.
            return False
        if not (
            stats.is_silent(now_ms) or retransmissions >= MIN_RETRANSMISSIONS
        ):
            return False
        return self._others_answer(now_ms, server)

    def _others_answer(
        self, now_ms: int, server: directory_lib.Server
    ) -> bool:
        """Return whether listed servers answer and none has losses.

        Losses at several servers point to a saturated link or to a fault of
        this machine's network.
        """
        has_answer = False
        for other in self._directory:
            if other is server or other.removed_ms is not None:
                continue
            stats = self._server_stats.find(other.entry.name)
            if stats is None:
                continue
            if stats.has_recent_losses(now_ms):
                return False
            if now_ms - stats.last_answer_ms < RECENT_ANSWER_MS:
                has_answer = True
        return has_answer
