"""Check that the core package does not import networking or concurrency modules."""

import ast
import pathlib

import pytest

CORE = pathlib.Path(__file__).parents[2] / "packages/core/src"
FORBIDDEN = {"eventlet", "pynng", "urllib3", "http", "socket", "threading", "statsd"}
MODULES = sorted(CORE.rglob("*.py"))


def _imports(path: pathlib.Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name.split(".")[0] for alias in node.names)
        if isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.split(".")[0])
    return names


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_core_imports_no_runtime(path: pathlib.Path) -> None:
    assert not _imports(path) & FORBIDDEN
