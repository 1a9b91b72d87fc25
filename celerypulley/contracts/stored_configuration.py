"""The stored configuration: a head that lists content-addressed chunks.

Organisations, their exceptions and their keys are distributed over buckets, so
that one change rewrites one small chunk and every value stays below a megabyte.
"""

import hashlib
from collections.abc import Iterable, Mapping

import attrs
import orjson
import xxhash

from celerypulley.contracts.declaration import Declaration
from celerypulley.contracts.declaration_file import (
    declaration_from_dict,
    declaration_to_dict,
)
from celerypulley.contracts.keys import StoredKey

__all__ = [
    "CHUNK_PREFIX",
    "ConfigurationHead",
    "chunk_key",
    "join_chunks",
    "split_configuration",
]

CHUNK_PREFIX = "celerypulley-chunks/"
_BUCKET_COUNT = 64
_COMMON_PART = "common"


@attrs.frozen
class ConfigurationHead:
    """One version: its chunks by part, and the time and reason of the change.

    `chunks` maps a part's name to the digest of its content.
    """

    version: int
    chunks: dict[str, str]
    made_ms: int
    reason: str

    def encode(self) -> bytes:
        """Return the head as JSON."""
        return orjson.dumps(attrs.asdict(self))

    @classmethod
    def decode(cls, raw: bytes) -> "ConfigurationHead":
        """Decode a head; raise ValueError if it is not valid JSON."""
        return cls(**orjson.loads(raw))


def chunk_key(digest: str) -> str:
    """Return the key-value store's key of a chunk."""
    return CHUNK_PREFIX + digest


def split_configuration(
    declaration: Declaration, keys: Iterable[StoredKey]
) -> tuple[dict[str, str], dict[str, bytes]]:
    """Return the digest of each part and the chunk of each digest."""
    data = declaration_to_dict(declaration)
    parts: dict[str, dict] = {}
    organisations = data.pop("organisations")
    rules = data.pop("exceptions")
    data["exceptions"] = [rule for rule in rules if rule["organisation"] is None]
    parts[_COMMON_PART] = data
    for organisation in organisations:
        bucket = _bucket_items(parts, "organisations", organisation["name"])
        bucket.append(organisation)
    for rule in rules:
        if rule["organisation"] is not None:
            _bucket_items(parts, "exceptions", rule["organisation"]).append(rule)
    for key in keys:
        _bucket_items(parts, "keys", key.organisation).append(attrs.asdict(key))
    digests = {}
    chunks = {}
    for name, part in parts.items():
        content = orjson.dumps(part, option=orjson.OPT_SORT_KEYS)
        digest = hashlib.sha256(content).hexdigest()
        digests[name] = digest
        chunks[digest] = content
    return digests, chunks


def join_chunks(
    head: ConfigurationHead, chunks: Mapping[str, bytes]
) -> tuple[Declaration, tuple[StoredKey, ...]]:
    """Return the declaration and keys; raise KeyError for a missing chunk."""
    data: dict = {}
    organisations: list = []
    rules: list = []
    keys: list[StoredKey] = []
    for name, digest in head.chunks.items():
        part = orjson.loads(chunks[digest])
        if name == _COMMON_PART:
            data = part
            continue
        kind = name.partition("-")[0]
        if kind == "keys":
            keys.extend(StoredKey(**fields) for fields in part["items"])
            continue
        (organisations if kind == "organisations" else rules).extend(part["items"])
    data["organisations"] = organisations
    data["exceptions"] = data["exceptions"] + rules
    return declaration_from_dict(data), tuple(keys)


def _bucket_items(parts: dict[str, dict], kind: str, organisation: str) -> list:
    number = xxhash.xxh64_intdigest(organisation.encode()) % _BUCKET_COUNT
    return parts.setdefault(f"{kind}-{number}", {"items": []})["items"]
