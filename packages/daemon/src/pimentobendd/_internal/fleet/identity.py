"""Store the identity of a replica in its data folder."""

import secrets

import msgspec

from pimentobend_adapters._internal.disk.exceptions import CorruptDiskError
from pimentobend_adapters._internal.disk.exceptions import DiskError
from pimentobend_adapters._internal.disk.files import Files
from pimentobend_core._internal.consensus.formation import Identity
from pimentobend_core._internal.consensus.formation import create_identity

FILE_NAME = "identity"
_TEMPORARY_FILE_NAME = "identity.new"
TOKEN_BYTES = 8


def load_identity(
    files: Files, address: str, founders: tuple[str, ...], *, is_first_start: bool
) -> Identity:
    """Return the stored identity, or create and store one.

    Raise ``DiskError`` if the folder cannot be read or written.
    """
    try:
        data = files.read(FILE_NAME)
        if data is not None:
            return msgspec.json.decode(data, type=Identity)
        identity = create_identity(
            address,
            founders,
            is_first_start=is_first_start,
            token=secrets.token_hex(TOKEN_BYTES),
        )
        files.create(_TEMPORARY_FILE_NAME, msgspec.json.encode(identity))
        files.sync(_TEMPORARY_FILE_NAME)
        files.rename(_TEMPORARY_FILE_NAME, FILE_NAME)
        files.sync_folder()
    except msgspec.MsgspecError as error:
        raise CorruptDiskError(
            "the stored identity is damaged",
            hint="empty the data folder: the replica then joins as a new one",
        ) from error
    except OSError as error:
        raise DiskError(
            "the identity cannot be stored", context=error.strerror or str(error)
        ) from error
    return identity
