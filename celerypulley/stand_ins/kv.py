"""A stand-in for the platform's key-value store behind etcd's JSON gateway.

It implements the calls of the version 3 gateway that the system uses. Faults can be
injected: outages, delays, and responses lost after a write. It also serves the
platform's list of backend servers.
"""

import asyncio
import base64
import random
from collections import deque

import attrs
import orjson
from aiohttp import web

from celerypulley.clock import Clock

__all__ = ["Faults", "EtcdStore", "make_kv_app"]

_MAX_HISTORY_EVENTS = 20_000
_LEASE_CHECK_INTERVAL_S = 0.1
_WATCH_CHECK_INTERVAL_S = 5.0


@attrs.define
class StoredValue:
    """A stored value and its revisions."""

    value: bytes
    create_revision: int
    mod_revision: int
    lease_id: str | None


@attrs.define
class Lease:
    """A lease: its time to live, its expiry time and its keys."""

    ttl_ms: float
    expires_ms: float
    keys: set[str]


@attrs.define
class Faults:
    """The faults to inject.

    `down` makes every call fail with status 503 and breaks open watches, and
    `delay_ms` delays every call. `lose_answer_share` is the share of writes that are
    applied but get no response, from 0 to 1. `list_lag_ms` is the age of the list of
    backend servers.
    """

    down: bool = False
    delay_ms: float = 0.0
    lose_answer_share: float = 0.0
    list_lag_ms: float = 1_000.0


class EtcdStore:
    """Keys with revisions, leases, and a history of changes for watches."""

    def __init__(
        self, clock: Clock, max_history_events: int = _MAX_HISTORY_EVENTS
    ) -> None:
        """Start empty at revision 1; keep the last `max_history_events` changes."""
        self.clock = clock
        self.revision = 1
        self.items: dict[str, StoredValue] = {}
        self.leases: dict[str, Lease] = {}
        self.history: deque[tuple[int, str, bytes | None]] = deque(
            maxlen=max_history_events
        )
        self.changed = asyncio.Event()
        self.compacted_revision = 0
        self._last_lease_id = 1000

    def put(self, key: str, value: bytes, lease_id: str | None) -> None:
        """Store a value at the next revision."""
        self.revision += 1
        current = self.items.get(key)
        create_revision = current.create_revision if current else self.revision
        self.items[key] = StoredValue(value, create_revision, self.revision, lease_id)
        if lease_id is not None and lease_id in self.leases:
            self.leases[lease_id].keys.add(key)
        self._append_change(key, value)

    def delete(self, key: str) -> None:
        """Remove a key at the next revision; a missing key changes nothing."""
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._append_change(key, None)

    def grant(self, ttl_ms: float) -> str:
        """Create a lease and return its identifier."""
        self._last_lease_id += 1
        lease_id = str(self._last_lease_id)
        self.leases[lease_id] = Lease(ttl_ms, self.clock.now_ms() + ttl_ms, set())
        return lease_id

    def renew(self, lease_id: str) -> float:
        """Renew a lease; return its time to live in ms, 0 if it has ended."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return 0.0
        lease.expires_ms = self.clock.now_ms() + lease.ttl_ms
        return lease.ttl_ms

    def revoke(self, lease_id: str) -> None:
        """End a lease and remove its keys."""
        lease = self.leases.pop(lease_id, None)
        if lease is None:
            return
        for key in sorted(lease.keys):
            stored = self.items.get(key)
            if stored is not None and stored.lease_id == lease_id:
                self.delete(key)

    def expire_leases(self) -> None:
        """Revoke every expired lease."""
        now_ms = self.clock.now_ms()
        expired = [
            each for each, lease in self.leases.items() if lease.expires_ms < now_ms
        ]
        for lease_id in expired:
            self.revoke(lease_id)

    def extend_leases(self) -> None:
        """Restart the time of every lease, as after a restart of etcd."""
        for lease in self.leases.values():
            lease.expires_ms = self.clock.now_ms() + lease.ttl_ms

    def range(self, key: str, end: str | None) -> list[tuple[str, StoredValue]]:
        """Return `key` alone, or the keys from `key` to before `end`, in order."""
        if end is None:
            return [(key, self.items[key])] if key in self.items else []
        keys = [each for each in self.items if key <= each < end]
        return [(each, self.items[each]) for each in sorted(keys)]

    def changes_from(self, revision: int) -> list[tuple[int, str, bytes | None]]:
        """Return the stored changes at or after a revision, oldest first."""
        changes = []
        for change in reversed(self.history):
            if change[0] < revision:
                break
            changes.append(change)
        return changes[::-1]

    def _append_change(self, key: str, value: bytes | None) -> None:
        if len(self.history) == self.history.maxlen:
            self.compacted_revision = self.history[0][0]
        self.history.append((self.revision, key, value))
        self.changed.set()
        self.changed = asyncio.Event()


def _decode_text(encoded: str | None) -> str | None:
    return None if encoded is None else base64.b64decode(encoded).decode()


def _encode_base64(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def _json_response(body: dict) -> web.Response:
    return web.Response(body=orjson.dumps(body), content_type="application/json")


class EtcdGateway:
    """The HTTP interface of one store, with fault injection and call counts."""

    def __init__(self, store: EtcdStore, seed: int) -> None:
        """Serve `store`; `seed` decides which responses are lost."""
        self.store = store
        self.faults = Faults()
        self.random = random.Random(seed)
        self.reads = 0
        self.writes = 0
        self.watch_events = 0
        self.server_state_changes: list[tuple[float, str, str]] = []

    def _header(self) -> dict:
        return {"revision": str(self.store.revision)}

    async def range(self, request: web.Request) -> web.Response:
        """Handle a range request."""
        await self._apply_faults()
        self.reads += 1
        body = orjson.loads(await request.read())
        pairs = self.store.range(
            _decode_text(body["key"]), _decode_text(body.get("range_end"))
        )
        min_revision = int(body.get("min_mod_revision", 0))
        if min_revision:
            pairs = [each for each in pairs if each[1].mod_revision >= min_revision]
        items = [self._kv(key, stored) for key, stored in pairs]
        return _json_response(
            {"header": self._header(), "kvs": items, "count": len(items)}
        )

    async def txn(self, request: web.Request) -> web.Response:
        """Handle a transaction of revision comparisons, puts and deletions.

        Where a comparison fails, its operations are ranges of one key each.
        """
        await self._apply_faults()
        self.writes += 1
        body = orjson.loads(await request.read())
        for compare in body["compare"]:
            current = self.store.items.get(_decode_text(compare["key"]))
            revision = current.mod_revision if current else 0
            if revision != int(compare["mod_revision"]):
                return self._failed_txn(body.get("failure", []))
        for operation in body["success"]:
            if "request_delete_range" in operation:
                key = _decode_text(operation["request_delete_range"]["key"])
                self.store.delete(key)
                continue
            put = operation["request_put"]
            lease_id = put.get("lease")
            if lease_id is not None and lease_id not in self.store.leases:
                return web.Response(status=400, text="lease not found")
            self.store.put(
                _decode_text(put["key"]), base64.b64decode(put["value"]), lease_id
            )
        self._maybe_drop_connection(request)
        return _json_response({"header": self._header(), "succeeded": True})

    def _failed_txn(self, operations: list[dict]) -> web.Response:
        responses = []
        for operation in operations:
            pairs = self.store.range(
                _decode_text(operation["request_range"]["key"]), None
            )
            items = [self._kv(key, stored) for key, stored in pairs]
            responses.append({"response_range": {"kvs": items}})
        return _json_response(
            {"header": self._header(), "succeeded": False, "responses": responses}
        )

    async def grant(self, request: web.Request) -> web.Response:
        """Handle a lease grant."""
        await self._apply_faults()
        self.writes += 1
        ttl_s = int(orjson.loads(await request.read())["TTL"])
        return _json_response(
            {"ID": self.store.grant(ttl_s * 1000.0), "TTL": str(ttl_s)}
        )

    async def keepalive(self, request: web.Request) -> web.Response:
        """Handle a lease renewal."""
        await self._apply_faults()
        self.writes += 1
        lease_id = orjson.loads(await request.read())["ID"]
        ttl_ms = self.store.renew(lease_id)
        return _json_response(
            {"result": {"ID": lease_id, "TTL": str(int(ttl_ms // 1000))}}
        )

    async def revoke(self, request: web.Request) -> web.Response:
        """Handle a lease revocation."""
        await self._apply_faults()
        self.writes += 1
        self.store.revoke(orjson.loads(await request.read())["ID"])
        return _json_response({"header": self._header()})

    async def watch(self, request: web.Request) -> web.StreamResponse:
        """Stream the changes of a range until the client disconnects."""
        await self._apply_faults()
        self.reads += 1
        create = orjson.loads(await request.read())["create_request"]
        start, end = _decode_text(create["key"]), _decode_text(create["range_end"])
        position = int(create["start_revision"])
        response = web.StreamResponse()
        await response.prepare(request)
        await self._send_watch_result(response, {"created": True})
        while request.transport is not None and not request.transport.is_closing():
            changed = self.store.changed
            if self.faults.down:
                if request.transport is not None:
                    request.transport.abort()
                return response
            compacted = self.store.compacted_revision
            if position <= compacted:
                await self._send_watch_result(
                    response, {"compact_revision": str(compacted)}
                )
                return response
            events = [
                self._event(*change)
                for change in self.store.changes_from(position)
                if start <= change[1] < end
            ]
            position = self.store.revision + 1
            if events:
                self.watch_events += len(events)
                try:
                    await self._send_watch_result(response, {"events": events})
                except OSError:
                    return response
            try:
                await asyncio.wait_for(changed.wait(), _WATCH_CHECK_INTERVAL_S)
            except TimeoutError:
                continue
        return response

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replace the injected faults; the end of an outage restarts all leases."""
        was_down = self.faults.down
        self.faults = Faults(**orjson.loads(await request.read()))
        if was_down and not self.faults.down:
            self.store.extend_leases()
        self.store.changed.set()
        self.store.changed = asyncio.Event()
        return _json_response(attrs.asdict(self.faults))

    async def counts(self, _request: web.Request) -> web.Response:
        """Return the numbers of calls, watch events, keys and stored bytes."""
        counts = {
            "reads": self.reads,
            "writes": self.writes,
            "watch_events": self.watch_events,
            "keys": len(self.store.items),
            "bytes": sum(len(item.value) for item in self.store.items.values()),
        }
        return _json_response(counts)

    async def list_servers(self, _request: web.Request) -> web.Response:
        """Return the states of backend servers as of `list_lag_ms` ago."""
        newest_ms = self.store.clock.now_ms() - self.faults.list_lag_ms
        states: dict[str, str] = {}
        for at_ms, name, state in self.server_state_changes:
            if at_ms <= newest_ms:
                states[name] = state
        items = [{"name": name, "state": state} for name, state in states.items()]
        return web.json_response(items)

    async def set_server(self, request: web.Request) -> web.Response:
        """Record the state of a backend server, live or leaving."""
        body = orjson.loads(await request.read())
        now_ms = self.store.clock.now_ms()
        self.server_state_changes.append((now_ms, body["name"], body["state"]))
        return _json_response({})

    async def run_leases(self, _app: web.Application) -> object:
        """Expire leases while the application runs, except during an outage."""

        async def expire() -> None:
            while True:
                await asyncio.sleep(_LEASE_CHECK_INTERVAL_S)
                if not self.faults.down:
                    self.store.expire_leases()

        task = asyncio.create_task(expire())
        yield
        task.cancel()

    async def _apply_faults(self) -> None:
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        if self.faults.down:
            raise web.HTTPServiceUnavailable

    def _maybe_drop_connection(self, request: web.Request) -> None:
        if self.random.random() >= self.faults.lose_answer_share:
            return
        if request.transport is not None:
            request.transport.abort()

    async def _send_watch_result(
        self, response: web.StreamResponse, result: dict
    ) -> None:
        line = {"result": {"header": self._header(), **result}}
        await response.write(orjson.dumps(line) + b"\n")

    @staticmethod
    def _kv(key: str, stored: StoredValue) -> dict:
        return {
            "key": _encode_base64(key.encode()),
            "value": _encode_base64(stored.value),
            "mod_revision": str(stored.mod_revision),
            "create_revision": str(stored.create_revision),
        }

    @staticmethod
    def _event(revision: int, key: str, value: bytes | None) -> dict:
        kv = {"key": _encode_base64(key.encode()), "mod_revision": str(revision)}
        if value is None:
            return {"type": "DELETE", "kv": kv}
        return {"kv": {**kv, "value": _encode_base64(value)}}


def make_kv_app(
    clock: Clock, seed: int = 0, max_history_events: int = _MAX_HISTORY_EVENTS
) -> web.Application:
    """Return an aiohttp application that serves an empty store."""
    server = EtcdGateway(EtcdStore(clock, max_history_events), seed)
    app = web.Application(client_max_size=2 * 1024 * 1024)
    app.router.add_post("/v3/kv/range", server.range)
    app.router.add_post("/v3/kv/txn", server.txn)
    app.router.add_post("/v3/lease/grant", server.grant)
    app.router.add_post("/v3/lease/keepalive", server.keepalive)
    app.router.add_post("/v3/lease/revoke", server.revoke)
    app.router.add_post("/v3/watch", server.watch)
    app.router.add_get("/backend-servers", server.list_servers)
    app.router.add_post("/backend-servers", server.set_server)
    app.router.add_post("/faults", server.set_faults)
    app.router.add_get("/counts", server.counts)
    app.cleanup_ctx.append(server.run_leases)
    return app
