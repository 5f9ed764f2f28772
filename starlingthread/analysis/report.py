"""The HTML report of a run: plots and tables in one file, with the data beside it as JSON."""

from __future__ import annotations

import base64
import io
from collections.abc import Callable
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt
import msgspec
from jinja2 import Environment
from matplotlib.axes import Axes

from .results import Results, TimeSeries

MANY = 12  # lines in one plot past which they are not named

TEMPLATE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ r.scenario.name }} · starlingthread</title>
<style>
body { font: 15px/1.45 system-ui, sans-serif; margin: 2rem auto; max-width: 64rem; padding: 0 1rem; color: #1b2733 }
h1 { font-size: 1.5rem } h2 { font-size: 1.1rem; margin-top: 2rem }
table { border-collapse: collapse; margin: .6rem 0 } th, td { padding: .25rem .7rem; text-align: right;
border-bottom: 1px solid #d8dfe6 } th:first-child, td:first-child { text-align: left }
.good { color: #17713b } .bad { color: #a8201a; font-weight: 600 } img { max-width: 100% }
.big { font-size: 2rem } p.about { color: #51606e } code { background: #eef2f5; padding: 0 .25rem }
</style></head><body>
<h1>{{ r.scenario.name }}, seed {{ r.scenario.seed }}</h1>
<p class="about">{{ r.scenario.about }}</p>
<p><span class="big">{{ "%.1f" | format(100 * r.goodput_share) }}%</span> of the worth served ·
{{ r.requests }} requests, {{ "%.0f" | format(r.requests_per_s) }}/s ·
{{ "%.2f" | format(r.attempts_per_request) }} attempts a request · hits {{ "%.1f" | format(100 * r.hit_share) }}%
· {{ r.scenario.routers.count }} routers, {{ r.scenario.fleet.servers }} servers</p>
{% for why in r.verdict.void %}<p class="bad">Void: {{ why }}</p>{% endfor %}
{% if r.verdict.counts %}<p class="bad">Rules broken:
{% for name, count in r.verdict.counts.items() %}{{ name }} ({{ count }}) {% endfor %}</p>
{% elif not r.verdict.void %}<p class="good">No rule broken.</p>{% endif %}
<h2>Classes</h2>
<table><tr><th>class</th><th>requests</th><th>in time</th><th>late</th><th>refused</th><th>failed</th>
<th>left</th><th>tries</th><th>worth</th><th>p50 ms</th><th>p99</th><th>p99.9</th><th>most</th></tr>
{% for c in r.classes %}<tr><td>{{ c.name }}</td><td>{{ c.offered }}</td><td>{{ c.in_time }}</td>
<td>{{ c.late }}</td><td>{{ c.rejected }}</td><td>{{ c.failed }}</td><td>{{ c.abandoned }}</td><td>{{ c.attempts }}</td>
<td>{{ "%.3f" | format(c.goodput_share) }}</td>
{% for p in ("50", "99", "99.9", "100") %}<td>{{ "%.1f" | format(c.percentiles[p]) if p in c.percentiles }}</td>
{% endfor %}</tr>{% endfor %}</table>
{% for title, picture in pictures %}<h2>{{ title }}</h2>
<img alt="{{ title }}" src="data:image/png;base64,{{ picture }}">{% endfor %}
{% if r.evenness %}<h2>Evenness of the servers</h2><p class="about">Load against a server's part by its speed:
1 is even. The herd index is the variance of arrivals in 50 ms over their mean: 1 by chance alone.</p><table>
{% for name in r.evenness.__struct_fields__ %}<tr><td>{{ name.replace("_", " ") }}</td>
<td>{{ "%g" | format(r.evenness[name]) }}</td></tr>{% endfor %}</table>{% endif %}
<h2>Routers</h2>
<table><tr><th>router</th><th>requests</th><th>CPU µs a request</th><th>share of a core</th><th>memory MB</th>
<th>descriptors</th></tr>
{% for x in r.routers %}<tr><td>{{ x.name }}</td><td>{{ x.requests }}</td>
<td>{{ "%.0f" | format(x.cpu_us_per_request) }}</td><td>{{ "%.2f" | format(x.cpu_share) }}</td>
<td>{{ "%.1f" | format(x.peak_memory_mb) }}</td><td>{{ x.peak_descriptors }}</td></tr>{% endfor %}</table>
{% if r.faults %}<h2>Faults</h2><table><tr><th>fault</th><th>kind</th><th>from s</th><th>to s</th><th>at</th></tr>
{% for f in r.faults %}<tr><td>{{ f.label }}</td><td>{{ f.kind }}</td><td>{{ "%.1f" | format(f.began_at) }}</td>
<td>{{ "%.1f" | format(f.ended_at) }}</td><td>{{ f.target }}</td></tr>{% endfor %}</table>{% endif %}
{% if r.verdict.violations %}<h2>Violations</h2><table><tr><th>rule</th><th>s</th><th>router</th><th>request</th>
<th>what</th></tr>{% for v in r.verdict.violations %}<tr><td>{{ v.rule }}</td><td>{{ v.at_s }}</td>
<td>{{ v.router }}</td><td><code>{{ v.request }}</code></td><td>{{ v.text }}</td></tr>{% endfor %}</table>{% endif %}
<h2>Counts</h2><table>
{% for name, value in facts.items() %}<tr><td>{{ name }}</td><td>{{ "%g" | format(value) }}</td></tr>{% endfor %}
</table>
<p class="about">starlingthread {{ r.version }}, Python {{ r.python }}. The data lie beside this page as
<code>{{ data }}</code>.</p>
</body></html>
"""


def _picture(draw: Callable[[Axes], None], height: float = 3.0) -> str:
    figure, axes = plt.subplots(figsize=(10, height), dpi=110, layout="constrained")
    try:
        draw(axes)
        axes.grid(alpha=0.25)
        axes.spines[["top", "right"]].set_visible(False)
        out = io.BytesIO()
        figure.savefig(out, format="png")
    finally:
        plt.close(figure)
    return base64.b64encode(out.getvalue()).decode()


def _mark(axes: Axes, results: Results) -> None:
    for number, fault in enumerate(results.faults):
        colour = f"C{number % 8 + 1}"
        axes.axvspan(fault.began_at, max(fault.ended_at, fault.began_at + 0.1), color=colour, alpha=0.13, lw=0)
        axes.text(
            fault.began_at,
            1.0 - 0.09 * (number % 4),
            f" {fault.label}",
            color=colour,
            fontsize=8,
            transform=axes.get_xaxis_transform(),
            va="top",
        )


def _worth(axes: Axes, results: Results) -> None:
    at = [s.at for s in results.seconds]
    axes.step(at, [s.offered for s in results.seconds], where="post", color="0.6", label="asked")
    served = [s.served for s in results.seconds]
    axes.fill_between(at, served, step="post", color="C0", alpha=0.6, label="served in time")
    axes.set_ylabel("worth a second")
    axes.set_xlabel("s")
    axes.set_ylim(bottom=0)
    axes.legend(loc="lower left", fontsize=8)
    _mark(axes, results)


def _tail(axes: Axes, results: Results) -> None:
    axes.semilogy([s.at for s in results.seconds], [max(s.p99_ms, 0.1) for s in results.seconds], label="p99 ms")
    axes.step(
        [s.at for s in results.seconds],
        [max(s.rejected + s.failed, 0.1) for s in results.seconds],
        where="post",
        label="refused and failed, a second",
    )
    axes.set_xlabel("s")
    axes.legend(loc="lower right", fontsize=8)
    _mark(axes, results)


def _latency(axes: Axes, results: Results) -> None:
    for cls in results.classes:
        if cls.curve:
            tails = [1.0 / max(1e-7, 1.0 - p / 100.0) for p, _ in cls.curve]
            axes.loglog(tails, [ms for _, ms in cls.curve], marker=".", label=cls.name)
    ticks = [1, 2, 10, 100, 1000, 10000]
    axes.set_xticks(ticks, ["0", "50", "90", "99", "99.9", "99.99"])
    axes.set_xlabel("percentile of what was served")
    axes.set_ylabel("ms")
    axes.legend(fontsize=8)


def _lines(lines: list[TimeSeries], label: str, results: Results, most: float | None = None) -> Callable[[Axes], None]:
    def draw(axes: Axes) -> None:
        for line in lines:
            axes.plot(line.at, line.values, lw=1.0, label=line.name, alpha=0.85 if len(lines) <= MANY else 0.3)
        if most is not None:
            axes.axhline(most, color="C3", ls="--", lw=1.0, label="limit")
        axes.set_ylabel(label)
        axes.set_xlabel("s")
        axes.set_ylim(bottom=0)
        if len(lines) <= MANY:
            axes.legend(fontsize=7, ncols=3, loc="lower left")
        _mark(axes, results)

    return draw


def pictures_of(results: Results) -> list[tuple[str, str]]:
    """Return the plots of a run as base64 PNG, each with its title."""
    limits = results.scenario.routers
    return [
        ("Worth served, with the faults marked", _picture(lambda a: _worth(a, results))),
        ("Tail and losses", _picture(lambda a: _tail(a, results))),
        ("Latency by percentile, from when a request was due", _picture(lambda a: _latency(a, results), 3.6)),
        ("Load of each server", _picture(_lines(results.server_load, "share of slots", results))),
        ("Connections of each server", _picture(_lines(results.server_connections, "connections", results))),
        ("CPU of each router", _picture(_lines(results.router_cpu, "cores", results, limits.cores))),
        ("Memory of each router", _picture(_lines(results.router_memory, "MB", results, limits.memory_mb))),
        (
            "Descriptors of each router",
            _picture(_lines(results.router_descriptors, "descriptors", results, float(limits.sockets))),
        ),
    ]


def write(results: Results, path: Path) -> Path:
    """Write the report, and the data beside it; return where the data are."""
    path.parent.mkdir(parents=True, exist_ok=True)
    data = path.with_suffix(".json")
    data.write_bytes(msgspec.json.encode(results))
    facts: dict[str, Any] = {
        **results.facts,
        **{f"longest stall of {k}, ms": v for k, v in results.lags.items()},
        **{f"bad clients: {k}": v for k, v in results.bad_client_outcomes.items()},
        **results.verdict.notes,
    }
    page = (
        Environment(autoescape=True)
        .from_string(TEMPLATE)
        .render(r=results, pictures=pictures_of(results), facts=facts, data=data.name)
    )
    path.write_text(page, encoding="utf-8")
    return data
