"""Entry point of the daemon ebonybendd."""

import sys

from ebonybend.errors import SteeringError
from ebonybend.logs import configure_logs
from ebonybend.loop import install_reactor
from ebonybend.settings import Settings, parse_settings

EXIT_BAD_SETTING = 2


def run(settings: Settings) -> int:
    """Run the process of the chosen role and return the exit status."""
    install_reactor()
    # Imported here, because these modules import the reactor installed above.
    if settings.role == "control":
        from ebonybend.control.service import run_control

        return run_control(settings) or 0
    from twisted.internet import reactor

    from ebonybend.entry.service import run_entry

    return run_entry(reactor, settings)


def main() -> int:
    """Run the daemon and return the exit status."""
    try:
        settings = parse_settings(sys.argv)
        configure_logs(
            settings.log_level, instance=settings.instance, role=settings.role
        )
        return run(settings)
    except SteeringError as error:
        print(f"ebonybendd: {error.message}", file=sys.stderr)
        return EXIT_BAD_SETTING


if __name__ == "__main__":
    sys.exit(main())
