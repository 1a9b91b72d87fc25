"""A stand-in for the platform's key-value store, with fault injection."""

import asyncio
import base64
from collections.abc import Callable

import attrs
import orjson
from aiohttp import web

from celerypulley.clock import Clock

__all__ = ["FleetStore", "StoreFaults", "make_fleet_store_app"]

_PAGE_ITEMS = 500
_WATCH_POLL_S = 0.01


@attrs.define
class StoreFaults:
    """The faults to inject.

    `error_status` is the HTTP status of every response (0: none), and `hang` sends no
    response at all. `delay_ms` delays every response. `lose_write_responses` is the
    number of writes to apply without a response: the connection is dropped instead.
    `delayed_writes` is the number of writes whose connection is dropped at once; they
    are applied `write_delay_ms` later if their condition still holds.
    `suppress_watch_events` hides changes from watches. `lose_revoke_responses` is the
    number of leases to end without a response.
    """

    error_status: int = 0
    hang: bool = False
    delay_ms: float = 0.0
    lose_write_responses: int = 0
    delayed_writes: int = 0
    write_delay_ms: float = 50.0
    suppress_watch_events: bool = False
    lose_revoke_responses: int = 0


@attrs.define
class _Entry:
    value: str
    mod_revision: int
    create_revision: int
    lease_id: int


class FleetStore:
    """Keys with revisions, leases, and the history of changes."""

    def __init__(self, clock: Clock) -> None:
        """Start empty at revision 1."""
        self.clock = clock
        self.faults = StoreFaults()
        self.revision = 1
        self.entries: dict[str, _Entry] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.history: list[tuple[int, str, dict]] = []
        self.compacted_revision = 0
        self.request_paths: list[str] = []
        self.watch_waits_ms: list[int] = []

    def put(self, key: str, value: bytes, lease_id: int = 0) -> int:
        """Write a key as an operator or a backend server does; return the revision."""
        text = base64.b64encode(value).decode()
        return self._apply([{"key": key, "value": text, "lease": lease_id}], [])

    def remove(self, key: str) -> int:
        """Remove a key; return the revision."""
        return self._apply([], [key])

    def compact_history(self) -> None:
        """Drop the history of changes, so that pending watches get status 410."""
        self.history.clear()
        self.compacted_revision = self.revision

    def value(self, key: str) -> bytes | None:
        """Return the value of a key, None if it is not stored."""
        entry = self.entries.get(key)
        return base64.b64decode(entry.value) if entry else None

    def _apply(self, writes: list[dict], deletes: list[str]) -> int:
        self.revision += 1
        for write in writes:
            key = write["key"]
            current = self.entries.get(key)
            create_revision = current.create_revision if current else self.revision
            lease_id = int(write.get("lease") or 0)
            self.entries[key] = _Entry(
                write["value"], self.revision, create_revision, lease_id
            )
            self.history.append((self.revision, key, self.wire_item(key)))
        for key in deletes:
            if self.entries.pop(key, None) is not None:
                removal = {"key": key, "revision": self.revision, "removed": True}
                self.history.append((self.revision, key, removal))
        return self.revision

    def wire_item(self, key: str) -> dict | None:
        """Return a key in the format of the HTTP API, None if it is not stored."""
        entry = self.entries.get(key)
        if entry is None:
            return None
        return {
            "key": key,
            "value": entry.value,
            "revision": entry.mod_revision,
            "created": entry.create_revision,
            "lease": entry.lease_id,
        }

    def expire_leases(self) -> None:
        """End the leases whose time is over and remove their keys."""
        now_ms = self.clock.now_ms()
        ended = {
            lease_id
            for lease_id, (ttl_ms, renewed_ms) in self.leases.items()
            if renewed_ms + ttl_ms < now_ms
        }
        for lease_id in ended:
            del self.leases[lease_id]
        self.remove_keys_of_leases(ended)

    def remove_keys_of_leases(self, lease_ids: set[int]) -> None:
        """Remove all keys that belong to the leases."""
        keys = [
            key for key, entry in self.entries.items() if entry.lease_id in lease_ids
        ]
        if keys:
            self._apply([], keys)

    def transact(self, body: dict) -> tuple[int, dict]:
        """Apply a conditional write; return the HTTP status and response body."""
        conditions = body.get("expectRev") or []
        for condition in conditions:
            current = self.entries.get(condition["key"])
            if (current.mod_revision if current else 0) != condition["revision"]:
                items = [self.wire_item(each["key"]) for each in conditions]
                return 412, {"items": [each for each in items if each]}
        for write in body.get("writes") or []:
            if write.get("lease") and write["lease"] not in self.leases:
                return 404, {}
        revision = self._apply(body.get("writes") or [], body.get("delete") or [])
        return 200, {"revision": revision}


def make_fleet_store_app(store: FleetStore) -> web.Application:
    """Return an aiohttp application that serves the store."""
    app = web.Application()
    add = app.router.add_route
    add("GET", "/kv-key", _make_handler(store, _read))
    add("GET", "/kv-range", _make_handler(store, _range))
    add("GET", "/kv-watch", _make_handler(store, _watch))
    add("POST", "/kv-txn", _make_handler(store, _write))
    add("POST", "/kv-lease", _make_handler(store, _grant))
    add("POST", "/kv-keep/{lease}", _make_handler(store, _renew))
    add("DELETE", "/kv-lease-end/{lease}", _make_handler(store, _revoke))
    return app


def _make_handler(store: FleetStore, respond: Callable) -> Callable:
    async def handle(request: web.Request) -> web.Response:
        store.request_paths.append(request.path)
        faults = store.faults
        if faults.hang:
            await asyncio.sleep(3_600)
        if faults.error_status:
            return web.Response(status=faults.error_status)
        if faults.delay_ms:
            await asyncio.sleep(faults.delay_ms / 1000)
        store.expire_leases()
        status, body = await respond(store, request)
        raw_body = orjson.dumps(body)
        return web.Response(
            status=status, body=raw_body, content_type="application/json"
        )

    return handle


async def _read(store: FleetStore, request: web.Request) -> tuple[int, dict]:
    item = store.wire_item(request.query["key"])
    if item is None:
        return 404, {}
    return 200, {**item, "currentRev": store.revision}


async def _range(store: FleetStore, request: web.Request) -> tuple[int, dict]:
    prefix = request.query["pathPrefix"]
    after = request.query.get("after", "")
    keys = sorted(k for k in store.entries if k.startswith(prefix) and k > after)
    items = [store.wire_item(key) for key in keys[:_PAGE_ITEMS]]
    has_more = len(keys) > _PAGE_ITEMS
    return 200, {"items": items, "hasMore": has_more, "currentRev": store.revision}


async def _watch(store: FleetStore, request: web.Request) -> tuple[int, dict]:
    prefix = request.query["pathPrefix"]
    after = int(request.query["after"])
    wait_ms = int(request.query["waitMs"])
    store.watch_waits_ms.append(wait_ms)
    until_ms = store.clock.now_ms() + wait_ms
    while True:
        store.expire_leases()
        if after < store.compacted_revision:
            return 410, {}
        events = [
            event
            for revision, key, event in store.history
            if revision > after
            and key.startswith(prefix)
            and not store.faults.suppress_watch_events
        ]
        if events or store.clock.now_ms() >= until_ms:
            return 200, {"events": events, "currentRev": store.revision}
        await asyncio.sleep(_WATCH_POLL_S)


async def _write(store: FleetStore, request: web.Request) -> tuple[int, dict]:
    body = orjson.loads(await request.read())
    faults = store.faults
    if faults.delayed_writes > 0:
        faults.delayed_writes -= 1
        asyncio.get_running_loop().call_later(
            faults.write_delay_ms / 1000, store.transact, body
        )
        _drop_connection(request)
    response = store.transact(body)
    if faults.lose_write_responses > 0:
        faults.lose_write_responses -= 1
        _drop_connection(request)
    return response


def _drop_connection(request: web.Request) -> None:
    assert request.transport is not None, "the connection is already closed"
    request.transport.abort()
    raise ConnectionResetError("connection dropped by an injected fault")


async def _grant(store: FleetStore, request: web.Request) -> tuple[int, dict]:
    body = orjson.loads(await request.read())
    lease_id = store.revision * 1_000 + len(store.leases) + 1
    store.leases[lease_id] = (float(body["ttlMs"]), store.clock.now_ms())
    return 200, {"lease": lease_id, "ttlMs": body["ttlMs"]}


async def _renew(store: FleetStore, request: web.Request) -> tuple[int, dict]:
    lease_id = int(request.match_info["lease"])
    if lease_id not in store.leases:
        return 404, {}
    ttl_ms, _ = store.leases[lease_id]
    store.leases[lease_id] = (ttl_ms, store.clock.now_ms())
    return 200, {"ttlMs": ttl_ms}


async def _revoke(store: FleetStore, request: web.Request) -> tuple[int, dict]:
    lease_id = int(request.match_info["lease"])
    is_known = store.leases.pop(lease_id, None) is not None
    store.remove_keys_of_leases({lease_id})
    if store.faults.lose_revoke_responses > 0:
        store.faults.lose_revoke_responses -= 1
        _drop_connection(request)
    return (200 if is_known else 404), {}
