"""Compare-and-swap writes to the owner table, each confirmed by reading it back."""

import attrs

from celerypulley.decision_log import DecisionLog
from celerypulley.failure_domains.owner_table import ShardEntry, entry_key
from celerypulley.hosts.platform_view import PlatformView
from celerypulley.links.platform_link import PlatformLink, PlatformUnavailableError
from celerypulley.programs.identifier import ShardId

__all__ = ["OwnerTableWriter"]

_log = DecisionLog("owner-table")


class OwnerTableWriter:
    """Write one shard's entry unless it has changed since it was read."""

    def __init__(self, platform: PlatformLink, view: PlatformView) -> None:
        """Write through `platform` and update `view` with what was written."""
        self.platform = platform
        self.view = view

    async def write(
        self,
        shard: ShardId,
        entry: ShardEntry,
        previous: ShardEntry | None,
        reason: str,
    ) -> ShardEntry | None:
        """Return the entry as written, or None if another change came first.

        Raise PlatformUnavailableError if the outcome cannot be determined. The caller
        then treats the entry as unknown until the view shows it.
        """
        revision = previous.revision if previous else 0
        key = entry_key(shard)
        try:
            await self.platform.write_if(key, entry.encode(), revision)
        except PlatformUnavailableError as error:
            _log.write(
                "write unconfirmed, reading the entry back", str(error), shard=shard
            )
        stored = await self.platform.read(key)
        if stored is None or stored.value is None:
            return None
        found = ShardEntry.decode(stored.value, stored.revision)
        self.view.observe_entry(shard, found)
        if attrs.evolve(found, revision=0) != attrs.evolve(entry, revision=0):
            _log.write(
                "entry not written, another change came first",
                reason,
                shard=shard,
                owner=found.owner,
            )
            return None
        _log.write(
            "entry written",
            reason,
            shard=shard,
            owner=found.owner,
            replica=found.replica,
            epoch=found.epoch,
        )
        return found
