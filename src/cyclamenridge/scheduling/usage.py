"""Slots in use, work times and floor credits by kind of work."""

from collections.abc import Mapping
import math

USE_WINDOW_MS = 1000
# Before a kind has run, its work is taken to last this long.
FIRST_WORK_MS = 50.0
WORK_WEIGHT = 0.05
# A request that ran for longer than usual is paid back over this time at
# most. Credit is saved for two requests only: in the flood experiment, saved
# credit of 2 s let floors take all slots of a balancer for half a second.
MAX_DEBT_MS = 2000
MAX_CREDIT_REQUESTS = 2
# Credit that grows while two requests' worth is saved is lost, and slot time
# counted here includes the round trip. With 1.0, the flood experiment left
# kinds 5 to 15 per cent below their floor.
FLOOR_MARGIN = 1.1


class _Kind:
    def __init__(self) -> None:
        self.running = 0
        self.used = 0.0
        self.used_ms = 0
        self.refused = 0.0
        self.work_ms = FIRST_WORK_MS
        self.square_ms2 = FIRST_WORK_MS**2
        self.floor = 0.0
        self.credit = 0.0

    def advance(self, now_ms: int) -> None:
        """Bring the average of slots in use and the credit up to date."""
        elapsed_ms = now_ms - self.used_ms
        if elapsed_ms <= 0:
            return
        weight = math.exp(-elapsed_ms / USE_WINDOW_MS)
        self.used = weight * self.used + (1 - weight) * self.running
        self.refused *= weight
        self.used_ms = now_ms
        self.credit = min(
            MAX_CREDIT_REQUESTS * self.work_ms,
            self.credit + FLOOR_MARGIN * self.floor * elapsed_ms,
        )


class KindUsage:
    """What kinds of work use and what their floors entitle them to.

    The floor of a kind is often less than one slot of one balancer, so it
    is kept as credit of slot time: it grows with time and a request that
    starts takes its work time from it.
    """

    def __init__(self) -> None:
        self._kinds: dict[str, _Kind] = {}

    def set_kinds(self, kinds: tuple[str, ...]) -> None:
        """Set the kinds; what is known of those that stay is kept."""
        self._kinds = {
            kind: self._kinds.get(kind) or _Kind() for kind in kinds
        }

    def set_floors(self, now_ms: int, floors: Mapping[str, float]) -> None:
        """Set the slots that each kind keeps."""
        for name, kind in self._kinds.items():
            kind.advance(now_ms)
            kind.floor = floors.get(name, 0.0)

    def started(self, now_ms: int, kind: str, *, by_floor: bool) -> None:
        """Count a request that starts.

        One that did not need the floor uses up credit but leaves no debt,
        so that a kind is not starved for work it did in quiet times.
        """
        state = self._kinds[kind]
        state.advance(now_ms)
        state.running += 1
        credit = state.credit - state.work_ms
        state.credit = (
            credit if by_floor else max(credit, min(0.0, state.credit))
        )

    def ended(
        self, now_ms: int, kind: str, ran_ms: float, *, by_floor: bool
    ) -> None:
        """Count a request that ends, after it held its slot this long."""
        state = self._kinds.get(kind)
        if state is None:
            return
        state.advance(now_ms)
        state.running = max(0, state.running - 1)
        if by_floor:
            limit = max(state.work_ms, state.floor * MAX_DEBT_MS)
            state.credit = max(-limit, state.credit + state.work_ms - ran_ms)

    def worked(self, kind: str, work_ms: float) -> None:
        """Take in the work time of a request that was answered."""
        state = self._kinds.get(kind)
        if state is not None:
            work_ms = max(1.0, work_ms)
            state.work_ms += WORK_WEIGHT * (work_ms - state.work_ms)
            state.square_ms2 += WORK_WEIGHT * (
                work_ms * work_ms - state.square_ms2
            )

    def work_ms(self, kind: str) -> float:
        """Return the usual work time of a kind."""
        state = self._kinds.get(kind)
        return state.work_ms if state else FIRST_WORK_MS

    def residual_ms(self) -> float:
        """Return how long a slot seen in use stays in use on average.

        Longer than half the mean work time: long work is seen more often.
        """
        used = sum(kind.used for kind in self._kinds.values())
        if used < 0.01:
            return FIRST_WORK_MS
        return (
            sum(
                kind.used * kind.square_ms2 / (2 * kind.work_ms)
                for kind in self._kinds.values()
            )
            / used
        )

    def floor_due(self, now_ms: int, kind: str) -> bool:
        """Whether the kind has credit for a request."""
        state = self._kinds[kind]
        state.advance(now_ms)
        return state.floor > 0 and state.credit >= state.work_ms

    def refused(self, now_ms: int, kind: str) -> None:
        """Count a request that was refused for lack of slots."""
        state = self._kinds[kind]
        state.advance(now_ms)
        # In a steady state, the sum is the slots that refused work wanted.
        state.refused += state.work_ms / USE_WINDOW_MS

    def demand(self, now_ms: int, kind: str, queued: int) -> float:
        """Return the slots that a kind could use within the next second.

        Refused requests count; otherwise a balancer with a small share
        would keep a short queue and never ask for more. The result is
        rounded to what every member represents exactly.
        """
        state = self._kinds[kind]
        state.advance(now_ms)
        slots = state.used + state.refused + queued * state.work_ms / 1000
        return round(slots * 8) / 8
