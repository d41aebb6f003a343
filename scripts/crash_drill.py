"""Plays drills of a request that crashes engines, with random settings per seed.

python scripts/crash_drill.py --first 1 --count 20
python scripts/crash_drill.py --first 1 --count 20 --parts

With ``--parts`` it is one part of a prompt that crashes engines, or two at once.
"""

import asyncio
import random
import sys
import tempfile
from pathlib import Path

import attrs
import fire

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from tests.harness.crash_drill.drill import CrashDrill, DrillSettings
from tests.harness.crash_drill.engine import Death, Return
from tests.harness.crash_drill.part_drill import (
    COMMON_PART,
    PartDrill,
    PartDrillSettings,
)

PROMPTS = [
    (COMMON_PART, "bad"),
    ("bad", COMMON_PART),
    (COMMON_PART, "sibling", "bad"),
    (COMMON_PART, "bad", "always beside"),
    ("bad",),
]


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


def draw_part_settings(seed: int) -> PartDrillSettings:
    """Return random settings of a drill with a prompt part that crashes engines."""
    choice = random.Random(seed).choice
    drawn = attrs.asdict(draw_settings(seed))
    return PartDrillSettings(
        **{
            **drawn,
            "engines": choice([6, 9]),
            "down_s": choice([0.05, 0.5, 2.0, 5.0]),
            "crash_interval_s": choice([0.25, 0.5]),
            "seconds": 20.0,
            "deadline_s": 4.0,
            "calls_per_s": choice([5.0, 20.0, 40.0]),
        },
        crash_events=choice([-1, 0, 1, 5]),
        crash_after_s=choice([0.0, 0.06, 0.3]),
        prompt=choice(PROMPTS),
        faults=choice([1, 1, 2]),
        siblings=choice([1, 6]),
        own_parts=choice([1, 20]),
        stream_s=choice([0.3, 0.8, 3.0]),
    )


def main(
    first: int = 1, count: int = 10, folder: str = "", parts: bool = False
) -> None:
    """Play ``count`` seeds from ``first`` on; exit with 1 if the promise is broken.

    The logs of the gateways of a failed seed are written to ``folder``.
    """
    drill, draw = (
        (PartDrill, draw_part_settings) if parts else (CrashDrill, draw_settings)
    )
    failed_seeds = []
    for seed in range(first, first + count):
        settings = draw(seed)
        with tempfile.TemporaryDirectory() as directory:
            result = asyncio.run(drill(Path(directory), settings).run())
        is_kept = result.is_kept()
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
