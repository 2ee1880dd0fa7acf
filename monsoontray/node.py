"""Assemble a node from its services and run it."""

from __future__ import annotations

import signal
from importlib import import_module
from pathlib import Path
from types import FrameType

from monsoontray.forwarding.interfaces import PLATFORM_INTERFACE, build_interface
from monsoontray.kernel.clock import SystemClock
from monsoontray.kernel.kernel import Kernel
from monsoontray.kernel.messages import StopRequested
from monsoontray.logs import configure_logging, logger
from monsoontray.settings.service import ReloadSettings, register_settings
from monsoontray.settings.settings import Settings

#: For each interface, the modules whose ``setup(kernel)`` registers one service.
SERVICE_MODULES = {
    "plans": (
        "monsoontray.metrics.service",
        "monsoontray.store.service",
        "monsoontray.forwarding.forwarder",
        "monsoontray.containment.writer",
        "monsoontray.containment.service",
        "monsoontray.membership.service",
        "monsoontray.membership.peers",
        "monsoontray.configuration.service",
        "monsoontray.configuration.acceptance",
        "monsoontray.configuration.watcher",
        "monsoontray.operators.service",
    ),
    "platform": (
        "monsoontray.metrics.service",
        "monsoontray.store.service",
        "monsoontray.forwarding.forwarder",
        "monsoontray.discovery.service",
        "monsoontray.discovery.publisher",
        "monsoontray.discovery.keepers",
        "monsoontray.discovery.mirror",
        "monsoontray.discovery.watch",
        "monsoontray.containment.writer",
        "monsoontray.containment.peers",
        "monsoontray.containment.service",
        "monsoontray.rollouts.service",
        "monsoontray.platform.operator",
        "monsoontray.platform.endpoint",
    ),
}
USAGE_MODULES = ("monsoontray.usage.service", "monsoontray.usage.duty")
STOP_MARGIN_S = 0.5  # time from the end of the stop until the platform's kill
EXIT_STOPPED = 0
EXIT_FAILED = 70


def run_node(settings: Settings, path: Path) -> int:
    """Run a node until it is asked to stop; return the exit code.

    ``path`` is the settings file. The node reads it again when it changes.
    """
    configure_logging(
        settings.get_string("log_format"),
        settings.get_string("log_level"),
        settings.get_string("node"),
        settings.get_string("log_file"),
    )
    kernel = Kernel(SystemClock(), _compute_stop_grace(settings))
    register_settings(kernel, settings, path)
    for name in _choose_modules(settings):
        import_module(name).setup(kernel)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(
            number, lambda signum, frame: _request_stop(kernel, signum, frame)
        )
    kernel.start()
    signal.signal(signal.SIGHUP, lambda signum, frame: _request_reload(kernel, path))
    logger.info("node started")
    kernel.run()
    kernel.stop()
    return EXIT_FAILED if kernel.failed else EXIT_STOPPED


def _choose_modules(settings: Settings) -> tuple[str, ...]:
    """Return the modules of the interface, and of what the settings ask for."""
    interface = settings.get_string("interface")
    modules = SERVICE_MODULES[interface]
    reports_usage = settings.get_string("usage_address") and settings.get_float(
        "usage_window_s"
    )
    if interface == PLATFORM_INTERFACE and reports_usage:
        return modules + USAGE_MODULES
    return modules


def _request_reload(kernel: Kernel, path: Path) -> None:
    kernel.post("settings", ReloadSettings(path))


def _compute_stop_grace(settings: Settings) -> float:
    """Return how long stopping may take, in seconds."""
    limit_s = build_interface(settings).bounds.stop_limit_s
    grace_s = settings.get_seconds("stop_grace_ms")
    return min(grace_s, limit_s - STOP_MARGIN_S) if limit_s else grace_s


def _request_stop(kernel: Kernel, signum: int, frame: FrameType | None) -> None:
    kernel.post_to_kernel(StopRequested(signal.Signals(signum).name))
