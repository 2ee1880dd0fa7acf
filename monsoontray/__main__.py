"""Entry point of the command line."""

from __future__ import annotations

import signal
import sys

import fire

from monsoontray.commands.cli import Commands
from monsoontray.commands.errors import CommandError


def main() -> None:
    """Run a command; on failure, print one line and exit with the command's code."""
    # SIGHUP asks a running node to reload its settings. Before the settings are first
    # read there is nothing to reload, and the default action would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        fire.Fire(Commands, name="monsoontray")
    except CommandError as error:
        print(f"monsoontray: {error}", file=sys.stderr)
        sys.exit(error.code)
    except KeyboardInterrupt:
        sys.exit(130)


if __name__ == "__main__":
    main()
