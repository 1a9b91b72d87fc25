"""Metrics of a host: counters, latency quantiles and gauges, as Prometheus text."""

from collections import Counter
from collections.abc import Callable

from hdrh.histogram import HdrHistogram

from celerypulley.errors import ErrorKind, Refusal

__all__ = ["HostMetrics"]

_LOWEST_US = 1
_HIGHEST_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (50.0, 95.0, 99.0)
_US_PER_MS = 1_000
_US_PER_S = 1_000_000


class HostMetrics:
    """Count requests by outcome and record their durations."""

    def __init__(self) -> None:
        """Start with all counts at zero."""
        self.requests: Counter[str] = Counter()
        self.latency = HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)
        self.gauges: dict[str, Callable[[], float]] = {}

    def record_request(self, duration_ms: float, refusal: Refusal | None) -> None:
        """Count one request; `refusal` is None if it succeeded."""
        outcome = refusal.kind.value if refusal else "ok"
        self.requests[outcome] += 1
        duration_us = max(_LOWEST_US, min(_HIGHEST_US, int(duration_ms * _US_PER_MS)))
        self.latency.record_value(duration_us)

    def text(self) -> str:
        """Return the metrics in the Prometheus text format."""
        lines = ["# TYPE celerypulley_requests_total counter"]
        for outcome in ("ok", *(kind.value for kind in ErrorKind)):
            count = self.requests[outcome]
            name = f'celerypulley_requests_total{{outcome="{outcome}"}}'
            lines.append(f"{name} {count}")
        lines.append("# TYPE celerypulley_request_seconds summary")
        for quantile in _QUANTILES:
            value_us = self.latency.get_value_at_percentile(quantile)
            name = f'celerypulley_request_seconds{{quantile="{quantile / 100}"}}'
            lines.append(f"{name} {value_us / _US_PER_S}")
        total = self.latency.get_total_count()
        lines.append(f"celerypulley_request_seconds_count {total}")
        for name, read in self.gauges.items():
            lines.append(f"# TYPE celerypulley_{name} gauge")
            lines.append(f"celerypulley_{name} {read()}")
        return "\n".join(lines) + "\n"
