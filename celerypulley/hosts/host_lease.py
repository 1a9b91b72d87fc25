"""The lease under which a host is listed as a member."""

import random

import attrs
from mode import Service

from celerypulley.decision_log import DecisionLog
from celerypulley.failure_domains.member import Member
from celerypulley.links.platform_link import PlatformLink, PlatformUnavailableError

__all__ = ["HostLease"]

_RENEWALS_PER_TTL = 3
_JITTER = 0.1
_MAX_RETRY_S = 3.0
_log = DecisionLog("lease")


class HostLease(Service):
    """Keep this host's member key alive in the key-value store."""

    def __init__(self, platform: PlatformLink, member: Member, ttl_ms: int) -> None:
        """List `member` under a lease of `ttl_ms`."""
        super().__init__()
        self.platform = platform
        self.member = member
        self.ttl_ms = ttl_ms
        self._lease_id: int | None = None
        self._written_member: Member | None = None
        self._random = random.Random()

    async def mark_leaving(self) -> None:
        """List this host as leaving; raise PlatformUnavailableError."""
        self.member = attrs.evolve(self.member, leaving=True)
        await self._renew_or_grant()

    @Service.task
    async def _renew_loop(self) -> None:
        while not self.should_stop:
            try:
                await self._renew_or_grant()
            except PlatformUnavailableError as error:
                _log.write("lease not renewed", str(error))
                await self.sleep(self._random.uniform(_MAX_RETRY_S / 10, _MAX_RETRY_S))
                continue
            wait_s = self.ttl_ms / 1000 / _RENEWALS_PER_TTL
            jitter = self._random.uniform(1 - _JITTER, 1 + _JITTER)
            await self.sleep(wait_s * jitter)

    async def _renew_or_grant(self) -> None:
        if self._lease_id is not None:
            alive = await self.platform.renew_lease(self._lease_id)
            if not alive:
                self._lease_id = None
        if self._lease_id is None:
            self._lease_id = await self.platform.grant_lease(self.ttl_ms)
            self._written_member = None
            _log.write("lease granted", "the host held no lease", lease=self._lease_id)
        if self._written_member != self.member:
            await self._write_member()

    async def _write_member(self) -> None:
        known = await self.platform.read(self.member.key)
        revision = known.revision if known else 0
        written = await self.platform.write_if(
            self.member.key, self.member.encode(), revision, self._lease_id
        )
        if written:
            self._written_member = self.member

    async def on_stop(self) -> None:
        """Revoke the lease, so that other hosts need not wait until it expires."""
        if self._lease_id is None:
            return
        try:
            await self.platform.revoke_lease(self._lease_id)
        except PlatformUnavailableError as error:
            _log.write("lease not revoked and left to expire", str(error))
