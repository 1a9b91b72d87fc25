"""The owner table: the owner and the replica of each shard.

Each shard has one key in the key-value store, updated by compare-and-swap.
"""

import attrs
import orjson

from celerypulley.programs.identifier import ShardId

__all__ = ["OWNERS_PREFIX", "ShardEntry", "entry_key", "parse_entry_key"]

OWNERS_PREFIX = "celerypulley/owners/"


@attrs.frozen
class ShardEntry:
    """The holders of one shard.

    Every change of owner increments `epoch`. `lost_epoch` is the last epoch that
    started empty because both holders were lost (0: never), at wall-clock time
    `lost_ms`. `former` is the owner before a takeover, until the new owner has a
    replica, because it still holds all acknowledged records. `revision` is the
    revision of the key (0: not written yet).
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
        """Decode an entry; raise ValueError if it is not valid JSON."""
        fields = orjson.loads(raw)
        return cls(**fields, revision=revision)


def entry_key(shard: ShardId) -> str:
    """Return the key of a shard's entry."""
    return f"{OWNERS_PREFIX}{shard.domain}/{shard.index}"


def parse_entry_key(key: str) -> ShardId:
    """Return the shard of an entry's key; raise ValueError if it is malformed."""
    return ShardId.parse(key.removeprefix(OWNERS_PREFIX))
