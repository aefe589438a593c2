"""Run a node on the platform."""

import os
import sys

from ebonybend.errors import SteeringError
from ebonybend.logs import NonBlockingLogFile, configure_logs
from ebonybend.loop import install_reactor
from ebonybend.platform.settings import read_settings, settings_path

# Default port of the metrics; also in deploy/system.toml.
METRICS_PORT = "9464"
METRICS_PORT_VARIABLE = "EBONYBEND_METRICS_PORT"
EXIT_BAD_SETTING = 2


def run_node() -> int:
    """Run the node and return the exit status."""
    try:
        path = settings_path()
        settings = read_settings(path)
        log_file = NonBlockingLogFile(sys.stdout.fileno())
        configure_logs("info", log_file, instance=settings.name)
        install_reactor()
        # These modules import the installed reactor.
        from twisted.internet import reactor

        from ebonybend.http_client import HttpClient
        from ebonybend.node.service import NodeService
        from ebonybend.platform.calls import PlatformWireFormat
        from ebonybend.platform.documents import PlatformDocuments
        from ebonybend.platform.store import PlatformStore
        from ebonybend.tasks import pause_between_steps

        http = HttpClient(reactor, detect_dead_peers=True)
        service = NodeService(
            reactor,
            settings,
            PlatformStore(
                http,
                settings.store_address,
                reactor.seconds,
                pause_between_steps(reactor),
            ),
            PlatformWireFormat(),
            PlatformDocuments(),
            int(os.environ.get(METRICS_PORT_VARIABLE, METRICS_PORT)),
            lambda: read_settings(path),
            log_file,
        )
        service.start()
    except SteeringError as error:
        print(f"ebonybend: {error.message}", file=sys.stderr)
        return EXIT_BAD_SETTING
    reactor.run(installSignalHandlers=False)
    return 0
