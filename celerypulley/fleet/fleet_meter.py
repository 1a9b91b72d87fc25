"""Rate limits of organisations across the fleet, from counts that hosts gossip.

Each host counts its own requests at once and those of other hosts when their counts
arrive. If some hosts are unreachable, it uses only the reachable hosts' fraction of the
rate, so that the parts of a partitioned fleet together never exceed the limit. Requests
that were admitted before the partition count in each part by its fraction.

A host that starts knows nothing of the last window. Until it has copied that of another
host or of a witness, or a window has passed, it assumes that each limit was spent just
before, and admits no requests of organisations that have one.
"""

import asyncio
from collections import deque
from contextlib import suppress

import attrs

from celerypulley.clock import Clock
from celerypulley.contracts.desired_state import DesiredState, OrganisationRule
from celerypulley.decision_log import DecisionLog
from celerypulley.elapsed_time import elapsed_ms
from celerypulley.errors import CallRefusedError, ErrorKind, Refusal
from celerypulley.fleet.fleet_gossip import FleetGossip, PeerCounts
from celerypulley.fleet.window_table import (
    WindowSource,
    WindowTable,
    count_by_step,
    counted_total,
    spread_counts,
)

__all__ = ["FleetMeter"]

# A host that starts mostly knows the window within this time.
_COPY_RETRY_S = 1.0
# Part of a limit that hosts share for requests of which others do not know.
_UNKNOWN_FRACTION = 0.07
# Fewer admitted requests can wait for the next regular message.
_MIN_UNANNOUNCED = 2
# Requests that would wait longer are refused at once. It is a third of the time that
# callers wait before they retry a turn.
_MAX_WAIT_MS = 400.0
_MIN_WAIT_MS = 5.0  # timers are less precise than this
_log = DecisionLog("meter")


@attrs.frozen
class _Share:
    """The share of a limit that this host's part of the fleet may use.

    `fraction` is the fraction of hosts that are reachable. Requests admitted until
    `known_until_ms` are known to all hosts, so each part of the fleet counts its
    fraction of them, and counts those admitted later in full.
    """

    fraction: float
    known_until_ms: float

    def weight(self, at_ms: float) -> float:
        """Return the weight of a request that was admitted at `at_ms`."""
        return self.fraction if at_ms <= self.known_until_ms else 1.0


@attrs.define(eq=False)
class _Account:
    """One organisation's requests: a sliding window and a token bucket.

    At most rate x window + burst requests are admitted in any window; the bucket of
    the same size enforces the rate over longer times. `recent` has the times and counts
    of the window. `unannounced` is what this host admitted since its last message.
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
        """Return the weighted requests in the window that count against a share."""
        if share.fraction == 1.0:
            return self.in_window
        return sum(count * share.weight(at_ms) for at_ms, count in self.recent)

    def advance(self, now_ms: float, window_ms: float, rule: OrganisationRule) -> None:
        """Drop requests that have left the window and refill the bucket."""
        while self.recent and self.recent[0][0] <= now_ms - window_ms:
            self.in_window -= self.recent.popleft()[1]
        since_ms = elapsed_ms(self.updated_ms, now_ms, "bucket of an organisation")
        gained = since_ms / 1000 * rule.rate_per_s
        self.tokens = min(_window_limit(rule, window_ms), self.tokens + gained)
        self.updated_ms = now_ms

    def wait_ms(
        self, now_ms: float, window_ms: float, rule: OrganisationRule, share: _Share
    ) -> float:
        """Return how long the next request has to wait, 0 where it may run."""
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
    """Enforce the rate limits of organisations.

    `admitted` are this host's totals by organisation; `refused` and `delayed` count
    requests.
    """

    def __init__(self, window_ms: float, clock: Clock) -> None:
        """Enforce rates over windows of `window_ms`.

        `gossip` is set before requests are served.
        """
        self.window_ms = window_ms
        self.clock = clock
        self.gossip: FleetGossip | None = None
        self.admitted: dict[str, int] = {}
        self.refused = 0
        self.delayed = 0
        # Cleared while the last window is being copied, which requests wait for.
        self.copy_ended = asyncio.Event()
        self.copy_ended.set()
        self._started_ms = clock.now_ms()
        self._copied_source = WindowSource.NONE
        self._rules: dict[str, OrganisationRule] = {}
        self._accounts: dict[str, _Account] = {}
        self._serving_hosts: dict[str, set[str]] = {}

    def on_desired_state(self, state: DesiredState) -> None:
        """Enforce the rates of a new version of the desired state."""
        self._rules = state.organisations

    def on_peer_counts(self, peer: PeerCounts, previous: PeerCounts | None) -> None:
        """Count the requests that a peer admitted since its last message."""
        now_ms = self.clock.now_ms()
        max_uptime_ms = self.window_ms
        if self._copied_source is WindowSource.HEARD:
            # What a peer admitted before this host started is part of the copy.
            max_uptime_ms = min(now_ms - self._started_ms, self.window_ms)
        for organisation, total in peer.admitted.items():
            known = counted_total(organisation, peer, previous, max_uptime_ms)
            count = total - known
            rule = self._rules.get(organisation)
            if count > 0 and rule is not None and rule.rate_per_s > 0:
                self._account(rule).record(now_ms, count)
                self._serving_hosts.setdefault(organisation, set()).add(peer.host)

    @property
    def has_rates(self) -> bool:
        """Return whether this host knows the rates of organisations."""
        return bool(self._rules)

    def knows_window(self) -> bool:
        """Return whether this host knows the fleet's requests of the last window."""
        return self.window_source() is not WindowSource.NONE

    def window_source(self) -> WindowSource:
        """Return what this host knows the last window from."""
        if self.clock.now_ms() - self._started_ms >= self.window_ms:
            return WindowSource.HEARD
        return self._copied_source

    def window_counts(self) -> dict[str, list[float]]:
        """Return the requests of the last window, by organisation and part of it.

        The first part is the newest. Organisations without requests are left out.
        """
        recent = {name: account.recent for name, account in self._accounts.items()}
        return count_by_step(recent, self.clock.now_ms(), self.window_ms)

    def copy_window(
        self, table: WindowTable, source: WindowSource = WindowSource.HEARD
    ) -> None:
        """Replace what was assumed of the last window by counts of others.

        Requests count from the newest moment of their part of the window. Those of the
        last gossip period may count twice, and of a window that was restored those of
        all hosts that have started since.
        """
        now_ms = self.clock.now_ms()
        self._copied_source = source
        self._accounts.clear()
        for organisation, rule in self._rules.items():
            if rule.rate_per_s <= 0:
                continue
            account = self._account(rule)
            counts = table.get(organisation, ())
            for at_ms, count in spread_counts(counts, now_ms, self.window_ms):
                account.record(at_ms, count)
            own_count = self.admitted.get(organisation, 0)
            if source is WindowSource.RESTORED:
                own_count += self._count_of_started_peers(organisation)
            if own_count:
                account.record(now_ms, own_count)

    def _count_of_started_peers(self, organisation: str) -> int:
        """Return what peers that started in the last window say to have admitted."""
        peers = self.gossip.peers.values() if self.gossip is not None else ()
        return sum(
            peer.admitted.get(organisation, 0)
            for peer in peers
            if peer.uptime_ms <= self.window_ms
        )

    async def acquire(self, rule: OrganisationRule) -> float:
        """Wait until the rate allows a request, count it and return the wait in ms.

        Raise CallRefusedError at once if the wait would exceed `_MAX_WAIT_MS`.
        """
        started_ms = self.clock.now_ms()
        has_waited = False
        if rule.rate_per_s > 0 and not self.copy_ended.is_set():
            with suppress(TimeoutError):
                await asyncio.wait_for(self.copy_ended.wait(), _MAX_WAIT_MS / 1000)
        while True:
            wait_ms = self.try_acquire(rule)
            waited_ms = self.clock.now_ms() - started_ms
            if wait_ms <= 0.0:
                self.delayed += has_waited
                return waited_ms
            if waited_ms + wait_ms > _MAX_WAIT_MS:
                self._refuse(rule, wait_ms)
            has_waited = True
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
            limit = _window_limit(rule, self.window_ms) * share.fraction
            self._announce_early(rule.name, account, limit, share)
        self.admitted[rule.name] = self.admitted.get(rule.name, 0) + 1
        return 0.0

    def _refuse(self, rule: OrganisationRule, wait_ms: float) -> None:
        self.refused += 1
        if not self.knows_window():
            raise CallRefusedError(
                Refusal(
                    ErrorKind.STATE_UNREACHABLE,
                    f"requests of {rule.name} in the last window are not known yet",
                    retry_after_s=min(_COPY_RETRY_S, round(wait_ms / 1000, 2)),
                )
            )
        account = self._account(rule)
        share = self._share()
        limit = _window_limit(rule, self.window_ms) * share.fraction
        raise CallRefusedError(
            Refusal(
                ErrorKind.RATE_EXCEEDED,
                f"{rule.name} has {account.charged(share):.0f} of {limit:.0f} "
                f"requests in its window, {account.tokens:.0f} left in its bucket; "
                f"{share.fraction:.2f} of the fleet is reachable",
                retry_after_s=round(wait_ms / 1000, 2),
            )
        )

    def _announce_early(
        self, organisation: str, account: _Account, limit: float, share: _Share
    ) -> None:
        """Announce counts early if hosts could together exceed the remaining limit.

        What they have not announced yet is lost if all end at one moment, so that is
        limited, too. Both are divided among the hosts known to serve the
        organisation, since its requests arrive at a few hosts only.
        """
        if self.gossip is None:
            return
        remaining = limit - account.charged(share)
        unknown = limit * _UNKNOWN_FRACTION
        serving_hosts = 1 + len(self._serving_hosts.get(organisation, ()))
        most_unannounced = min(remaining / 2, unknown) / serving_hosts
        if account.unannounced >= max(_MIN_UNANNOUNCED, most_unannounced):
            self.gossip.announce_soon()

    def totals_to_announce(self) -> dict[str, int]:
        """Return the totals for the next message, and mark them as announced."""
        for account in self._accounts.values():
            account.unannounced = 0
        return self.admitted

    def reachable_fraction(self) -> float:
        """Return the fraction of hosts that are reachable, including this one."""
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
        """Create an account; see the module about what is assumed at the start."""
        limit = _window_limit(rule, self.window_ms)
        if self._copied_source is not WindowSource.NONE:
            return _Account(limit, self.clock.now_ms())
        account = _Account(limit, self._started_ms)
        account.record(self._started_ms, limit)
        return account
