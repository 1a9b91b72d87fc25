"""The link to the platform's key-value store.

It speaks the JSON gateway of etcd version 3: ranges, compare-and-swap as a
transaction on the modification revision, leases and watches.
"""

import base64
from collections.abc import AsyncIterator

import aiohttp
import attrs
import orjson

from celerypulley.links.cuts import CutTable
from celerypulley.links.key_value import (
    ConditionFailedError,
    Item,
    StoreUnavailableError,
    Write,
)
from celerypulley.links.server_session import describe_error

__all__ = [
    "KeyValue",
    "PlatformLink",
    "PlatformUnavailableError",
    "Snapshot",
    "WatchCompactedError",
    "prefix_end",
]

_CALL_TIMEOUT_S = 3.0
_WATCH_IDLE_TIMEOUT_S = 60.0
_CUT_NAME = "platform"


class PlatformUnavailableError(StoreUnavailableError):
    """The key-value store did not respond; a write may have taken effect."""


class WatchCompactedError(Exception):
    """The watch fell behind the history; the client must read a new snapshot."""


@attrs.frozen
class KeyValue:
    """One key with its value and the revision that last changed it.

    `value` is None if a watch reports a removal.
    """

    key: str
    value: bytes | None
    revision: int


@attrs.frozen
class Snapshot:
    """All keys of a range at one revision."""

    revision: int
    items: tuple[KeyValue, ...]


def prefix_end(prefix: str) -> str:
    """Return the first key after all keys that start with `prefix`."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _to_base64(text: str | bytes) -> str:
    raw = text.encode() if isinstance(text, str) else text
    return base64.b64encode(raw).decode()


def _decode_key_value(item: dict) -> KeyValue:
    key = base64.b64decode(item["key"]).decode()
    value = base64.b64decode(item.get("value", ""))
    return KeyValue(key, value, int(item.get("mod_revision", 0)))


def _encode_put(write: Write) -> dict:
    put = {"key": _to_base64(write.key), "value": _to_base64(write.value)}
    if write.lease:
        put["lease"] = str(write.lease)
    return put


def _decode_failure(response: dict) -> dict[str, Item]:
    """Return the keys of a transaction whose comparison failed, as they are now."""
    items = {}
    for each in response.get("responses", []):
        for found in each["response_range"].get("kvs", []):
            known = _decode_key_value(found)
            items[known.key] = Item(known.key, known.value, known.revision)
    return items


class PlatformLink:
    """Client of the key-value store.

    Every method raises PlatformUnavailableError if it gets no usable response.
    """

    def __init__(
        self, base_url: str, session: aiohttp.ClientSession, cuts: CutTable
    ) -> None:
        """Use `session` for calls to the store at `base_url`, unless `cuts` cuts it."""
        self.base_url = base_url
        self.session = session
        self.cuts = cuts
        self.calls = 0

    async def read(self, key: str) -> KeyValue | None:
        """Return one key, or None if it does not exist."""
        response = await self._post("/v3/kv/range", {"key": _to_base64(key)})
        items = response.get("kvs", [])
        return _decode_key_value(items[0]) if items else None

    async def read_prefix(self, prefix: str) -> Snapshot:
        """Return every key that starts with `prefix`."""
        body = {"key": _to_base64(prefix), "range_end": _to_base64(prefix_end(prefix))}
        response = await self._post("/v3/kv/range", body)
        items = tuple(_decode_key_value(item) for item in response.get("kvs", []))
        return Snapshot(int(response["header"]["revision"]), items)

    async def has_changed_since(self, prefix: str, revision: int) -> bool:
        """Return whether a key below `prefix` was written after `revision`."""
        body = {
            "key": _to_base64(prefix),
            "range_end": _to_base64(prefix_end(prefix)),
            "min_mod_revision": str(revision + 1),
            "keys_only": True,
            "limit": "1",
        }
        response = await self._post("/v3/kv/range", body)
        return bool(response.get("kvs"))

    async def write_if(
        self, key: str, value: bytes, revision: int, lease: int = 0
    ) -> bool:
        """Write `key` if it is still at `revision` (0: it does not exist).

        Return whether the write took effect. After PlatformUnavailableError the
        caller must read the key back, since the write may have taken effect.
        """
        try:
            await self.write([Write(key, value, revision, lease)])
        except ConditionFailedError:
            return False
        return True

    async def write(self, writes: list[Write], deletes: list[str] | None = None) -> int:
        """Apply all writes and deletes or none, and return the revision.

        Raise ConditionFailedError if none was applied.
        """
        expected = {
            each.key: each.expected_revision
            for each in writes
            if each.expected_revision is not None
        }
        compare = [
            {
                "key": _to_base64(key),
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(revision),
            }
            for key, revision in expected.items()
        ]
        body = {
            "compare": compare,
            "success": [
                *({"request_put": _encode_put(each)} for each in writes),
                *(
                    {"request_delete_range": {"key": _to_base64(key)}}
                    for key in deletes or ()
                ),
            ],
            "failure": [
                {"request_range": {"key": _to_base64(key)}} for key in expected
            ],
        }
        response = await self._post("/v3/kv/txn", body)
        if not response.get("succeeded", False):
            raise ConditionFailedError(_decode_failure(response))
        return int(response["header"]["revision"])

    async def grant_lease(self, ttl_ms: int) -> int:
        """Return the number of a new lease."""
        body = {"TTL": str(max(1, ttl_ms // 1000))}
        response = await self._post("/v3/lease/grant", body)
        return int(response["ID"])

    async def renew_lease(self, lease: int) -> bool:
        """Return whether the lease is still alive and has been renewed."""
        response = await self._post("/v3/lease/keepalive", {"ID": str(lease)})
        return int(response.get("result", {}).get("TTL", 0)) > 0

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and remove the keys attached to it."""
        await self._post("/v3/lease/revoke", {"ID": str(lease)})

    async def watch(self, prefix: str, revision: int) -> AsyncIterator[list[KeyValue]]:
        """Yield changes below `prefix` from `revision` on, in batches.

        An empty batch confirms that the watch is active. Raise WatchCompactedError if
        the store no longer has the changes.
        """
        create = {
            "key": _to_base64(prefix),
            "range_end": _to_base64(prefix_end(prefix)),
            "start_revision": str(revision),
        }
        self._raise_if_cut()
        self.calls += 1
        timeout = aiohttp.ClientTimeout(total=None, sock_read=_WATCH_IDLE_TIMEOUT_S)
        try:
            async with self.session.post(
                self.base_url + "/v3/watch",
                json={"create_request": create},
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                if response.status != 200:
                    raise PlatformUnavailableError(f"watch answered {response.status}")
                async for line in response.content:
                    self._raise_if_cut()
                    yield _decode_watch_batch(orjson.loads(line)["result"])
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PlatformUnavailableError(
                f"the watch failed: {describe_error(error)}"
            ) from error

    def _raise_if_cut(self) -> None:
        if self.cuts.is_cut(_CUT_NAME):
            raise PlatformUnavailableError("the link to the platform is cut")

    async def _post(self, path: str, body: dict) -> dict:
        self._raise_if_cut()
        self.calls += 1
        timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S)
        try:
            async with self.session.post(
                self.base_url + path, json=body, timeout=timeout, allow_redirects=False
            ) as response:
                raw = await response.read()
                if response.status != 200:
                    raise PlatformUnavailableError(f"{path} answered {response.status}")
                return orjson.loads(raw)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise PlatformUnavailableError(
                f"{path}: {describe_error(error)}"
            ) from error


def _decode_watch_batch(result: dict) -> list[KeyValue]:
    if int(result.get("compact_revision", 0)) > 0:
        raise WatchCompactedError(
            f"history was compacted at revision {result['compact_revision']}"
        )
    batch = []
    for event in result.get("events", []):
        item = _decode_key_value(event["kv"])
        if event.get("type") == "DELETE":
            item = KeyValue(item.key, None, item.revision)
        batch.append(item)
    return batch
