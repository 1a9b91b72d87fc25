"""Token budgets of programs that hold across hosts, crashes and restarts.

The key-value store has one counter for each program: the tokens granted to hosts. A
host spends only tokens that the counter shows as granted to it, and never returns
them. So a budget is exceeded by at most one turn, whichever hosts, processes and links
fail. Grants of a host that crashes are lost to the program, and without the store a
host spends what it was granted before.
"""

import asyncio
import secrets
from collections import OrderedDict
from urllib.parse import quote

import attrs
import msgpack

from celerypulley.clock import NEVER_MS, Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind, Refusal
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
# budget, or the output limit of two turns.
_GRANTS_PER_BUDGET = 4
_TURNS_PER_GRANT = 2
_MAX_PROGRAMS = 20_000
_RETENTION_MS = 180_000  # three times the longest retention of turns, 60 s
_CAS_ATTEMPTS = 8
_STORE_TIMEOUT_S = 0.6  # requesting hosts wait for 0.8 s
_STORE_RETRY_MS = 500.0  # until an unavailable store is tried again
_CALLER_RETRY_S = 1.0  # outages of the store last for seconds
_log = DecisionLog("budget")


@attrs.define(eq=False)
class _Pool:
    """The tokens of one program's budget that this host was granted and has used.

    `granted_to_all` is the counter as last read. `pending_grants` are the tokens of
    writes with an unknown outcome, by mark.
    """

    granted: int = 0
    used: int = 0
    granted_to_all: int = 0
    revision: int = 0
    pending_grants: dict[str, int] = attrs.Factory(dict)
    lock: asyncio.Lock = attrs.Factory(asyncio.Lock)

    def available(self) -> int:
        """Return the tokens that this host may still use."""
        return self.granted - self.used


@attrs.define(eq=False)
class Reservation:
    """The tokens reserved for one turn in a pool."""

    pool: _Pool

    def release(self, tokens: int) -> None:
        """Return unused tokens to the pool. Call it once."""
        self.pool.used -= tokens


class BudgetEscrow:
    """Grants and reservations of this host, by program.

    `overcommitted_tokens` counts the tokens by which this host raised counters above a
    budget and one turn.
    """

    def __init__(self, store: KeyValueStore, clock: Clock) -> None:
        """Acquire grants through `store`."""
        self.store = store
        self.clock = clock
        self.overcommitted_tokens = 0
        self._pools: OrderedDict[str, _Pool] = OrderedDict()
        self._is_store_unavailable = False
        self._next_attempt_ms = NEVER_MS

    async def reserve(
        self, organisation: str, program: str, budget: int, max_tokens: int
    ) -> Reservation:
        """Reserve `max_tokens` of a program's `budget` for one turn.

        Raise CallRefusedError where the budget is exhausted, or where this host has
        too few tokens left and the store is unavailable.
        """
        key = f"{BUDGET_PREFIX}{quote(organisation, safe='')}/{program}"
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = _Pool()
            self._evict_oldest()
        async with pool.lock:
            if pool.available() < max_tokens:
                await self._acquire_tokens(key, pool, budget, max_tokens)
            pool.used += max_tokens
        return Reservation(pool)

    def _evict_oldest(self) -> None:
        while len(self._pools) > _MAX_PROGRAMS:
            self._pools.popitem(last=False)

    async def _acquire_tokens(
        self, key: str, pool: _Pool, budget: int, max_tokens: int
    ) -> None:
        if self._is_store_unavailable:
            now_ms = self.clock.now_ms()
            if now_ms < self._next_attempt_ms:
                raise _store_unavailable("it was unavailable at the last attempt")
            self._next_attempt_ms = now_ms + _STORE_RETRY_MS
        try:
            async with asyncio.timeout(_STORE_TIMEOUT_S):
                await self._acquire_grant(key, pool, budget, max_tokens)
        except (StoreUnavailableError, TimeoutError) as error:
            self._is_store_unavailable = True
            self._next_attempt_ms = self.clock.now_ms() + _STORE_RETRY_MS
            _log.write(
                "not granted",
                f"key-value store unavailable: {error!r}",
                program=key,
                budget=budget,
                granted_to_all=pool.granted_to_all,
                available=pool.available(),
                max_tokens=max_tokens,
            )
            raise _store_unavailable(repr(error)) from error
        self._is_store_unavailable = False

    async def _acquire_grant(
        self, key: str, pool: _Pool, budget: int, max_tokens: int
    ) -> None:
        wanted = max(max_tokens * _TURNS_PER_GRANT, budget // _GRANTS_PER_BUDGET)
        mark = secrets.token_hex(6)
        for _ in range(_CAS_ATTEMPTS):
            missing = max_tokens - pool.available()
            if missing <= 0:
                return
            remaining = budget - pool.granted_to_all
            if remaining <= 0:
                # The counter only grows, so an outdated total is enough to refuse.
                _refuse_exhausted(key, pool, budget, max_tokens)
            tokens = max(missing, min(remaining, wanted))
            total = pool.granted_to_all + tokens
            if await self._write_counter(key, pool, mark, tokens, total):
                self.overcommitted_tokens += max(0, total - budget - max_tokens)
                _log.write(
                    "granted",
                    "too few tokens left on this host for a turn",
                    program=key,
                    budget=budget,
                    tokens=tokens,
                    granted_to_all=total,
                    max_tokens=max_tokens,
                )
                return
        raise CallRefusedError.of(
            ErrorKind.OVERLOADED, "too many concurrent updates of the budget's counter"
        )

    async def _write_counter(
        self, key: str, pool: _Pool, mark: str, tokens: int, total: int
    ) -> bool:
        """Raise the counter to `total`; return False if it has changed meanwhile.

        `tokens` are credited to this host once the write is known to be done, even if
        only a later read or write shows that.
        """
        value = msgpack.packb((total, mark, self.clock.wall_ms() + _RETENTION_MS))
        pool.pending_grants[mark] = tokens
        try:
            revision = await self.store.write(
                [Write(key, value, expected_revision=pool.revision)]
            )
        except ConditionFailedError as error:
            return _apply_counter(error.items.get(key), mark, pool)
        except StoreUnavailableError as error:
            if not error.may_have_run:
                del pool.pending_grants[mark]
                raise
            return _apply_counter(await self.store.read(key), mark, pool)
        pool.revision = revision
        pool.granted_to_all = total
        pool.granted += pool.pending_grants.pop(mark)
        return True


def _apply_counter(item: Item | None, mark: str, pool: _Pool) -> bool:
    """Apply the stored counter; return whether the write `mark` was the last."""
    if item is None or item.value is None:
        pool.revision = 0
        pool.granted_to_all = 0
        return False
    total, last_mark, _ = msgpack.unpackb(item.value)
    pool.revision = item.revision
    pool.granted_to_all = total
    pool.granted += pool.pending_grants.pop(last_mark, 0)
    return last_mark == mark


def _store_unavailable(detail: str) -> CallRefusedError:
    return CallRefusedError(
        Refusal(
            ErrorKind.STATE_UNREACHABLE,
            f"no tokens granted, key-value store unavailable: {detail}",
            retry_after_s=_CALLER_RETRY_S,
        )
    )


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
