"""Commands of ``python -m bench``: ``list``, ``run NAME``, ``soak`` and ``demo``."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import fire
import msgspec

from bench.experiments.registry import EXPERIMENTS
from bench.options import OptionsError, build_options, build_result
from bench.processes import compute_steal_percent, read_steal_ticks

if TYPE_CHECKING:
    from bench.soak.runner import SoakResult

RESULTS = Path(__file__).parent / "results"
EXIT_BAD_ARGUMENTS = 2
EXIT_VIOLATIONS = 1


class Commands:
    """Measure monsoontray against stand-ins for the services around it."""

    def list(self) -> None:
        """List the experiments."""
        for experiment in EXPERIMENTS.values():
            print(f"{experiment.name:12} {experiment.summary}")

    def run(
        self,
        name: str,
        seed: int = 1,
        nodes: int | None = None,
        duration_s: float | None = None,
        faults: str | None = None,
        json: bool = False,
        record: bool = False,
    ) -> None:
        """Run an experiment; --record appends its result to bench/results."""
        experiment = EXPERIMENTS.get(str(name))
        if experiment is None:
            known = ", ".join(EXPERIMENTS)
            raise OptionsError(f"no experiment is called {name!r}; known: {known}")
        options = build_options(
            seed,
            experiment.nodes if nodes is None else nodes,
            experiment.duration_s if duration_s is None else duration_s,
            faults,
        )
        steal_ticks, started_at = read_steal_ticks(), time.monotonic()
        measurements = experiment.measure(options)
        elapsed_s = time.monotonic() - started_at
        measurements["steal_percent"] = compute_steal_percent(steal_ticks, elapsed_s)
        result = build_result(experiment.name, options, measurements)
        line = msgspec.json.encode(result).decode()
        if record:
            with (RESULTS / f"{experiment.name}.jsonl").open("a") as results:
                results.write(line + "\n")
        print(line if json else _render(result))

    def soak(
        self, seed: int = 1, seeds: int = 1, nodes: int = 6, duration_s: float = 15.0
    ) -> None:
        """Inject random faults and check the guarantees, one run per seed."""
        from bench.soak.runner import run_soak

        failed = 0
        for soak_seed in range(seed, seed + seeds):
            result = run_soak(soak_seed, nodes, duration_s)
            print(_render_soak(result), flush=True)
            failed += bool(result.broken)
        print(f"{seeds} seeds, {failed} with violations")
        sys.exit(EXIT_VIOLATIONS if failed else 0)

    def demo(self) -> None:
        """Show the main functions on this machine."""
        from bench.demo import run_demo

        sys.exit(run_demo())


def _render_soak(result: SoakResult) -> str:
    state = "broken" if result.broken else "kept"
    line = (
        f"seed {result.seed}: {state}, {result.calls} calls, served {result.served}, "
        f"{result.faults} faults, logs in {result.directory}"
    )
    return "\n  ".join((line, *result.broken))


def _render(result: dict[str, Any]) -> str:
    width = max(len(name) for name in result)
    return "\n".join(f"{name:{width}}  {value}" for name, value in result.items())


if __name__ == "__main__":
    try:
        fire.Fire(Commands, name="bench")
    except OptionsError as error:
        print(f"bench: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_ARGUMENTS)
