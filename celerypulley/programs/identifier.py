"""Identifiers of programs and shards."""

import re
import secrets

import attrs
import xxhash

__all__ = ["ProgramId", "ShardId", "shard_of_key"]

_PROGRAM_ID_PATTERN = re.compile(
    r"([a-z0-9-]{1,63})\.([0-9]{1,4})\.([0-9]{1,12})\.([0-9a-f]{16})"
)
_NONCE_BYTES = 8


@attrs.frozen(order=True)
class ShardId:
    """A shard: its home failure domain and its index in that domain."""

    domain: str
    index: int

    def __str__(self) -> str:
        """Return `domain/index`."""
        return f"{self.domain}/{self.index}"

    @classmethod
    def parse(cls, text: str) -> "ShardId":
        """Parse `domain/index`; raise ValueError if `text` is malformed."""
        domain, separator, index = text.partition("/")
        if not separator or not index.isdigit():
            raise ValueError(f"{text!r} is not of the form domain/index")
        return cls(domain, int(index))


@attrs.frozen
class ProgramId:
    """A program identifier: shard, epoch of opening and a random nonce."""

    shard: ShardId
    epoch: int
    nonce: str

    def __str__(self) -> str:
        """Return `domain.index.epoch.nonce`."""
        return f"{self.shard.domain}.{self.shard.index}.{self.epoch}.{self.nonce}"

    @classmethod
    def new(cls, shard: ShardId, epoch: int) -> "ProgramId":
        """Return a new identifier with a random nonce."""
        return cls(shard, epoch, secrets.token_hex(_NONCE_BYTES))

    @classmethod
    def parse(cls, text: str) -> "ProgramId":
        """Parse an identifier; raise ValueError if `text` is malformed."""
        match = _PROGRAM_ID_PATTERN.fullmatch(text)
        if match is None:
            raise ValueError(f"{text!r} is not a program identifier")
        domain, index, epoch, nonce = match.groups()
        return cls(ShardId(domain, int(index)), int(epoch), nonce)


def shard_of_key(key: str, domains: tuple[str, ...], shards_per_domain: int) -> ShardId:
    """Return the shard that `key` hashes to; it is the same on every host.

    `domains` are the declared failure domains in declared order.
    """
    hash_value = xxhash.xxh64_intdigest(key.encode())
    domain = domains[hash_value % len(domains)]
    return ShardId(domain, (hash_value // len(domains)) % shards_per_domain)
