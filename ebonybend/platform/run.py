"""Run a node on the platform."""

import os
import sys
from collections.abc import Callable
from pathlib import Path
from time import monotonic, sleep

from ebonybend.errors import SteeringError
from ebonybend.logs import NonBlockingLogFile, configure_logs, get_logger
from ebonybend.loop import install_reactor
from ebonybend.node.settings import NodeSettings
from ebonybend.platform.settings import MAX_PORT, read_settings, settings_path

# Default port of the metrics; also in deploy/system.toml.
METRICS_PORT = "9464"
METRICS_PORT_VARIABLE = "EBONYBEND_METRICS_PORT"
EXIT_FAILED = 1
EXIT_BAD_SETTING = 2
STDOUT_DESCRIPTOR = 1
# Time for which a settings file that can't be read is read again at the start; it may
# be written at the moment.
MAX_SETTINGS_WAIT_S = 30.0
SETTINGS_PERIOD_S = 0.2
# Time between two lines about the same file.
LINE_PERIOD_S = 5.0


def run_node() -> int:
    """Run the node and return the exit status; log why it isn't 0."""
    log_file = NonBlockingLogFile(STDOUT_DESCRIPTOR)
    configure_logs("info", log_file)
    try:
        path = settings_path()
        settings = wait_for_settings(path)
        configure_logs("info", log_file, instance=settings.name)
        start_node(settings, lambda: read_settings(path), log_file)
        from twisted.internet import reactor

        reactor.run(installSignalHandlers=False)
    except SteeringError as error:
        get_logger().error("process_ends", status=EXIT_BAD_SETTING, error=error.message)
        print(f"ebonybend: {error.message}", file=sys.stderr)
        return EXIT_BAD_SETTING
    except Exception as error:
        get_logger().exception("process_ends", status=EXIT_FAILED, error=repr(error))
        return EXIT_FAILED
    return 0


def wait_for_settings(
    path: Path,
    clock: Callable[[], float] = monotonic,
    sleep_s: Callable[[float], None] = sleep,
) -> NodeSettings:
    """Return the settings; wait some time for a file that can be read.

    Raises BAD_SETTING with the last reason.
    """
    started_at = clock()
    line_at = started_at
    while True:
        try:
            return read_settings(path)
        except SteeringError as error:
            now = clock()
            if now - started_at >= MAX_SETTINGS_WAIT_S:
                raise
            if now >= line_at:
                line_at = now + LINE_PERIOD_S
                get_logger().error("settings_refused", error=error.message)
        sleep_s(SETTINGS_PERIOD_S)


def metrics_port(text: str) -> int:
    """Return the port of the metrics, the default if the text names none."""
    if text.isascii() and text.isdigit() and 1 <= int(text[:6]) <= MAX_PORT:
        return int(text)
    error = f"{METRICS_PORT_VARIABLE}: {text!r} is no port"
    get_logger().error("settings_refused", error=error)
    return int(METRICS_PORT)


def start_node(
    settings: NodeSettings,
    reload: Callable[[], NodeSettings],
    log_file: NonBlockingLogFile,
) -> None:
    """Install the reactor and start the node on it."""
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
        metrics_port(os.environ.get(METRICS_PORT_VARIABLE, METRICS_PORT)),
        reload,
        log_file,
    )
    service.start()
