"""Plays drills of a request that crashes engines, with random settings per seed.

python scripts/crash_drill.py --first 1 --count 20
"""

import asyncio
import random
import sys
import tempfile
from pathlib import Path

import fire

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from tests.harness.crash_drill.drill import (
    MAX_LATE_ARRIVALS,
    CrashDrill,
    DrillSettings,
)
from tests.harness.crash_drill.engine import Death, Return


def draw_settings(seed: int) -> DrillSettings:
    """Return random settings, the same for equal seeds."""
    choice = random.Random(seed).choice
    gateways = choice([1, 2, 4, 6, 9])
    return DrillSettings(
        gateways=gateways,
        engines=choice([2, 3, 6, 9]),
        domains=choice(["a", "ab", "abc"]),
        death=choice(list(Death)),
        returns=choice(list(Return)),
        down_s=choice([0.2, 0.5, 1.0, 3.0, 5.0]),
        record_ttl_s=choice([0.0, 3.6]),
        crash_interval_s=choice([0.2, 0.5, 1.0]),
        copies=choice([1, 1, min(3, gateways)]),
        route=choice(["safe", "unsafe"]),
        calls_per_s=choice([0.0, 2.0, 20.0, 50.0]),
        work_s=choice([0.02, 0.2]),
        mesh_vms=choice([16, 3]),
        restart_interval_s=choice([0.0, 0.0, 2.0]),
        seed=seed,
    )


def main(first: int = 1, count: int = 10, folder: str = "") -> None:
    """Play ``count`` seeds from ``first`` on; exit with 1 if the promise is broken.

    The logs of the gateways of a failed seed are written to ``folder``.
    """
    failed_seeds = []
    for seed in range(first, first + count):
        settings = draw_settings(seed)
        with tempfile.TemporaryDirectory() as directory:
            result = asyncio.run(CrashDrill(Path(directory), settings).run())
        is_kept = len(result.late_arrivals) <= MAX_LATE_ARRIVALS
        is_kept = is_kept and not result.wrongly_banned_ids
        print(f"seed {seed}: {result.summary()}", flush=True)
        if not is_kept:
            print(f"  broken: {settings}", flush=True)
            failed_seeds.append(seed)
            for name, log in result.logs.items() if folder else ():
                Path(folder, f"drill-{seed}-{name}.log").write_text(log)
    print(f"{count - len(failed_seeds)} of {count} kept; broken: {failed_seeds}")
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    fire.Fire(main)
