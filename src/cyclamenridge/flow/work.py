"""Time that the requests of each route need at a server."""

from cyclamenridge.flow import routes

# Part of the answers that are faster than the estimated service time. Such
# answers come from servers where the request did not wait, also while most
# requests wait for a slot.
SERVICE_QUANTILE = 0.2
# Relative step of the estimated quantile for each answer. Old answers lose
# their effect within some tens of new ones.
QUANTILE_STEP = 0.1
# Weight of a new answer in the mean answer time.
ANSWER_SMOOTHING = 0.1
# Answer time before the first answer, as a part of the target latency.
INITIAL_ANSWER_PART = 0.5


class RouteWork:
    """Service time and answer time by route, learnt from answers.

    The service time is a low quantile of the time from a request to its
    answer. The answer time is the mean, which includes the wait at a server.
    """

    def __init__(self) -> None:
        self._service_ms: dict[str, float] = {}
        self._answer_ms: dict[str, float] = {}

    def record(self, route: str, elapsed_ms: float) -> None:
        """Record an answer that is not a refusal.

        :param route: name of the route
        :param elapsed_ms: time from the request to its answer, without the
            delay of the acknowledgement
        """
        elapsed_ms = max(1.0, elapsed_ms)
        service_ms = self._service_ms.get(route)
        if service_ms is None:
            self._service_ms[route] = self._answer_ms[route] = elapsed_ms
            return
        is_faster = elapsed_ms < service_ms
        service_ms *= 1 + QUANTILE_STEP * (SERVICE_QUANTILE - is_faster)
        self._service_ms[route] = max(1.0, service_ms)
        self._answer_ms[route] += ANSWER_SMOOTHING * (
            elapsed_ms - self._answer_ms[route]
        )

    def service_ms(self, route: str) -> float:
        """Return the service time; equal for routes without an answer."""
        service_ms = self._service_ms.get(route)
        if service_ms is not None:
            return service_ms
        known = self._service_ms.values()
        return sum(known) / len(known) if known else 1.0

    def is_known(self, route: routes.Route) -> bool:
        """Return whether requests of a route were answered."""
        return route.name in self._answer_ms

    def answer_ms(self, route: routes.Route) -> float:
        """Return the mean answer time."""
        return self._answer_ms.get(
            route.name, route.aim_ms * INITIAL_ANSWER_PART
        )
