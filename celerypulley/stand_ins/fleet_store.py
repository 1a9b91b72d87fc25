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

    refuse_status: int = 0
    silent: bool = False
    delay_ms: float = 0.0
    lose_writes: int = 0
    late_writes: int = 0
    late_ms: float = 50.0
    mute_watches: bool = False
    lose_lease_ends: int = 0


@attrs.define
class _Row:
    value: str
    revision: int
    created: int
    lease: int


class FleetStore:
    """Keys, leases and the history of changes."""

    def __init__(self, clock: Clock) -> None:
        """Start empty at revision 1."""
        self.clock = clock
        self.faults = StoreFaults()
        self.revision = 1
        self.rows: dict[str, _Row] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.history: list[tuple[int, str, dict]] = []
        self.forgotten = 0
        self.calls: list[str] = []
        self.watch_waits_ms: list[int] = []

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write as an operator or a server would."""
        text = base64.b64encode(value).decode()
        return self._apply([{"key": key, "value": text, "lease": lease}], [])

    def remove(self, key: str) -> int:
        """Remove a key."""
        return self._apply([], [key])

    def forget_history(self) -> None:
        """Drop all history: waiting watches are told that it is gone."""
        self.history.clear()
        self.forgotten = self.revision

    def value(self, key: str) -> bytes | None:
        """Return the value of a key."""
        row = self.rows.get(key)
        return base64.b64decode(row.value) if row else None

    def _apply(self, writes: list[dict], deletes: list[str]) -> int:
        self.revision += 1
        for write in writes:
            key = write["key"]
            known = self.rows.get(key)
            created = known.created if known else self.revision
            lease = int(write.get("lease") or 0)
            self.rows[key] = _Row(write["value"], self.revision, created, lease)
            self.history.append((self.revision, key, self.item(key)))
        for key in deletes:
            if self.rows.pop(key, None) is not None:
                gone = {"key": key, "revision": self.revision, "removed": True}
                self.history.append((self.revision, key, gone))
        return self.revision

    def item(self, key: str) -> dict | None:
        """Return a key as it goes over the wire."""
        row = self.rows.get(key)
        if row is None:
            return None
        return {
            "key": key,
            "value": row.value,
            "revision": row.revision,
            "created": row.created,
            "lease": row.lease,
        }

    def expire(self) -> None:
        """Remove the keys of leases that have ended."""
        now_ms = self.clock.now_ms()
        ended = {
            lease
            for lease, (ttl_ms, from_ms) in self.leases.items()
            if from_ms + ttl_ms < now_ms
        }
        for lease in ended:
            del self.leases[lease]
        self.end_keys(ended)

    def end_keys(self, leases: set[int]) -> None:
        """Remove the keys of leases."""
        gone = [key for key, row in self.rows.items() if row.lease in leases]
        if gone:
            self._apply([], gone)

    def transact(self, body: dict) -> tuple[int, dict]:
        """Return status and answer of a conditional write."""
        rows = body.get("expectRev") or []
        for row in rows:
            known = self.rows.get(row["key"])
            if (known.revision if known else 0) != row["revision"]:
                items = [self.item(each["key"]) for each in rows]
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
    add("GET", "/kv-key", _handler(store, _read))
    add("GET", "/kv-range", _handler(store, _range))
    add("GET", "/kv-watch", _handler(store, _watch))
    add("POST", "/kv-txn", _handler(store, _write))
    add("POST", "/kv-lease", _handler(store, _grant))
    add("POST", "/kv-keep/{lease}", _handler(store, _keep))
    add("DELETE", "/kv-lease-end/{lease}", _handler(store, _end))
    return app


def _handler(store: FleetStore, answer: Callable) -> Callable:
    async def handle(request: web.Request) -> web.Response:
        store.calls.append(request.path)
        faults = store.faults
        if faults.silent:
            await asyncio.sleep(3_600)
        if faults.refuse_status:
            return web.Response(status=faults.refuse_status)
        if faults.delay_ms:
            await asyncio.sleep(faults.delay_ms / 1000)
        store.expire()
        status, body = await answer(store, request)
        raw = orjson.dumps(body)
        return web.Response(status=status, body=raw, content_type="application/json")

    return handle


async def _read(store: FleetStore, request: web.Request) -> tuple[int, dict]:
    item = store.item(request.query["key"])
    if item is None:
        return 404, {}
    return 200, {**item, "currentRev": store.revision}


async def _range(store: FleetStore, request: web.Request) -> tuple[int, dict]:
    prefix = request.query["pathPrefix"]
    after = request.query.get("after", "")
    keys = sorted(k for k in store.rows if k.startswith(prefix) and k > after)
    items = [store.item(key) for key in keys[:_PAGE_ITEMS]]
    more = len(keys) > _PAGE_ITEMS
    return 200, {"items": items, "hasMore": more, "currentRev": store.revision}


async def _watch(store: FleetStore, request: web.Request) -> tuple[int, dict]:
    prefix = request.query["pathPrefix"]
    after = int(request.query["after"])
    wait_ms = int(request.query["waitMs"])
    store.watch_waits_ms.append(wait_ms)
    until_ms = store.clock.now_ms() + wait_ms
    while True:
        store.expire()
        if after < store.forgotten:
            return 410, {}
        events = [
            event
            for revision, key, event in store.history
            if revision > after
            and key.startswith(prefix)
            and not store.faults.mute_watches
        ]
        if events or store.clock.now_ms() >= until_ms:
            return 200, {"events": events, "currentRev": store.revision}
        await asyncio.sleep(_WATCH_POLL_S)


async def _write(store: FleetStore, request: web.Request) -> tuple[int, dict]:
    body = orjson.loads(await request.read())
    faults = store.faults
    if faults.late_writes > 0:
        faults.late_writes -= 1
        asyncio.get_running_loop().call_later(
            faults.late_ms / 1000, store.transact, body
        )
        _break(request)
    answer = store.transact(body)
    if faults.lose_writes > 0:
        faults.lose_writes -= 1
        _break(request)
    return answer


def _break(request: web.Request) -> None:
    assert request.transport is not None, "the connection is open"
    request.transport.abort()
    raise ConnectionResetError("the answer is lost")


async def _grant(store: FleetStore, request: web.Request) -> tuple[int, dict]:
    body = orjson.loads(await request.read())
    lease = store.revision * 1_000 + len(store.leases) + 1
    store.leases[lease] = (float(body["ttlMs"]), store.clock.now_ms())
    return 200, {"lease": lease, "ttlMs": body["ttlMs"]}


async def _keep(store: FleetStore, request: web.Request) -> tuple[int, dict]:
    lease = int(request.match_info["lease"])
    if lease not in store.leases:
        return 404, {}
    ttl_ms, _ = store.leases[lease]
    store.leases[lease] = (ttl_ms, store.clock.now_ms())
    return 200, {"ttlMs": ttl_ms}


async def _end(store: FleetStore, request: web.Request) -> tuple[int, dict]:
    lease = int(request.match_info["lease"])
    is_known = store.leases.pop(lease, None) is not None
    store.end_keys({lease})
    if store.faults.lose_lease_ends > 0:
        store.faults.lose_lease_ends -= 1
        _break(request)
    return (200 if is_known else 404), {}
