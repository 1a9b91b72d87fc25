"""Failure domains whose backend servers get no requests, as the operator wants it."""

from collections.abc import Callable, Mapping

import attrs

from celerypulley.decision_log import DecisionLog

__all__ = ["Evacuations"]

_log = DecisionLog("evacuations")


@attrs.frozen
class _Mark:
    """What is known of one domain, as of a revision of the key-value store."""

    revision: int
    is_evacuated: bool


class Evacuations:
    """The evacuated domains, from events and reads that may arrive in any order.

    The store's revision orders them, so older information never replaces newer.
    `as_of_revision` is that of the newest complete read. The functions in `on_change`
    are called with a domain and whether it is evacuated now.
    """

    def __init__(self) -> None:
        """Start without evacuated domains."""
        self.as_of_revision = 0
        self.on_change: list[Callable[[str, bool], None]] = []
        self._marks: dict[str, _Mark] = {}
        self._domains: frozenset[str] = frozenset()

    @property
    def domains(self) -> frozenset[str]:
        """Return the evacuated domains."""
        return self._domains

    def revisions(self) -> dict[str, int]:
        """Return the revisions of the operator's marks by evacuated domain."""
        return {domain: self._marks[domain].revision for domain in self._domains}

    def apply_event(self, domain: str, revision: int, is_evacuated: bool) -> None:
        """Apply a change of one domain."""
        known = self._marks.get(domain)
        known_revision = known.revision if known is not None else self.as_of_revision
        if revision <= known_revision:
            return
        self._marks[domain] = _Mark(revision, is_evacuated)
        if is_evacuated == (domain in self._domains):
            return
        changed = {domain}
        self._domains = (
            self._domains | changed if is_evacuated else self._domains - changed
        )
        _log.write(
            "evacuated" if is_evacuated else "evacuation ended",
            "the operator's mark of the failure domain changed",
            domain=domain,
            revision=revision,
        )
        for listener in self.on_change:
            listener(domain, is_evacuated)

    def apply_read(self, revisions: Mapping[str, int], as_of_revision: int) -> None:
        """Apply a complete read: no other domain was evacuated at its revision."""
        for domain, revision in revisions.items():
            self.apply_event(domain, revision, True)
        for domain in self._domains - revisions.keys():
            self.apply_event(domain, as_of_revision, False)
        self.as_of_revision = max(self.as_of_revision, as_of_revision)
