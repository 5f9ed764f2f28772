"""The pages name only files and folders that exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
BASES = (ROOT, ROOT / "starlingthread")
HISTORY = {"measurements.md", "CHANGELOG.md"}  # they tell of earlier versions and keep the names of those
PAGES = sorted(page for pattern in ("README.md", "docs/*.md", "docs/design/*.md") for page in ROOT.glob(pattern))
QUOTED = re.compile(r"`([^`\s]+)`")
PATH = re.compile(r"[\w.-]+(?:/[\w.-]+)*(?:\.py|\.md|\.toml|/)")


def quoted_paths(text: str) -> set[str]:
    """Return the paths in backquotes: of Python, Markdown and TOML files, and of folders, which end in a slash."""
    return {quoted for quoted in QUOTED.findall(text) if PATH.fullmatch(quoted)}


def exists(path: str) -> bool:
    """Return whether a path names a file, or a folder if it ends in a slash, from the root or the package on."""
    found = [base / path for base in BASES if (base / path).exists()]
    return any(entry.is_dir() for entry in found) if path.endswith("/") else bool(found)


def test_paths_are_told_from_other_words_in_backquotes() -> None:
    text = "`net/`, `core/router.py:12`, `x.html`, `/proc/`, `a b.py`, `README.md`, `deploy/a-b.toml`, net/peers.py"
    assert quoted_paths(text) == {"net/", "README.md", "deploy/a-b.toml"}
    assert exists("net/") and exists("README.md") and not exists("peers.py") and not exists("core/router/")


@pytest.mark.parametrize(
    "page", [page for page in PAGES if page.name not in HISTORY], ids=lambda page: str(page.relative_to(ROOT))
)
def test_files_and_folders_named_in_a_page_exist(page: Path) -> None:
    assert [path for path in sorted(quoted_paths(page.read_text(encoding="utf-8"))) if not exists(path)] == []
