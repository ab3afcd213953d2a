"""Read tables from files."""

import pathlib

from returns.result import Failure

from pimentobend._internal.exceptions import ClientError
from pimentobend._internal.exceptions import RefusedError
from pimentobend_core._internal.configuration.checks import check_tables
from pimentobend_core._internal.models.tables import TablesDocument

HTTP_FAULTS = 422


def read_text(path: str) -> str:
    """Return a file's text; raise ClientError when it cannot be read."""
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ClientError(
            "cannot read the tables", context=f"{path}: {error}"
        ) from error


def read_tables(path: str) -> TablesDocument:
    """Return checked tables; raise RefusedError that names every fault."""
    result = check_tables(read_text(path))
    if isinstance(result, Failure):
        faults = tuple(f"{path}: {fault}" for fault in result.failure())
        message = f"the tables have {len(faults)} fault(s)"
        raise RefusedError(HTTP_FAULTS, message, faults, "")
    return result.unwrap()
