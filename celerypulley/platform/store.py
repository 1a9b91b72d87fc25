"""Client of the platform's key-value store."""

import base64
import binascii
from collections import Counter
from urllib.parse import quote

import aiohttp
import orjson

from celerypulley.links.key_value import (
    ConditionFailedError,
    HistoryExpiredError,
    Item,
    LeaseExpiredError,
    StoreUnavailableError,
    WatchBatch,
    Write,
)
from celerypulley.links.server_session import describe_error

__all__ = ["PlatformStore"]

_CONNECT_TIMEOUT_S = 0.5  # a healthy store responds within 4 ms (site sheets)
_LEASES = "leases"
_WATCH_MARGIN_S = 1.0  # on top of the wait: network latency and a slow store


class PlatformStore:
    """HTTP client of the store, with persistent connections.

    A call that times out closes its connection. `calls` counts calls by kind, and
    `calls_by_purpose` by kind and by what the keys belong to.
    """

    def __init__(
        self, address: str, session: aiohttp.ClientSession, timeout_ms: float
    ) -> None:
        """Send calls to `address`; `timeout_ms` limits a call other than a watch."""
        self.base_url = f"http://{address}"
        self.session = session
        self.timeout_s = timeout_ms / 1000
        self.calls: Counter[str] = Counter()
        self.calls_by_purpose: Counter[tuple[str, str]] = Counter()

    async def read(self, key: str) -> Item | None:
        """Return the current item of a key, or None if it does not exist."""
        status, response = await self._request(
            "GET", f"/kv-key?key={quote(key, safe='')}", _purpose(key)
        )
        if status == 404:
            return None
        return _decode_item(response)

    async def read_prefix(self, prefix: str) -> WatchBatch:
        """Return all items whose keys start with `prefix`.

        The pages are not one snapshot, so the revision to watch from is that of the
        first page.
        """
        items: list[Item] = []
        revision = 0
        after = ""
        while True:
            path = f"/kv-range?pathPrefix={quote(prefix, safe='')}"
            if after:
                path += f"&after={quote(after, safe='')}"
            _, response = await self._request("GET", path, _purpose(prefix))
            revision = revision or int(response["currentRev"])
            page = [_decode_item(each) for each in response["items"]]
            items += page
            if not response.get("hasMore") or not page:
                return WatchBatch(tuple(items), revision)
            after = page[-1].key

    async def watch(self, prefix: str, after: int, wait_ms: int) -> WatchBatch:
        """Return the changes after revision `after`; wait at most `wait_ms` for one.

        Raise HistoryExpiredError if the store no longer has them.
        """
        path = (
            f"/kv-watch?pathPrefix={quote(prefix, safe='')}"
            f"&after={after}&waitMs={wait_ms}"
        )
        timeout_s = wait_ms / 1000 + _WATCH_MARGIN_S
        status, response = await self._request(
            "GET", path, _purpose(prefix), timeout_s=timeout_s
        )
        if status == 410:
            raise HistoryExpiredError(f"no history of {prefix!r} after {after}")
        items = tuple(_decode_item(each) for each in response["events"])
        return WatchBatch(items, int(response["currentRev"]))

    async def write(self, writes: list[Write], deletes: list[str] | None = None) -> int:
        """Apply all writes and deletes or none, and return the revision.

        Raise ConditionFailedError or LeaseExpiredError if none was applied.
        """
        body = {
            "expectRev": [
                {"key": each.key, "revision": each.expected_revision}
                for each in writes
                if each.expected_revision is not None
            ],
            "writes": [_encode_write(each) for each in writes],
            "delete": deletes or [],
        }
        keys = [each.key for each in writes] + list(deletes or [])
        purpose = _purpose(keys[0]) if keys else ""
        status, response = await self._request("POST", "/kv-txn", purpose, body)
        if status == 412:
            items = [_decode_item(each) for each in response.get("items", [])]
            # A key that does not exist is listed with revision 0.
            raise ConditionFailedError(
                {item.key: item for item in items if item.revision}
            )
        if status == 404:
            raise LeaseExpiredError("a write refers to a lease that has expired")
        return int(response["revision"])

    async def grant_lease(self, ttl_ms: int) -> int:
        """Grant a lease of `ttl_ms` and return its number."""
        _, response = await self._request(
            "POST", "/kv-lease", _LEASES, {"ttlMs": ttl_ms}
        )
        return int(response["lease"])

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raise LeaseExpiredError if it has expired."""
        status, _ = await self._request("POST", f"/kv-keep/{lease}", _LEASES)
        if status == 404:
            raise LeaseExpiredError(f"lease {lease} has expired")

    async def end_lease(self, lease: int) -> None:
        """End a lease and delete its keys; an expired lease is not an error."""
        await self._request("DELETE", f"/kv-lease-end/{lease}", _LEASES)

    async def _request(
        self,
        method: str,
        path: str,
        purpose: str,
        body: dict | None = None,
        timeout_s: float | None = None,
    ) -> tuple[int, dict]:
        kind = path.partition("?")[0].split("/")[1]
        self.calls[kind] += 1
        self.calls_by_purpose[kind, purpose] += 1
        timeout = aiohttp.ClientTimeout(
            total=timeout_s or self.timeout_s, sock_connect=_CONNECT_TIMEOUT_S
        )
        headers = {"Content-Type": "application/json"} if body is not None else None
        data = orjson.dumps(body) if body is not None else None
        try:
            async with self.session.request(
                method,
                self.base_url + path,
                data=data,
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                raw = await response.read()
                return _parse_response(response.status, raw, path)
        except aiohttp.ClientConnectorError as error:
            raise StoreUnavailableError(repr(error), may_have_run=False) from error
        except (aiohttp.ClientError, TimeoutError, OSError, RuntimeError) as error:
            # aiohttp raises RuntimeError if the session closes while the process stops.
            raise StoreUnavailableError(f"{path}: {describe_error(error)}") from error
        except (ValueError, KeyError, TypeError) as error:
            raise StoreUnavailableError(
                f"{path}: invalid response body: {error!r}"
            ) from error


def _purpose(key: str) -> str:
    """Return what a key belongs to: the first part of its name."""
    return key.partition("/")[0]


def _parse_response(status: int, raw: bytes, path: str) -> tuple[int, dict]:
    if status in (429, 503):
        raise StoreUnavailableError(f"{path} answered {status}", may_have_run=False)
    if status in (404, 410):
        return status, {}
    if status not in (200, 412):
        raise StoreUnavailableError(f"{path} answered {status}: {raw[:200]!r}")
    return status, orjson.loads(raw) if raw else {}


def _encode_write(write: Write) -> dict:
    row = {"key": write.key, "value": base64.b64encode(write.value).decode()}
    if write.lease:
        row["lease"] = write.lease
    return row


def _decode_item(row: dict) -> Item:
    revision = int(row.get("revision") or 0)
    if row.get("removed"):
        return Item(row["key"], None, revision)
    try:
        value = base64.b64decode(row.get("value") or "", validate=True)
    except binascii.Error:
        value = b""
    return Item(row["key"], value, revision, int(row.get("lease") or 0))
