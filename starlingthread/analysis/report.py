"""The HTML report of a run: one file with plots and tables, and a JSON file with the data in the same folder."""

from __future__ import annotations

from pathlib import Path

import msgspec
from jinja2 import Environment

from .evenness import EVENNESS_LABELS
from .plots import render_plots
from .results import Results

_TEMPLATE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ results.scenario.name }} · starlingthread</title>
<style>
body { font: 15px/1.45 system-ui, sans-serif; margin: 2rem auto; max-width: 64rem; padding: 0 1rem; color: #1b2733 }
h1 { font-size: 1.5rem } h2 { font-size: 1.1rem; margin-top: 2rem }
table { border-collapse: collapse; margin: .6rem 0 } th, td { padding: .25rem .7rem; text-align: right;
border-bottom: 1px solid #d8dfe6 } th:first-child, td:first-child { text-align: left }
.good { color: #17713b } .bad { color: #a8201a; font-weight: 600 } img { max-width: 100% }
.big { font-size: 2rem } p.about { color: #51606e } code { background: #eef2f5; padding: 0 .25rem }
</style></head><body>
<h1>{{ results.scenario.name }}, seed {{ results.scenario.seed }}</h1>
<p class="about">{{ results.scenario.about }}</p>
<p><span class="big">{{ "%.1f" | format(100 * results.goodput_share) }}%</span> goodput
(share of the offered priority weight) ·
{{ results.requests }} requests, {{ "%.0f" | format(results.requests_per_s) }}/s ·
{{ "%.2f" | format(results.attempts_per_request) }} attempts per request ·
cache hits {{ "%.1f" | format(100 * results.hit_share) }}% ·
{{ results.scenario.routers.count }} routers, {{ results.scenario.fleet.servers }} servers</p>
{% for reason in results.verdict.void %}<p class="bad">Void: {{ reason }}</p>{% endfor %}
{% if results.verdict.counts %}<p class="bad">Rules broken:
{% for name, count in results.verdict.counts.items() %}{{ name }} ({{ count }}) {% endfor %}</p>
{% elif not results.verdict.void %}<p class="good">No rule broken.</p>{% endif %}
<h2>Classes</h2>
<table><tr><th>class</th><th>requests</th><th>in time</th><th>late</th><th>rejected</th><th>failed</th>
<th>cancelled by client</th><th>attempts</th><th>goodput</th><th>p50 ms</th><th>p99</th><th>p99.9</th><th>max</th></tr>
{% for class_result in results.classes %}<tr><td>{{ class_result.name }}</td><td>{{ class_result.offered }}</td><td>{{
class_result.in_time }}</td>
<td>{{ class_result.late }}</td><td>{{ class_result.rejected }}</td><td>{{ class_result.failed }}</td><td>{{
class_result.abandoned }}</td><td>{{ class_result.attempts }}</td>
<td>{{ "%.3f" | format(class_result.goodput_share) }}</td>
{% for percentile in ("50", "99", "99.9", "100") %}<td>{{ "%.1f" | format(class_result.percentiles[percentile])
if percentile in class_result.percentiles }}</td>
{% endfor %}</tr>{% endfor %}</table>
{% for title, image in plots %}<h2>{{ title }}</h2>
<img alt="{{ title }}" src="data:image/png;base64,{{ image }}">{% endfor %}
{% if results.evenness %}<h2>Evenness of the servers</h2><p class="about">The load ratio is
a server's load over its fair share by speed: 1 is even.
The herd index is the variance of arrivals in 50 ms over their mean: 1 by chance alone.</p><table>
{% for name, label in evenness_labels.items() %}<tr><td>{{ label }}</td>
<td>{{ "%g" | format(results.evenness[name]) }}</td></tr>{% endfor %}</table>{% endif %}
<h2>Routers</h2>
<table><tr><th>router</th><th>requests</th><th>CPU per request, µs</th><th>CPU, cores</th><th>peak memory, MB</th>
<th>peak descriptors</th></tr>
{% for router in results.routers %}<tr><td>{{ router.name }}</td><td>{{ router.requests }}</td>
<td>{{ "%.0f" | format(router.cpu_us_per_request) }}</td><td>{{ "%.2f" | format(router.cpu_share) }}</td>
<td>{{ "%.1f" | format(router.peak_memory_mb) }}</td><td>{{ router.peak_descriptors }}</td></tr>{% endfor %}</table>
{% if results.faults
%}<h2>Faults</h2><table><tr><th>fault</th><th>kind</th><th>from s</th><th>to s</th><th>targets</th></tr>
{% for fault in results.faults %}<tr><td>{{ fault.label }}</td><td>{{ fault.kind }}</td><td>{{
"%.1f" | format(fault.began_at) }}</td>
<td>{{ "%.1f" | format(fault.ended_at) }}</td><td>{{ fault.target }}</td></tr>{% endfor %}</table>{% endif %}
{% if results.verdict.violations
%}<h2>Violations</h2><table><tr><th>rule</th><th>at s</th><th>router</th><th>request</th>
<th>description</th></tr>{% for violation in results.verdict.violations %}<tr><td>{{
violation.rule }}</td><td>{{ violation.at_s }}</td>
<td>{{ violation.router }}</td><td><code>{{ violation.request }}</code></td><td>{{
violation.text }}</td></tr>{% endfor %}</table>{% endif %}
<h2>Counters</h2><table>
{% for name, value in facts.items() %}<tr><td>{{ name }}</td><td>{{ "%g" | format(value) }}</td></tr>{% endfor %}
</table>
<p class="about">starlingthread {{ results.version }}, Python {{
results.python }}. The data are in the file beside this page,
<code>{{ data }}</code>.</p>
</body></html>
"""


def write(results: Results, path: Path) -> Path:
    """Write the report, and the data as JSON to the same folder. Return the path of the data."""
    path.parent.mkdir(parents=True, exist_ok=True)
    data_path = path.with_suffix(".json")
    data_path.write_bytes(msgspec.json.encode(results))
    template = Environment(autoescape=True).from_string(_TEMPLATE)
    page = template.render(
        results=results,
        plots=render_plots(results),
        evenness_labels=EVENNESS_LABELS,
        facts=_facts(results),
        data=data_path.name,
    )
    path.write_text(page, encoding="utf-8")
    return data_path


def _facts(results: Results) -> dict[str, float]:
    """Return the counters of a run by the names that the report shows."""
    stalls = {f"longest stall of {process}, ms": stall for process, stall in results.lags.items()}
    bad_clients = {f"bad clients: {outcome}": count for outcome, count in results.bad_client_outcomes.items()}
    return {**results.facts, **stalls, **bad_clients, **results.verdict.notes}
