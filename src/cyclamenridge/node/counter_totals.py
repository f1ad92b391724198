"""Totals of the counters of a node's components."""

import collections
from collections.abc import Mapping


class CounterTotals:
    """Adds the growth of component counters to monotonic totals.

    A component may be replaced, such as the scheduler of a service that is
    served again, but the totals never decrease.
    """

    def __init__(self, total: collections.Counter[str]) -> None:
        self._total = total
        self._last_values: dict[str, dict[str, int]] = {}

    def collect(
        self,
        source: str,
        counters: Mapping[str, int],
        *,
        prefix: str = "",
        skip: frozenset[str] = frozenset(),
    ) -> None:
        """Add the growth of a component's counters since the last call.

        :param source: name of the component
        :param prefix: put before each counter name in the totals
        :param skip: names of counters that are left out
        """
        last_values = self._last_values.setdefault(source, {})
        for name, value in counters.items():
            if name not in skip:
                previous = last_values.get(name, 0)
                # The counters of a replaced component restart at 0.
                growth = value - previous if value >= previous else value
                self._total[prefix + name] += growth
                last_values[name] = value
