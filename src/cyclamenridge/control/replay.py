"""Protection against replayed messages."""

import dataclasses

_WINDOW = 64
_MASK = (1 << _WINDOW) - 1


@dataclasses.dataclass(slots=True)
class ReplayWindow:
    """Remembers which sequence numbers of an incarnation arrived.

    The last 64 numbers may arrive out of order, older ones are refused.
    """

    incarnation: int = -1
    highest: int = 0
    seen: int = 0

    def accept(self, incarnation: int, sequence: int) -> bool:
        """Return whether a message is new, and remember it."""
        if incarnation < self.incarnation:
            return False
        if incarnation > self.incarnation:
            self.incarnation = incarnation
            self.highest = sequence
            self.seen = 1
            return True
        ahead = sequence - self.highest
        if ahead > 0:
            self.seen = ((self.seen << min(ahead, _WINDOW)) | 1) & _MASK
            self.highest = sequence
            return True
        bit = 1 << -ahead if -ahead < _WINDOW else 0
        if not bit or self.seen & bit:
            return False
        self.seen |= bit
        return True
