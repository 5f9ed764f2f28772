"""Prints the results of runs on standard output."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from .common import output_console

if TYPE_CHECKING:
    from rich.console import Console
    from rich.table import Table

    from ..analysis.results import Results

MAX_PRINTED_ROUTERS = 10  # only the busiest routers are printed
MAX_PRINTED_VIOLATIONS = 20
CLASS_COLUMNS = ("class", "requests", "in time", "late", "rejected", "failed", "goodput", "p50 ms", "p99", "p99.9")
PERCENTILES = ("50", "99", "99.9")


def print_results(results: Results) -> None:
    """Print the results of one run: request classes, servers, routers, faults and broken rules."""
    console = output_console()
    console.print(_class_table(results))
    _print_evenness(console, results)
    _print_routers(console, results)
    for fault in results.faults:
        console.print(
            f"fault {fault.label}: {fault.began_at:.1f} to {fault.ended_at:.1f} s {fault.target}", highlight=False
        )
    _print_verdict(console, results)


def print_spread(runs: list[Results]) -> None:
    """Print the spread of the goodput over runs of one scenario with several seeds."""
    import numpy as np

    shares = [run.goodput_share for run in runs]
    broken = sum(sum(run.verdict.counts.values()) for run in runs)
    void = sum(bool(run.verdict.void) for run in runs)
    click.echo(
        f"{runs[0].scenario.name}: goodput {np.mean(shares):.4f}, from {min(shares):.4f} to {max(shares):.4f} "
        f"over {len(runs)} seeds; rules broken {broken}, void {void}"
    )


def _class_table(results: Results) -> Table:
    from rich.table import Table

    table = Table(
        title=f"{results.scenario.name}, seed {results.scenario.seed}: {100 * results.goodput_share:.1f}% goodput"
    )
    for name in CLASS_COLUMNS:
        table.add_column(name, justify="left" if name == "class" else "right")
    for class_result in results.classes:
        latencies = [
            f"{class_result.percentiles[percentile]:.1f}" if percentile in class_result.percentiles else "-"
            for percentile in PERCENTILES
        ]
        counts = map(
            str,
            (class_result.offered, class_result.in_time, class_result.late, class_result.rejected, class_result.failed),
        )
        table.add_row(class_result.name, *counts, f"{class_result.goodput_share:.3f}", *latencies)
    return table


def _print_evenness(console: Console, results: Results) -> None:
    evenness = results.evenness
    if evenness is None:
        return
    console.print(
        f"servers: peak load ratio {evenness.busiest_1s:.2f} in 1 s, {evenness.busiest_10s:.2f} in 10 s, "
        f"lowest {evenness.least:.2f}, {evenness.idle_servers} idle at least once, herd index "
        f"{evenness.herd_index:.2f}, period {evenness.period_s:g} s, owner disagreement {evenness.owners_differ:.3f}, "
        f"{evenness.connections:.0f} connections per server",
        highlight=False,
    )


def _print_routers(console: Console, results: Results) -> None:
    busiest = sorted(results.routers, key=lambda router: -router.requests)[:MAX_PRINTED_ROUTERS]
    if len(busiest) < len(results.routers):
        console.print(f"the {len(busiest)} busiest of {len(results.routers)} routers:", highlight=False)
    for router in busiest:
        console.print(
            f"{router.name}: {router.requests} attempts of clients, {router.received} sent on a connection, "
            f"{router.cpu_us_per_request:.0f} µs of CPU for each sent, "
            f"{router.peak_memory_mb:.1f} MB, {router.peak_descriptors} descriptors",
            highlight=False,
        )


def _print_verdict(console: Console, results: Results) -> None:
    verdict = results.verdict
    for reason in verdict.void:
        console.print(f"VOID: {reason}", style="bold red", highlight=False)
    for violation in verdict.violations[:MAX_PRINTED_VIOLATIONS]:
        console.print(
            f"BROKEN {violation.rule} at {violation.at_s} s, router {violation.router}, request "
            f"{violation.request or '-'}: {violation.text}",
            style="red",
            highlight=False,
        )
    if verdict.counts:
        counts = ", ".join(f"{name} {count}" for name, count in verdict.counts.items())
        console.print(f"rules broken: {counts}", style="bold red", highlight=False)
    elif not verdict.void:
        console.print("no rule broken", style="green")
