"""Token budgets of programs that hold across hosts, crashes and restarts.

The key-value store has one counter for each program: the tokens granted to hosts. A
host acquires a grant before it spends tokens, and never returns it. Grants of a host
that crashes are lost to the program, and a budget is exceeded by at most one turn.
"""

import asyncio
import secrets
from collections import OrderedDict
from collections.abc import Callable
from urllib.parse import quote

import attrs
import msgpack

from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind
from celerypulley.links.key_value import (
    ConditionFailedError,
    Item,
    KeyValueStore,
    StoreUnavailableError,
    Write,
)

__all__ = ["BUDGET_PREFIX", "BudgetEscrow", "Reservation"]

BUDGET_PREFIX = "budgets/"
# Sizes of grants. A host that crashes loses at most one unused grant: a quarter of the
# budget at the program's coordinator, the output limit of two turns at other hosts.
_GRANTS_PER_BUDGET = 4
_TURNS_PER_GRANT = 2
_MAX_PROGRAMS = 20_000
_RETENTION_MS = 180_000  # three times the longest retention of turns, 60 s
_CAS_ATTEMPTS = 8
# Fifty response times of the store; requesting hosts wait for 0.44 s.
_COORDINATOR_TIMEOUT_S = 0.2
_STORE_RETRY_MS = 500.0  # until a coordinator tries an unavailable store again
_log = DecisionLog("budget")


@attrs.frozen
class _Grant:
    """Tokens granted by one write, `unrecorded` of which were used before it."""

    tokens: int
    unrecorded: int


@attrs.define(eq=False)
class _Pool:
    """The tokens of one program's budget that this host was granted and has used.

    `unrecorded` tokens were used while the store was unavailable; they are added to
    the counter once it is available again. `granted_to_all` is the counter as last
    read. `pending_grants` are those of writes with an unknown outcome, by mark.
    """

    granted: int = 0
    used: int = 0
    unrecorded: int = 0
    granted_to_all: int = 0
    revision: int = 0
    pending_grants: dict[str, _Grant] = attrs.Factory(dict)
    lock: asyncio.Lock = attrs.Factory(asyncio.Lock)

    def available(self) -> int:
        """Return the tokens that this host may still use."""
        return self.granted + self.unrecorded - self.used


@attrs.define(eq=False)
class Reservation:
    """The tokens reserved for one turn in a pool."""

    pool: _Pool

    def release(self, tokens: int) -> None:
        """Return unused tokens to the pool. Call it once."""
        self.pool.used -= tokens


class BudgetEscrow:
    """Grants and reservations of this host, by program.

    `unrecorded_on_other_hosts(key)` returns the tokens that other hosts used without
    the store and have not recorded yet. `may_coordinate()` tells whether this host, as
    coordinator, may reserve tokens without the store. `announce_soon()` is called when
    unrecorded usage has grown. `overcommitted_tokens` counts the tokens by which this
    host raised counters above a budget and one turn.
    """

    def __init__(
        self,
        store: KeyValueStore,
        clock: Clock,
        unrecorded_on_other_hosts: Callable[[str], int] = lambda _key: 0,
        may_coordinate: Callable[[], bool] = lambda: True,
        announce_soon: Callable[[], None] = lambda: None,
    ) -> None:
        """Acquire grants through `store`."""
        self.store = store
        self.clock = clock
        self.unrecorded_on_other_hosts = unrecorded_on_other_hosts
        self.may_coordinate = may_coordinate
        self.announce_soon = announce_soon
        self.overcommitted_tokens = 0
        self._pools: OrderedDict[str, _Pool] = OrderedDict()
        self._unrecorded_keys: set[str] = set()
        self._store_unavailable_until_ms = float("-inf")

    def unrecorded_usage(self) -> dict[str, int]:
        """Return the tokens used without the store and not recorded yet, by key."""
        return {key: self._pools[key].unrecorded for key in self._unrecorded_keys}

    async def reserve(
        self,
        organisation: str,
        program: str,
        budget: int,
        max_tokens: int,
        is_coordinator: bool,
    ) -> Reservation:
        """Reserve `max_tokens` of a program's `budget` for one turn.

        `is_coordinator` tells whether this host coordinates the program; only then
        are tokens reserved without the store. Raise CallRefusedError where the budget
        is exhausted, or its state unreachable.
        """
        key = f"{BUDGET_PREFIX}{quote(organisation, safe='')}/{program}"
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = _Pool()
            self._evict_oldest()
        async with pool.lock:
            if pool.available() < max_tokens:
                await self._acquire_tokens(
                    key, pool, budget, max_tokens, is_coordinator
                )
            pool.used += max_tokens
        return Reservation(pool)

    def _evict_oldest(self) -> None:
        while len(self._pools) > _MAX_PROGRAMS:
            key, _ = self._pools.popitem(last=False)
            self._unrecorded_keys.discard(key)

    async def _acquire_tokens(
        self, key: str, pool: _Pool, budget: int, max_tokens: int, is_coordinator: bool
    ) -> None:
        # The coordinator serves all hosts, so it acquires larger grants.
        wanted = max_tokens * _TURNS_PER_GRANT
        if is_coordinator:
            wanted = max(wanted, budget // _GRANTS_PER_BUDGET)
        reason = "key-value store was unavailable at the last attempt"
        try:
            if (
                not is_coordinator
                or self.clock.now_ms() > self._store_unavailable_until_ms
            ):
                timeout_s = _COORDINATOR_TIMEOUT_S if is_coordinator else None
                async with asyncio.timeout(timeout_s):
                    await self._acquire_grant(key, pool, budget, max_tokens, wanted)
                return
        except StoreUnavailableError as error:
            reason = str(error)
        except TimeoutError:
            reason = "key-value store timed out"
        if not is_coordinator or not self.may_coordinate():
            raise CallRefusedError.of(
                ErrorKind.STATE_UNREACHABLE,
                f"neither coordinator nor key-value store available: {reason}",
            )
        self._store_unavailable_until_ms = self.clock.now_ms() + _STORE_RETRY_MS
        self._acquire_unrecorded(key, pool, budget, max_tokens, reason)

    async def _acquire_grant(
        self, key: str, pool: _Pool, budget: int, max_tokens: int, wanted: int
    ) -> None:
        mark = secrets.token_hex(6)
        for _ in range(_CAS_ATTEMPTS):
            if pool.available() >= max_tokens:
                return
            unrecorded_on_others = self.unrecorded_on_other_hosts(key)
            missing = max_tokens - pool.available()
            unrecorded = pool.unrecorded + unrecorded_on_others
            remaining = budget - pool.granted_to_all - unrecorded
            if remaining <= 0:
                # The counter only grows, so an outdated total is enough to refuse.
                _refuse_exhausted(key, pool, budget, max_tokens)
            grant_tokens = max(missing, min(remaining, wanted))
            total = pool.granted_to_all + grant_tokens + pool.unrecorded
            grant = _Grant(grant_tokens + pool.unrecorded, pool.unrecorded)
            if await self._write_counter(key, pool, mark, grant, total):
                self.overcommitted_tokens += max(0, total - budget - max_tokens)
                _log.write(
                    "granted",
                    "too few tokens left on this host for a turn",
                    program=key,
                    budget=budget,
                    tokens=grant_tokens,
                    unrecorded=grant.unrecorded,
                    unrecorded_on_other_hosts=unrecorded_on_others,
                    granted_to_all=total,
                    max_tokens=max_tokens,
                )
                return
        raise CallRefusedError.of(
            ErrorKind.OVERLOADED, "too many concurrent updates of the budget's counter"
        )

    async def _write_counter(
        self, key: str, pool: _Pool, mark: str, grant: _Grant, total: int
    ) -> bool:
        """Raise the counter to `total`; return False if it has changed meanwhile.

        `grant` is credited to this host once the write is known to be done, even if
        only a later read or write shows that.
        """
        value = msgpack.packb((total, mark, self.clock.wall_ms() + _RETENTION_MS))
        pool.pending_grants[mark] = grant
        try:
            revision = await self.store.write(
                [Write(key, value, expected_revision=pool.revision)]
            )
        except ConditionFailedError as error:
            return self._apply_counter(key, error.items.get(key), mark, pool)
        except StoreUnavailableError as error:
            if not error.may_have_run:
                del pool.pending_grants[mark]
                raise
            return self._apply_counter(key, await self.store.read(key), mark, pool)
        pool.revision = revision
        pool.granted_to_all = total
        self._credit_grant(key, mark, pool)
        return True

    def _credit_grant(self, key: str, mark: str, pool: _Pool) -> None:
        grant = pool.pending_grants.pop(mark)
        pool.granted += grant.tokens
        pool.unrecorded -= grant.unrecorded
        if not pool.unrecorded:
            self._unrecorded_keys.discard(key)

    def _apply_counter(
        self, key: str, item: Item | None, mark: str, pool: _Pool
    ) -> bool:
        """Apply the stored counter; return whether the write `mark` was the last."""
        if item is None or item.value is None:
            pool.revision = 0
            pool.granted_to_all = 0
            return False
        total, last_mark, _ = msgpack.unpackb(item.value)
        pool.revision = item.revision
        pool.granted_to_all = total
        if last_mark in pool.pending_grants:
            self._credit_grant(key, last_mark, pool)
        return last_mark == mark

    def _acquire_unrecorded(
        self, key: str, pool: _Pool, budget: int, max_tokens: int, reason: str
    ) -> None:
        """Grant tokens without the store, up to the budget as known to this host."""
        missing = max_tokens - pool.available()
        unrecorded_on_others = self.unrecorded_on_other_hosts(key)
        known_total = pool.granted_to_all + pool.unrecorded + unrecorded_on_others
        if known_total >= budget:
            _refuse_exhausted(key, pool, budget, max_tokens)
        pool.unrecorded += missing
        self._unrecorded_keys.add(key)
        self.announce_soon()
        _log.write(
            "granted without the store",
            reason,
            program=key,
            budget=budget,
            tokens=missing,
            unrecorded=pool.unrecorded,
            unrecorded_on_other_hosts=unrecorded_on_others,
            granted_to_all=pool.granted_to_all,
            max_tokens=max_tokens,
        )

    async def record_usage(self) -> None:
        """Add unrecorded usage to the counters; raise StoreUnavailableError."""
        for key in list(self._unrecorded_keys):
            pool = self._pools[key]
            try:
                # Turns wait for the lock, so a slow store must not delay them.
                async with pool.lock, asyncio.timeout(_COORDINATOR_TIMEOUT_S):
                    await self._record_pool_usage(key, pool)
            except TimeoutError as error:
                raise StoreUnavailableError("key-value store timed out") from error

    async def _record_pool_usage(self, key: str, pool: _Pool) -> None:
        mark = secrets.token_hex(6)
        for _ in range(_CAS_ATTEMPTS):
            if not pool.unrecorded:
                self._unrecorded_keys.discard(key)
                return
            total = pool.granted_to_all + pool.unrecorded
            grant = _Grant(pool.unrecorded, pool.unrecorded)
            if await self._write_counter(key, pool, mark, grant, total):
                return


def _refuse_exhausted(key: str, pool: _Pool, budget: int, max_tokens: int) -> None:
    _log.write(
        "exhausted",
        "all tokens of the budget are granted",
        program=key,
        budget=budget,
        granted_to_all=pool.granted_to_all,
        available=pool.available(),
        max_tokens=max_tokens,
    )
    raise CallRefusedError.of(
        ErrorKind.BUDGET_EXHAUSTED, f"the budget of {budget} tokens is exhausted"
    )
