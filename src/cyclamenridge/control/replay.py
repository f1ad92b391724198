"""Protection of control messages against replay."""

import dataclasses

_WINDOW_SIZE = 64
_WINDOW_MASK = (1 << _WINDOW_SIZE) - 1


@dataclasses.dataclass(slots=True)
class ReplayWindow:
    """Sliding window over the sequence numbers of one sender.

    The last 64 numbers may arrive out of order; older ones are rejected.
    Numbers start at 1.

    :param seen_mask: bit n is set if the number ``highest - n`` arrived
    """

    incarnation: int
    highest: int = 0
    seen_mask: int = 1

    def advance(self, incarnation: int) -> None:
        """Reset the window if the incarnation is newer."""
        if incarnation > self.incarnation:
            self.incarnation = incarnation
            self.highest = 0
            self.seen_mask = 1

    def accept(self, incarnation: int, sequence: int) -> bool:
        """Record a message; return False if it is a replay or too old."""
        if incarnation < self.incarnation:
            return False
        self.advance(incarnation)
        ahead = sequence - self.highest
        if ahead > 0:
            self.seen_mask = (
                (self.seen_mask << min(ahead, _WINDOW_SIZE)) | 1
            ) & _WINDOW_MASK
            self.highest = sequence
            return True
        bit = 1 << -ahead if -ahead < _WINDOW_SIZE else 0
        if not bit or self.seen_mask & bit:
            return False
        self.seen_mask |= bit
        return True
