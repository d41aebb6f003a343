"""Runs soak tests of small gateway fleets, one per seed, and prints violations.

python scripts/gateway_soak.py --first 1 --count 50 --seconds 20
"""

import asyncio
import sys
import tempfile
from pathlib import Path

import fire

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from tests.harness.gateway_soak.runner import SoakResult, run_gateway_soak


def main(
    first: int = 1, count: int = 1, seconds: float = 20.0, folder: str = ""
) -> None:
    """Run ``count`` seeds from ``first`` on; exit with 1 if a guarantee is violated.

    For each failed seed, a report and the logs of all gateways are written to
    ``folder``.
    """
    failed_seeds = []
    for seed in range(first, first + count):
        with tempfile.TemporaryDirectory() as directory:
            result = asyncio.run(run_gateway_soak(Path(directory), seconds, seed))
        print(
            result.report() if result.violations else f"seed {seed}: no violations",
            flush=True,
        )
        print(f"  {result.outcomes}", flush=True)
        if result.violations:
            failed_seeds.append(seed)
            if folder:
                _save_result(Path(folder) / f"seed-{seed}", result)
    print(
        f"{count - len(failed_seeds)} of {count} seeds had no violations; "
        f"failed: {failed_seeds}"
    )
    sys.exit(1 if failed_seeds else 0)


def _save_result(folder: Path, result: SoakResult) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "report.txt").write_text(result.report(), encoding="utf-8")
    for vm, text in result.logs.items():
        (folder / f"{vm}.log").write_text(text, encoding="utf-8")


if __name__ == "__main__":
    fire.Fire(main)
