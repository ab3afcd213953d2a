"""Check that the platform's names stay in its folder and it imports no internals."""

import ast
import pathlib
import subprocess
import sys

import pytest

from pimentobend_platform.dialect import NAMES

ROOT = pathlib.Path(__file__).parents[3]
WIRE_NAMES = [
    name for name in NAMES if name.startswith("X-") and "Idempotency" not in name
] + [
    "warmupRemainingS",
    "trafficSplit",
    "pathPrefix",
    "heartbeatAddr",
    "seedNodes",
    "/-/",
]
SOURCES = sorted((ROOT / "packages").rglob("src/**/*.py"))


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: path.stem)
def test_nothing_outside_knows_the_platforms_names(path: pathlib.Path) -> None:
    text = path.read_text()
    assert [name for name in WIRE_NAMES if name in text] == []


@pytest.mark.parametrize(
    "path", sorted((ROOT / "platform").rglob("*.py")), ids=lambda path: path.stem
)
def test_the_platform_folder_builds_on_public_names(path: pathlib.Path) -> None:
    modules = {
        node.module
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.ImportFrom) and node.module
    }
    assert [module for module in modules if "_internal" in module] == []


def test_the_standard_module_platform_is_not_hidden() -> None:
    program = "import platform, pimentobend_platform; print(platform.python_version())"
    process = subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        text=True,
        cwd=ROOT / "deploy",
        env={"PYTHONPATH": str(ROOT / "platform")},
        check=False,
    )
    assert process.stdout.startswith("3.")


def test_a_reload_is_harmless_from_the_first_import_on(tmp_path: pathlib.Path) -> None:
    program = "import signal; print(signal.getsignal(signal.SIGHUP).name); 1 / 0"
    (tmp_path / "eventlet.py").write_text(program)
    process = subprocess.run(
        [sys.executable, "-m", "pimentobend_platform"],
        env={"PYTHONPATH": f"{tmp_path}:{ROOT / 'platform'}"},
        cwd=tmp_path,
        capture_output=True,
        text=True,
        check=False,
    )
    assert process.stdout == "SIG_IGN\n", process.stderr
