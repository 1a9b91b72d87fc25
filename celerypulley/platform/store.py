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
from celerypulley.links.renewable_session import RenewableSession
from celerypulley.links.server_session import describe_error

__all__ = ["PlatformStore"]

# A healthy store responds within 4 ms (site sheets). Calls have a limit of their own.
_CONNECT_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=0.5)
_LEASES = "leases"
_WATCH_MARGIN_S = 1.0  # on top of the wait: network latency and a slow store
_EXPECTED_S = 0.3  # a store sixty times slower than 4 ms responds sooner
_PROBE_PATH = "/kv-key?key=probe&staleOk=1"
_PROBES = "probes"


class PlatformStore:
    """HTTP client of the store, with persistent connections.

    A call that times out closes its connection. Connections that have gone silent while
    new ones are answered are replaced, and reads and watches on them are sent again.
    `calls` counts calls by kind, and `calls_by_purpose` by kind and by what the keys
    belong to.
    """

    def __init__(
        self, address: str, session: aiohttp.ClientSession, timeout_ms: float
    ) -> None:
        """Send calls to `address`; `timeout_ms` limits a call other than a watch.

        `session` is used first, and closed by the caller.
        """
        self.base_url = f"http://{address}"
        self.session = RenewableSession(session, self._probe)
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
        status, response = await self._request(
            "GET", path, _purpose(prefix), wait_s=wait_ms / 1000
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

    def check_connections(self) -> None:
        """Replace the open connections if a new one is answered while they are not."""
        self.session.check_connections()

    async def close(self) -> None:
        """Close the connections that were opened in place of others."""
        await self.session.close()

    async def _probe(self, session: aiohttp.ClientSession) -> None:
        self._count(_PROBE_PATH, _PROBES)
        async with session.get(self.base_url + _PROBE_PATH) as response:
            await response.read()

    def _count(self, path: str, purpose: str) -> None:
        kind = path.partition("?")[0].split("/")[1]
        self.calls[kind] += 1
        self.calls_by_purpose[kind, purpose] += 1

    async def _request(
        self,
        method: str,
        path: str,
        purpose: str,
        body: dict | None = None,
        wait_s: float | None = None,
    ) -> tuple[int, dict]:
        """Return status and body; the store may hold the call for `wait_s` seconds."""
        headers = {"Content-Type": "application/json"} if body is not None else None
        data = orjson.dumps(body) if body is not None else None

        async def call(session: aiohttp.ClientSession) -> tuple[int, dict]:
            self._count(path, purpose)
            async with session.request(
                method,
                self.base_url + path,
                data=data,
                headers=headers,
                timeout=_CONNECT_TIMEOUT,
                allow_redirects=False,
            ) as response:
                raw = await response.read()
                return _parse_response(response.status, raw, path)

        is_watch = wait_s is not None
        timeout_s = wait_s + _WATCH_MARGIN_S if is_watch else self.timeout_s
        expected_s = _EXPECTED_S + (wait_s if is_watch else 0.0)
        try:
            return await self.session.run(
                call, expected_s, timeout_s, is_repeatable=method == "GET"
            )
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
