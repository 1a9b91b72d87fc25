"""The rate meters that a host runs, and requests to the meters of other hosts."""

from mode import Service

from celerypulley.clock import Clock
from celerypulley.contracts.rates import meter_group
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind, Refusal
from celerypulley.failure_domains.placement import local_shard_count
from celerypulley.hosts.configuration_follower import ConfigurationFollower
from celerypulley.hosts.domain_meter import DomainMeter
from celerypulley.hosts.peers import Peers
from celerypulley.hosts.shards import Shards
from celerypulley.links.peer_link import PeerLinkError
from celerypulley.links.peer_messages import (
    AcquireAllowance,
    Allowance,
    LoanReply,
    RequestLoan,
)
from celerypulley.programs.identifier import ShardId

__all__ = ["Meters"]

_LOAN_MS = 2_000.0
_RENEWALS_PER_LOAN = 3
_REQUEST_TIMEOUT_MS = 500.0
_REQUEST_RETRY_S = 0.1
_REQUEST_DEADLINE_MS = 8_000.0
_MAX_SHAPING_DELAY_MS = 400.0
_log = DecisionLog("meter")


class Meters(Service):
    """Run the meters of owned local shards and acquire allowance from any meter."""

    def __init__(
        self,
        shards: Shards,
        peers: Peers,
        configuration: ConfigurationFollower,
        clock: Clock,
    ) -> None:
        """Run a meter for each owned local shard of `shards`."""
        super().__init__()
        self.shards = shards
        self.peers = peers
        self.configuration = configuration
        self.clock = clock
        self.meters: dict[ShardId, DomainMeter] = {}
        self._pool_domains: dict[int, str] = {}
        self.granted = 0
        self.refused = 0

    def _group_count(self) -> int:
        return local_shard_count(self.shards.settings.shards_per_domain)

    def _meter_shard(self, domain: str, group: int) -> ShardId:
        return ShardId(domain, self.shards.settings.shards_per_domain + group)

    async def acquire(self, organisation: str) -> None:
        """Acquire one request from an organisation's allowance.

        A request that would be allowed within a short time is delayed until then. Raise
        CallRefusedError if the rate is exceeded or no meter replies.
        """
        group = meter_group(organisation, self._group_count())
        begun_ms = self.clock.now_ms()
        domain = self._pool_domains.get(group, self.shards.own_member.domain)
        delayed_ms = 0.0
        while True:
            reply = await self._request_allowance(organisation, domain, group)
            if reply is not None and reply.granted:
                self._pool_domains[group] = domain
                self.granted += 1
                return
            if reply is not None and not reply.redirect_domain:
                delayed_ms += max(reply.wait_ms, 1.0)
                if delayed_ms > _MAX_SHAPING_DELAY_MS:
                    self.refused += 1
                    raise _rate_exceeded(organisation, reply.wait_ms)
                await self.sleep(max(reply.wait_ms, 1.0) / 1_000)
                continue
            if self.clock.now_ms() - begun_ms > _REQUEST_DEADLINE_MS:
                raise CallRefusedError.of(
                    ErrorKind.METER_UNREACHABLE, f"no meter for {organisation} answers"
                )
            domain = self._next_domain(reply, domain, group)
            if domain == self.shards.own_member.domain:
                await self.sleep(_REQUEST_RETRY_S)

    def _next_domain(self, reply: Allowance | None, requested: str, group: int) -> str:
        own_domain = self.shards.own_member.domain
        self._pool_domains.pop(group, None)
        if reply is not None and reply.redirect_domain and requested == own_domain:
            return reply.redirect_domain
        return own_domain

    async def _request_allowance(
        self, organisation: str, domain: str, group: int
    ) -> Allowance | None:
        shard = self._meter_shard(domain, group)
        owner = self.shards.owner_of(shard)
        if owner == self.shards.own_member.name:
            return self._acquire_locally(organisation, shard)
        if owner is None:
            return None
        message = AcquireAllowance(organisation, domain, group)
        try:
            reply = await self.peers.request(owner, message, _REQUEST_TIMEOUT_MS)
        except PeerLinkError:
            return None
        return reply if isinstance(reply, Allowance) else None

    def _acquire_locally(self, organisation: str, shard: ShardId) -> Allowance | None:
        owner = self.shards.owned.get(shard)
        meter = self.meters.get(shard)
        configuration = self.configuration.current
        if owner is None or meter is None or configuration is None:
            return None
        if not owner.holds_promise() or organisation not in configuration.organisations:
            return None
        return meter.acquire(organisation, configuration)

    def handle_acquire_allowance(self, message: AcquireAllowance) -> Allowance:
        """Reply to a peer; raise CallRefusedError if no meter is ready."""
        shard = self._meter_shard(message.domain, message.group)
        result = self._acquire_locally(message.organisation, shard)
        if result is None:
            raise CallRefusedError.of(
                ErrorKind.METER_UNREACHABLE, f"meter {shard} is not ready"
            )
        return result

    def handle_loan_request(self, message: RequestLoan, borrower: str) -> LoanReply:
        """Lend a share to a peer's meter if it is available."""
        shard = self._meter_shard(message.lender_domain, message.group)
        owner = self.shards.owned.get(shard)
        meter = self.meters.get(shard)
        configuration = self.configuration.current
        if owner is None or meter is None or configuration is None:
            return LoanReply(False)
        if not owner.holds_promise():
            return LoanReply(False)
        return LoanReply(
            meter.lend(borrower, message.borrower_domain, configuration.domains)
        )

    @Service.task
    async def _maintain_meters(self) -> None:
        while not self.should_stop:
            self._update_meters()
            for shard, meter in list(self.meters.items()):
                if self.configuration.current is not None:
                    meter.settle(self.configuration.current)
                self.add_future(self._renew_loans(shard))
            await self.sleep(_LOAN_MS / 1000 / _RENEWALS_PER_LOAN)

    def _update_meters(self) -> None:
        count = self.shards.settings.shards_per_domain
        for shard, owner in self.shards.owned.items():
            group = shard.index - count
            if group < 0 or owner.superseded or shard in self.meters:
                continue
            self.meters[shard] = DomainMeter(
                shard.domain, group, self.clock, _LOAN_MS, owner.entry.epoch == 1
            )
        for shard in list(self.meters):
            if shard not in self.shards.owned:
                del self.meters[shard]

    async def _renew_loans(self, shard: ShardId) -> None:
        meter = self.meters.get(shard)
        owner = self.shards.owned.get(shard)
        configuration = self.configuration.current
        if meter is None or owner is None or configuration is None:
            return
        if not owner.holds_promise() or shard.domain not in configuration.domains:
            return
        for lender in meter.lender_domains(configuration.domains):
            self.add_future(self._borrow_from(meter, lender))

    async def _borrow_from(self, meter: DomainMeter, lender: str) -> None:
        shard = self._meter_shard(lender, meter.group)
        owner = self.shards.owner_of(shard)
        if owner is None:
            return
        message = RequestLoan(meter.group, meter.domain, lender, int(_LOAN_MS))
        requested_ms = self.clock.now_ms()
        if owner == self.shards.own_member.name:
            reply: object = self.handle_loan_request(
                message, self.shards.own_member.name
            )
        else:
            try:
                reply = await self.peers.request(owner, message, _REQUEST_TIMEOUT_MS)
            except PeerLinkError as error:
                _log.write(
                    "loan not obtained", str(error), group=meter.group, lender=lender
                )
                return
        if isinstance(reply, LoanReply) and reply.accepted and not meter.is_lent():
            meter.borrow(lender, requested_ms)


def _rate_exceeded(organisation: str, retry_after_ms: float) -> CallRefusedError:
    retry_after_s = max(1, min(3_600, int(retry_after_ms / 1000 + 0.999)))
    return CallRefusedError(
        Refusal(
            ErrorKind.RATE_EXCEEDED,
            f"{organisation} has exceeded its request rate",
            retry_after_s=retry_after_s,
        )
    )
