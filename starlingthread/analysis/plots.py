"""Plots of a run for its report."""

from __future__ import annotations

import base64
import io
from collections.abc import Callable
from typing import NamedTuple

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt
from matplotlib.axes import Axes

from .results import Results, TimeSeries

WIDTH_INCHES = 10.0
HEIGHT_INCHES = 3.0
CURVE_HEIGHT_INCHES = 3.6
DPI = 110
MAX_LABELLED_LINES = 12  # a plot with more lines has faint lines and no legend
MIN_LOG_VALUE = 0.1  # value that stands for 0 on a logarithmic axis
MIN_TAIL_SHARE = 1e-7
MIN_FAULT_WIDTH_S = 0.1
FAULT_COLOUR_COUNT = 8
FAULT_LABEL_ROWS = 4
# Labels of the percentile axis, by 1 / tail share.
PERCENTILE_TICKS = {1: "0", 2: "50", 10: "90", 100: "99", 1000: "99.9", 10000: "99.99"}


class Plot(NamedTuple):
    """A plot as a PNG, encoded in base64."""

    title: str
    image: str


def render_plots(results: Results) -> list[Plot]:
    """Render all plots of a run."""
    limits = results.scenario.routers
    return [
        _plot("Goodput, with the faults marked", lambda axes: _draw_goodput(axes, results)),
        _plot("Tail latency and losses", lambda axes: _draw_tail(axes, results)),
        _plot(
            "Latency by percentile, from when a request was due",
            lambda axes: _draw_latency_curve(axes, results),
            CURVE_HEIGHT_INCHES,
        ),
        _series_plot("Load of each server", results, results.server_load, "share of slots"),
        _series_plot("Connections of each server", results, results.server_connections, "connections"),
        _series_plot("CPU of each router", results, results.router_cpu, "cores", limits.cores),
        _series_plot("Memory of each router", results, results.router_memory, "MB", limits.memory_mb),
        _series_plot(
            "Descriptors of each router", results, results.router_descriptors, "descriptors", float(limits.sockets)
        ),
    ]


def _plot(title: str, draw: Callable[[Axes], None], height: float = HEIGHT_INCHES) -> Plot:
    figure, axes = plt.subplots(figsize=(WIDTH_INCHES, height), dpi=DPI, layout="constrained")
    try:
        draw(axes)
        axes.grid(alpha=0.25)
        axes.spines[["top", "right"]].set_visible(False)
        image = io.BytesIO()
        figure.savefig(image, format="png")
    finally:
        plt.close(figure)
    return Plot(title, base64.b64encode(image.getvalue()).decode())


def _series_plot(
    title: str, results: Results, series: list[TimeSeries], label: str, limit: float | None = None
) -> Plot:
    return _plot(title, lambda axes: _draw_series(axes, results, series, label, limit))


def _draw_series(axes: Axes, results: Results, series: list[TimeSeries], label: str, limit: float | None) -> None:
    has_legend = len(series) <= MAX_LABELLED_LINES
    for line in series:
        axes.plot(line.at, line.values, lw=1.0, label=line.name, alpha=0.85 if has_legend else 0.3)
    if limit is not None:
        axes.axhline(limit, color="C3", ls="--", lw=1.0, label="limit")
    axes.set_ylabel(label)
    axes.set_xlabel("s")
    axes.set_ylim(bottom=0)
    if has_legend:
        axes.legend(fontsize=7, ncols=3, loc="lower left")
    _draw_faults(axes, results)


def _draw_faults(axes: Axes, results: Results) -> None:
    for number, fault in enumerate(results.faults):
        colour = f"C{number % FAULT_COLOUR_COUNT + 1}"
        end = max(fault.ended_at, fault.began_at + MIN_FAULT_WIDTH_S)
        axes.axvspan(fault.began_at, end, color=colour, alpha=0.13, lw=0)
        axes.text(
            fault.began_at,
            1.0 - 0.09 * (number % FAULT_LABEL_ROWS),
            f" {fault.label}",
            color=colour,
            fontsize=8,
            transform=axes.get_xaxis_transform(),
            va="top",
        )


def _draw_goodput(axes: Axes, results: Results) -> None:
    at = [second.at for second in results.seconds]
    axes.step(at, [second.offered for second in results.seconds], where="post", color="0.6", label="offered")
    served = [second.served for second in results.seconds]
    axes.fill_between(at, served, step="post", color="C0", alpha=0.6, label="goodput")
    axes.set_ylabel("priority weight per second")
    axes.set_xlabel("s")
    axes.set_ylim(bottom=0)
    axes.legend(loc="lower left", fontsize=8)
    _draw_faults(axes, results)


def _draw_tail(axes: Axes, results: Results) -> None:
    at = [second.at for second in results.seconds]
    axes.semilogy(at, [max(second.p99_ms, MIN_LOG_VALUE) for second in results.seconds], label="p99 ms")
    losses = [max(second.rejected + second.failed, MIN_LOG_VALUE) for second in results.seconds]
    axes.step(at, losses, where="post", label="rejected and failed per second")
    axes.set_xlabel("s")
    axes.legend(loc="lower right", fontsize=8)
    _draw_faults(axes, results)


def _draw_latency_curve(axes: Axes, results: Results) -> None:
    for result in results.classes:
        if result.curve:
            tails = [1.0 / max(MIN_TAIL_SHARE, 1.0 - percentile / 100.0) for percentile, _ in result.curve]
            axes.loglog(tails, [latency for _, latency in result.curve], marker=".", label=result.name)
    axes.set_xticks(list(PERCENTILE_TICKS), list(PERCENTILE_TICKS.values()))
    axes.set_xlabel("percentile of the served requests")
    axes.set_ylabel("ms")
    axes.legend(fontsize=8)
