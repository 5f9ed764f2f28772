"""The structure of the source tree: imports between packages have one direction, and modules have a size limit."""

from __future__ import annotations

import ast
from collections import defaultdict
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PACKAGE = "starlingthread"
MAX_LINES = 400
# Each package (key) must not import any of the packages in its value, nor their modules.
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
    """Return the modules of this project that a module imports, including those under TYPE_CHECKING or in functions."""
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
    """Return the import cycles: sets of modules that import each other, directly or not."""
    reached: dict[str, set[str]] = defaultdict(set)
    for start in GRAPH:
        pending = list(GRAPH[start])
        while pending:
            module = pending.pop()
            if module not in reached[start]:
                reached[start].add(module)
                pending += GRAPH[module]
    found: list[set[str]] = []
    for module in GRAPH:
        cycle = {other for other in reached[module] if module in reached[other]}
        if cycle and cycle not in found:
            found.append(cycle)
    return found


def test_there_are_no_import_cycles() -> None:
    assert cycles() == []


@pytest.mark.parametrize("package", FORBIDDEN)
def test_packages_import_no_forbidden_packages(package: str) -> None:
    for name, modules in GRAPH.items():
        if name.split(".")[1:2] == [package]:
            forbidden_imports = {module for module in modules if module.split(".")[1] in FORBIDDEN[package]}
            assert not forbidden_imports, (name, forbidden_imports)


def test_a_router_process_imports_none_of_the_tools() -> None:
    reached, pending = set[str](), [f"{PACKAGE}.__main__"]
    while pending:
        module = pending.pop()
        if module not in reached:
            reached.add(module)
            pending += GRAPH[module]
    assert not {module for module in reached if module.split(".")[1:2] and module.split(".")[1] in TOOLS}


@pytest.mark.parametrize("folder", [PACKAGE, "tests"])
def test_no_module_is_over_the_size_limit(folder: str) -> None:
    sizes = {str(path.relative_to(ROOT)): path.read_text().count("\n") for path in (ROOT / folder).rglob("*.py")}
    assert not {name: size for name, size in sizes.items() if size > MAX_LINES}
