"""Runs a workload against routers and collects its report."""

import asyncio
import itertools
from typing import Any

import aiohttp

from dotterelpitch.load.caller import Caller
from dotterelpitch.load.report import Report
from dotterelpitch.load.settings import RunSettings
from dotterelpitch.load.workload import Turn, Workload
from dotterelpitch.standins.engine_model import expected_text


class LoadRun:
    """One run of a workload.

    Turns go to the routers in round-robin order, as from a load balancer.
    """

    def __init__(self, settings: RunSettings, session: aiohttp.ClientSession) -> None:
        self.report = Report()
        self._settings = settings
        self._session = session
        self._workload = Workload(settings)
        self._callers = itertools.cycle(
            Caller(session, address, settings.key) for address in settings.routers
        )

    async def run(self) -> Report:
        """Start all turns at their scheduled times and wait for their answers."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        async with asyncio.TaskGroup() as group:
            for turn in self._workload.turns():
                due = started + turn.at
                await asyncio.sleep(due - loop.time())
                late = loop.time() - due
                self.report.most_late = max(self.report.most_late, late)
                group.create_task(self._run_turn(turn, next(self._callers)))
        return self.report

    async def engine_stats(self) -> list[dict[str, Any]]:
        """Return the statistics of the stand-in engines named in the settings."""
        return [await self._fetch_stats(address) for address in self._settings.engines]

    async def _fetch_stats(self, address: str) -> dict[str, Any]:
        async with self._session.get(f"http://{address}/control/stats") as response:
            return await response.json()

    async def _run_turn(self, turn: Turn, caller: Caller) -> None:
        settings, chat = self._settings, turn.chat
        answer = await caller.chat(
            settings.model, chat.messages, chat.name, settings.max_tokens
        )
        if answer.is_complete and settings.check_text:
            expected = expected_text(settings.model, chat.messages, settings.max_tokens)
            self.report.wrong_text += answer.text != expected
        self.report.add(answer, turn.returning)
        self._workload.record_end(chat, answer.text)


async def run_load(settings: RunSettings) -> list[str]:
    """Run the load and return the lines of its report."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        run = LoadRun(settings, session)
        report = await run.run()
        return report.lines(await run.engine_stats())
