"""Versions of the configuration in the key-value store."""

from collections.abc import Callable
from contextlib import suppress

import attrs

from celerypulley.clock import Clock
from celerypulley.contracts.configuration import Configuration
from celerypulley.contracts.declaration import Declaration
from celerypulley.contracts.keys import StoredKey
from celerypulley.contracts.stored_configuration import (
    ConfigurationHead,
    chunk_key,
    join_chunks,
    split_configuration,
)
from celerypulley.hosts.platform_view import CONFIGURATION_HEAD_KEY
from celerypulley.links.platform_link import (
    KeyValue,
    PlatformLink,
    PlatformUnavailableError,
)

__all__ = ["ChangeRefusedError", "ConfigurationStore", "StoredVersion"]

_HISTORY_PREFIX = "celerypulley-history/"
_VERSION_DIGITS = 10


class ChangeRefusedError(Exception):
    """A change was refused; the message gives the reason and the version in force."""


@attrs.frozen
class StoredVersion:
    """One version with declaration and keys; `revision` is that of the head's key."""

    head: ConfigurationHead
    declaration: Declaration
    keys: tuple[StoredKey, ...]
    revision: int

    def configuration(self) -> Configuration:
        """Return the version, indexed for lookups."""
        return Configuration(self.head.version, self.declaration, self.keys)


def _history_key(version: int) -> str:
    return f"{_HISTORY_PREFIX}{version:0{_VERSION_DIGITS}}"


class ConfigurationStore:
    """Stored versions; a new one is written by compare-and-swap on the head."""

    def __init__(self, platform: PlatformLink, clock: Clock) -> None:
        """Use the key-value store behind `platform`; `clock` dates new versions."""
        self.platform = platform
        self.clock = clock

    async def newest(self) -> StoredVersion | None:
        """Return the version in force, or None if there is none yet."""
        item = await self.platform.read(CONFIGURATION_HEAD_KEY)
        if item is None or item.value is None:
            return None
        return await self._load(ConfigurationHead.decode(item.value), item.revision)

    async def version(self, number: int) -> StoredVersion:
        """Return a stored version; raise ChangeRefusedError if it does not exist."""
        item = await self.platform.read(_history_key(number))
        newest = await self.newest()
        if newest is not None and newest.head.version == number:
            return newest
        if item is None or item.value is None:
            raise ChangeRefusedError(f"version {number} is not stored")
        return await self._load(ConfigurationHead.decode(item.value), item.revision)

    async def history(self) -> list[ConfigurationHead]:
        """Return the heads of all stored versions, oldest first."""
        snapshot = await self.platform.read_prefix(_HISTORY_PREFIX)
        heads = [
            ConfigurationHead.decode(item.value or b"{}") for item in snapshot.items
        ]
        newest = await self.newest()
        if newest is not None and newest.head not in heads:
            heads.append(newest.head)
        return heads

    async def write(
        self,
        base: StoredVersion | None,
        declaration: Declaration,
        keys: tuple[StoredKey, ...],
        reason: str,
    ) -> ConfigurationHead:
        """Write the version after `base` and return its head.

        Raise ChangeRefusedError if another operator's version was written first,
        PlatformUnavailableError if the outcome is unknown.
        """
        digests, chunks = split_configuration(declaration, keys)
        for digest, content in chunks.items():
            await self._write_once(chunk_key(digest), content)
        if base is not None:
            key = _history_key(base.head.version)
            await self._write_once(key, base.head.encode())
        version = base.head.version + 1 if base else 1
        head = ConfigurationHead(version, digests, self.clock.wall_ms(), reason)
        revision = base.revision if base else 0
        with suppress(PlatformUnavailableError):
            await self.platform.write_if(
                CONFIGURATION_HEAD_KEY, head.encode(), revision
            )
        current = await self._read_head_back()
        if current != head and not await self._is_in_history(head):
            raise ChangeRefusedError(_conflict_message(current))
        return head

    async def change_keys(
        self,
        change: Callable[[StoredVersion], tuple[StoredKey, ...]],
        reason: str,
        max_attempts: int = 20,
    ) -> ConfigurationHead:
        """Change the keys of the newest version; retry after concurrent changes."""
        for attempt in range(max_attempts):
            base = await self.newest()
            if base is None:
                raise ChangeRefusedError("no declaration has been applied yet")
            try:
                return await self.write(base, base.declaration, change(base), reason)
            except ChangeRefusedError:
                if attempt == max_attempts - 1:
                    raise
        raise AssertionError("the loop returns or raises")

    async def _is_in_history(self, head: ConfigurationHead) -> bool:
        item = await self.platform.read(_history_key(head.version))
        return item is not None and item.value == head.encode()

    async def _read_head_back(self) -> ConfigurationHead | None:
        item: KeyValue | None = await self.platform.read(CONFIGURATION_HEAD_KEY)
        if item is None or item.value is None:
            return None
        return ConfigurationHead.decode(item.value)

    async def _write_once(self, key: str, content: bytes) -> None:
        if await self.platform.read(key) is not None:
            return
        await self.platform.write_if(key, content, 0)

    async def _load(self, head: ConfigurationHead, revision: int) -> StoredVersion:
        chunks = {}
        for digest in dict.fromkeys(head.chunks.values()):
            item = await self.platform.read(chunk_key(digest))
            if item is None or item.value is None:
                raise ChangeRefusedError(
                    f"chunk {digest} is missing in the key-value store"
                )
            chunks[digest] = item.value
        declaration, keys = join_chunks(head, chunks)
        return StoredVersion(head, declaration, keys, revision)


def _conflict_message(current: ConfigurationHead | None) -> str:
    if current is None:
        return "the head of the configuration is missing in the key-value store"
    return (
        f"version {current.version} was written first ({current.reason!r}); "
        "review it with plan, then apply again"
    )
