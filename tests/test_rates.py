"""Rate and burst: all meters together never grant more than the declared limits."""

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from celerypulley.contracts.configuration import Configuration
from celerypulley.contracts.declaration import Limits
from celerypulley.contracts.rates import domain_share, sum_shares
from celerypulley.hosts.domain_meter import DomainMeter, group_order
from celerypulley.load.checks import check_rate
from tests.harness import DOMAINS, ManualClock, free_address, make_declaration

LOAN_MS = 2_000.0
RATE_PER_S = 7.0
BURST = 5


def make_configuration(
    rate_per_s: float = RATE_PER_S, burst: int = BURST
) -> Configuration:
    declaration = make_declaration(
        [], free_address(), rate_per_s=rate_per_s, burst=burst
    )
    return Configuration(1, declaration, ())


@pytest.mark.parametrize("burst", [1, 2, 3, 5, 100])
@pytest.mark.parametrize("organisation", ["kiosk", "other", "third"])
def test_domain_shares_sum_to_the_declared_limits(
    organisation: str, burst: int
) -> None:
    limits = Limits(rate_per_s=RATE_PER_S, burst=burst)
    total = sum_shares(
        domain_share(organisation, limits, DOMAINS, domain) for domain in DOMAINS
    )
    assert total.burst == burst
    assert total.rate_per_s == pytest.approx(RATE_PER_S)


class MeterMachine(RuleBasedStateMachine):
    """Three domains' meters of one group under delays, losses and takeovers."""

    def __init__(self) -> None:
        super().__init__()
        self.time = ManualClock()
        self.configuration = make_configuration()
        self.grants_ms: list[float] = []
        self.replies: list[tuple[str, int, str, float]] = []
        self.generation = dict.fromkeys(DOMAINS, 0)
        self.meters = {
            domain: DomainMeter(domain, 0, self.time.clock, LOAN_MS, is_first=True)
            for domain in DOMAINS
        }

    @rule(by_ms=st.floats(0.0, 3_000.0))
    def time_passes(self, by_ms: float) -> None:
        self.time.advance(by_ms)

    @rule(domain=st.sampled_from(DOMAINS), count=st.integers(1, 8))
    def requests_come(self, domain: str, count: int) -> None:
        for _ in range(count):
            allowance = self.meters[domain].acquire("kiosk", self.configuration)
            if allowance is not None and allowance.granted:
                self.grants_ms.append(self.time.now_ms)

    @rule(domain=st.sampled_from(DOMAINS), lost=st.booleans())
    def meter_borrows(self, domain: str, lost: bool) -> None:
        meter = self.meters[domain]
        requested_ms = self.time.now_ms
        for lender in meter.lender_domains(DOMAINS):
            borrower = f"{domain}-{self.generation[domain]}"
            lent = self.meters[lender].lend(borrower, domain, DOMAINS)
            if lent and not lost:
                generation = self.generation[domain]
                self.replies.append((domain, generation, lender, requested_ms))

    @rule()
    def reply_arrives(self) -> None:
        if not self.replies:
            return
        domain, generation, lender, requested_ms = self.replies.pop(0)
        meter = self.meters[domain]
        if generation == self.generation[domain] and not meter.is_lent():
            meter.borrow(lender, requested_ms)

    @rule(domain=st.sampled_from(DOMAINS))
    def meter_is_taken_over(self, domain: str) -> None:
        self.generation[domain] += 1
        self.meters[domain] = DomainMeter(
            domain, 0, self.time.clock, LOAN_MS, is_first=False
        )

    @invariant()
    def never_above_rate_and_burst(self) -> None:
        limits = {"kiosk": (RATE_PER_S, float(BURST))}
        check = check_rate({"kiosk": self.grants_ms}, limits, max_delay_ms=0.0)
        excess = [each for each in check.broken if " 0.0 " not in each]
        assert not excess


TestMeters = MeterMachine.TestCase
TestMeters.settings = settings(
    max_examples=150,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


def test_one_meter_pools_the_shares_of_all_domains() -> None:
    clock = ManualClock()
    configuration = make_configuration(rate_per_s=9.0, burst=9)
    meters = {
        domain: DomainMeter(domain, 0, clock.clock, LOAN_MS, is_first=True)
        for domain in DOMAINS
    }
    first = group_order(0, DOMAINS)[0]
    for lender in meters[first].lender_domains(DOMAINS):
        assert meters[lender].lend("m", first, DOMAINS)
        meters[first].borrow(lender, clock.now_ms)
        assert meters[lender].acquire("kiosk", configuration).redirect_domain == first
    meters[first].settle(configuration)
    clock.advance(1_000)
    granted = 0
    while meters[first].acquire("kiosk", configuration).granted:
        granted += 1
    assert granted == 9


def test_partitioned_domain_keeps_its_own_share() -> None:
    clock = ManualClock()
    configuration = make_configuration(rate_per_s=9.0, burst=9)
    first, second, _ = group_order(0, DOMAINS)
    meter = DomainMeter(second, 0, clock.clock, LOAN_MS, is_first=False)
    assert meter.acquire("kiosk", configuration) is None
    clock.advance(LOAN_MS)
    meter.settle(configuration)
    clock.advance(1_000)
    granted = 0
    while meter.acquire("kiosk", configuration).granted:
        granted += 1
    assert granted == 3
    assert not meter.lend("m", DOMAINS[2], DOMAINS)
    assert meter.lend("m", first, DOMAINS)


# When the lender's reply arrives, a later time (both in ms after the request), and
# whether the borrower still holds the share at that time.
LATE_REPLIES = [
    ("prompt reply, within the loan", 0.0, 1_900.0, True),
    ("prompt reply, loan expired", 0.0, 2_000.0, False),
    ("late reply, within the loan", 1_500.0, 1_900.0, True),
    ("late reply, loan expired", 1_500.0, 2_000.0, False),
    ("reply after the loan expired", 2_500.0, 2_500.0, False),
]


@pytest.mark.parametrize(("name", "reply_ms", "at_ms", "is_lent"), LATE_REPLIES)
def test_loan_is_counted_from_its_request(
    name: str, reply_ms: float, at_ms: float, is_lent: bool
) -> None:
    """A loan counted from a late reply would outlast the lender's own count."""
    clock = ManualClock()
    configuration = make_configuration(rate_per_s=9_000.0, burst=9)
    first, second, _ = group_order(0, DOMAINS)
    borrower = DomainMeter(first, 0, clock.clock, LOAN_MS, is_first=True)
    lender = DomainMeter(second, 0, clock.clock, LOAN_MS, is_first=True)
    requested_ms = clock.now_ms
    assert lender.lend("m", first, DOMAINS)
    clock.advance(reply_ms)
    borrower.borrow(second, requested_ms)
    clock.advance(at_ms - reply_ms)
    borrower.settle(configuration)
    assert (second in borrower.borrowed) == is_lent
    assert lender.is_lent() == is_lent


@pytest.mark.parametrize(
    ("after_ms", "lent"), [(0.0, False), (1_999.0, False), (2_000.0, True)]
)
def test_share_is_lent_to_one_meter_at_a_time(after_ms: float, lent: bool) -> None:
    clock = ManualClock()
    first, second, _ = group_order(0, DOMAINS)
    lender = DomainMeter(second, 0, clock.clock, LOAN_MS, is_first=True)
    assert lender.lend("old meter", first, DOMAINS)
    clock.advance(after_ms)
    assert lender.lend("new meter", first, DOMAINS) == lent
