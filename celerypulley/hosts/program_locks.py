"""One lock for each program with calls under way; waiters go in arrival order."""

import asyncio
from weakref import WeakValueDictionary

__all__ = ["ProgramLocks"]


class ProgramLocks:
    """Locks by name, which last while somebody holds or awaits them."""

    def __init__(self) -> None:
        """Start without locks."""
        self._locks: WeakValueDictionary[str, asyncio.Lock] = WeakValueDictionary()

    def lock(self, name: str) -> asyncio.Lock:
        """Return the lock of `name`; asyncio's locks are first come, first served."""
        found = self._locks.get(name)
        if found is None:
            found = asyncio.Lock()
            self._locks[name] = found
        return found

    def is_held(self, name: str) -> bool:
        """Return whether a call of `name` is under way."""
        found = self._locks.get(name)
        return found is not None and found.locked()
