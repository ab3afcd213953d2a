"""Read and check tables files."""

import pathlib

from returns.result import Failure

from pimentobend._internal.exceptions import ClientError
from pimentobend._internal.exceptions import RefusedError
from pimentobend_core._internal.configuration.checks import check_tables
from pimentobend_core._internal.models.tables import TablesDocument

HTTP_UNPROCESSABLE = 422


def read_text(path: str) -> str:
    """Return the text of a UTF-8 file; raise ClientError if it cannot be read."""
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ClientError(
            "cannot read the tables file", context=f"{path}: {error}"
        ) from error


def read_tables(path: str) -> TablesDocument:
    """Parse and check the tables in a file.

    Raises RefusedError with all faults, as if a daemon had refused the tables.
    """
    result = check_tables(read_text(path))
    if isinstance(result, Failure):
        faults = tuple(f"{path}: {fault}" for fault in result.failure())
        message = f"the tables have {len(faults)} fault(s)"
        raise RefusedError(HTTP_UNPROCESSABLE, message, faults, "")
    return result.unwrap()
