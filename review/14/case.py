"""Gateways get SIGHUP while they start again after a planned stop."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from parts3 import BROKEN, HELD, Caller, run_case

RESTARTS = 3
# The settings change this long after the platform has started the process.
CHANGED_AFTER_S = 0.1
START_DELAY_S = 0.3
MACHINES, ENDS = 2, 3


async def restart(gateway, record, trouble):
    """Stop a gateway as planned and start it; return whether it ended by itself."""
    record(f"platform sends {gateway.name} SIGTERM")
    gateway.signal(signal.SIGTERM)
    await gateway.process.wait()
    await asyncio.sleep(START_DELAY_S)
    await gateway.start()
    await asyncio.sleep(CHANGED_AFTER_S)
    if trouble:
        record(f"platform changes the settings of {gateway.name} and sends SIGHUP")
        gateway.write_settings(new_field="of a later version")
        gateway.signal(signal.SIGHUP)
    await asyncio.sleep(1.0)
    has_ended = not gateway.runs
    if has_ended:
        record(f"{gateway.name} has ended by itself: {gateway.process.returncode}")
        await gateway.start()
    await gateway.wait_ready()
    return has_ended


async def play(site, record, trouble):
    await site.start(models=0)
    callers = [Caller(record, g, f"book-{g.name}") for g in site.gateways]
    tasks = [asyncio.create_task(caller.run()) for caller in callers]
    ends_by_name = {g.name: 0 for g in site.gateways}
    for _ in range(RESTARTS):
        for gateway in site.gateways:
            ends_by_name[gateway.name] += await restart(gateway, record, trouble)
    for task in tasks:
        task.cancel()
    text = f"ends by themselves: {ends_by_name}"
    record(f"{text}; bookings {[caller.count() for caller in callers]}")
    print(text)
    ended = [ends for ends in ends_by_name.values() if ends >= ENDS]
    return BROKEN if len(ended) >= MACHINES else HELD


run_case(__file__, play)
