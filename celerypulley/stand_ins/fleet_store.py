"""A stand-in for the platform's key-value service, with its ways to fail."""

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
    """What goes wrong now.

    `refuse_status` answers every call with that status; `silent` never answers;
    `delay_ms` slows every answer; `lose_writes` does the next writes but breaks the
    connection instead of an answer; `late_writes` breaks it first and does them
    `late_ms` later, if their condition still holds. `mute_watches` lets watches hear
    nothing of changes; `lose_lease_ends` ends the next leases without an
    answer.
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
    """Keys, leases and the history of changes."""

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
        """Write as an operator or a server would."""
        text = base64.b64encode(value).decode()
        return self._apply([{"key": key, "value": text, "lease": lease_id}], [])

    def remove(self, key: str) -> int:
        """Remove a key."""
        return self._apply([], [key])

    def compact_history(self) -> None:
        """Drop all history: waiting watches are told that it is gone."""
        self.history.clear()
        self.compacted_revision = self.revision

    def value(self, key: str) -> bytes | None:
        """Return the value of a key."""
        row = self.entries.get(key)
        return base64.b64decode(row.value) if row else None

    def _apply(self, writes: list[dict], deletes: list[str]) -> int:
        self.revision += 1
        for write in writes:
            key = write["key"]
            known = self.entries.get(key)
            created = known.create_revision if known else self.revision
            lease = int(write.get("lease") or 0)
            self.entries[key] = _Entry(write["value"], self.revision, created, lease)
            self.history.append((self.revision, key, self.wire_item(key)))
        for key in deletes:
            if self.entries.pop(key, None) is not None:
                gone = {"key": key, "revision": self.revision, "removed": True}
                self.history.append((self.revision, key, gone))
        return self.revision

    def wire_item(self, key: str) -> dict | None:
        """Return a key as it goes over the wire."""
        row = self.entries.get(key)
        if row is None:
            return None
        return {
            "key": key,
            "value": row.value,
            "revision": row.mod_revision,
            "created": row.create_revision,
            "lease": row.lease_id,
        }

    def expire_leases(self) -> None:
        """Remove the keys of leases that have ended."""
        now_ms = self.clock.now_ms()
        ended = {
            lease
            for lease, (ttl_ms, from_ms) in self.leases.items()
            if from_ms + ttl_ms < now_ms
        }
        for lease in ended:
            del self.leases[lease]
        self.remove_keys_of_leases(ended)

    def remove_keys_of_leases(self, lease_ids: set[int]) -> None:
        """Remove the keys of leases."""
        gone = [key for key, row in self.entries.items() if row.lease_id in lease_ids]
        if gone:
            self._apply([], gone)

    def transact(self, body: dict) -> tuple[int, dict]:
        """Return status and answer of a conditional write."""
        rows = body.get("expectRev") or []
        for row in rows:
            known = self.entries.get(row["key"])
            if (known.mod_revision if known else 0) != row["revision"]:
                items = [self.wire_item(each["key"]) for each in rows]
                return 412, {"items": [each for each in items if each]}
        for write in body.get("writes") or []:
            if write.get("lease") and write["lease"] not in self.leases:
                return 404, {}
        revision = self._apply(body.get("writes") or [], body.get("delete") or [])
        return 200, {"revision": revision}


def make_fleet_store_app(store: FleetStore) -> web.Application:
    """Return the service over HTTP."""
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
        raw = orjson.dumps(body)
        return web.Response(status=status, body=raw, content_type="application/json")

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
    more = len(keys) > _PAGE_ITEMS
    return 200, {"items": items, "hasMore": more, "currentRev": store.revision}


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
    answer = store.transact(body)
    if faults.lose_write_responses > 0:
        faults.lose_write_responses -= 1
        _drop_connection(request)
    return answer


def _drop_connection(request: web.Request) -> None:
    assert request.transport is not None, "the connection is open"
    request.transport.abort()
    raise ConnectionResetError("the answer is lost")


async def _grant(store: FleetStore, request: web.Request) -> tuple[int, dict]:
    body = orjson.loads(await request.read())
    lease = store.revision * 1_000 + len(store.leases) + 1
    store.leases[lease] = (float(body["ttlMs"]), store.clock.now_ms())
    return 200, {"lease": lease, "ttlMs": body["ttlMs"]}


async def _renew(store: FleetStore, request: web.Request) -> tuple[int, dict]:
    lease = int(request.match_info["lease"])
    if lease not in store.leases:
        return 404, {}
    ttl_ms, _ = store.leases[lease]
    store.leases[lease] = (ttl_ms, store.clock.now_ms())
    return 200, {"ttlMs": ttl_ms}


async def _revoke(store: FleetStore, request: web.Request) -> tuple[int, dict]:
    lease = int(request.match_info["lease"])
    is_known = store.leases.pop(lease, None) is not None
    store.remove_keys_of_leases({lease})
    if store.faults.lose_revoke_responses > 0:
        store.faults.lose_revoke_responses -= 1
        _drop_connection(request)
    return (200 if is_known else 404), {}
