"""Tells dropped routes from routes that this process does not know yet."""

from cyclamenridge.flow import tracking


class RouteDrops:
    """Decides whether the missing route of an open flow was dropped.

    Balancers follow the configuration with different delays, so a route that
    is missing here may be one that others already know: it was added since,
    or dropped and added again. It was dropped if

    - this process tracked the flow while it had the route, and then the store
      returned a configuration without it, or
    - the flow was already open when this process asked the store, which then
      confirmed that the configuration without the route is the newest.
    """

    def __init__(self) -> None:
        self._is_current = False
        self._confirmed_ms: int | None = None

    def record_configuration(self, *, is_current: bool) -> None:
        """Record that a newer configuration was applied.

        :param is_current: whether the store returned it as the newest one; a
            peer or a stale read may be behind
        """
        self._is_current = is_current
        self._confirmed_ms = None

    def record_confirmation(self, asked_ms: int) -> None:
        """Record that the store has no newer configuration.

        :param asked_ms: when the store was asked
        """
        self._confirmed_ms = asked_ms

    def is_dropped(self, rec: tracking.FlowRecord) -> bool:
        """Return whether the route of a flow, which is missing, was dropped.

        :param rec: record from an earlier packet of the flow
        """
        if self._is_current and rec.route is not None:
            return True
        return (
            self._confirmed_ms is not None
            and rec.opened_ms < self._confirmed_ms
        )
