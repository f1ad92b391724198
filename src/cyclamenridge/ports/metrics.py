"""Port for metrics."""

import abc
from collections.abc import Callable
import dataclasses

from hdrh import histogram


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """State of all metrics at one time.

    :param counters: monotonic counters by metric name
    :param gauges: values that may go down
    :param latencies: per kind of work, microseconds
    """

    counters: dict[str, int]
    gauges: dict[str, float]
    latencies: dict[str, histogram.HdrHistogram]


Source = Callable[[], Sample]


class Metrics(abc.ABC):
    """Renders metrics for a monitoring system."""

    @property
    @abc.abstractmethod
    def content_type(self) -> str:
        """Media type of what ``render`` returns."""

    @abc.abstractmethod
    def render(self) -> bytes:
        """Return the metrics of this moment."""
