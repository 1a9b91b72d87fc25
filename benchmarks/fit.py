"""Linear fits of measured costs."""

import attrs
import numpy

__all__ = ["Series", "Slope", "fit_line"]


@attrs.frozen
class Series:
    """A cost measured at several sizes, with the units of both in `unit` and `axis`."""

    name: str
    axis: str
    unit: str
    sizes: tuple[float, ...]
    costs: tuple[float, ...]
    note: str = ""


@attrs.frozen
class Slope:
    """A fitted line: cost = base + slope x size.

    `error` is the largest residual as a share of the largest cost.
    """

    series: Series
    base: float
    slope: float
    error: float

    def cost_at(self, size: float) -> float:
        """Return the cost at a size by the fitted line."""
        return self.base + self.slope * size


def fit_line(series: Series) -> Slope:
    """Return the least-squares line of a series.

    Raise ValueError if the series has fewer than four sizes.
    """
    if len(series.sizes) < 4:
        raise ValueError(
            f"{series.name} has {len(series.sizes)} sizes; at least 4 are needed"
        )
    sizes = numpy.array(series.sizes, dtype=float)
    costs = numpy.array(series.costs, dtype=float)
    slope, base = numpy.polyfit(sizes, costs, 1)
    residuals = numpy.abs(costs - (base + slope * sizes))
    error = float(residuals.max() / max(float(numpy.abs(costs).max()), 1e-12))
    return Slope(series, float(base), float(slope), error)
