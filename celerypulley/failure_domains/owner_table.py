"""The owner table: which host owns and which replicates each shard.

Each shard has one key in the platform's service, changed by compare-and-swap.
"""

import attrs
import orjson

from celerypulley.programs.identifier import ShardId

__all__ = ["OWNERS_PREFIX", "ShardEntry", "entry_key", "parse_entry_key"]

OWNERS_PREFIX = "celerypulley/owners/"


@attrs.frozen
class ShardEntry:
    """The holders of one shard.

    Every change of owner raises `epoch`. `lost_epoch` is the epoch that began
    with nothing because both holders were gone (0: never), at `lost_ms` wall
    time. `former` is the owner before a takeover, until the new owner has a
    replica: it still holds all that was acknowledged. `revision` is the key's
    revision (0: not written yet).
    """

    owner: str
    replica: str | None
    epoch: int
    lost_epoch: int = 0
    lost_ms: int = 0
    former: str | None = None
    revision: int = attrs.field(default=0, eq=False)

    def encode(self) -> bytes:
        """Return the entry as JSON."""
        fields = attrs.asdict(self)
        del fields["revision"]
        return orjson.dumps(fields)

    @classmethod
    def decode(cls, raw: bytes, revision: int) -> "ShardEntry":
        """Read an entry; raise ValueError where it is not one."""
        fields = orjson.loads(raw)
        return cls(**fields, revision=revision)


def entry_key(shard: ShardId) -> str:
    """Return the key of a shard's entry."""
    return f"{OWNERS_PREFIX}{shard.domain}/{shard.index}"


def parse_entry_key(key: str) -> ShardId:
    """Return the shard of an entry's key; raise ValueError."""
    return ShardId.parse(key.removeprefix(OWNERS_PREFIX))
