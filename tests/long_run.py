"""Runs a stateful test much longer than the test suite does, with a given seed.

``python -m tests.long_run --help``
"""

from __future__ import annotations

import argparse
import time
from collections.abc import Callable

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

from .policies.test_fleet_machine import FleetMachine

MACHINES: dict[str, type[RuleBasedStateMachine]] = {"fleet": FleetMachine}


def build_settings(arguments: argparse.Namespace) -> settings:
    """Returns the Hypothesis settings of the run."""
    phases = [Phase.generate] if arguments.no_shrink else [Phase.generate, Phase.shrink]
    return settings(
        max_examples=arguments.examples,
        stateful_step_count=arguments.steps,
        phases=phases,
        deadline=None,
        database=None,
        print_blob=False,
        suppress_health_check=list(HealthCheck),
    )


def main() -> None:
    """Runs the state machine; a failure prints the steps that lead to it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("machine", choices=sorted(MACHINES))
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--examples", type=int, default=1_000)
    parser.add_argument("--steps", type=int, default=50)
    parser.add_argument("--no-shrink", action="store_true")
    arguments = parser.parse_args()
    add_seed: Callable[..., type[RuleBasedStateMachine]] = seed(arguments.seed)
    started_at = time.monotonic()
    run_state_machine_as_test(
        add_seed(MACHINES[arguments.machine]), settings=build_settings(arguments)
    )
    seconds = time.monotonic() - started_at
    print(
        f"{arguments.machine}: {arguments.examples} examples of at most "
        f"{arguments.steps} steps, seed {arguments.seed}, no failure in {seconds:.0f} s"
    )


if __name__ == "__main__":
    main()
