"""Entry point of the ``pimentobend`` command."""

import sys
import warnings

from pimentobend._internal.main import run

warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")


def main() -> int:
    """Run the command line of this process and return its exit code."""
    return run(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
