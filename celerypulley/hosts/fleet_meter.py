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
_SUPPOSED_PART = 0.75
_SUPPOSED_STEPS = 20
# Spending that the others need not hear of before the next message.
_UNTOLD_MIN = 2
# A request waits this long for its turn, a third of what a caller waits between two
# tries of a turn; longer waits are refused at once.
_LONGEST_WAIT_MS = 400.0
_MIN_WAIT_MS = 5.0  # below it a timer is late anyway
_log = DecisionLog("meter")


@attrs.frozen
class _Share:
    """What one host may use of a limit: the part of the fleet that it hears.

    All members knew of what was admitted until `known_ms`, so each part of the fleet
    counts its own part of that, and all of what it admitted since.
    """

    part: float
    known_ms: float

    def weight(self, at_ms: float) -> float:
        """Return how much a request that was admitted at `at_ms` counts."""
        return self.part if at_ms <= self.known_ms else 1.0


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
    untold: int = 0

    def note(self, at_ms: float, count: float) -> None:
        """Count admitted requests."""
        self.recent.append((at_ms, count))
        self.in_window += count
        self.tokens -= count

    def counted(self, share: _Share) -> float:
        """Return what counts against a share of the limit."""
        if share.part == 1.0:
            return self.in_window
        return sum(count * share.weight(at_ms) for at_ms, count in self.recent)

    def settle(self, now_ms: float, window_ms: float, rule: OrganisationRule) -> None:
        """Forget what has left the window and add what has come in."""
        while self.recent and self.recent[0][0] <= now_ms - window_ms:
            self.in_window -= self.recent.popleft()[1]
        gained = (now_ms - self.updated_ms) / 1000 * rule.rate_per_s
        self.tokens = min(_limit(rule, window_ms), self.tokens + gained)
        self.updated_ms = now_ms

    def wait_ms(
        self, now_ms: float, window_ms: float, rule: OrganisationRule, share: _Share
    ) -> float:
        """Return how long the next request has to wait."""
        rate_per_s = rule.rate_per_s * share.part
        wait_ms = max(0.0, (1.0 - self.tokens) / rate_per_s * 1000)
        excess = self.counted(share) + 1.0 - _limit(rule, window_ms) * share.part
        for at_ms, count in self.recent:
            if excess <= 0.0:
                break
            excess -= count * share.weight(at_ms)
            wait_ms = max(wait_ms, at_ms + window_ms - now_ms)
        return wait_ms if excess <= 0.0 else window_ms


def _limit(rule: OrganisationRule, window_ms: float) -> float:
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
        self._spenders: dict[str, set[str]] = {}

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
                self._account(rule).note(now_ms, count)
                self._spenders.setdefault(organisation, set()).add(peer.host)

    async def take(self, rule: OrganisationRule) -> float:
        """Count one request, wait until the rate allows it and return the wait in ms.

        Raise CallRefusedError at once where the wait would be long.
        """
        begun_ms = self.clock.now_ms()
        while True:
            wait_ms = self.try_take(rule)
            waited_ms = self.clock.now_ms() - begun_ms
            if wait_ms <= 0.0:
                self.delayed += int(waited_ms > 0.0)
                return waited_ms
            if waited_ms + wait_ms > _LONGEST_WAIT_MS:
                self._refuse(rule, wait_ms)
            await asyncio.sleep(wait_ms / 1000)

    def try_take(self, rule: OrganisationRule) -> float:
        """Count one request and return 0, or return the time to wait in ms."""
        if rule.rate_per_s > 0:
            now_ms = self.clock.now_ms()
            share = self._share()
            account = self._account(rule)
            account.settle(now_ms, self.window_ms, rule)
            wait_ms = account.wait_ms(now_ms, self.window_ms, rule, share)
            if wait_ms > 0.0:
                return max(wait_ms, _MIN_WAIT_MS)
            account.note(now_ms, 1.0)
            account.untold += 1
            left = _limit(rule, self.window_ms) * share.part - account.counted(share)
            self._tell_early(rule.name, account, left)
        self.admitted[rule.name] = self.admitted.get(rule.name, 0) + 1
        return 0.0

    def _refuse(self, rule: OrganisationRule, wait_ms: float) -> None:
        self.refused += 1
        account = self._account(rule)
        share = self._share()
        limit = _limit(rule, self.window_ms) * share.part
        raise CallRefusedError(
            Refusal(
                ErrorKind.RATE_EXCEEDED,
                f"{rule.name} has {account.counted(share):.0f} of {limit:.0f} in its "
                f"window, {account.tokens:.0f} left, "
                f"heard {share.part:.2f} of the fleet",
                retry_after_s=round(wait_ms / 1000, 2),
            )
        )

    def _tell_early(self, organisation: str, account: _Account, left: float) -> None:
        """Tell the others soon where hosts together might fill what is left untold.

        An organisation's requests come to a few hosts; those that are known to
        serve it share what is left.
        """
        if self.gossip is None:
            return
        spenders = 1 + len(self._spenders.get(organisation, ()))
        if account.untold >= max(_UNTOLD_MIN, left / 2 / spenders):
            self.gossip.tell_soon()

    def told(self) -> dict[str, int]:
        """Return the totals to tell the others now."""
        for account in self._accounts.values():
            account.untold = 0
        return self.admitted

    def heard_part(self) -> float:
        """Return the part of the fleet that this host hears, itself included."""
        return self._share().part

    def _share(self) -> _Share:
        if self.gossip is None:
            return _Share(1.0, self.clock.now_ms())
        members = self.gossip.members
        silent = [host for host in members if not self.gossip.heard_lately(host)]
        if not silent:
            return _Share(1.0, self.clock.now_ms())
        known_ms = min(self.gossip.heard_ms(host) for host in silent)
        part = (len(members) - len(silent)) / len(members)
        return _Share(part, max(known_ms, self._started_ms))

    def _account(self, rule: OrganisationRule) -> _Account:
        account = self._accounts.get(rule.name)
        if account is None:
            account = self._accounts[rule.name] = self._new_account(rule)
        return account

    def _new_account(self, rule: OrganisationRule) -> _Account:
        """Suppose that others spent a part of the limit just before the start."""
        limit = _limit(rule, self.window_ms)
        account = _Account(limit, self._started_ms)
        step_ms = self.window_ms / _SUPPOSED_STEPS
        for step in range(_SUPPOSED_STEPS, 0, -1):
            at_ms = self._started_ms - step * step_ms
            account.note(at_ms, limit * _SUPPOSED_PART / _SUPPOSED_STEPS)
        return account
