"""Entry point of the command line."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

from monsoontray.commands.errors import EXIT_REFUSED, CommandError

NODE_RUN = ["node", "run"]


def main() -> None:
    """Run a command; on failure, print one line and exit with the command's code."""
    # SIGHUP asks a running node to reload its settings. Before the settings are first
    # read there is nothing to reload, and the default action would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    arguments = sys.argv[1:]
    try:
        if arguments[:2] == NODE_RUN and len(arguments) == 3:
            _run_node(arguments[2])
        else:
            _run_command()
    except CommandError as error:
        print(f"monsoontray: {error}", file=sys.stderr)
        sys.exit(error.code)
    except KeyboardInterrupt:
        sys.exit(130)


def _run_node(settings: str) -> None:
    """Run a node without the libraries of the command line.

    They would take a quarter of its memory and of the time until it is ready.
    """
    from monsoontray.node import run_node
    from monsoontray.settings.errors import SettingsError
    from monsoontray.settings.settings import load_settings

    path = Path(settings)
    try:
        loaded = load_settings(path)
    except SettingsError as error:
        raise CommandError(str(error), EXIT_REFUSED) from error
    sys.exit(run_node(loaded, path))


def _run_command() -> None:
    import fire

    from monsoontray.commands.cli import Commands

    fire.Fire(Commands, name="monsoontray")


if __name__ == "__main__":
    main()
