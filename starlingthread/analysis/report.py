"""The HTML report of a run: plots and tables in one file, with the data beside it as JSON."""

from __future__ import annotations

from pathlib import Path

import msgspec
from jinja2 import Environment

from .evenness import EVENNESS_LABELS
from .plots import plots_of
from .results import Results

_TEMPLATE = """<!doctype html>
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
<p><span class="big">{{ "%.1f" | format(100 * r.goodput_share) }}%</span> goodput
(share of the offered priority weight) ·
{{ r.requests }} requests, {{ "%.0f" | format(r.requests_per_s) }}/s ·
{{ "%.2f" | format(r.attempts_per_request) }} attempts per request ·
cache hits {{ "%.1f" | format(100 * r.hit_share) }}% ·
{{ r.scenario.routers.count }} routers, {{ r.scenario.fleet.servers }} servers</p>
{% for reason in r.verdict.void %}<p class="bad">Void: {{ reason }}</p>{% endfor %}
{% if r.verdict.counts %}<p class="bad">Rules broken:
{% for name, count in r.verdict.counts.items() %}{{ name }} ({{ count }}) {% endfor %}</p>
{% elif not r.verdict.void %}<p class="good">No rule broken.</p>{% endif %}
<h2>Classes</h2>
<table><tr><th>class</th><th>requests</th><th>in time</th><th>late</th><th>rejected</th><th>failed</th>
<th>cancelled by client</th><th>attempts</th><th>goodput</th><th>p50 ms</th><th>p99</th><th>p99.9</th><th>max</th></tr>
{% for c in r.classes %}<tr><td>{{ c.name }}</td><td>{{ c.offered }}</td><td>{{ c.in_time }}</td>
<td>{{ c.late }}</td><td>{{ c.rejected }}</td><td>{{ c.failed }}</td><td>{{ c.abandoned }}</td><td>{{ c.attempts }}</td>
<td>{{ "%.3f" | format(c.goodput_share) }}</td>
{% for p in ("50", "99", "99.9", "100") %}<td>{{ "%.1f" | format(c.percentiles[p]) if p in c.percentiles }}</td>
{% endfor %}</tr>{% endfor %}</table>
{% for title, picture in pictures %}<h2>{{ title }}</h2>
<img alt="{{ title }}" src="data:image/png;base64,{{ picture }}">{% endfor %}
{% if r.evenness %}<h2>Evenness of the servers</h2><p class="about">The load ratio is
a server's load over its fair share by speed: 1 is even.
The herd index is the variance of arrivals in 50 ms over their mean: 1 by chance alone.</p><table>
{% for name, label in evenness_labels.items() %}<tr><td>{{ label }}</td>
<td>{{ "%g" | format(r.evenness[name]) }}</td></tr>{% endfor %}</table>{% endif %}
<h2>Routers</h2>
<table><tr><th>router</th><th>requests</th><th>CPU per request, µs</th><th>CPU, cores</th><th>peak memory, MB</th>
<th>peak descriptors</th></tr>
{% for x in r.routers %}<tr><td>{{ x.name }}</td><td>{{ x.requests }}</td>
<td>{{ "%.0f" | format(x.cpu_us_per_request) }}</td><td>{{ "%.2f" | format(x.cpu_share) }}</td>
<td>{{ "%.1f" | format(x.peak_memory_mb) }}</td><td>{{ x.peak_descriptors }}</td></tr>{% endfor %}</table>
{% if r.faults %}<h2>Faults</h2><table><tr><th>fault</th><th>kind</th><th>from s</th><th>to s</th><th>targets</th></tr>
{% for f in r.faults %}<tr><td>{{ f.label }}</td><td>{{ f.kind }}</td><td>{{ "%.1f" | format(f.began_at) }}</td>
<td>{{ "%.1f" | format(f.ended_at) }}</td><td>{{ f.target }}</td></tr>{% endfor %}</table>{% endif %}
{% if r.verdict.violations %}<h2>Violations</h2><table><tr><th>rule</th><th>at s</th><th>router</th><th>request</th>
<th>description</th></tr>{% for v in r.verdict.violations %}<tr><td>{{ v.rule }}</td><td>{{ v.at_s }}</td>
<td>{{ v.router }}</td><td><code>{{ v.request }}</code></td><td>{{ v.text }}</td></tr>{% endfor %}</table>{% endif %}
<h2>Counters</h2><table>
{% for name, value in facts.items() %}<tr><td>{{ name }}</td><td>{{ "%g" | format(value) }}</td></tr>{% endfor %}
</table>
<p class="about">starlingthread {{ r.version }}, Python {{ r.python }}. The data are in the file beside this page,
<code>{{ data }}</code>.</p>
</body></html>
"""


def write(results: Results, path: Path) -> Path:
    """Write the report, and the data beside it; return the path of the data."""
    path.parent.mkdir(parents=True, exist_ok=True)
    data_path = path.with_suffix(".json")
    data_path.write_bytes(msgspec.json.encode(results))
    template = Environment(autoescape=True).from_string(_TEMPLATE)
    page = template.render(
        r=results,
        pictures=plots_of(results),
        evenness_labels=EVENNESS_LABELS,
        facts=_facts(results),
        data=data_path.name,
    )
    path.write_text(page, encoding="utf-8")
    return data_path


def _facts(results: Results) -> dict[str, float]:
    """Return the counts of a run by the names that the report shows."""
    stalls = {f"longest stall of {process}, ms": stall for process, stall in results.lags.items()}
    bad_clients = {f"bad clients: {outcome}": count for outcome, count in results.bad_client_outcomes.items()}
    return {**results.facts, **stalls, **bad_clients, **results.verdict.notes}
