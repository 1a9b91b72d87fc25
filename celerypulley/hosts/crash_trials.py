"""Trial runs of requests that are refused since servers ended while they ran.

Servers that end together, as in a failure domain, may all have run a common request,
and no run clears it while all are refused. So it runs again a few times, once at a
time in the whole fleet: the key of each trial run in the key-value store belongs to the
host that created it.
"""

import asyncio
import math
import secrets

import attrs

from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, Refusal
from celerypulley.fleet.crash_counts import MARK_LIFE_MS, CrashCounts
from celerypulley.links.key_value import (
    ConditionFailedError,
    KeyValueStore,
    LeaseExpiredError,
    StoreUnavailableError,
    Write,
)

__all__ = ["TRIAL_PREFIX", "CrashTrials"]

TRIAL_PREFIX = "crash-trials/"
# Servers that ended are back after some seconds. Once a trial run has ended one more,
# the request is likely to be the cause.
_TRIAL_DELAYS_MS = (5_000.0, 60_000.0)
_RETRY_MS = 1_000.0
_TOKEN_BYTES = 6
_log = DecisionLog("strikes")


@attrs.define(eq=False)
class _Trials:
    """The trial runs of one request: how many were claimed, when the next is due."""

    due_ms: float
    claimed: int = 0
    is_claiming: bool = False
    own_keys: list[str] = attrs.Factory(list)


class CrashTrials:
    """Refuse requests that crashed too many servers, except for their trial runs.

    Requests of a group that is refused share its trial runs.
    """

    def __init__(
        self,
        store: KeyValueStore,
        crash_counts: CrashCounts,
        clock: Clock,
        prefix: str = TRIAL_PREFIX,
    ) -> None:
        """Claim trial runs of requests that `crash_counts` refuses.

        The keys in `store` begin with `prefix`.
        """
        self.store = store
        self.crash_counts = crash_counts
        self.clock = clock
        self.prefix = prefix
        self.delays_ms = _TRIAL_DELAYS_MS
        self._trials: dict[str, _Trials] = {}
        self._tasks: set[asyncio.Task] = set()
        self._token = secrets.token_hex(_TOKEN_BYTES).encode()
        crash_counts.on_change.append(self._on_change)

    def _on_change(self, fingerprint: str) -> None:
        if self.crash_counts.find_refused(fingerprint) == fingerprint:
            due_ms = self.clock.now_ms() + self.delays_ms[0]
            self._trials.setdefault(fingerprint, _Trials(due_ms))
            return
        trials = self._trials.pop(fingerprint, None)
        if trials is not None and trials.own_keys:
            self._delete(trials.own_keys)

    def check(self, fingerprint: str) -> None:
        """Raise CallRefusedError unless the request may run, or have a trial run."""
        refusal = self.find_refusal(fingerprint)
        if refusal is not None and not self._is_due(fingerprint):
            raise CallRefusedError(refusal)

    def find_refusal(self, fingerprint: str) -> Refusal | None:
        """Return the refusal of a request, with the time until its next trial run."""
        refusal = self.crash_counts.find_refusal(fingerprint)
        trials = self._trials_of(fingerprint)
        if refusal is None or trials is None or self._is_used_up(trials):
            return refusal
        wait_ms = max(_RETRY_MS, trials.due_ms - self.clock.now_ms())
        return attrs.evolve(refusal, retry_after_s=math.ceil(wait_ms / 1000))

    def _trials_of(self, fingerprint: str) -> _Trials | None:
        refused = self.crash_counts.find_refused(fingerprint)
        return None if refused is None else self._trials.get(refused)

    def _is_due(self, fingerprint: str) -> bool:
        trials = self._trials_of(fingerprint)
        if trials is None or trials.is_claiming or self._is_used_up(trials):
            return False
        return self.clock.now_ms() >= trials.due_ms

    def _is_used_up(self, trials: _Trials) -> bool:
        return trials.claimed >= len(self.delays_ms)

    async def claim(self, fingerprint: str) -> bool:
        """Return whether the caller may run a refused request on one server.

        A trial run that no server has run is to be given back.
        """
        refused = self.crash_counts.find_refused(fingerprint)
        if refused is None or not self._is_due(refused):
            return False
        trials = self._trials[refused]
        trials.is_claiming = True
        try:
            is_own = await self._create_key(refused, trials)
        except (StoreUnavailableError, LeaseExpiredError) as error:
            trials.due_ms = self.clock.now_ms() + _RETRY_MS
            _log.write("trial run not claimed", str(error), fingerprint=refused)
            return False
        finally:
            trials.is_claiming = False
        trials.claimed += 1
        if not self._is_used_up(trials):
            delay_ms = self.delays_ms[trials.claimed]
            trials.due_ms = self.clock.now_ms() + delay_ms
        if not is_own:
            return False
        _log.write(
            "trial run",
            "servers may have ended for another reason",
            fingerprint=fingerprint,
            crashes=self.crash_counts.count(refused),
            number=trials.claimed,
        )
        return True

    async def _create_key(self, fingerprint: str, trials: _Trials) -> bool:
        """Return whether this host has created the key of the next trial run."""
        key = f"{self.prefix}{fingerprint}/{trials.claimed + 1}"
        lease = await self.store.grant_lease(MARK_LIFE_MS)
        try:
            await self.store.write([Write(key, self._token, 0, lease)])
        except ConditionFailedError as error:
            item = error.items.get(key)
            # The response to this host's former attempt may have been lost.
            if item is None or item.value != self._token:
                return False
        if key in trials.own_keys:
            return False
        trials.own_keys.append(key)
        return True

    def give_back(self, fingerprint: str) -> None:
        """Return a trial run that no server has run."""
        trials = self._trials_of(fingerprint)
        if trials is None or not trials.own_keys:
            return
        trials.claimed -= 1
        trials.due_ms = self.clock.now_ms() + _RETRY_MS
        self._delete([trials.own_keys.pop()])
        _log.write("trial run given back", "it was not run", fingerprint=fingerprint)

    def _delete(self, keys: list[str]) -> None:
        task = asyncio.create_task(self._delete_keys(keys))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _delete_keys(self, keys: list[str]) -> None:
        """Delete keys; those that remain end with their leases."""
        try:
            await self.store.write([], keys)
        except StoreUnavailableError as error:
            _log.write("trial runs not deleted", str(error), keys=len(keys))
