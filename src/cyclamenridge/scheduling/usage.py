"""Slots in use, run times and floor credit by kind of work."""

from collections.abc import Mapping
import math

# Time constant of the moving averages of slots in use and refusals.
USE_WINDOW_MS = 1000
# Run time that is assumed for a kind until its requests have ended.
INITIAL_RUN_MS = 50.0
# Weight of a new run time in the moving average.
RUN_TIME_WEIGHT = 0.05
# The debt of a request that ran for longer than the mean is limited to the
# credit of this time. Credit is limited to two requests: with the credit of
# 2 s, floors took all slots of a balancer for half a second in
# ``benchmarks/flood.py``.
MAX_DEBT_MS = 2000
MAX_CREDIT_REQUESTS = 2
# Factor on the credit of a floor. It makes up for credit above the limit,
# which is lost, and for the round trip, which counts as slot time. With 1.0,
# kinds got 5 to 15 per cent less than their floor in ``benchmarks/flood.py``.
FLOOR_MARGIN = 1.1


class _KindState:
    """Moving averages and floor credit of one kind.

    :ivar mean_slots_used: slots in use
    :ivar refused_slots: slots that refused requests would have used
    :ivar mean_run_ms: run time of a request
    :ivar mean_square_run_ms2: square of the run time, in ms²
    :ivar floor_slots: slots that the floor entitles the kind to
    :ivar credit_ms: slot time that the floor has granted and that is unused
    """

    def __init__(self) -> None:
        self.running = 0
        self.mean_slots_used = 0.0
        self.updated_ms = 0
        self.refused_slots = 0.0
        self.mean_run_ms = INITIAL_RUN_MS
        self.mean_square_run_ms2 = INITIAL_RUN_MS**2
        self.floor_slots = 0.0
        self.credit_ms = 0.0

    def advance(self, now_ms: int) -> None:
        """Update the averages and the credit to a later time."""
        elapsed_ms = now_ms - self.updated_ms
        if elapsed_ms <= 0:
            return
        weight = math.exp(-elapsed_ms / USE_WINDOW_MS)
        self.mean_slots_used = (
            weight * self.mean_slots_used + (1 - weight) * self.running
        )
        self.refused_slots *= weight
        self.updated_ms = now_ms
        self.credit_ms = min(
            MAX_CREDIT_REQUESTS * self.mean_run_ms,
            self.credit_ms + FLOOR_MARGIN * self.floor_slots * elapsed_ms,
        )


class KindUsage:
    """Tracks what each kind of work uses and what its floor grants it.

    The floor of a kind is often less than one slot of one balancer, so it
    is kept as credit of slot time: it grows with time, and a request that
    starts uses up its expected run time.
    """

    def __init__(self) -> None:
        self._kinds: dict[str, _KindState] = {}

    def set_kinds(self, kinds: tuple[str, ...]) -> None:
        """Set the kinds; the state of those that stay is kept."""
        self._kinds = {
            kind: self._kinds.get(kind) or _KindState() for kind in kinds
        }

    def set_floors(
        self, now_ms: int, floor_slots: Mapping[str, float]
    ) -> None:
        """Set the slots that the floor of each kind grants it."""
        for name, state in self._kinds.items():
            state.advance(now_ms)
            state.floor_slots = floor_slots.get(name, 0.0)

    def record_start(self, now_ms: int, kind: str, *, by_floor: bool) -> None:
        """Record that a request starts.

        A request that did not need the floor uses up credit but leaves no
        debt: work done while slots were free must not starve the kind later.

        :param by_floor: the floor put the request before higher kinds
        """
        state = self._kinds[kind]
        state.advance(now_ms)
        state.running += 1
        credit_ms = state.credit_ms - state.mean_run_ms
        state.credit_ms = (
            credit_ms
            if by_floor
            else max(credit_ms, min(0.0, state.credit_ms))
        )

    def record_end(
        self, now_ms: int, kind: str, run_ms: float, *, by_floor: bool
    ) -> None:
        """Record that a request ends after it held a slot for ``run_ms``."""
        state = self._kinds.get(kind)
        if state is None:
            return
        state.advance(now_ms)
        state.running = max(0, state.running - 1)
        if by_floor:
            max_debt_ms = max(
                state.mean_run_ms, state.floor_slots * MAX_DEBT_MS
            )
            state.credit_ms = max(
                -max_debt_ms, state.credit_ms + state.mean_run_ms - run_ms
            )

    def record_run_time(self, kind: str, run_ms: float) -> None:
        """Add the run time of an answered request to the averages."""
        state = self._kinds.get(kind)
        if state is not None:
            run_ms = max(1.0, run_ms)
            state.mean_run_ms += RUN_TIME_WEIGHT * (run_ms - state.mean_run_ms)
            state.mean_square_run_ms2 += RUN_TIME_WEIGHT * (
                run_ms * run_ms - state.mean_square_run_ms2
            )

    def mean_run_ms(self, kind: str) -> float:
        """Return the mean run time of a kind."""
        state = self._kinds.get(kind)
        return state.mean_run_ms if state else INITIAL_RUN_MS

    def mean_residual_ms(self) -> float:
        """Return how long a slot observed in use stays in use on average.

        This exceeds half the mean run time, because an observation is more
        likely to hit a long request (mean residual life).
        """
        used = sum(state.mean_slots_used for state in self._kinds.values())
        if used < 0.01:
            return INITIAL_RUN_MS
        return (
            sum(
                state.mean_slots_used
                * state.mean_square_run_ms2
                / (2 * state.mean_run_ms)
                for state in self._kinds.values()
            )
            / used
        )

    def has_floor_credit(self, now_ms: int, kind: str) -> bool:
        """Whether the floor of a kind covers a request now."""
        state = self._kinds[kind]
        state.advance(now_ms)
        return state.floor_slots > 0 and state.credit_ms >= state.mean_run_ms

    def record_refusal(self, now_ms: int, kind: str) -> None:
        """Record that a request was refused for lack of slots."""
        state = self._kinds[kind]
        state.advance(now_ms)
        # At a steady rate of refusals, the decaying sum converges to the
        # slots that the refused requests would have used.
        state.refused_slots += state.mean_run_ms / USE_WINDOW_MS

    def demand(self, now_ms: int, kind: str, queued: int) -> float:
        """Return the slots that a kind could use within the next second.

        Refused requests count; otherwise a balancer with a small share
        would keep a short queue and never ask for more. The result is a
        multiple of 1/8, which has an exact encoding in messages.

        :param queued: requests of the kind in the queue
        """
        state = self._kinds[kind]
        state.advance(now_ms)
        slots = (
            state.mean_slots_used
            + state.refused_slots
            + queued * state.mean_run_ms / 1000
        )
        return round(slots * 8) / 8
