"""Plays an upgrade from an earlier build, checked out beside this one.

git worktree add ../earlier 3c868c8
python scripts/upgrade_drill.py --earlier ../earlier --vms 6
"""

import asyncio
import sys
import tempfile
from pathlib import Path

import fire

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from tests.harness.upgrade_drill import UpgradeDrill

MIN_SERVED_SHARE = 0.98


def main(earlier: str, vms: int = 6) -> None:
    """Replace ``vms`` VMs of the checkout ``earlier``; exit with 1 on a failure."""
    with tempfile.TemporaryDirectory() as directory:
        drill = UpgradeDrill(Path(directory), Path(earlier).resolve(), vms)
        result = asyncio.run(drill.run())
    print(
        f"calls by status {result.statuses}, served {result.served_share():.1%}; "
        f"{result.incomplete_streams} of {result.streams} streams incomplete; "
        f"late: {len(result.late_evacuated)} in the evacuated domain "
        f"({result.from_earlier} while earlier VMs ran), "
        f"{len(result.late_leaving)} at the leaving engine; "
        f"{len(result.unread)} messages unread"
    )
    is_broken = (
        result.late_evacuated
        or result.late_leaving
        or result.incomplete_streams
        or result.unread
        or result.served_share() < MIN_SERVED_SHARE
    )
    sys.exit(1 if is_broken else 0)


if __name__ == "__main__":
    fire.Fire(main)
