"""Port for exporting metrics."""

import abc
from collections.abc import Callable
import dataclasses

from hdrh import histogram


@dataclasses.dataclass(frozen=True, slots=True)
class MetricsSnapshot:
    """Values of all metrics at one time.

    :param counters: monotonic counters by metric name
    :param gauges: current values by metric name
    :param latencies: histograms in microseconds by kind of request
    """

    counters: dict[str, int]
    gauges: dict[str, float]
    latencies: dict[str, histogram.HdrHistogram]


Source = Callable[[], MetricsSnapshot]


class Metrics(abc.ABC):
    """Renders metrics in the format of a monitoring system."""

    @property
    @abc.abstractmethod
    def content_type(self) -> str:
        """Media type of what ``render`` returns."""

    @abc.abstractmethod
    def render(self) -> bytes:
        """Return the current metrics."""
