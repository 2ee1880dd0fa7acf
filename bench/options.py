"""Options and results of experiments."""

from __future__ import annotations

import subprocess
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from bench.faults import Fault, read_faults


class OptionsError(Exception):
    """A command-line argument is invalid."""


@dataclass(slots=True, frozen=True)
class Options:
    """Validated options of an experiment."""

    seed: int
    nodes: int
    duration_s: float
    faults: tuple[Fault, ...]


def build_options(
    seed: int, nodes: int, duration_s: float, faults: str | None
) -> Options:
    """Validate options; raise OptionsError."""
    for name, value in (("seed", seed), ("nodes", nodes)):
        if not isinstance(value, int) or isinstance(value, bool) or value < 0:
            raise OptionsError(
                f"--{name} must be a non-negative integer, not {value!r}"
            )
    if not 1 <= nodes <= 200:
        raise OptionsError(f"--nodes must be between 1 and 200, not {nodes}")
    if not isinstance(duration_s, int | float) or not 0 < duration_s <= 3600:
        raise OptionsError(
            f"--duration-s must be above 0 and at most 3600, not {duration_s!r}"
        )
    fault_schedule: tuple[Fault, ...] = ()
    if faults is not None:
        try:
            fault_schedule = read_faults(Path(str(faults)))
        except (OSError, msgspec.DecodeError, ValueError) as error:
            raise OptionsError(f"--faults {faults}: {error}") from error
    return Options(seed, nodes, float(duration_s), fault_schedule)


def build_result(
    experiment: str, options: Options, measurements: dict[str, Any]
) -> Any:
    """Return the result of a run as a JSON object."""
    return {
        "experiment": experiment,
        "seed": options.seed,
        "nodes": options.nodes,
        "duration_s": options.duration_s,
        "commit": get_commit(),
        **measurements,
    }


def get_commit() -> str:
    """Return the commit of the working tree, with "+" if there are local changes."""
    root = Path(__file__).parent
    command = (
        "git",
        "-C",
        str(root),
        "describe",
        "--always",
        "--dirty=+",
        "--abbrev=10",
    )
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    return result.stdout.strip() or "unknown"
