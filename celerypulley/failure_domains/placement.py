"""Placement of shards on hosts: pure functions of members and entries."""

from collections import Counter
from collections.abc import Iterable, Mapping

import attrs
import xxhash

from celerypulley.failure_domains.member import Member
from celerypulley.failure_domains.owner_table import ShardEntry
from celerypulley.programs.identifier import ShardId

__all__ = [
    "ShardMove",
    "choose_move",
    "choose_replica",
    "is_local",
    "local_shard_count",
    "rendezvous",
    "takeover_candidates",
]

_SHARDS_PER_LOCAL_SHARD = 8
_MIN_LOCAL_SHARDS = 4


@attrs.frozen
class ShardMove:
    """A shard that should change its owner, and its new owner."""

    shard: ShardId
    new_owner: str


def local_shard_count(shards_per_domain: int) -> int:
    """Return how many local shards a failure domain has besides its other shards."""
    return max(_MIN_LOCAL_SHARDS, shards_per_domain // _SHARDS_PER_LOCAL_SHARD)


def is_local(shard: ShardId, shards_per_domain: int) -> bool:
    """Return whether both holders of a shard are in its home domain."""
    return shard.index >= shards_per_domain


def rendezvous(key: str, names: Iterable[str]) -> str | None:
    """Return the name with the highest hash for `key`, or None without names."""
    best = None
    best_weight = -1
    for name in names:
        weight = xxhash.xxh64_intdigest(f"{key}\0{name}".encode())
        if weight <= best_weight:
            continue
        best = name
        best_weight = weight
    return best


def choose_replica(
    shard: ShardId,
    owner: Member,
    members: Mapping[str, Member],
    suspects: set[str],
    local: bool,
) -> Member | None:
    """Return the replica for a shard, in another failure domain if possible.

    A local shard prefers the domain of its owner. Leaving and suspected hosts are
    not candidates. Return None if no candidate is left.
    """
    same_domain = []
    other_domains = []
    for member in members.values():
        if member.name == owner.name or member.leaving or member.name in suspects:
            continue
        (same_domain if member.domain == owner.domain else other_domains).append(
            member.name
        )
    names = (same_domain or other_domains) if local else (other_domains or same_domain)
    chosen = rendezvous(str(shard), names)
    return members[chosen] if chosen else None


def takeover_candidates(
    shard: ShardId, members: Mapping[str, Member], local: bool
) -> list[str]:
    """Return the members that may take over a shard that has lost both holders.

    Only a shard that is not local can go to another domain, and only if its home
    domain has no candidate.
    """
    home_members = []
    others = []
    for member in members.values():
        if member.leaving:
            continue
        (home_members if member.domain == shard.domain else others).append(member.name)
    if home_members or local:
        return home_members
    return others


def choose_move(
    own_member: Member,
    members: Mapping[str, Member],
    entries: Mapping[ShardId, ShardEntry],
) -> ShardMove | None:
    """Return one shard of `own_member` that another member should own, or None.

    A shard outside its home domain moves back there. Within the domain, a shard
    moves to the member with the fewest while their counts differ by two or more.
    """
    shard_counts = Counter(entry.owner for entry in entries.values())
    own_shards = [
        shard for shard, entry in entries.items() if entry.owner == own_member.name
    ]
    for shard in sorted(own_shards):
        home_members = [
            member.name
            for member in members.values()
            if member.domain == shard.domain and not member.leaving
        ]
        if not home_members:
            continue
        least_loaded = min(home_members, key=lambda name: (shard_counts[name], name))
        if least_loaded == own_member.name:
            continue
        if (
            own_member.domain != shard.domain
            or shard_counts[own_member.name] - shard_counts[least_loaded] >= 2
        ):
            return ShardMove(shard, least_loaded)
    return None
