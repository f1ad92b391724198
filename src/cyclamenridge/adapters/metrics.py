"""Metrics in the Prometheus text format."""

from collections.abc import Iterator
import re

from hdrh import histogram
import prometheus_client
from prometheus_client import core
from prometheus_client import registry

from cyclamenridge.ports import metrics

_PREFIX = "cyclamenridge_"
_QUANTILES = (0.5, 0.9, 0.99, 0.999)
_MICROSECONDS_PER_S = 1e6


class PrometheusMetrics(metrics.Metrics):
    """Samples the metrics of the process at each scrape."""

    def __init__(self, source: metrics.Source) -> None:
        self._registry = registry.CollectorRegistry()
        self._registry.register(_Collector(source))
        prometheus_client.ProcessCollector(registry=self._registry)

    @property
    def content_type(self) -> str:
        """Media type of the text format."""
        return prometheus_client.CONTENT_TYPE_LATEST

    def render(self) -> bytes:
        """Return the current metrics."""
        return prometheus_client.generate_latest(self._registry)


class _Collector(registry.Collector):
    def __init__(self, source: metrics.Source) -> None:
        self._source = source

    def describe(self) -> list[core.Metric]:
        # Otherwise the registry would call collect() on registration, before
        # the process has started.
        return []

    def collect(self) -> Iterator[core.Metric]:
        sample = self._source()
        for name, value in sorted(sample.counters.items()):
            yield core.CounterMetricFamily(
                _metric_name(name), "Counter of the balancer.", value=value
            )
        for name, value in sorted(sample.gauges.items()):
            yield core.GaugeMetricFamily(
                _metric_name(name), "State of the balancer.", value=value
            )
        family = core.SummaryMetricFamily(
            f"{_PREFIX}request_seconds",
            "Time from the arrival of a request to its outcome.",
            labels=["kind"],
        )
        for kind, hist in sorted(sample.latencies.items()):
            _add_summary(family, kind, hist)
        yield family


def _add_summary(
    family: core.SummaryMetricFamily,
    kind: str,
    hist: histogram.HdrHistogram,
) -> None:
    count = hist.get_total_count()
    mean = hist.get_mean_value() if count else 0
    family.add_metric(
        [kind], count_value=count, sum_value=mean * count / _MICROSECONDS_PER_S
    )
    # SummaryMetricFamily does not support quantiles, so these samples are
    # added directly.
    for quantile in _QUANTILES:
        value = hist.get_value_at_percentile(quantile * 100)
        family.add_sample(
            family.name,
            {"kind": kind, "quantile": str(quantile)},
            value / _MICROSECONDS_PER_S,
        )


def _metric_name(name: str) -> str:
    return _PREFIX + re.sub(r"[^a-zA-Z0-9_]", "_", name)
