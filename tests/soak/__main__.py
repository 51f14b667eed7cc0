"""Runs soaks one after the other.

``python -m tests.soak --seed 1 --count 50 --seconds 15``
"""

from __future__ import annotations

import argparse
import signal
import sys
import time

from .run import run_soak


def main() -> int:
    """Runs the soaks and returns 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--routers", type=int, default=4)
    parser.add_argument("--callers", type=int, default=24)
    chosen = parser.parse_args()
    # Without it SIGTERM would end the soak before it ended its routers.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    broken = 0
    for seed in range(chosen.seed, chosen.seed + chosen.count):
        began = time.monotonic()
        result = run_soak(
            seed,
            seconds=chosen.seconds,
            routers=chosen.routers,
            callers=chosen.callers,
        )
        broken += bool(result.violations)
        print(
            f"seed {seed}: {len(result.violations)} violations, "
            f"{len(result.faults)} faults, ends {dict(result.ends)}, "
            f"{time.monotonic() - began:.0f} s",
            flush=True,
        )
        for violation in result.violations[:20]:
            print(f"  {violation}", flush=True)
    print(f"{chosen.count - broken} passed, {broken} failed")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
