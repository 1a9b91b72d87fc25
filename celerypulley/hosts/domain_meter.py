"""The rate meter of one organisation group in one failure domain.

Meters of the same group in different domains pool their shares by loans: the first
domain in the group's order borrows from the others, so that one bucket serves the whole
fleet. A loan expires by itself; each domain then continues with its own share. No loan
is made while another one may still be in use.
"""

import attrs

from celerypulley.clock import Clock
from celerypulley.contracts.configuration import Configuration
from celerypulley.contracts.rates import Share, TokenBucket, domain_share, sum_shares
from celerypulley.links.peer_messages import Allowance

__all__ = ["DomainMeter", "Loan", "group_order"]


@attrs.frozen
class Loan:
    """The borrower of the domain's share, and when the loan ends."""

    borrower: str
    domain: str
    until_ms: float


def group_order(group: int, domains: tuple[str, ...]) -> tuple[str, ...]:
    """Return the domains in the order in which they pool a group's shares."""
    start = group % len(domains)
    return domains[start:] + domains[:start]


class DomainMeter:
    """Token buckets of one group in one domain, and the loans in and out.

    A new meter does not know what its predecessor lent or granted, so it starts as if
    its share were lent for a whole loan, with empty buckets. Only the first meter ever
    has no predecessor: its buckets start with the domain's burst.
    """

    def __init__(
        self, domain: str, group: int, clock: Clock, loan_ms: float, is_first: bool
    ) -> None:
        """Succeed another meter unless `is_first`; loans last `loan_ms`."""
        self.domain = domain
        self.group = group
        self.clock = clock
        self.loan_ms = loan_ms
        self.is_first = is_first
        self.loan = Loan("", "", clock.now_ms() + (0 if is_first else loan_ms))
        self.borrowed: dict[str, float] = {}
        self.buckets: dict[str, TokenBucket] = {}
        self._held_domains: tuple[str, ...] = ()
        self._held_since_ms = clock.now_ms()
        self._configuration_version = -1

    def lend(
        self, borrower: str, borrower_domain: str, domains: tuple[str, ...]
    ) -> bool:
        """Lend the share to a meter of an earlier domain; return success."""
        now_ms = self.clock.now_ms()
        order = group_order(self.group, domains)
        if borrower_domain not in order or order.index(borrower_domain) >= order.index(
            self.domain
        ):
            return False
        taken = now_ms < self.loan.until_ms and self.loan.borrower != borrower
        if taken:
            return False
        self.borrowed.clear()
        self.is_first = False
        self.loan = Loan(borrower, borrower_domain, now_ms + self.loan_ms)
        return True

    def borrow(self, domain: str, requested_ms: float) -> None:
        """Hold another domain's share; the loan starts when it was requested."""
        self.borrowed[domain] = requested_ms + self.loan_ms

    def is_lent(self) -> bool:
        """Return whether another domain may be using this domain's share."""
        return self.clock.now_ms() < self.loan.until_ms

    def lender_domains(self, domains: tuple[str, ...]) -> tuple[str, ...]:
        """Return the later domains to borrow from; none while the share is lent."""
        if self.is_lent():
            return ()
        order = group_order(self.group, domains)
        return order[order.index(self.domain) + 1 :]

    def settle(self, configuration: Configuration) -> None:
        """Update the buckets to the shares that are held now."""
        self._settle_until(self.clock.now_ms(), configuration)

    def acquire(
        self, organisation: str, configuration: Configuration
    ) -> Allowance | None:
        """Acquire one request from an organisation's allowance.

        Return None while a predecessor's loan may still be in use.
        """
        now_ms = self.clock.now_ms()
        self._settle_until(now_ms, configuration)
        if self.is_lent():
            return self._lent_allowance(now_ms)
        bucket = self.buckets.get(organisation)
        if bucket is None:
            share = self._share(organisation, configuration)
            bucket = TokenBucket(self._held_since_ms, share)
            if self.is_first:
                limits = configuration.organisation_limits(organisation)
                own_share = domain_share(
                    organisation, limits, configuration.domains, self.domain
                )
                bucket.tokens = own_share.burst
            self.buckets[organisation] = bucket
        if bucket.try_acquire(now_ms):
            return Allowance(True, "", 0.0)
        return Allowance(False, "", bucket.wait_ms())

    def _lent_allowance(self, now_ms: float) -> Allowance | None:
        if not self.loan.domain:
            return None
        return Allowance(False, self.loan.domain, self.loan.until_ms - now_ms)

    def _settle_until(self, now_ms: float, configuration: Configuration) -> None:
        changes = sorted(
            until_ms for until_ms in self.borrowed.values() if until_ms <= now_ms
        )
        for at_ms in [*changes, now_ms]:
            self._update_held_domains(at_ms, configuration)

    def _update_held_domains(self, at_ms: float, configuration: Configuration) -> None:
        for domain, until_ms in list(self.borrowed.items()):
            if until_ms <= at_ms:
                del self.borrowed[domain]
        held_domains = tuple(sorted(self.borrowed))
        if not self.is_lent():
            held_domains = (self.domain, *held_domains)
        if (
            held_domains == self._held_domains
            and configuration.version == self._configuration_version
        ):
            return
        if held_domains != self._held_domains:
            self._held_since_ms = at_ms
        self._held_domains = held_domains
        self._configuration_version = configuration.version
        for organisation, bucket in self.buckets.items():
            bucket.refill(at_ms, self._share(organisation, configuration))

    def _share(self, organisation: str, configuration: Configuration) -> Share:
        limits = configuration.organisation_limits(organisation)
        held = [name for name in self._held_domains if name in configuration.domains]
        return sum_shares(
            domain_share(organisation, limits, configuration.domains, name)
            for name in held
        )
