"""Ends of the warm-ups that servers report or are assumed to have."""

from collections.abc import Mapping
import typing

import msgspec

from cyclamenridge.flow import position as position_lib

if typing.TYPE_CHECKING:
    from cyclamenridge.flow import directory

Position = position_lib.Position


class _AssumedWarmup(msgspec.Struct, frozen=True):
    """Warm-up that servers of a domain are assumed to have.

    :param position: store position that entries with the warm-up follow
    :param end_ms: assumed end by service
    """

    position: Position
    end_ms: dict[str, int]


class WarmupEnds:
    """Derives the end of a warm-up from entries and withdrawn evacuations."""

    def __init__(self) -> None:
        self._assumed: dict[str, _AssumedWarmup] = {}

    def end_ms(
        self,
        now_ms: int,
        server: "directory.Server | None",
        entry: "directory.ServerEntry",
    ) -> int:
        """Return the end of a server's warm-up with a newer entry.

        :param server: the server with its last entry, if any
        """
        end_ms = now_ms + entry.warmup_ms
        assumed = self._assumed.get(entry.failure_domain)
        is_first_report = False
        if assumed is not None:
            if entry.position <= assumed.position:
                known_ms = 0 if server is None else server.warmup_end_ms
                assumed_ms = self.assumed_end_ms(entry, entry.position)
                return max(end_ms, known_ms, assumed_ms)
            is_first_report = (
                server is not None and server.position <= assumed.position
            )
        if (
            server is not None
            and not is_first_report
            and server.entry.born_ms == entry.born_ms
            and server.entry.warmup_ms == entry.warmup_ms
            and now_ms < server.warmup_end_ms
        ):
            # A change of another field repeats the value of the last report.
            return server.warmup_end_ms
        return end_ms

    def assume_cold(
        self,
        now_ms: int,
        failure_domain: str,
        position: Position,
        durations_ms: Mapping[str, int],
    ) -> bool:
        """Count the servers of a domain as cold; return False if outdated.

        :param position: store position that entries with the warm-up follow
        :param durations_ms: warm-up by service
        """
        known = self._assumed.get(failure_domain)
        if known is not None and known.position >= position:
            return False
        self._assumed[failure_domain] = _AssumedWarmup(
            position,
            {
                service: now_ms + duration_ms
                for service, duration_ms in durations_ms.items()
            },
        )
        return True

    def assumed_end_ms(
        self, entry: "directory.ServerEntry", position: Position
    ) -> int:
        """Return the assumed end for a server, 0 if none is assumed.

        :param position: store position of the newest entry or removal
        """
        assumed = self._assumed.get(entry.failure_domain)
        if assumed is None or position > assumed.position:
            return 0
        return assumed.end_ms.get(entry.service, 0)
