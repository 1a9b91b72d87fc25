"""Token budgets of programs, held across hosts, kills and restarts.

One counter a program in the key-value service says how much of the budget hosts
have taken. A host takes a part before it spends it and never gives it back, so a
host that dies loses what it had taken, and the budget is never exceeded by more
than one turn.
"""

import asyncio
import secrets
from collections import OrderedDict
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
_log = DecisionLog("budget")


@attrs.define(eq=False)
class _Pool:
    """What this host has taken of one program's budget, and used of that.

    `unsecured` tokens were used while the service was away; they are added to the
    counter when it is back. `taken_by_all` is the counter as last seen.
    """

    taken: int = 0
    used: int = 0
    unsecured: int = 0
    taken_by_all: int = 0
    revision: int = 0
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
    """Pools by program."""

    def __init__(self, store: KeyValueStore, clock: Clock) -> None:
        """Take parts of budgets through `store`."""
        self.store = store
        self.clock = clock
        self._pools: OrderedDict[str, _Pool] = OrderedDict()
        self._owing: set[str] = set()

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
            while len(self._pools) > _PROGRAMS_KEPT:
                self._pools.popitem(last=False)
        async with pool.lock:
            if pool.available() < most:
                await self._take_more(key, pool, budget, most, is_home)
            pool.used += most
        return Reservation(pool)

    async def _take_more(
        self, key: str, pool: _Pool, budget: int, most: int, is_home: bool
    ) -> None:
        # The home serves all hosts, so it takes more at a time.
        wanted = most * _PART_TURNS
        if is_home:
            wanted = max(wanted, budget // _HOME_PARTS)
        try:
            await self._take_part(key, pool, budget, most, wanted)
        except StoreUnavailableError as error:
            if not is_home:
                raise CallRefusedError.of(
                    ErrorKind.STATE_UNREACHABLE, f"neither home nor store: {error}"
                ) from error
            self._take_unsecured(key, pool, budget, most, str(error))

    async def _take_part(
        self, key: str, pool: _Pool, budget: int, most: int, wanted: int
    ) -> None:
        mark = secrets.token_hex(6)
        for _ in range(_CAS_TRIES):
            missing = most - pool.available()
            left = budget - pool.taken_by_all
            if pool.revision and left <= 0:
                # The counter only grows, so an old view of a spent one holds.
                _refuse(key, pool, budget, most)
            part = max(missing, min(left, wanted)) + pool.unsecured
            total = pool.taken_by_all + part
            value = msgpack.packb((total, mark, self.clock.wall_ms() + _KEEP_MS))
            try:
                pool.revision = await self.store.write(
                    [Write(key, value, expected=pool.revision)]
                )
            except ConditionFailedError as error:
                if self._was_mine(error.items.get(key), mark, pool):
                    self._note_taken(pool, part, total)
                    return
                continue
            except StoreUnavailableError as error:
                if not error.may_have_run:
                    raise
                if not await self._did_run(key, mark, pool):
                    continue
            self._note_taken(pool, part, total)
            _log.write(
                "taken",
                "too little left here for a turn",
                program=key,
                budget=budget,
                part=part,
                taken_by_all=total,
                most=most,
            )
            return
        raise CallRefusedError.of(
            ErrorKind.OVERLOADED, "the budget's counter changes too often"
        )

    def _note_taken(self, pool: _Pool, part: int, total: int) -> None:
        pool.taken += part
        pool.unsecured = 0
        pool.taken_by_all = total

    def _was_mine(self, item: Item | None, mark: str, pool: _Pool) -> bool:
        """Take the counter in; return whether this host's own write stands there."""
        if item is None or item.value is None:
            pool.revision = 0
            pool.taken_by_all = 0
            return False
        total, last_mark, _ = msgpack.unpackb(item.value)
        pool.revision = item.revision
        pool.taken_by_all = total
        return last_mark == mark

    async def _did_run(self, key: str, mark: str, pool: _Pool) -> bool:
        return self._was_mine(await self.store.read(key), mark, pool)

    def _take_unsecured(
        self, key: str, pool: _Pool, budget: int, most: int, reason: str
    ) -> None:
        """Go on without the service up to the budget, as far as this host knows it."""
        missing = most - pool.available()
        if pool.taken_by_all + pool.unsecured >= budget:
            _refuse(key, pool, budget, most)
        pool.unsecured += missing
        self._owing.add(key)
        _log.write("unsecured", reason, program=key, tokens=missing)

    async def secure(self) -> None:
        """Add to the counters what was used without the service."""
        for key in list(self._owing):
            pool = self._pools.get(key)
            if pool is None or not pool.unsecured:
                self._owing.discard(key)
                continue
            async with pool.lock:
                await self._secure_one(key, pool)

    async def _secure_one(self, key: str, pool: _Pool) -> None:
        mark = secrets.token_hex(6)
        for _ in range(_CAS_TRIES):
            part = pool.unsecured
            total = pool.taken_by_all + part
            value = msgpack.packb((total, mark, self.clock.wall_ms() + _KEEP_MS))
            try:
                pool.revision = await self.store.write(
                    [Write(key, value, expected=pool.revision)]
                )
            except ConditionFailedError as error:
                if not self._was_mine(error.items.get(key), mark, pool):
                    continue
            except StoreUnavailableError as error:
                if not error.may_have_run or not await self._did_run(key, mark, pool):
                    raise
            self._note_taken(pool, part, total)
            self._owing.discard(key)
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
