"""The client of the platform's key-value service."""

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

__all__ = ["PlatformStore"]

_CONNECT_TIMEOUT_S = 0.5  # a healthy call takes 4 ms (site sheets, store's answer)
_WATCH_MARGIN_S = 1.0  # above the wait: the answer's own way and a slow service


class PlatformStore:
    """Calls over kept connections; a call that times out closes its connection."""

    def __init__(
        self, address: str, session: aiohttp.ClientSession, timeout_ms: float
    ) -> None:
        """Call the service at `address`; `timeout_ms` bounds one call."""
        self.base_url = f"http://{address}"
        self.session = session
        self.timeout_s = timeout_ms / 1000
        self.calls: Counter[str] = Counter()

    async def read(self, key: str) -> Item | None:
        """Return the newest item of a key, or None."""
        status, answer = await self._request(
            "GET", f"/kv-key?key={quote(key, safe='')}"
        )
        if status == 404:
            return None
        return _decode_item(answer)

    async def read_prefix(self, prefix: str) -> WatchBatch:
        """Return all items; pages are no snapshot, so watch from the first page on."""
        items: list[Item] = []
        revision = 0
        after = ""
        while True:
            path = f"/kv-range?pathPrefix={quote(prefix, safe='')}"
            if after:
                path += f"&after={quote(after, safe='')}"
            _, answer = await self._request("GET", path)
            revision = revision or int(answer["currentRev"])
            page = [_decode_item(each) for each in answer["items"]]
            items += page
            if not answer.get("hasMore") or not page:
                return WatchBatch(tuple(items), revision)
            after = page[-1].key

    async def watch(self, prefix: str, after: int, wait_ms: int) -> WatchBatch:
        """Return the changes after a revision, waiting at most `wait_ms`."""
        path = (
            f"/kv-watch?pathPrefix={quote(prefix, safe='')}"
            f"&after={after}&waitMs={wait_ms}"
        )
        timeout_s = wait_ms / 1000 + _WATCH_MARGIN_S
        status, answer = await self._request("GET", path, timeout_s=timeout_s)
        if status == 410:
            raise HistoryExpiredError(f"no history of {prefix!r} after {after}")
        items = tuple(_decode_item(each) for each in answer["events"])
        return WatchBatch(items, int(answer["currentRev"]))

    async def write(self, writes: list[Write], deletes: list[str] | None = None) -> int:
        """Write all or nothing and return the revision."""
        body = {
            "expectRev": [
                {"key": each.key, "revision": each.expected_revision}
                for each in writes
                if each.expected_revision is not None
            ],
            "writes": [_encode_write(each) for each in writes],
            "delete": deletes or [],
        }
        status, answer = await self._request("POST", "/kv-txn", body)
        if status == 412:
            items = [_decode_item(each) for each in answer.get("items", [])]
            # A row of a key that does not exist has revision 0.
            raise ConditionFailedError(
                {item.key: item for item in items if item.revision}
            )
        if status == 404:
            raise LeaseExpiredError("a write names a lease that has ended")
        return int(answer["revision"])

    async def grant_lease(self, ttl_ms: int) -> int:
        """Return a new lease."""
        _, answer = await self._request("POST", "/kv-lease", {"ttlMs": ttl_ms})
        return int(answer["lease"])

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raise LeaseGoneError where it has ended."""
        status, _ = await self._request("POST", f"/kv-keep/{lease}")
        if status == 404:
            raise LeaseExpiredError(f"lease {lease} has ended")

    async def end_lease(self, lease: int) -> None:
        """End a lease with its keys; one that has ended already does no harm."""
        await self._request("DELETE", f"/kv-lease-end/{lease}")

    async def _request(
        self,
        method: str,
        path: str,
        body: dict | None = None,
        timeout_s: float | None = None,
    ) -> tuple[int, dict]:
        self.calls[path.partition("?")[0].split("/")[1]] += 1
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
            ) as response:
                raw = await response.read()
                return _parse_response(response.status, raw, path)
        except aiohttp.ClientConnectorError as error:
            raise StoreUnavailableError(repr(error), may_have_run=False) from error
        except (aiohttp.ClientError, TimeoutError, OSError, RuntimeError) as error:
            # aiohttp raises RuntimeError on a session that closes with the process.
            raise StoreUnavailableError(f"{path}: {error!r}") from error
        except (ValueError, KeyError, TypeError) as error:
            raise StoreUnavailableError(f"{path}: unreadable: {error!r}") from error


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
    return Item(row["key"], value, revision)
