"""Runs a small fleet under random faults and checks the seven guarantees.

python scripts/soak.py --seconds 600 --seed 7
"""

import asyncio
import sys
from pathlib import Path

import fire

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from tests.harness.soak.checks import result_table
from tests.harness.soak.runner import run_soak


def main(seconds: float = 60.0, seed: int = 1, log_file: str = "") -> None:
    """Run the soak test for ``seconds``; exit with 1 if a guarantee is violated.

    The logs of all routers and agents are written to ``log_file``, if given.
    """
    result = asyncio.run(run_soak(seconds, seed))
    if log_file:
        Path(log_file).write_text(result.logs, encoding="utf-8")
    print(f"seed {result.seed}, {seconds:g} s, faults: {result.faults}")
    print(f"outcomes: {result.outcomes}")
    print(f"highest load of an engine over the mean: {result.worst_load_ratio:.2f}")
    for line in result_table(result.check_results):
        print(line)
    sys.exit(0 if result.passed else 1)


if __name__ == "__main__":
    fire.Fire(main)
