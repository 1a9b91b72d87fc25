"""Cuts: links that a test has disabled on purpose."""

__all__ = ["CutTable"]


class CutTable:
    """The names of peers, failure domains or services that cannot be reached.

    Every link of a host consults this table before it sends or delivers a message.
    The table stays empty unless the host's settings allow faults.
    """

    def __init__(self) -> None:
        """Create a table without cuts."""
        self._names: frozenset[str] = frozenset()

    def replace(self, names: frozenset[str]) -> None:
        """Cut exactly the links to `names`."""
        self._names = names

    def is_cut(self, *names: str) -> bool:
        """Return whether a link to any of `names` is cut."""
        return bool(self._names) and not self._names.isdisjoint(names)
