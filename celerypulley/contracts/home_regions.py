"""Regions that requests and their data may not leave."""

from collections.abc import Iterable, Mapping

import attrs

__all__ = ["HomeRegions"]


@attrs.frozen
class HomeRegions:
    """The regions in which a request may run and its data may be kept.

    `is_restricted` is False where it may go anywhere. Without a region in common
    between its route and its organisation, a restricted request may run nowhere.
    """

    is_restricted: bool = False
    regions: frozenset[str] = frozenset()

    @classmethod
    def of(cls, *lists: frozenset[str]) -> "HomeRegions":
        """Return what all of the non-empty lists of regions allow together."""
        binding = [regions for regions in lists if regions]
        if not binding:
            return cls()
        return cls(True, frozenset.intersection(*binding))

    def allows(self, domain: str, region_of_domain: Mapping[str, str]) -> bool:
        """Return whether a request may run in a failure domain.

        A domain of an unknown region is outside of every home.
        """
        if not self.is_restricted:
            return True
        return region_of_domain.get(domain) in self.regions

    def allows_all(
        self, domains: Iterable[str], region_of_domain: Mapping[str, str]
    ) -> bool:
        """Return whether data may be kept in every one of these failure domains."""
        return all(self.allows(domain, region_of_domain) for domain in domains)
