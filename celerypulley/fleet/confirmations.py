"""Confirmations of the desired state, read by one host for its failure domain.

In a large fleet one host of each domain, its source, reads the store and the others ask
it. An answer has the version that the source confirmed and the age of its confirmation.
To the asker this age is what the answer says plus the time since it sent the request,
so that it is never too low, whatever the clocks and however late the answer.

An answer also has details by name: the revision of the last change of a server that the
source knows, by which the asker checks its own watch, and where failure domains can be
evacuated, the evacuated ones with the revisions that order them.
"""

import math
from collections.abc import Callable

from celerypulley.contracts.evacuations import Evacuations
from celerypulley.decision_log import DecisionLog
from celerypulley.failure_domains.placement import rendezvous
from celerypulley.fleet.fleet_datagrams import FleetDatagrams, NoReplyError
from celerypulley.fleet.fleet_gossip import FleetGossip
from celerypulley.links.key_poller import POLL_INTERVAL_MS, RETRY_DELAY_MS
from celerypulley.links.prefix_follower import PrefixFollower

__all__ = ["Confirmations"]

_KIND = "confirmation"
_SERVERS = "servers"
_EVACUATIONS = "evacuations"
_SOURCE_KEY = "desired state"
# Both pauses together stay below the age at which unknown routes get no 404, 2 s.
_SOURCE_PAUSE_MS = 600.0
_ASK_PAUSE_MS = 1_000.0
_ASK_RETRY_MS = 500.0  # the source notices sooner that the store is back
# A source whose confirmation is older has lost the store, which others may reach.
_MAX_SOURCE_AGE_MS = 1_000
_INVALID_DETAILS = (AttributeError, LookupError, ValueError, TypeError, OverflowError)
_log = DecisionLog("confirmations")


class Confirmations:
    """Ask the source of this host's domain, and answer hosts that ask this one.

    The answer is the version in force, the age of its confirmation in ms, and details.
    """

    def __init__(
        self,
        datagrams: FleetDatagrams,
        gossip: FleetGossip,
        read_version: Callable[[], int],
        read_age_ms: Callable[[], float],
        evacuations: Evacuations | None = None,
        servers: PrefixFollower | None = None,
    ) -> None:
        """Answer with `read_version()`, `read_age_ms()`, `evacuations` and `servers`.

        With `evacuations`, an answer without them confirms nothing. `servers` follows
        the entries of servers.
        """
        self.datagrams = datagrams
        self.gossip = gossip
        self.read_version = read_version
        self.read_age_ms = read_age_ms
        self.evacuations = evacuations
        self.servers = servers
        # Returns whether this host has lost the store; may be replaced.
        self.is_store_unavailable: Callable[[], bool] = lambda: False
        self._asked_count = 0
        datagrams.handlers[_KIND] = self._handle_request

    def source(self) -> str:
        """Return the host that reads the store, this one in a small fleet."""
        own_name = self.datagrams.host
        if not self.gossip.has_relays():
            return own_name
        hosts = filter(self.gossip.is_reachable, self.gossip.hosts_of_own_domain())
        return rendezvous(_SOURCE_KEY, hosts) or own_name

    def pause_ms(self) -> float:
        """Return the time between two confirmations of this host."""
        if not self.gossip.has_relays():
            return POLL_INTERVAL_MS
        is_source = self.source() == self.datagrams.host
        return _SOURCE_PAUSE_MS if is_source else _ASK_PAUSE_MS

    def retry_ms(self) -> float:
        """Return the time after which this host tries again to read the store."""
        is_source = self.source() == self.datagrams.host
        return RETRY_DELAY_MS if is_source else _ASK_RETRY_MS

    async def ask(self) -> float | None:
        """Return the age in ms of a peer's confirmation when it answered.

        None if this host has to read the store itself: it is the source, or the peer
        does not answer, has another version or has itself lost the store.
        """
        for peer in self._peers_to_ask():
            age_ms = await self._ask_peer(peer)
            if age_ms is not None:
                return age_ms
        return None

    def _peers_to_ask(self) -> list[str]:
        """Return the source, and another host where this one has lost the store.

        The store may refuse some hosts, which learn of evacuations by others only.
        """
        own_name = self.datagrams.host
        source = self.source()
        peers = [source] if source != own_name else []
        if self.evacuations is None or not self.is_store_unavailable():
            return peers
        self._asked_count += 1
        reachable = set(filter(self.gossip.is_reachable, self.gossip.members))
        others = reachable - {own_name, source}
        other = rendezvous(f"{own_name} {self._asked_count}", others)
        return [*peers, other] if other is not None else peers

    async def _ask_peer(self, peer: str) -> float | None:
        try:
            version, age_ms, *rest = await self.datagrams.request(peer, _KIND, [])
            details = dict(*rest)
        except (NoReplyError, ValueError, TypeError) as error:
            _log.write("not confirmed", repr(error), peer=peer)
            return None
        # Revisions order the details, however old the answer is otherwise.
        if not self._apply(details, peer):
            return None
        if not isinstance(age_ms, int) or not 0 <= age_ms <= _MAX_SOURCE_AGE_MS:
            return None
        return age_ms if version == self.read_version() else None

    def _apply(self, details: dict, peer: str) -> bool:
        """Apply the details of an answer; return False if evacuations are missing."""
        try:
            if self.servers is not None and _SERVERS in details:
                self.servers.check(int(details[_SERVERS]))
            if self.evacuations is not None:
                marks, as_of_revision = details[_EVACUATIONS]
                revisions = {str(name): int(each) for name, each in marks.items()}
                self.evacuations.apply_read(revisions, int(as_of_revision))
        except _INVALID_DETAILS as error:
            _log.write("not confirmed", f"details: {error!r}", peer=peer)
            return False
        return True

    async def _handle_request(self, _sender: str, _payload: list) -> list:
        age_ms = self.read_age_ms()
        details: dict[str, object] = {}
        if self.servers is not None:
            details[_SERVERS] = self.servers.last_change_revision
        if self.evacuations is not None:
            marks = self.evacuations
            details[_EVACUATIONS] = [marks.revisions(), marks.as_of_revision]
        age_ms = math.ceil(age_ms) if math.isfinite(age_ms) else -1
        return [self.read_version(), age_ms, details]
