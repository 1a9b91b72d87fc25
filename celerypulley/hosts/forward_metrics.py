"""Counters and latency histograms of forwarded requests, by route and outcome."""

from collections import Counter
from collections.abc import Callable, Mapping

from hdrh.histogram import HdrHistogram

from celerypulley.errors import Refusal

__all__ = ["ForwardMetrics"]

_LOWEST_US = 1
_HIGHEST_US = 600_000_000
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (50.0, 90.0, 95.0, 99.0, 99.9)
_US_PER_MS = 1_000
_US_PER_S = 1_000_000
_MAX_ROUTES = 200  # routes change between versions; bounds the memory


class ForwardMetrics:
    """Count requests by route and outcome, and their durations by route.

    `gauges` are functions that return the current value, by name.
    """

    def __init__(self, store_calls: Mapping[tuple[str, str], int]) -> None:
        """Start with all counters at zero; `store_calls` are by kind and purpose."""
        self.store_calls = store_calls
        self.requests: Counter[tuple[str, str]] = Counter()
        self.latency: dict[str, HdrHistogram] = {}
        self.gauges: dict[str, Callable[[], float]] = {}

    def record_request(
        self, route: str, took_ms: float, refusal: Refusal | None
    ) -> None:
        """Record the outcome of a request and its duration in ms."""
        self.requests[route, refusal.kind.value if refusal else "ok"] += 1
        histogram = self.latency.get(route)
        if histogram is None:
            if len(self.latency) >= _MAX_ROUTES:
                return
            histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)
            self.latency[route] = histogram
        took_us = max(_LOWEST_US, min(_HIGHEST_US, int(took_ms * _US_PER_MS)))
        histogram.record_value(took_us)

    def text(self) -> str:
        """Return the metrics in the Prometheus text format."""
        lines = ["# TYPE celerypulley_forwarded_total counter"]
        for (route, outcome), count in sorted(self.requests.items()):
            labels = f'route="{route}",outcome="{outcome}"'
            lines.append(f"celerypulley_forwarded_total{{{labels}}} {count}")
        lines.append("# TYPE celerypulley_forward_seconds summary")
        for route, histogram in sorted(self.latency.items()):
            for quantile in _QUANTILES:
                value_s = histogram.get_value_at_percentile(quantile) / _US_PER_S
                labels = f'route="{route}",quantile="{quantile / 100}"'
                lines.append(f"celerypulley_forward_seconds{{{labels}}} {value_s}")
            count = histogram.get_total_count()
            lines.append(
                f'celerypulley_forward_seconds_count{{route="{route}"}} {count}'
            )
        lines.append("# TYPE celerypulley_store_calls_total counter")
        for (kind, purpose), count in sorted(self.store_calls.items()):
            labels = f'kind="{kind}",purpose="{purpose}"'
            lines.append(f"celerypulley_store_calls_total{{{labels}}} {count}")
        for name, read in self.gauges.items():
            lines.append(f"# TYPE celerypulley_{name} gauge")
            lines.append(f"celerypulley_{name} {read()}")
        return "\n".join(lines) + "\n"
