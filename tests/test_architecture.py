"""The shape of the source tree: imports run one way, and no module grows beyond what one can read in a sitting."""

from __future__ import annotations

import ast
from collections import defaultdict
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PACKAGE = "starlingthread"
MAX_LINES = 400
# A package on the left never imports one of those on its right, nor a module of theirs.
TOOLS = ("emulator", "load", "experiment", "analysis", "testbed", "baselines", "cli")
FORBIDDEN = {
    **dict.fromkeys(("limits", "balance", "failover", "membership", "state"), ("core", "net", "handover", *TOOLS)),
    "policy": ("core", "net", "handover", *TOOLS),
    "core": ("net", "handover", *TOOLS),
    "net": TOOLS,
    "handover": TOOLS,
}


def module_name(path: Path) -> str:
    """Return the dotted name of a source file."""
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


SOURCES = {module_name(path): path for path in sorted((ROOT / PACKAGE).rglob("*.py"))}


def imported_modules(name: str) -> set[str]:
    """Return the modules of the package that a module imports, also those under TYPE_CHECKING or inside functions."""
    path = SOURCES[name]
    package = name.split(".") if path.name == "__init__.py" else name.split(".")[:-1]
    found = set[str]()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            base = package[: len(package) - node.level + 1] if node.level else []
            target = ".".join([*base, *([node.module] if node.module else [])])
            found |= {
                f"{target}.{alias.name}" if f"{target}.{alias.name}" in SOURCES else target for alias in node.names
            }
    return {module for module in found if module in SOURCES} - {name}


GRAPH = {name: imported_modules(name) for name in SOURCES}


def cycles() -> list[set[str]]:
    """Return the sets of modules that import one another in a circle."""
    reached: dict[str, set[str]] = defaultdict(set)
    for start in GRAPH:
        open_ends = list(GRAPH[start])
        while open_ends:
            module = open_ends.pop()
            if module not in reached[start]:
                reached[start].add(module)
                open_ends += GRAPH[module]
    found: list[set[str]] = []
    for module in GRAPH:
        circle = {other for other in reached[module] if module in reached[other]}
        if circle and circle not in found:
            found.append(circle)
    return found


def test_no_modules_import_one_another_in_a_circle() -> None:
    assert cycles() == []


@pytest.mark.parametrize("package", FORBIDDEN)
def test_imports_run_one_way_between_packages(package: str) -> None:
    for name, modules in GRAPH.items():
        if name.split(".")[1:2] == [package]:
            upwards = {module for module in modules if module.split(".")[1] in FORBIDDEN[package]}
            assert not upwards, (name, upwards)


def test_a_router_process_imports_none_of_the_tools() -> None:
    reached, open_ends = set[str](), [f"{PACKAGE}.__main__"]
    while open_ends:
        module = open_ends.pop()
        if module not in reached:
            reached.add(module)
            open_ends += GRAPH[module]
    assert not {module for module in reached if module.split(".")[1:2] and module.split(".")[1] in TOOLS}


@pytest.mark.parametrize("folder", [PACKAGE, "tests"])
def test_no_module_is_over_the_size_limit(folder: str) -> None:
    sizes = {str(path.relative_to(ROOT)): path.read_text().count("\n") for path in (ROOT / folder).rglob("*.py")}
    assert not {name: size for name, size in sizes.items() if size > MAX_LINES}
