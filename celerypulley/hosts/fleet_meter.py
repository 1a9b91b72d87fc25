"""Rates of organisations across the fleet, from counts that hosts tell each other.

Every host keeps the same bucket for an organisation: it takes its own requests at
once and those of other hosts as it hears of them, and may fall below zero. A host
that does not hear some members leaves them their part of the rate, so that parts
of a divided fleet never exceed the whole.
"""

import attrs

from celerypulley.clock import Clock
from celerypulley.contracts.desired_state import DesiredState, OrganisationRule
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind, Refusal
from celerypulley.hosts.fleet_gossip import FleetGossip, PeerCounts

__all__ = ["FleetMeter"]

_START_PART = 0.25  # of the burst: what other hosts spent just now is not known yet
_RATE_HALF_LIFE_MS = 500.0  # of what others spend: a few messages
_MIN_RETRY_S = 0.05
_log = DecisionLog("meter")


@attrs.define(eq=False)
class _Bucket:
    """Tokens of one organisation; below zero after others' spending was heard late.

    `others_per_s` is what other hosts admit, as a decaying rate.
    """

    tokens: float
    updated_ms: float
    others_per_s: float = 0.0
    others_ms: float = 0.0

    def settle(self, now_ms: float, rate_per_s: float, burst: float) -> None:
        """Add what has come in since the last time."""
        gained = (now_ms - self.updated_ms) / 1000 * rate_per_s
        self.tokens = min(burst, self.tokens + gained)
        self.updated_ms = now_ms

    def note_others(self, now_ms: float, count: int) -> None:
        """Take what other hosts admitted."""
        self.tokens -= count
        fade = 0.5 ** ((now_ms - self.others_ms) / _RATE_HALF_LIFE_MS)
        gain = count / _RATE_HALF_LIFE_MS * 1000 * 0.693
        self.others_per_s = self.others_per_s * fade + gain
        self.others_ms = now_ms

    def unheard(self, now_ms: float, lag_ms: float) -> float:
        """Return what others may have admitted without this host's knowing."""
        fade = 0.5 ** ((now_ms - self.others_ms) / _RATE_HALF_LIFE_MS)
        return self.others_per_s * fade * lag_ms / 1000


class FleetMeter:
    """One bucket for each organisation with a rate."""

    def __init__(self, clock: Clock) -> None:
        """Start with nothing counted; `gossip` is set before the first request."""
        self.clock = clock
        self.gossip: FleetGossip | None = None
        self.admitted: dict[str, int] = {}
        self.refused = 0
        self._rules: dict[str, OrganisationRule] = {}
        self._buckets: dict[str, _Bucket] = {}

    def take_desired_state(self, state: DesiredState) -> None:
        """Hold the rates of a version from now on."""
        self._rules = state.organisations

    def take_peer(self, peer: PeerCounts, known: PeerCounts | None) -> None:
        """Take what a peer has admitted since its last message.

        Of a start that is heard for the first time, what it admitted before is not
        counted.
        """
        if known is None or known.start != peer.start:
            return
        now_ms = self.clock.now_ms()
        for organisation, total in peer.admitted.items():
            count = total - known.admitted.get(organisation, 0)
            rule = self._rules.get(organisation)
            if count > 0 and rule is not None and rule.rate_per_s > 0:
                self._bucket(rule, now_ms).note_others(now_ms, count)

    def take(self, rule: OrganisationRule) -> None:
        """Count one request; raise CallRefusedError where the rate is exceeded."""
        now_ms = self.clock.now_ms()
        if rule.rate_per_s > 0:
            part = self.heard_part()
            bucket = self._bucket(rule, now_ms)
            bucket.settle(now_ms, rule.rate_per_s * part, rule.burst * part)
            lag_ms = self.gossip.period_ms() if self.gossip else 0.0
            needed = 1.0 + bucket.unheard(now_ms, lag_ms)
            if bucket.tokens < min(needed, rule.burst * part):
                self._refuse(rule, bucket, part)
            bucket.tokens -= 1.0
        self.admitted[rule.name] = self.admitted.get(rule.name, 0) + 1

    def heard_part(self) -> float:
        """Return the part of the fleet that this host hears, itself included."""
        if self.gossip is None:
            return 1.0
        members = self.gossip.members.addresses
        heard = sum(
            host == self.gossip.host or self.gossip.heard_lately(host)
            for host in members
        )
        return heard / max(1, len(members))

    def _bucket(self, rule: OrganisationRule, now_ms: float) -> _Bucket:
        bucket = self._buckets.get(rule.name)
        if bucket is None:
            bucket = _Bucket(rule.burst * _START_PART, now_ms)
            self._buckets[rule.name] = bucket
        return bucket

    def _refuse(self, rule: OrganisationRule, bucket: _Bucket, part: float) -> None:
        self.refused += 1
        wait_s = max(_MIN_RETRY_S, (1.0 - bucket.tokens) / (rule.rate_per_s * part))
        raise CallRefusedError(
            Refusal(
                ErrorKind.RATE_EXCEEDED,
                f"{rule.name} has {bucket.tokens:.1f} of {rule.burst:.0f} left, "
                f"heard {part:.2f} of the fleet",
                retry_after_s=round(wait_s, 2),
            )
        )
