"""Runs the placement reconciler inside the agent."""

import asyncio
from collections.abc import Callable

import aiohttp

from dotterelpitch.agent.engine_client import HttpEngineControl
from dotterelpitch.agent.settings import AgentSettings
from dotterelpitch.clock import Clock
from dotterelpitch.placement.reconciler import PASS_SECONDS, Reconciler
from dotterelpitch.placement.view import PlacementView
from dotterelpitch.telemetry.events import Event, log_event


async def run_placer(
    settings: AgentSettings,
    session: aiohttp.ClientSession,
    view: Callable[[], PlacementView],
    clock: Clock,
) -> None:
    """Run a placement pass every ``PASS_SECONDS`` until cancelled."""
    reconciler = Reconciler(
        settings.vm_name,
        clock,
        HttpEngineControl(session, clock),
        view,
        settings.weight_loads_per_minute,
    )
    try:
        while True:
            await _run_pass(reconciler)
            await asyncio.sleep(PASS_SECONDS)
    finally:
        await reconciler.close()


async def _run_pass(reconciler: Reconciler) -> None:
    try:
        await reconciler.run_pass()
    except Exception as error:  # A failed pass must not end the agent.
        log_event(Event.PLACEMENT_FAILED, reason=repr(error))
