"""Test JSON of operators that no tool would write: settings files and tables.

An error other than the expected one ended the task that reads the settings file again
when it changes, or was a 500 instead of a list of faults.
"""

import json
import pathlib

import pytest
from returns.result import Failure

from pimentobend_core._internal.configuration.checks import check_tables
from pimentobend_core._internal.utils.checks import parse_document
from pimentobendd._internal.exceptions import SettingsError
from pimentobendd._internal.fleet.settings_file import SettingsFile
from pimentobendd._internal.interfaces.replies import make_error
from pimentobendd._internal.interfaces.replies import write_reply

TABLES = '{"routes":[],"pools":[{"name":"a","service":%s,"floor":%s}]}'
ODD = [
    ("deeply nested", "[" * 50_000 + "]" * 50_000),
    ("nested to the limit", "[" * 990 + "]" * 990),
    ("nested in a known key", '{"routes":' + "[" * 960 + "]" * 960 + "}"),
    ("thousands of digits", '{"routes":' + "9" * 9000 + "}"),
    ("a number below thousands of digits", '{"grace_s":-' + "9" * 9000 + "}"),
    ("hundreds of digits", '{"grace_s":' + "9" * 300 + "}"),
    ("a lone surrogate", TABLES % ('"\\ud800"', "0.5")),
    ("a lone surrogate as a key", '{"\\udfff":1}'),
    ("a repeated key with a lone surrogate", '{"\\uD800":1,"\\uD800":2}'),
    ("a number 1e400", TABLES % ('"x"', "1e400")),
    ("a number that is none", TABLES % ('"x"', "NaN")),
    ("a number without end", TABLES % ('"x"', "-Infinity")),
    ("no document", ""),
    ("a number", "1"),
]
IDS = [each[0] for each in ODD]


@pytest.mark.parametrize("text", [each[1] for each in ODD], ids=IDS)
def test_odd_tables_are_refused_with_their_faults(text: str) -> None:
    checked = check_tables(text)
    assert isinstance(checked, Failure)
    faults = tuple(str(fault) for fault in checked.failure())
    (content,) = write_reply(make_error(422, "faults", faults), lambda *given: None)
    assert json.loads(content)["faults"] == list(faults)


@pytest.mark.parametrize("text", [each[1] for each in ODD], ids=IDS)
def test_an_odd_settings_file_is_refused(text: str, tmp_path: pathlib.Path) -> None:
    path = tmp_path / "settings.json"
    path.write_text(text, encoding="utf-8")
    with pytest.raises(SettingsError) as raised:
        SettingsFile(str(path)).load()
    str(raised.value).encode()


def test_a_pair_of_surrogates_is_a_character() -> None:
    assert parse_document('{"a":"\\ud83d\\ude00"}') == ({"a": "\U0001f600"}, ())
