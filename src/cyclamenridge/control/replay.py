"""Protection against replayed messages."""

import dataclasses

_WINDOW = 64
_MASK = (1 << _WINDOW) - 1


@dataclasses.dataclass(slots=True)
class ReplayWindow:
    """Remembers which sequence numbers of an incarnation arrived.

    The last 64 numbers may arrive out of order, older ones are refused.
    Numbers begin with 1.
    """

    incarnation: int
    highest: int = 0
    seen: int = 1

    def advance(self, incarnation: int) -> None:
        """Refuse earlier incarnations from now on."""
        if incarnation > self.incarnation:
            self.incarnation = incarnation
            self.highest = 0
            self.seen = 1

    def accept(self, incarnation: int, sequence: int) -> bool:
        """Return whether a message is new, and remember it."""
        if incarnation < self.incarnation:
            return False
        self.advance(incarnation)
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
