"""Run the command line."""

from __future__ import annotations

import signal
import sys

import fire

from monsoontray.commands.cli import Commands
from monsoontray.commands.errors import CommandError


def main() -> None:
    """Run a command; end with its exit code and, on failure, one line."""
    # A change of the settings that is told before they were read needs no answer.
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
