"""One lock for each program with calls in progress, acquired in order of arrival."""

import asyncio
from weakref import WeakValueDictionary

__all__ = ["ProgramLocks"]


class ProgramLocks:
    """Locks by name, kept while they are held or awaited."""

    def __init__(self) -> None:
        """Start without locks."""
        self._locks: WeakValueDictionary[str, asyncio.Lock] = WeakValueDictionary()

    def lock(self, name: str) -> asyncio.Lock:
        """Return the lock of `name`; asyncio grants it in order of arrival."""
        lock = self._locks.get(name)
        if lock is None:
            lock = asyncio.Lock()
            self._locks[name] = lock
        return lock

    def is_held(self, name: str) -> bool:
        """Return whether a call of `name` is in progress."""
        lock = self._locks.get(name)
        return lock is not None and lock.locked()
