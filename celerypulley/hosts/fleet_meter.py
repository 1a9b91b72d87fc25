"""Rates of organisations across the fleet, from counts that hosts tell each other.

Every host counts for an organisation its own requests at once and those of other
hosts as it hears of them. A host that does not hear some members leaves them their
part of the rate, so that parts of a divided fleet never exceed the whole. What the
whole fleet knew of before it was divided, each part counts for its own part only.
"""

import asyncio
from collections import deque

import attrs

from celerypulley.clock import Clock
from celerypulley.contracts.desired_state import DesiredState, OrganisationRule
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind, Refusal
from celerypulley.hosts.fleet_gossip import FleetGossip, PeerCounts

__all__ = ["FleetMeter"]

# What a host that starts supposes was spent in the window before, as a part.
_ASSUMED_SPENT_FRACTION = 0.75
_ASSUMED_SPENT_STEPS = 20
# Spending that the others need not hear of before the next message.
_MIN_UNANNOUNCED = 2
# A request waits this long for its turn, a third of what a caller waits between two
# tries of a turn; longer waits are refused at once.
_MAX_WAIT_MS = 400.0
_MIN_WAIT_MS = 5.0  # below it a timer is late anyway
_log = DecisionLog("meter")


@attrs.frozen
class _Share:
    """What one host may use of a limit: the part of the fleet that it hears.

    All members knew of what was admitted until `known_ms`, so each part of the fleet
    counts its own part of that, and all of what it admitted since.
    """

    fraction: float
    known_until_ms: float

    def weight(self, at_ms: float) -> float:
        """Return how much a request that was admitted at `at_ms` counts."""
        return self.fraction if at_ms <= self.known_until_ms else 1.0


@attrs.define(eq=False)
class _Account:
    """One organisation's requests: those of the last window, and a long-run bucket.

    In any window at most rate x window + burst are admitted; over a longer time the
    bucket of the same size holds the rate itself. `untold` counts what this host
    admitted since it last told the others.
    """

    tokens: float
    updated_ms: float
    recent: deque[tuple[float, float]] = attrs.Factory(deque)
    in_window: float = 0.0
    unannounced: int = 0

    def record(self, at_ms: float, count: float) -> None:
        """Count admitted requests."""
        self.recent.append((at_ms, count))
        self.in_window += count
        self.tokens -= count

    def charged(self, share: _Share) -> float:
        """Return what counts against a share of the limit."""
        if share.fraction == 1.0:
            return self.in_window
        return sum(count * share.weight(at_ms) for at_ms, count in self.recent)

    def advance(self, now_ms: float, window_ms: float, rule: OrganisationRule) -> None:
        """Forget what has left the window and add what has come in."""
        while self.recent and self.recent[0][0] <= now_ms - window_ms:
            self.in_window -= self.recent.popleft()[1]
        gained = (now_ms - self.updated_ms) / 1000 * rule.rate_per_s
        self.tokens = min(_window_limit(rule, window_ms), self.tokens + gained)
        self.updated_ms = now_ms

    def wait_ms(
        self, now_ms: float, window_ms: float, rule: OrganisationRule, share: _Share
    ) -> float:
        """Return how long the next request has to wait."""
        rate_per_s = rule.rate_per_s * share.fraction
        wait_ms = max(0.0, (1.0 - self.tokens) / rate_per_s * 1000)
        excess = (
            self.charged(share) + 1.0 - _window_limit(rule, window_ms) * share.fraction
        )
        for at_ms, count in self.recent:
            if excess <= 0.0:
                break
            excess -= count * share.weight(at_ms)
            wait_ms = max(wait_ms, at_ms + window_ms - now_ms)
        return wait_ms if excess <= 0.0 else window_ms


def _window_limit(rule: OrganisationRule, window_ms: float) -> float:
    return rule.rate_per_s * window_ms / 1000 + rule.burst


class FleetMeter:
    """One account for each organisation with a rate."""

    def __init__(self, window_ms: float, clock: Clock) -> None:
        """Hold rates over windows of `window_ms`; `gossip` is set before traffic."""
        self.window_ms = window_ms
        self.clock = clock
        self.gossip: FleetGossip | None = None
        self.admitted: dict[str, int] = {}
        self.refused = 0
        self.delayed = 0
        self._started_ms = clock.now_ms()
        self._rules: dict[str, OrganisationRule] = {}
        self._accounts: dict[str, _Account] = {}
        self._serving_hosts: dict[str, set[str]] = {}

    def on_desired_state(self, state: DesiredState) -> None:
        """Hold the rates of a version from now on."""
        self._rules = state.organisations

    def on_peer_counts(self, peer: PeerCounts, previous: PeerCounts | None) -> None:
        """Take what a peer has admitted since its last message.

        Of a start that is heard for the first time, what it admitted before is not
        counted.
        """
        if previous is None or previous.incarnation != peer.incarnation:
            return
        now_ms = self.clock.now_ms()
        for organisation, total in peer.admitted.items():
            count = total - previous.admitted.get(organisation, 0)
            rule = self._rules.get(organisation)
            if count > 0 and rule is not None and rule.rate_per_s > 0:
                self._account(rule).record(now_ms, count)
                self._serving_hosts.setdefault(organisation, set()).add(peer.host)

    async def acquire(self, rule: OrganisationRule) -> float:
        """Count one request, wait until the rate allows it and return the wait in ms.

        Raise CallRefusedError at once where the wait would be long.
        """
        started_ms = self.clock.now_ms()
        while True:
            wait_ms = self.try_acquire(rule)
            waited_ms = self.clock.now_ms() - started_ms
            if wait_ms <= 0.0:
                self.delayed += int(waited_ms > 0.0)
                return waited_ms
            if waited_ms + wait_ms > _MAX_WAIT_MS:
                self._refuse(rule, wait_ms)
            await asyncio.sleep(wait_ms / 1000)

    def try_acquire(self, rule: OrganisationRule) -> float:
        """Count one request and return 0, or return the time to wait in ms."""
        if rule.rate_per_s > 0:
            now_ms = self.clock.now_ms()
            share = self._share()
            account = self._account(rule)
            account.advance(now_ms, self.window_ms, rule)
            wait_ms = account.wait_ms(now_ms, self.window_ms, rule, share)
            if wait_ms > 0.0:
                return max(wait_ms, _MIN_WAIT_MS)
            account.record(now_ms, 1.0)
            account.unannounced += 1
            remaining = _window_limit(
                rule, self.window_ms
            ) * share.fraction - account.charged(share)
            self._announce_early(rule.name, account, remaining)
        self.admitted[rule.name] = self.admitted.get(rule.name, 0) + 1
        return 0.0

    def _refuse(self, rule: OrganisationRule, wait_ms: float) -> None:
        self.refused += 1
        account = self._account(rule)
        share = self._share()
        limit = _window_limit(rule, self.window_ms) * share.fraction
        raise CallRefusedError(
            Refusal(
                ErrorKind.RATE_EXCEEDED,
                f"{rule.name} has {account.charged(share):.0f} of {limit:.0f} in its "
                f"window, {account.tokens:.0f} left, "
                f"heard {share.fraction:.2f} of the fleet",
                retry_after_s=round(wait_ms / 1000, 2),
            )
        )

    def _announce_early(
        self, organisation: str, account: _Account, remaining: float
    ) -> None:
        """Tell the others soon where hosts together might fill what is left untold.

        An organisation's requests come to a few hosts; those that are known to
        serve it share what is left.
        """
        if self.gossip is None:
            return
        serving_hosts = 1 + len(self._serving_hosts.get(organisation, ()))
        if account.unannounced >= max(_MIN_UNANNOUNCED, remaining / 2 / serving_hosts):
            self.gossip.announce_soon()

    def totals_to_announce(self) -> dict[str, int]:
        """Return the totals to tell the others now."""
        for account in self._accounts.values():
            account.unannounced = 0
        return self.admitted

    def reachable_fraction(self) -> float:
        """Return the part of the fleet that this host hears, itself included."""
        return self._share().fraction

    def _share(self) -> _Share:
        if self.gossip is None:
            return _Share(1.0, self.clock.now_ms())
        members = self.gossip.members
        unreachable = [host for host in members if not self.gossip.is_reachable(host)]
        if not unreachable:
            return _Share(1.0, self.clock.now_ms())
        known_until_ms = min(self.gossip.last_received_ms(host) for host in unreachable)
        fraction = (len(members) - len(unreachable)) / len(members)
        return _Share(fraction, max(known_until_ms, self._started_ms))

    def _account(self, rule: OrganisationRule) -> _Account:
        account = self._accounts.get(rule.name)
        if account is None:
            account = self._accounts[rule.name] = self._new_account(rule)
        return account

    def _new_account(self, rule: OrganisationRule) -> _Account:
        """Suppose that others spent a part of the limit just before the start."""
        limit = _window_limit(rule, self.window_ms)
        account = _Account(limit, self._started_ms)
        step_ms = self.window_ms / _ASSUMED_SPENT_STEPS
        for step in range(_ASSUMED_SPENT_STEPS, 0, -1):
            at_ms = self._started_ms - step * step_ms
            account.record(
                at_ms, limit * _ASSUMED_SPENT_FRACTION / _ASSUMED_SPENT_STEPS
            )
        return account
