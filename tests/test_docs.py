"""Tests that the pages name files and tests that exist."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[1]
PAGES = [ROOT / "README.md", ROOT / "DEVELOPERS.md", *sorted(ROOT.glob("docs/*.md"))]
PATH = re.compile(
    r"[\w.*/-]+\.(?:py|proto|toml|jsonl)\b"  # a file of the sources
    r"|(?<=`)[\w.-]+(?:/[\w.-]+)*/(?=`)"  # a folder
    r"|(?<=`)(?:\.ci|bench|deploy|tests)/[\w./-]+(?=`)"
    r"|(?<=\]\()[\w./-]+(?=\))"  # the target of a link
)
STORE_PREFIXES = {"op/"}  # of keys in the platform's store, not folders
FOLDERS = ("", "docs/", "monsoontray/")
TEST_FILES = sorted(ROOT.glob("tests/**/*.py"))


def is_in_repository(path):
    """Return whether a path, or a lone file name below monsoontray/, exists."""
    patterns = [folder + path for folder in FOLDERS]
    if "/" not in path:
        patterns.append(f"monsoontray/**/{path}")
    return any(next(ROOT.glob(pattern.rstrip("/")), None) for pattern in patterns)


def find_test_names():
    """Return the names of the test folders, test files and test functions."""
    names = {file.stem for file in TEST_FILES} | {
        file.parent.name for file in TEST_FILES
    }
    for file in TEST_FILES:
        names.update(re.findall(r"def (test_\w+)", file.read_text()))
    return names


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_each_path_in_a_page_exists(page):
    """Each file and folder that the page names is in the repository."""
    paths = set(PATH.findall(page.read_text())) - STORE_PREFIXES
    assert [path for path in sorted(paths) if not is_in_repository(path)] == []


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_each_test_name_in_a_page_exists(page):
    """Each name with `test_` is that of a test folder, test file or test."""
    names = set(re.findall(r"\btest_\w+", page.read_text()))
    assert sorted(names - find_test_names()) == []
