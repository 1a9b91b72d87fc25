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
_HOME_PARTS = 4
_PART_TURNS = 2
_PROGRAMS_KEPT = 20_000
_KEEP_MS = 180_000  # three times the longest time that turns are kept, 60 s
_CAS_TRIES = 8
_HOME_WAIT_S = 0.2  # fifty answers' time; askers wait for 0.44 s
_AWAY_MS = 500.0  # then a home tries the service again
_log = DecisionLog("budget")


@attrs.frozen
class _Part:
    """Tokens that one write takes, `unsecured` of them for what was used before."""

    tokens: int
    unsecured: int


@attrs.define(eq=False)
class _Pool:
    """What this host has taken of one program's budget, and used of that.

    `unsecured` tokens were used while the service was away; they are added to the
    counter when it is back. `taken_by_all` is the counter as last seen, `pending`
    the parts of writes whose outcome is not known, by their marks.
    """

    taken: int = 0
    used: int = 0
    unsecured: int = 0
    taken_by_all: int = 0
    revision: int = 0
    pending: dict[str, _Part] = attrs.Factory(dict)
    lock: asyncio.Lock = attrs.Factory(asyncio.Lock)

    def available(self) -> int:
        """Return the tokens that this host may still use."""
        return self.taken + self.unsecured - self.used


@attrs.define(eq=False)
class Reservation:
    """The most that one turn may generate, taken from a pool."""

    pool: _Pool

    def give_back(self, tokens: int) -> None:
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
        unsecured_elsewhere: Callable[[str], int] = lambda _key: 0,
        may_lead: Callable[[], bool] = lambda: True,
        tell_soon: Callable[[], None] = lambda: None,
    ) -> None:
        """Take parts of budgets through `store`."""
        self.store = store
        self.clock = clock
        self.unsecured_elsewhere = unsecured_elsewhere
        self.may_lead = may_lead
        self.tell_soon = tell_soon
        self._pools: OrderedDict[str, _Pool] = OrderedDict()
        self._owing: set[str] = set()
        self._away_until_ms = float("-inf")

    def unsecured(self) -> dict[str, int]:
        """Return what was used without the service and is not added yet, by key."""
        return {key: self._pools[key].unsecured for key in self._owing}

    async def reserve(
        self, organisation: str, program: str, budget: int, most: int, is_home: bool
    ) -> Reservation:
        """Reserve one turn's most; raise CallRefusedError where the budget is spent.

        Only the program's home, where `is_home` says so, goes on without the store.
        """
        key = f"{BUDGET_PREFIX}{quote(organisation, safe='')}/{program}"
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = _Pool()
            self._forget_oldest()
        async with pool.lock:
            if pool.available() < most:
                await self._take_more(key, pool, budget, most, is_home)
            pool.used += most
        return Reservation(pool)

    def _forget_oldest(self) -> None:
        while len(self._pools) > _PROGRAMS_KEPT:
            key, _ = self._pools.popitem(last=False)
            self._owing.discard(key)

    async def _take_more(
        self, key: str, pool: _Pool, budget: int, most: int, is_home: bool
    ) -> None:
        # The home serves all hosts, so it takes more at a time.
        wanted = most * _PART_TURNS
        if is_home:
            wanted = max(wanted, budget // _HOME_PARTS)
        reason = "the service was away a moment ago"
        try:
            if not is_home or self.clock.now_ms() > self._away_until_ms:
                limit_s = _HOME_WAIT_S if is_home else None
                async with asyncio.timeout(limit_s):
                    await self._take_part(key, pool, budget, most, wanted)
                return
        except StoreUnavailableError as error:
            reason = str(error)
        except TimeoutError:
            reason = "the service was slow"
        if not is_home or not self.may_lead():
            raise CallRefusedError.of(
                ErrorKind.STATE_UNREACHABLE, f"neither home nor store: {reason}"
            )
        self._away_until_ms = self.clock.now_ms() + _AWAY_MS
        self._take_unsecured(key, pool, budget, most, reason)

    async def _take_part(
        self, key: str, pool: _Pool, budget: int, most: int, wanted: int
    ) -> None:
        mark = secrets.token_hex(6)
        for _ in range(_CAS_TRIES):
            if pool.available() >= most:
                return
            elsewhere = self.unsecured_elsewhere(key)
            missing = most - pool.available()
            left = budget - pool.taken_by_all - elsewhere
            if pool.revision and left <= 0:
                # The counter only grows, so an old view of a spent one holds.
                _refuse(key, pool, budget, most)
            part = max(missing, min(left, wanted))
            total = pool.taken_by_all + part + pool.unsecured
            taken = _Part(part + pool.unsecured, pool.unsecured)
            if await self._write(key, pool, mark, taken, total):
                _log.write(
                    "taken",
                    "too little left here for a turn",
                    program=key,
                    budget=budget,
                    tokens=part,
                    unsecured=pool.unsecured,
                    elsewhere=elsewhere,
                    taken_by_all=total,
                    most=most,
                )
                return
        raise CallRefusedError.of(
            ErrorKind.OVERLOADED, "the budget's counter changes too often"
        )

    async def _write(
        self, key: str, pool: _Pool, mark: str, part: _Part, total: int
    ) -> bool:
        """Raise the counter to `total`; return False where it was another.

        `part` is credited to this host, also where the write turns out later to
        have been done.
        """
        value = msgpack.packb((total, mark, self.clock.wall_ms() + _KEEP_MS))
        pool.pending[mark] = part
        try:
            revision = await self.store.write(
                [Write(key, value, expected=pool.revision)]
            )
        except ConditionFailedError as error:
            return self._take_in(key, error.items.get(key), mark, pool)
        except StoreUnavailableError as error:
            if not error.may_have_run:
                del pool.pending[mark]
                raise
            return self._take_in(key, await self.store.read(key), mark, pool)
        pool.revision = revision
        pool.taken_by_all = total
        self._credit(key, mark, pool)
        return True

    def _credit(self, key: str, mark: str, pool: _Pool) -> None:
        part = pool.pending.pop(mark)
        pool.taken += part.tokens
        pool.unsecured -= part.unsecured
        if not pool.unsecured:
            self._owing.discard(key)

    def _take_in(self, key: str, item: Item | None, mark: str, pool: _Pool) -> bool:
        """Take the counter in; return whether the write `mark` stands there."""
        if item is None or item.value is None:
            pool.revision = 0
            pool.taken_by_all = 0
            return False
        total, last_mark, _ = msgpack.unpackb(item.value)
        pool.revision = item.revision
        pool.taken_by_all = total
        if last_mark in pool.pending:
            self._credit(key, last_mark, pool)
        return last_mark == mark

    def _take_unsecured(
        self, key: str, pool: _Pool, budget: int, most: int, reason: str
    ) -> None:
        """Go on without the service up to the budget, as far as this host knows it."""
        missing = most - pool.available()
        known = pool.taken_by_all + pool.unsecured + self.unsecured_elsewhere(key)
        if known >= budget:
            _refuse(key, pool, budget, most)
        pool.unsecured += missing
        self._owing.add(key)
        self.tell_soon()
        _log.write("unsecured", reason, program=key, tokens=missing)

    async def secure(self) -> None:
        """Add to the counters what was used without the service."""
        for key in list(self._owing):
            pool = self._pools[key]
            try:
                # Turns wait for the lock: a slow store must not hold them up.
                async with pool.lock, asyncio.timeout(_HOME_WAIT_S):
                    await self._secure_one(key, pool)
            except TimeoutError as error:
                raise StoreUnavailableError("the service was slow") from error

    async def _secure_one(self, key: str, pool: _Pool) -> None:
        mark = secrets.token_hex(6)
        for _ in range(_CAS_TRIES):
            if not pool.unsecured:
                self._owing.discard(key)
                return
            total = pool.taken_by_all + pool.unsecured
            taken = _Part(pool.unsecured, pool.unsecured)
            if await self._write(key, pool, mark, taken, total):
                return


def _refuse(key: str, pool: _Pool, budget: int, most: int) -> None:
    _log.write(
        "spent",
        "the counter has reached the budget",
        program=key,
        budget=budget,
        taken_by_all=pool.taken_by_all,
        available=pool.available(),
        most=most,
    )
    raise CallRefusedError.of(
        ErrorKind.BUDGET_EXHAUSTED, f"the budget of {budget} tokens is spent"
    )
