"""Start a new control cluster from a copy of a replica's data folder."""

import pathlib
import sys
from typing import Any

from absl import flags

from pimentobend_adapters._internal.disk.files import FolderFiles
from pimentobend_adapters._internal.disk.folder import FolderDisk
from pimentobend_core._internal.consensus.members import NO_MEMBERS
from pimentobend_core._internal.consensus.members import Member
from pimentobend_core._internal.consensus.storage import restart_alone
from pimentobend_core._internal.exceptions import PimentobendError
from pimentobendd._internal.status import Status

USAGE = "usage: python -m pimentobendd.restore --folder=DIR --address=IP:PORT"


def main(argv: list[str]) -> Status:
    """Make the replica in the folder the only voter; its process must not run."""
    values: Any = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_string(
        "folder",
        None,
        "the copied data folder of one replicated log",
        flag_values=values,
    )
    flags.DEFINE_string(
        "address",
        None,
        "link address of the new cluster's only replica",
        flag_values=values,
    )
    try:
        values(argv)
    except flags.Error as error:
        print(f"restore: {error}", file=sys.stderr)
        return Status.USAGE
    if values.folder is None or values.address is None:
        print(USAGE, file=sys.stderr)
        return Status.USAGE
    folder = pathlib.Path(values.folder)
    if not (folder / "log").is_file():
        print(f"restore: {folder} contains no file named log", file=sys.stderr)
        return Status.USAGE
    try:
        _restore(folder, values.address)
    except PimentobendError as error:
        print(f"restore: {error}", file=sys.stderr)
        return Status.ERROR
    return Status.SUCCESS


def _restore(folder: pathlib.Path, address: str) -> None:
    disk = FolderDisk(FolderFiles(folder))
    stored = disk.load(NO_MEMBERS)
    disk.append(restart_alone(stored, Member(address, address)))
    last_index = stored.base.log_index + len(stored.entries)
    print(f"{folder}: {address} is the only voter; last index {last_index}")
    disk.close()


if __name__ == "__main__":
    sys.exit(main(sys.argv))
