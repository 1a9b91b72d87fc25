"""Straight lines through measured costs."""

import attrs
import numpy

__all__ = ["Series", "Slope", "fit_line"]


@attrs.frozen
class Series:
    """A cost at several sizes: `unit` is the cost's unit, `axis` the size's."""

    name: str
    axis: str
    unit: str
    sizes: tuple[float, ...]
    costs: tuple[float, ...]
    note: str = ""


@attrs.frozen
class Slope:
    """A line: cost = base + slope x size, and its largest miss.

    `error` is the largest distance of a measured cost from the line, as a share
    of the largest cost.
    """

    series: Series
    base: float
    slope: float
    error: float

    def cost_at(self, size: float) -> float:
        """Return the cost that the line gives for a size."""
        return self.base + self.slope * size


def fit_line(series: Series) -> Slope:
    """Return the least-squares line of a series of four sizes or more."""
    if len(series.sizes) < 4:
        raise ValueError(f"{series.name} has {len(series.sizes)} sizes, not 4")
    sizes = numpy.array(series.sizes, dtype=float)
    costs = numpy.array(series.costs, dtype=float)
    slope, base = numpy.polyfit(sizes, costs, 1)
    misses = numpy.abs(costs - (base + slope * sizes))
    error = float(misses.max() / max(float(numpy.abs(costs).max()), 1e-12))
    return Slope(series, float(base), float(slope), error)
