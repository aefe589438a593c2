"""Start a node on the platform: python3 -m ebonybend.platform."""

import sys
from signal import SIG_IGN, SIGHUP, signal


def main() -> int:
    """Run the node and return the exit status."""
    # SIGHUP would end the process until the node handles it. The settings are read
    # after this, so nothing is lost with an ignored one.
    signal(SIGHUP, SIG_IGN)
    # Imported here because it takes most of the time of the start.
    from ebonybend.platform.run import run_node

    return run_node()


if __name__ == "__main__":
    sys.exit(main())
