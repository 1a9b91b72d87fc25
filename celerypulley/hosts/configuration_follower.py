"""The active configuration of a host, replaced only by newer versions."""

import asyncio
import random
from collections.abc import Callable
from pathlib import Path

import orjson
from mode import Service

from celerypulley.clock import NEVER_MS, Clock
from celerypulley.contracts.configuration import Configuration
from celerypulley.contracts.stored_configuration import (
    ConfigurationHead,
    chunk_key,
    join_chunks,
)
from celerypulley.decision_log import DecisionLog
from celerypulley.elapsed_time import elapsed_ms
from celerypulley.hosts.peers import Peers
from celerypulley.hosts.platform_view import PlatformView
from celerypulley.links.peer_link import PeerLinkError
from celerypulley.links.peer_messages import ConfigurationContent, FetchConfiguration
from celerypulley.links.platform_link import PlatformLink, PlatformUnavailableError

__all__ = ["ConfigurationFollower"]

_FETCH_JITTER_S = 0.5
_RETRY_S = 0.5
_PEER_TIMEOUT_MS = 2_000.0
_FILE_NAME = "configuration.json"
_log = DecisionLog("configuration")


class ConfigurationFollower(Service):
    """Follow the head, fetch missing chunks and activate versions in ascending order.

    While the key-value store is unavailable, a newer version is fetched from the peer
    that announced it. `data_dir` keeps the newest version across restarts.
    """

    def __init__(
        self,
        platform: PlatformLink,
        view: PlatformView,
        peers: Peers,
        clock: Clock,
        data_dir: Path | None,
    ) -> None:
        """Start without a configuration; starting the service reads the one on disk."""
        super().__init__()
        self.platform = platform
        self.view = view
        self.peers = peers
        self.clock = clock
        self.current: Configuration | None = None
        self.head: ConfigurationHead | None = None
        self.chunks: dict[str, bytes] = {}
        self.on_change: list[Callable[[Configuration], None]] = []
        self._path = data_dir / _FILE_NAME if data_dir else None
        self._newest_peer_version: tuple[int, str] = (0, "")
        self._peer_confirmed_ms = NEVER_MS
        self._fetch_requested = asyncio.Event()
        self._random = random.Random()

    @property
    def version(self) -> int:
        """Return the active version, 0 if there is none."""
        return self.head.version if self.head else 0

    def confirmed_ago_ms(self) -> float:
        """Return how long ago the active version was known to be the newest."""
        now_ms = self.clock.now_ms()
        platform_ms = self.view.confirmed_ms
        head = self.view.configuration_head
        if head is not None and self.head is not None:
            known = ConfigurationHead.decode(head.value or b"{}").version
            if known > self.head.version:
                platform_ms = NEVER_MS
        confirmed_ms = max(platform_ms, self._peer_confirmed_ms)
        return elapsed_ms(confirmed_ms, now_ms, "configuration")

    def observe_peer_version(
        self, member: str, version: int, confirmed_ago_ms: float
    ) -> None:
        """Record a peer's version and when it was last confirmed to that peer."""
        if version > max(self.version, self._newest_peer_version[0]):
            self._newest_peer_version = (version, member)
            self._fetch_requested.set()
        if version == self.version and confirmed_ago_ms >= 0:
            confirmed_ms = self.clock.now_ms() - confirmed_ago_ms
            self._peer_confirmed_ms = max(self._peer_confirmed_ms, confirmed_ms)

    def handle_fetch(self, message: FetchConfiguration) -> ConfigurationContent:
        """Return head and chunks to a peer that has an older version."""
        if self.head is None or self.head.version <= message.version:
            return ConfigurationContent(b"", {})
        needed = {digest: self.chunks[digest] for digest in self.head.chunks.values()}
        return ConfigurationContent(self.head.encode(), needed)

    async def on_start(self) -> None:
        """Load the newest version stored on disk."""
        if self._path is None or not self._path.exists():
            return
        try:
            stored = orjson.loads(self._path.read_bytes())
            head = ConfigurationHead.decode(stored["head"].encode())
            chunks = {name: text.encode() for name, text in stored["chunks"].items()}
            self._activate(head, chunks, "read from disk")
        except (OSError, ValueError, KeyError, TypeError) as error:
            _log.write("stored configuration ignored", repr(error))

    @Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            try:
                await self._fetch_newer()
            except (PlatformUnavailableError, PeerLinkError, KeyError) as error:
                _log.write("configuration not fetched", repr(error))
                await self.sleep(_RETRY_S)
            await self._wait_for_change()

    async def _wait_for_change(self) -> None:
        changed = asyncio.create_task(self.view.wait_for_change(1_000))
        requested = asyncio.create_task(self._fetch_requested.wait())
        await asyncio.wait({changed, requested}, return_when=asyncio.FIRST_COMPLETED)
        changed.cancel()
        requested.cancel()
        self._fetch_requested.clear()

    async def _fetch_newer(self) -> None:
        item = self.view.configuration_head
        if item is not None and item.value is not None:
            head = ConfigurationHead.decode(item.value)
            if head.version > self.version:
                await self._fetch_from_platform(head)
        version, member = self._newest_peer_version
        if version > self.version:
            await self._fetch_from_peer(member)

    async def _fetch_from_platform(self, head: ConfigurationHead) -> None:
        missing = [each for each in head.chunks.values() if each not in self.chunks]
        chunks = {}
        if len(self.view.members) > 1 and self.head is not None:
            await self.sleep(self._random.uniform(0, _FETCH_JITTER_S))
        for digest in dict.fromkeys(missing):
            stored = await self.platform.read(chunk_key(digest))
            if stored is None or stored.value is None:
                raise KeyError(digest)
            chunks[digest] = stored.value
        self._activate(head, chunks, "read from the key-value store")

    async def _fetch_from_peer(self, member: str) -> None:
        message = FetchConfiguration(self.version)
        reply = await self.peers.request(member, message, _PEER_TIMEOUT_MS)
        self._newest_peer_version = (0, "")
        if not isinstance(reply, ConfigurationContent) or not reply.head:
            return
        head = ConfigurationHead.decode(reply.head)
        self._activate(head, dict(reply.chunks), f"{member} sent it")

    def _activate(
        self, head: ConfigurationHead, chunks: dict[str, bytes], reason: str
    ) -> None:
        if head.version <= self.version:
            return
        known = {**self.chunks, **chunks}
        needed = {digest: known[digest] for digest in head.chunks.values()}
        declaration, keys = join_chunks(head, needed)
        previous_version = self.version
        self.chunks = needed
        self.head = head
        self.current = Configuration(head.version, declaration, keys)
        assert self.version > previous_version, (
            "an older configuration replaced a newer one"
        )
        _log.write(
            "configuration activated",
            reason,
            version=head.version,
            previous=previous_version,
        )
        self._write_to_disk()
        for callback in self.on_change:
            callback(self.current)

    def _write_to_disk(self) -> None:
        if self._path is None or self.head is None:
            return
        stored = {
            "head": self.head.encode().decode(),
            "chunks": {name: raw.decode() for name, raw in self.chunks.items()},
        }
        temporary = self._path.with_suffix(".new")
        try:
            self._path.parent.mkdir(parents=True, exist_ok=True)
            temporary.write_bytes(orjson.dumps(stored))
            temporary.replace(self._path)
        except OSError as error:
            _log.write("configuration not stored on disk", str(error))
