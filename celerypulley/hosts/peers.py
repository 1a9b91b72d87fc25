"""The links of a host to its peers, opened on first use."""

from collections.abc import AsyncIterator

from mode import Service

from celerypulley.failure_domains.member import Member
from celerypulley.hosts.platform_view import PlatformView
from celerypulley.links.frame_stream import LinkConditions
from celerypulley.links.peer_link import PeerIdentity, PeerLink, PeerLinkError

__all__ = ["Peers"]

_FORMER_MEMBER_CHECK_S = 10.0
_STALL_CHECK_PERIOD_S = 0.5


class Peers(Service):
    """One link for each peer that this host communicates with."""

    def __init__(
        self, identity: PeerIdentity, view: PlatformView, conditions: LinkConditions
    ) -> None:
        """Look up the addresses of peers in `view`."""
        super().__init__()
        self.identity = identity
        self.view = view
        self.conditions = conditions
        self._links: dict[str, PeerLink] = {}

    async def request(self, name: str, message: object, timeout_ms: float) -> object:
        """Return the peer's reply; raise PeerLinkError."""
        link = await self._get_link(name)
        return await link.request(message, timeout_ms)

    async def send(self, name: str, message: object) -> None:
        """Send a message that has no reply; it is dropped if the link is down."""
        try:
            link = await self._get_link(name)
        except PeerLinkError:
            return
        link.send(message)

    async def stream(
        self, name: str, message: object, timeout_ms: float
    ) -> AsyncIterator[object]:
        """Yield the peer's replies; raise PeerLinkError."""
        link = await self._get_link(name)
        async for reply in link.stream(message, timeout_ms):
            yield reply

    def byte_counts(self) -> tuple[int, int]:
        """Return the bytes sent and received over all links."""
        sent = sum(link.total_sent_bytes for link in self._links.values())
        received = sum(link.total_received_bytes for link in self._links.values())
        return sent, received

    async def _get_link(self, name: str) -> PeerLink:
        link = self._links.get(name)
        if link is not None:
            return link
        member = self.view.members.get(name) or self.view.former_members.get(name)
        if member is None:
            raise PeerLinkError(f"{name} is not a member", sent=False)
        return await self._open_link(member)

    async def _open_link(self, member: Member) -> PeerLink:
        link = PeerLink(
            self.identity, member.name, member.peer_address, self.conditions
        )
        self._links[member.name] = link
        await self.add_runtime_dependency(link)
        return link

    @Service.task
    async def _check_stalls(self) -> None:
        while not self.should_stop:
            await self.sleep(_STALL_CHECK_PERIOD_S)
            for link in self._links.values():
                link.check_stall()

    @Service.task
    async def _close_links_of_former_members(self) -> None:
        while not self.should_stop:
            await self.sleep(_FORMER_MEMBER_CHECK_S)
            for name in list(self._links):
                if name in self.view.members or self._links[name].is_connected:
                    continue
                link = self._links.pop(name)
                await link.stop()
                await self.remove_dependency(link)
