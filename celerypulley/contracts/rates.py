"""Rate and burst of organisations, split into shares of failure domains.

The declared rate is the sum of one share per failure domain. A meter spends
only shares that it holds, its own or borrowed ones, so that all meters together
never exceed the declared rate and burst.
"""

from collections.abc import Iterable

import attrs
import xxhash

from celerypulley.contracts.declaration import Limits
from celerypulley.elapsed_time import elapsed_ms

__all__ = ["Share", "TokenBucket", "domain_share", "meter_group", "sum_shares"]


@attrs.frozen
class Share:
    """A share of a rate, in requests per second, and of a burst, in requests."""

    rate_per_s: float = 0.0
    burst: float = 0.0


def meter_group(organisation: str, group_count: int) -> int:
    """Return the meter group of an organisation; it is the same on every host."""
    return xxhash.xxh64_intdigest(organisation.encode()) % group_count


def domain_share(
    organisation: str, limits: Limits, domains: tuple[str, ...], domain: str
) -> Share:
    """Return one failure domain's share of an organisation's rate and burst.

    The burst is split into whole requests; the organisation determines which
    domains receive the remainder.
    """
    domain_count = len(domains)
    base, remainder = divmod(limits.burst, domain_count)
    offset = xxhash.xxh64_intdigest(organisation.encode())
    position = (domains.index(domain) + offset) % domain_count
    extra = 1 if position < remainder else 0
    return Share(limits.rate_per_s / domain_count, float(base + extra))


def sum_shares(shares: Iterable[Share]) -> Share:
    """Return the total rate and burst of shares."""
    rate_per_s = 0.0
    burst = 0.0
    for share in shares:
        rate_per_s += share.rate_per_s
        burst += share.burst
    return Share(rate_per_s, burst)


@attrs.define
class TokenBucket:
    """The token bucket of one organisation at one meter; it starts empty."""

    updated_ms: float
    share: Share = Share()
    tokens: float = 0.0

    def refill(self, now_ms: float, share: Share) -> None:
        """Add the tokens accrued at the current share, then switch to `share`."""
        since_ms = elapsed_ms(self.updated_ms, now_ms, "token bucket")
        gained = since_ms / 1000 * self.share.rate_per_s
        self.tokens = min(self.tokens + gained, self.share.burst)
        self.tokens = min(self.tokens, share.burst)
        self.share = share
        self.updated_ms = now_ms

    def try_acquire(self, now_ms: float) -> bool:
        """Take the token of one request; return False if none is left."""
        self.refill(now_ms, self.share)
        assert self.tokens <= self.share.burst, "token bucket holds more than its burst"
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def wait_ms(self) -> float:
        """Return the time until the next request is allowed, in ms."""
        if self.share.rate_per_s <= 0:
            return float("inf")
        return max(0.0, (1.0 - self.tokens) / self.share.rate_per_s * 1000)
