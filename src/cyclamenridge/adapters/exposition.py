"""Renders metrics in the Prometheus text exposition format.

Importing prometheus_client, which adapters/metrics.py uses, takes 0.15 s of
CPU time, during which packets would wait.
"""

from collections.abc import Mapping

from cyclamenridge.flow import latency

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_PREFIX = "cyclamenridge_"


def render(
    *,
    counters: Mapping[str, int],
    domain_counters: Mapping[str, Mapping[str, int]],
    gauges: Mapping[str, float],
    latencies: Mapping[str, latency.LatencyHistogram],
) -> bytes:
    """Render all metrics.

    :param domain_counters: counters by metric name and failure domain
    :param latencies: histograms by metric name without the unit
    """
    lines: list[str] = []
    for name, count in sorted(counters.items()):
        metric = f"{_PREFIX}{name}_total"
        lines += [f"# TYPE {metric} counter", f"{metric} {count}"]
    for name, by_domain in sorted(domain_counters.items()):
        metric = f"{_PREFIX}{name}_total"
        lines.append(f"# TYPE {metric} counter")
        lines += [
            f'{metric}{{failure_domain="{_escape(domain)}"}} {count}'
            for domain, count in sorted(by_domain.items())
        ]
    for name, value in sorted(gauges.items()):
        metric = _PREFIX + name
        lines += [f"# TYPE {metric} gauge", f"{metric} {value:g}"]
    for name, hist in sorted(latencies.items()):
        lines += _histogram(f"{_PREFIX}{name}_seconds", hist)
    return "\n".join([*lines, ""]).encode()


def _escape(value: str) -> str:
    """Escape the value of a label."""
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def _histogram(metric: str, hist: latency.LatencyHistogram) -> list[str]:
    lines = [f"# TYPE {metric} histogram"]
    total = 0
    for bound_ms, count in zip(
        latency.BUCKET_BOUNDS_MS, hist.counts, strict=False
    ):
        total += count
        lines.append(f'{metric}_bucket{{le="{bound_ms / 1000:g}"}} {total}')
    total += hist.counts[-1]
    return [
        *lines,
        f'{metric}_bucket{{le="+Inf"}} {total}',
        f"{metric}_sum {hist.sum_ms / 1000:g}",
        f"{metric}_count {total}",
    ]
