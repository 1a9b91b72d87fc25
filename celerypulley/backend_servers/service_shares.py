"""Recent service received by each organisation, as counted by one host."""

import attrs

from celerypulley.clock import NEVER_MS
from celerypulley.elapsed_time import elapsed_ms

__all__ = ["ServiceShares"]

_HALF_LIFE_MS = 20_000.0
_MIN_TOTAL_TOKENS = 1_000.0


@attrs.define
class _DecayingCounter:
    tokens: float = 0.0
    updated_ms: float = NEVER_MS

    def value_at(self, now_ms: float) -> float:
        """Return the tokens, halved for each half-life since the last update."""
        age_ms = elapsed_ms(self.updated_ms, now_ms, "service of an organisation")
        return self.tokens * 0.5 ** (age_ms / _HALF_LIFE_MS)

    def add(self, now_ms: float, tokens: float) -> None:
        """Decay the counter to `now_ms`, then add tokens."""
        self.tokens = self.value_at(now_ms) + tokens
        self.updated_ms = now_ms


class ServiceShares:
    """Exponentially decaying counters of service by organisation."""

    def __init__(self) -> None:
        """Start with empty counters."""
        self._counters: dict[str, _DecayingCounter] = {}
        self._total = _DecayingCounter()

    def record(self, organisation: str, tokens: float, now_ms: float) -> None:
        """Count service for an organisation, in tokens."""
        self._counters.setdefault(organisation, _DecayingCounter()).add(now_ms, tokens)
        self._total.add(now_ms, tokens)

    def relative_share(
        self, organisation: str, weight: float, total_weight: float, now_ms: float
    ) -> float:
        """Return an organisation's fraction of service over its fraction of weights.

        `total_weight` is the sum over recently served organisations. Return 1
        where too little service was counted for a meaningful ratio.
        """
        total = self._total.value_at(now_ms)
        if total < _MIN_TOTAL_TOKENS or total_weight <= 0:
            return 1.0
        counter = self._counters.get(organisation)
        fraction = counter.value_at(now_ms) / total if counter else 0.0
        return fraction / (weight / total_weight)

    def active_organisations(self, now_ms: float) -> list[str]:
        """Return the organisations with over a thousandth of the recent service."""
        threshold = self._total.value_at(now_ms) / 1_000
        return [
            name
            for name, counter in self._counters.items()
            if counter.value_at(now_ms) > threshold
        ]
