"""Tests of scenario files: those of the repository are valid, and errors in others are reported."""

from __future__ import annotations

import resource
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from starlingthread.cli.main import main
from starlingthread.experiment import scenario, scenario_file
from starlingthread.experiment.validation import ScenarioError
from starlingthread.testbed import machine
from starlingthread.testbed.errors import RunError

ROOT = Path(__file__).parents[1]
CALM = scenario.Scenario("calm")


@pytest.mark.parametrize("path", sorted((ROOT / "scenarios").glob("*.toml")), ids=lambda p: p.stem)
def test_scenarios_are_valid_and_round_trip(path: Path) -> None:
    parsed = scenario_file.read(path)
    assert parsed.name == path.stem and parsed.about
    assert msgspec.convert(msgspec.to_builtins(parsed), scenario.Scenario) == parsed
    assert msgspec.json.decode(msgspec.json.encode(parsed), type=scenario.Scenario) == parsed


@pytest.mark.parametrize(
    ("text", "key", "expected"),
    [
        ("[fleet]\nservrs = 3", "fleet", "unknown field `servrs`"),
        ("[fleet]\nservers = 0", "fleet.servers", ">= 1"),
        ("[traffic]\nrate = 'fast'", "traffic.rate", "float"),
        ("length_s = 99999999", "length_s", "<= 86400"),
        ("[[faults]]\nkind = 'slw'\nstart_s = 1", "faults[", "expected one of slow, pause,"),
        ("[[faults]]\nkind = 'slow'\nstart_s = 1\nstrength = 0.5", "faults[0].strength", "1 to 1000"),
        ("[[faults]]\nkind = 'pause'\nstart_s = 99", "faults[0].start_s", "less than length_s"),
        ("[[faults]]\nkind = 'crash'\nstart_s = 1\nservers = [9]", "faults[0].servers", "0 to 8"),
        ("[[faults]]\nkind = 'zone-dark'\nstart_s = 1\nzone = 'x'", "faults[0].zone", "bloco-a"),
        ("[[faults]]\nkind = 'kill-router'\nstart_s = 1\nrouters = [3]", "faults[0].routers", "0 to 2"),
        ("[[traffic.classes]]\nname = 'a'\nshare = 1\neffect = 'once'", "traffic.classes[0].write", "true"),
        ("[traffic]\nrate = 1e9", "traffic.rate", "at most 20000000"),
        ("[fleet]\ncold_servers = 10", "fleet.cold_servers", "at most fleet.servers 9"),
        ("[fleet]\nboxes = 3", "fleet", "unknown field `boxes`, it is called `servers` now"),
        ("[machine]\nbox_processes = 3", "machine", "it is called `server_processes` now"),
        ("[[faults]]\nkind = 'link-cut'\nstart_s = 1\nway = 'to-box'", "faults[0].way", "it is called `to-server` now"),
        ("[fleet", "not valid TOML", "not valid TOML"),
    ],
)
def test_the_error_for_an_invalid_scenario_names_file_key_and_expectation(
    text: str, key: str, expected: str, tmp_path: Path
) -> None:
    path = tmp_path / "bad.toml"
    path.write_text(f'name = "bad"\n{text}\n')
    result = CliRunner().invoke(main, ["bench", str(path)])
    assert result.exit_code == 1 and len(result.stderr.splitlines()) == 1
    assert str(path) in result.stderr and key in result.stderr and expected in result.stderr


def test_a_scenario_larger_than_the_machine_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(resource, "getrlimit", lambda _: (1024, 4096))
    oversized = msgspec.structs.replace(CALM, fleet=scenario.Fleet(servers=2000))
    with pytest.raises(RunError, match="allows 4096: raise machine"):
        machine.check_machine(oversized)


def test_router_options_zones_and_links_are_validated() -> None:
    valid = scenario_file.parse('name = "x"\n[routers]\nlink_groups = 6\n[routers.options.log]\nlevel = "error"\n', "f")
    assert valid.routers.options == {"log": {"level": "error"}} and scenario.link_groups(valid) == 6
    for text, expected in (
        ("[routers.options.log]\nlevel = 7\n", "log.level"),
        ("[routers]\nlink_groups = 4\n", "multiple of the 3"),
        ('[[faults]]\nkind = "link-cut"\nstart_s = 1.0\nfrom_zone = "q"\n', "from_zone"),
        ('[[faults]]\nkind = "link-cut"\nstart_s = 1.0\ngroups = [3]\n', "numbers from 0 to 2"),
        ('[fleet]\nregions = ["n"]\n', "the region of each"),
    ):
        with pytest.raises(ScenarioError, match=expected):
            scenario_file.parse('name = "x"\n' + text, "f")
    regional = scenario_file.parse(
        'name = "x"\n[fleet]\nregions = ["n", "n", "s"]\nzone_ms = 1.0\nregion_ms = 9.0\n', "f"
    )
    assert [scenario.distance_ms(regional, server, 0) for server in range(3)] == [0.0, 1.0, 9.0]
