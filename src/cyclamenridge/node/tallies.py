"""Counters of the parts of a node, added up in one place."""

import collections
from collections.abc import Mapping


class TallyCollector:
    """Adds what counters of other parts grew by.

    Parts come and go, for example the scheduler of a service that is no
    longer served, but the sums never decrease.
    """

    def __init__(self, total: collections.Counter[str]) -> None:
        self._total = total
        self._seen: dict[str, dict[str, int]] = {}

    def collect(
        self,
        source: str,
        counters: Mapping[str, int],
        *,
        prefix: str = "",
        skip: frozenset[str] = frozenset(),
    ) -> None:
        """Add the growth of one part's counters."""
        seen = self._seen.setdefault(source, {})
        for name, value in counters.items():
            if name not in skip:
                before = seen.get(name, 0)
                # A part that was replaced starts again at 0.
                grown = value - before if value >= before else value
                self._total[prefix + name] += grown
                seen[name] = value
