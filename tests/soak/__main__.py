"""Runs a range of seeds one after the other.

``python -m tests.soak --seed 1 --count 50 --seconds 15``
"""

from __future__ import annotations

import argparse
import signal
import sys
import time

from .part_crashes import PartCrashes
from .run import run_soak


def main() -> int:
    """Runs the soaks; returns 1 if a guarantee was violated, otherwise 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--routers", type=int, default=4)
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument(
        "--part-crashes",
        action="store_true",
        help="play replicas that end on a prompt part instead",
    )
    arguments = parser.parse_args()
    # By default SIGTERM would end this process and leave its routers running.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    failed_count = 0
    for seed in range(arguments.seed, arguments.seed + arguments.count):
        started_at = time.monotonic()
        if arguments.part_crashes:
            scenario = PartCrashes.draw(seed)
            violations = scenario.run(routers=arguments.routers)
            failed_count += bool(violations)
            print(f"{scenario}: {scenario.count_statuses()}", *violations, flush=True)
            continue
        result = run_soak(
            seed,
            seconds=arguments.seconds,
            routers=arguments.routers,
            callers=arguments.callers,
        )
        failed_count += bool(result.violations)
        print(
            f"seed {seed}: {len(result.violations)} violations, "
            f"{len(result.faults)} faults, ends {dict(result.status_counts)}, "
            f"{time.monotonic() - started_at:.0f} s",
            flush=True,
        )
        for violation in result.violations[:20]:
            print(f"  {violation}", flush=True)
    print(f"{arguments.count - failed_count} passed, {failed_count} failed")
    return 1 if failed_count else 0


if __name__ == "__main__":
    sys.exit(main())
