"""Measure the slopes of the capacity page; write a table, JSON and plots."""

from pathlib import Path

import attrs
import fire
import matplotlib
import orjson
from absl import logging

from benchmarks.fit import Slope, fit_line
from benchmarks.host_slopes import (
    measure_calls,
    measure_engine_reports,
    measure_hosts,
)
from benchmarks.state_slopes import measure_state

__all__ = ["main", "run_slopes"]

_DESIGN_SIZES = {
    "hosts": 330.0,
    "hosts of a domain": 27.5,
    "engines": 600.0,
    "organisations": 2_300.0,
    "programs": 1_212.0,
    "history tokens": 200_000.0,
    "calls/s": 17.0,
}


def _table(slopes: list[Slope]) -> str:
    lines = [
        "| cost | unit | per | base | slope | error | at the design size |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for each in slopes:
        series = each.series
        size = _DESIGN_SIZES[series.axis]
        lines.append(
            f"| {series.name} | {series.unit} | {series.axis} | {each.base:.4g} "
            f"| {each.slope:.4g} | {each.error:.0%} | {each.cost_at(size):.4g} "
            f"at {size:g} |"
        )
    return "\n".join(lines)


def _plot(slopes: list[Slope], path: Path) -> None:
    matplotlib.use("Agg")
    from matplotlib import pyplot

    columns = 4
    rows = -(-len(slopes) // columns)
    figure, axes = pyplot.subplots(rows, columns, figsize=(4 * columns, 3 * rows))
    for axis, each in zip(axes.flat, slopes, strict=False):
        series = each.series
        axis.plot(series.sizes, series.costs, "o")
        axis.plot(series.sizes, [each.cost_at(size) for size in series.sizes], "-")
        axis.set_title(series.name, fontsize=9)
        axis.set_xlabel(series.axis, fontsize=8)
        axis.set_ylabel(series.unit, fontsize=8)
    figure.tight_layout()
    figure.savefig(path)


def run_slopes(out: str = "out/slopes", state_only: bool = False) -> None:
    """Measure and fit all costs; write a table, JSON and plots to the folder `out`.

    `state_only` leaves out the measurements that start processes.
    """
    logging.set_verbosity(logging.WARNING)
    series = measure_state()
    if not state_only:
        hosts = [*measure_hosts(), *measure_engine_reports()]
        series = [*hosts, *measure_calls(), *series]
    slopes = [fit_line(each) for each in series]
    folder = Path(out)
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "slopes.md").write_text(_table(slopes) + "\n")
    data = [attrs.asdict(each) for each in slopes]
    (folder / "slopes.json").write_bytes(orjson.dumps(data, option=orjson.OPT_INDENT_2))
    _plot(slopes, folder / "slopes.png")
    print(_table(slopes))


def main() -> None:
    """Run the command line."""
    fire.Fire(run_slopes)


if __name__ == "__main__":
    main()
