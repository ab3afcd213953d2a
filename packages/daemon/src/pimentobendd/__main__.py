"""Start the daemon from its settings file."""

import sys
import warnings

warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

from pimentobendd._internal.main import run  # noqa: E402


def main() -> int:
    """Run the daemon and return its exit code."""
    return run(sys.argv)


if __name__ == "__main__":
    sys.exit(main())
