"""Fairness, utilisation and cost of whole fleets under bounded loads.

Runs real processes on one machine, one run per policy and scenario, and checks the
goals of section 1.2 and the bound of section 6 of the design. Waiting requests and
control traffic are read from the ``/metrics`` of the routers; everything else is
measured from outside them.

    python -m benchmarks.fairness --policy arbitrated --scenario steady
"""

from __future__ import annotations

import json
import sys
import time
from dataclasses import asdict
from pathlib import Path
from typing import Annotated

import typer

from .fairness_figures import Run
from .fairness_fleet import POLICIES, SCENARIOS, compute_capacity
from .fairness_report import check_goals, print_checks, print_runs
from .fairness_runs import run_once
from .workload import LARGEST_REQUEST_UNITS, SAMPLE_INTERVAL_SECONDS


def main(
    policy: Annotated[
        list[str] | None, typer.Option(help=f"Policies, of {', '.join(POLICIES)}.")
    ] = None,
    scenario: Annotated[
        list[str] | None, typer.Option(help=f"Scenarios, of {', '.join(SCENARIOS)}.")
    ] = None,
    duration: Annotated[
        float, typer.Option(min=2.0, help="Measured seconds of each run.")
    ] = 20.0,
    warm_up: Annotated[float, typer.Option(min=0.0, help="Seconds before.")] = 8.0,
    seed: Annotated[int, typer.Option(help="Seed of the load and the routers.")] = 1,
    judged: Annotated[
        str, typer.Option(help="Policy that the goals are checked with.")
    ] = "arbitrated",
    folder: Annotated[Path, typer.Option(help="Where the JSON goes.")] = Path(
        "results"
    ),
) -> None:
    """Measures policies in scenarios; exits with 1 if a run is invalid or wrong."""
    policies, scenarios = policy or list(POLICIES), scenario or list(SCENARIOS)
    for values, known in ((policies, POLICIES), (scenarios, SCENARIOS)):
        for value in values:
            if value not in known:
                raise typer.BadParameter(f"{value!r}; use one of {', '.join(known)}")
    runs: list[Run] = []
    for scenario_name in scenarios:
        for name in policies:
            print(f"running {scenario_name} with {name}", file=sys.stderr, flush=True)
            runs.append(
                run_once(
                    name, scenario_name, seconds=duration, warm_up=warm_up, seed=seed
                )
            )
    checks = check_goals(runs, policy=judged)
    print_runs(runs)
    for name in policies:
        implementation = next(run.implementation for run in runs if run.policy == name)
        print(f"implementation of {name}: {implementation}")
    print_checks(checks, policy=judged)
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"fairness-{time.strftime('%Y%m%d-%H%M%S')}.json"
    document = {
        "sample_interval_seconds": SAMPLE_INTERVAL_SECONDS,
        "capacity_tokens_per_second": compute_capacity(),
        "largest_request_units": LARGEST_REQUEST_UNITS,
        "judged": judged,
        "runs": [asdict(run) for run in runs],
        "checks": [asdict(check) for check in checks],
    }
    path.write_text(json.dumps(document, indent=1), encoding="utf-8")
    print(f"written to {path}")
    if any(run.invalid or run.wrong for run in runs):
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
