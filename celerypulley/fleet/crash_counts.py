"""Crashes of backend servers by request, counted across the fleet.

The mark of a crash follows from the start of the server that ended, so that it counts
once for a request, however many hosts saw it and however often it is heard. A host
announces the crashes that it saw. Those of requests that crashed two servers or more
are announced by all hosts, so that a host which starts learns of them from any other.

A request that crashes servers never runs whole, on any of them. So a run that ends
well clears the marks of all runs that had begun by then, also of those beside it: their
servers ended by themselves. All marks are forgotten after their life. Hosts exchange
the ages of marks, not times, since their clocks differ; a mark that was cleared is
announced as such, so that it does not come back from a host that still counts it.

The query may be what makes a request crash servers, or it may differ each time that
the request comes back. So a fingerprint tells requests apart that differ in their
query, and those of one group, which are the same but for it, are counted together, too:
the first crash of each. A whole run of any of them clears the crashes of the group.
"""

import hashlib
import heapq
from collections import OrderedDict
from collections.abc import Callable, Iterable

import attrs

from celerypulley.clock import NEVER_MS, Clock
from celerypulley.decision_log import DecisionLog
from celerypulley.errors import ErrorKind, Refusal

__all__ = ["MARK_LIFE_MS", "CrashCounts", "request_fingerprint"]

_CRASH_LIMIT = 3  # one request may crash at most three servers
_RELAY_LIMIT = 2  # a crash that concerns one request only is rarely heard of twice
_MAX_FINGERPRINTS = 1_024
# Recent crashes are part of all messages of this time, older ones of some, in turn.
_ANNOUNCED_FOR_MS = 6_000.0  # four messages of a fleet of 171 hosts
_RECENT_PER_MESSAGE = 16  # 500 bytes, if each crashed one server
_OLDER_PER_MESSAGE = 4
_MARK_BYTES = 4
# A request may crash as many servers again after this time; the longest retention of
# turns is a minute, and a lease of the store lasts as long at most.
MARK_LIFE_MS = 600_000
# Older marks are not announced, so that a late message brings back no forgotten mark.
_ANNOUNCED_LIFE_MS = MARK_LIFE_MS - 60_000.0
_MAX_CLEARED = 3  # by fingerprint; a mark that comes back is cleared once more
_MAX_WHOLE_RUNS = 4_096  # of those that a host forwards in some seconds
_GROUP_END = "-"
# Earlier versions left the query out. Their marks, which the store and their messages
# still have, would concern sound requests with other queries.
_FORMAT = b"with query"
_log = DecisionLog("strikes")


def request_fingerprint(
    method: str,
    path: str,
    organisation: str,
    history: bytes,
    body: bytes,
    query: str | None = None,
) -> str:
    """Return a digest by which a request is recognised when it comes again.

    It comes with the same method, path, organisation and body, and continues the same
    `history`, which servers get before the body. What else belongs to a request, such
    as its program or the name of the turn that it continues, may differ. The digest
    begins with that of its group, which leaves out the `query`. Requests of a kind that
    has no queries are no group.
    """
    hasher = hashlib.blake2b(digest_size=8, person=_FORMAT)
    for part in (method, path, organisation):
        hasher.update(part.encode())
        hasher.update(b"\0")
    hasher.update(history)
    hasher.update(body)
    if query is None:
        return hasher.hexdigest()
    query_digest = hashlib.blake2b(query.encode(), digest_size=4).hexdigest()
    return f"{hasher.hexdigest()}{_GROUP_END}{query_digest}"


def _group(fingerprint: str) -> str:
    return fingerprint.partition(_GROUP_END)[0]


def _crash_mark(server: str, started_ms: int) -> bytes:
    start = f"{server}/{started_ms}".encode()
    return hashlib.blake2b(start, digest_size=_MARK_BYTES).digest()


@attrs.define(eq=False)
class _Mark:
    """One crash: when the run began that it broke off, and whether it was cleared.

    `is_lasting` means that it was counted beside another crash of the request, so that
    it is kept in the store until it is cleared.
    """

    began_ms: float
    is_cleared: bool = False
    is_lasting: bool = False


@attrs.define(eq=False)
class _Crashes:
    """The marks of one request's crashes, and when they changed last.

    `is_own` means that this host saw a crash or a run that cleared some, or knows of
    marks as cleared that another host counts.
    """

    changed_ms: float
    marks: dict[bytes, _Mark] = attrs.Factory(dict)
    is_own: bool = False

    def excess_cleared(self) -> list[bytes]:
        """Return the cleared marks that are too many, which are the oldest."""
        cleared = [name for name, mark in self.marks.items() if mark.is_cleared]
        cleared.sort(key=lambda name: self.marks[name].began_ms)
        return cleared[:-_MAX_CLEARED]


# A mark, its age in ms, and whether it was cleared.
_Row = tuple[bytes, int, bool]


class CrashCounts:
    """Count servers that ended while they ran a request, by its fingerprint.

    The functions in `on_change` are called with the fingerprint whose marks changed.
    `is_restored` is False until the marks of the store have been added.
    """

    def __init__(
        self,
        clock: Clock,
        crash_limit: int = _CRASH_LIMIT,
        lasting_limit: int = _RELAY_LIMIT,
    ) -> None:
        """Refuse requests that crashed `crash_limit` servers.

        From `lasting_limit` servers on, the marks of a request are kept in the store.
        """
        self.clock = clock
        self.crash_limit = crash_limit
        self.lasting_limit = lasting_limit
        self.on_change: list[Callable[[str], None]] = []
        self.is_restored = True
        self._crashes: OrderedDict[str, _Crashes] = OrderedDict()
        # When the last run of a request ended well on this host.
        self._whole_runs_ms: OrderedDict[str, float] = OrderedDict()
        self._next_older = 0

    def count(self, fingerprint: str) -> int:
        """Return how many servers a request is known to have crashed."""
        crashes = self._crashes.get(fingerprint)
        if crashes is None:
            return 0
        oldest_ms = self.clock.now_ms() - MARK_LIFE_MS
        return sum(
            not mark.is_cleared and mark.began_ms > oldest_ms
            for mark in crashes.marks.values()
        )

    def record_crash(
        self,
        fingerprint: str,
        server: str,
        started_ms: int,
        began_ms: float,
        evidence: str,
    ) -> None:
        """Count a server that ended while it ran a request.

        `started_ms` is the wall-clock time of the server's start, `began_ms` the
        monotonic time of this host when the run began.
        """
        mark = _crash_mark(server, started_ms)
        age_ms = round(self.clock.now_ms() - began_ms)
        group = _group(fingerprint)
        if group != fingerprint and not self.count(fingerprint):
            self._learn(group, (mark, age_ms, False), is_own=True)
        self._learn(fingerprint, (mark, age_ms, False), is_own=True)
        whole_run_ms = self._whole_runs_ms.get(fingerprint)
        _log.write(
            "crash counted",
            evidence,
            server=server,
            fingerprint=fingerprint,
            crashes=self.count(fingerprint),
            crashes_of_group=self.count(group),
            began_ago_ms=age_ms,
            whole_run_ago_ms=_ago_ms(self.clock, whole_run_ms),
        )

    def record_whole_run(self, fingerprint: str) -> None:
        """Clear the crashes of a request, of which a run has just ended well.

        Crashes of runs that have begun by now, and are counted later, are cleared too,
        and so are those of its group.
        """
        for each in dict.fromkeys((fingerprint, _group(fingerprint))):
            self._clear(each)

    def _clear(self, fingerprint: str) -> None:
        self._whole_runs_ms[fingerprint] = self.clock.now_ms()
        self._whole_runs_ms.move_to_end(fingerprint)
        if len(self._whole_runs_ms) > _MAX_WHOLE_RUNS:
            self._whole_runs_ms.popitem(last=False)
        crashes = self._crashes.get(fingerprint)
        if crashes is None:
            return
        marks = [mark for mark in crashes.marks.values() if not mark.is_cleared]
        if not marks:
            return
        for mark in marks:
            mark.is_cleared = True
        self._record_change(fingerprint, crashes, is_own=True)
        _log.write(
            "crashes cleared",
            "a run of the request ended well",
            fingerprint=fingerprint,
            cleared=len(marks),
            crashes=self.count(fingerprint),
        )

    def merge(self, table: dict[str, list[_Row]]) -> None:
        """Add the crashes that another host has announced.

        Raise ValueError if a mark has another form.
        """
        for fingerprint, rows in table.items():
            for row in [_checked_row(each) for each in rows]:
                self._learn(fingerprint, row)

    def _learn(self, fingerprint: str, row: _Row, is_own: bool = False) -> None:
        """Add what is new in a row. Of two ages, the larger is true."""
        name, age_ms, is_cleared = row
        now_ms = self.clock.now_ms()
        if age_ms >= MARK_LIFE_MS:
            return
        crashes = self._crashes.get(fingerprint, _Crashes(now_ms))
        mark = crashes.marks.get(name)
        began_ms = now_ms - age_ms
        if not is_cleared and self._has_run_whole_since(fingerprint, began_ms):
            # Other hosts learn from this one that it was cleared.
            is_cleared = is_own = True
        if mark is None:
            if not is_cleared and self.count(fingerprint) >= self.crash_limit:
                return
            crashes.marks[name] = _Mark(began_ms, is_cleared)
            if name in crashes.excess_cleared():
                del crashes.marks[name]
                return
            self._record_change(fingerprint, crashes, is_own)
            return
        mark.began_ms = min(mark.began_ms, began_ms)
        if mark.is_cleared is is_cleared:
            return
        # Otherwise, the other host has yet to learn that the mark was cleared.
        is_own |= mark.is_cleared
        mark.is_cleared = True
        self._record_change(fingerprint, crashes, is_own)

    def _has_run_whole_since(self, fingerprint: str, began_ms: float) -> bool:
        return self._whole_runs_ms.get(fingerprint, NEVER_MS) >= began_ms

    def _record_change(
        self, fingerprint: str, crashes: _Crashes, is_own: bool = False
    ) -> None:
        crashes.changed_ms = self.clock.now_ms()
        crashes.is_own |= is_own
        for name in crashes.excess_cleared():
            del crashes.marks[name]
        live = [mark for mark in crashes.marks.values() if not mark.is_cleared]
        if len(live) >= self.lasting_limit:
            for mark in live:
                mark.is_lasting = True
        self._crashes[fingerprint] = crashes
        self._crashes.move_to_end(fingerprint)
        while len(self._crashes) > _MAX_FINGERPRINTS:
            # The oldest of the requests with the fewest crashes.
            dropped = min(self._crashes, key=self.count)
            del self._crashes[dropped]
            self._report_change(dropped)
        self._report_change(fingerprint)

    def _report_change(self, fingerprint: str) -> None:
        for listener in self.on_change:
            listener(fingerprint)

    def ages_to_store(self, fingerprint: str) -> dict[bytes, int | None]:
        """Return the ages in ms of marks that must last, None for those cleared.

        Only hosts that saw a crash or a clearing of the request store its marks.
        """
        crashes = self._crashes.get(fingerprint)
        if crashes is None or not crashes.is_own:
            return {}
        return {
            name: None if is_cleared else age_ms
            for name, age_ms, is_cleared in self._rows(crashes)
            if crashes.marks[name].is_lasting
        }

    def to_announce(self) -> dict[str, list[_Row]]:
        """Return the crashes for the next message to other hosts."""
        self._forget_old()
        recent_since_ms = self.clock.now_ms() - _ANNOUNCED_FOR_MS
        recent: list[str] = []
        older: list[str] = []
        for fingerprint, crashes in self._crashes.items():
            if not crashes.is_own and len(crashes.marks) < _RELAY_LIMIT:
                continue
            is_recent = crashes.changed_ms >= recent_since_ms
            (recent if is_recent else older).append(fingerprint)
        announced = heapq.nlargest(_RECENT_PER_MESSAGE, recent, key=self.count)
        announced += self._take_in_turn(older)
        table = {each: self._rows(self._crashes[each]) for each in announced}
        return {fingerprint: rows for fingerprint, rows in table.items() if rows}

    def _rows(self, crashes: _Crashes) -> list[_Row]:
        now_ms = self.clock.now_ms()
        rows = [
            (name, round(now_ms - mark.began_ms), mark.is_cleared)
            for name, mark in sorted(crashes.marks.items())
        ]
        return [row for row in rows if row[1] < _ANNOUNCED_LIFE_MS]

    def _forget_old(self) -> None:
        oldest_ms = self.clock.now_ms() - MARK_LIFE_MS
        for fingerprint, crashes in list(self._crashes.items()):
            old = [
                name
                for name, mark in crashes.marks.items()
                if mark.began_ms <= oldest_ms
            ]
            if not old:
                continue
            expired = sum(not crashes.marks.pop(name).is_cleared for name in old)
            if not crashes.marks:
                del self._crashes[fingerprint]
            self._report_change(fingerprint)
            if not expired:
                continue
            _log.write(
                "crashes expired",
                f"their runs began {MARK_LIFE_MS} ms ago",
                fingerprint=fingerprint,
                expired=expired,
                crashes=self.count(fingerprint),
            )

    def _take_in_turn(self, fingerprints: list[str]) -> Iterable[str]:
        for _ in range(min(len(fingerprints), _OLDER_PER_MESSAGE)):
            self._next_older = (self._next_older + 1) % len(fingerprints)
            yield fingerprints[self._next_older]

    def find_refused(self, fingerprint: str) -> str | None:
        """Return a request's fingerprint, or that of its group, if it is refused.

        None if neither has crashed too many servers.
        """
        for each in (fingerprint, _group(fingerprint)):
            if self.count(each) >= self.crash_limit:
                return each
        return None

    def find_refusal(self, fingerprint: str) -> Refusal | None:
        """Return the refusal of a request that has crashed too many servers."""
        refused = self.find_refused(fingerprint)
        if refused is None:
            return None
        count = self.count(refused)
        return Refusal(
            ErrorKind.QUARANTINED, f"{count} servers ended during this request"
        )


def _ago_ms(clock: Clock, then_ms: float | None) -> int | None:
    return None if then_ms is None else round(clock.now_ms() - then_ms)


def _checked_row(row: object) -> _Row:
    match row:
        case [bytes(mark), int(age_ms), bool(is_cleared)]:
            if len(mark) == _MARK_BYTES and age_ms >= 0:
                return mark, age_ms, is_cleared
    raise ValueError(f"no mark of {_MARK_BYTES} bytes with its age in ms: {row!r}")
