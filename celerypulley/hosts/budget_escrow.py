"""Token budgets of programs, held across hosts, kills and restarts.

One counter a program in the key-value service says how much of the budget hosts
have taken. A host takes a part before it spends it and never gives it back, so a
host that dies loses what it had taken, and the budget is never exceeded by more
than one turn.
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
# What a dead host had taken is lost to its program: at most a quarter of a budget
# at the program's home, and two turns' most at other hosts.
_GRANTS_PER_BUDGET = 4
_TURNS_PER_GRANT = 2
_MAX_PROGRAMS = 20_000
_RETENTION_MS = 180_000  # three times the longest time that turns are kept, 60 s
_CAS_ATTEMPTS = 8
_COORDINATOR_TIMEOUT_S = 0.2  # fifty answers' time; askers wait for 0.44 s
_STORE_RETRY_MS = 500.0  # then a home tries the service again
_log = DecisionLog("budget")


@attrs.frozen
class _Grant:
    """Tokens that one write takes, `unsecured` of them for what was used before."""

    tokens: int
    unrecorded: int


@attrs.define(eq=False)
class _Pool:
    """What this host has taken of one program's budget, and used of that.

    `unsecured` tokens were used while the service was away; they are added to the
    counter when it is back. `taken_by_all` is the counter as last seen, `pending`
    the parts of writes whose outcome is not known, by their marks.
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
    """The most that one turn may generate, taken from a pool."""

    pool: _Pool

    def release(self, tokens: int) -> None:
        """Return to the pool what the turn did not use; it is called once."""
        self.pool.used -= tokens


class BudgetEscrow:
    """Pools by program.

    `unsecured_elsewhere(key)` returns what other hosts used without the service and
    did not add yet; `may_lead()` says whether this host, as the home of a program,
    may go on without the service.
    """

    def __init__(
        self,
        store: KeyValueStore,
        clock: Clock,
        unrecorded_on_other_hosts: Callable[[str], int] = lambda _key: 0,
        may_coordinate: Callable[[], bool] = lambda: True,
        announce_soon: Callable[[], None] = lambda: None,
    ) -> None:
        """Take parts of budgets through `store`."""
        self.store = store
        self.clock = clock
        self.unrecorded_on_other_hosts = unrecorded_on_other_hosts
        self.may_coordinate = may_coordinate
        self.announce_soon = announce_soon
        self._pools: OrderedDict[str, _Pool] = OrderedDict()
        self._unrecorded_keys: set[str] = set()
        self._store_unavailable_until_ms = float("-inf")

    def unrecorded_usage(self) -> dict[str, int]:
        """Return what was used without the service and is not added yet, by key."""
        return {key: self._pools[key].unrecorded for key in self._unrecorded_keys}

    async def reserve(
        self,
        organisation: str,
        program: str,
        budget: int,
        max_tokens: int,
        is_coordinator: bool,
    ) -> Reservation:
        """Reserve one turn's most; raise CallRefusedError where the budget is spent.

        Only the program's home, where `is_home` says so, goes on without the store.
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
        # The home serves all hosts, so it takes more at a time.
        wanted = max_tokens * _TURNS_PER_GRANT
        if is_coordinator:
            wanted = max(wanted, budget // _GRANTS_PER_BUDGET)
        reason = "the service was away a moment ago"
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
            reason = "the service was slow"
        if not is_coordinator or not self.may_coordinate():
            raise CallRefusedError.of(
                ErrorKind.STATE_UNREACHABLE, f"neither home nor store: {reason}"
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
            unrecorded_elsewhere = self.unrecorded_on_other_hosts(key)
            missing = max_tokens - pool.available()
            remaining = budget - pool.granted_to_all - unrecorded_elsewhere
            if pool.revision and remaining <= 0:
                # The counter only grows, so an old view of a spent one holds.
                _refuse_exhausted(key, pool, budget, max_tokens)
            grant_tokens = max(missing, min(remaining, wanted))
            total = pool.granted_to_all + grant_tokens + pool.unrecorded
            grant = _Grant(grant_tokens + pool.unrecorded, pool.unrecorded)
            if await self._write_counter(key, pool, mark, grant, total):
                _log.write(
                    "taken",
                    "too little left here for a turn",
                    program=key,
                    budget=budget,
                    tokens=grant_tokens,
                    unsecured=pool.unrecorded,
                    elsewhere=unrecorded_elsewhere,
                    taken_by_all=total,
                    most=max_tokens,
                )
                return
        raise CallRefusedError.of(
            ErrorKind.OVERLOADED, "the budget's counter changes too often"
        )

    async def _write_counter(
        self, key: str, pool: _Pool, mark: str, grant: _Grant, total: int
    ) -> bool:
        """Raise the counter to `total`; return False where it was another.

        `part` is credited to this host, also where the write turns out later to
        have been done.
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
        """Take the counter in; return whether the write `mark` stands there."""
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
        """Go on without the service up to the budget, as far as this host knows it."""
        missing = max_tokens - pool.available()
        known_total = (
            pool.granted_to_all + pool.unrecorded + self.unrecorded_on_other_hosts(key)
        )
        if known_total >= budget:
            _refuse_exhausted(key, pool, budget, max_tokens)
        pool.unrecorded += missing
        self._unrecorded_keys.add(key)
        self.announce_soon()
        _log.write("unsecured", reason, program=key, tokens=missing)

    async def record_usage(self) -> None:
        """Add to the counters what was used without the service."""
        for key in list(self._unrecorded_keys):
            pool = self._pools[key]
            try:
                # Turns wait for the lock: a slow store must not hold them up.
                async with pool.lock, asyncio.timeout(_COORDINATOR_TIMEOUT_S):
                    await self._record_pool_usage(key, pool)
            except TimeoutError as error:
                raise StoreUnavailableError("the service was slow") from error

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
        "spent",
        "the counter has reached the budget",
        program=key,
        budget=budget,
        taken_by_all=pool.granted_to_all,
        available=pool.available(),
        most=max_tokens,
    )
    raise CallRefusedError.of(
        ErrorKind.BUDGET_EXHAUSTED, f"the budget of {budget} tokens is spent"
    )
