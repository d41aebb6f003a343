"""Shared functions of the stand-ins: serving, shutdown, and fault injection."""

import asyncio
import json
import logging
import signal
import time
from collections.abc import Mapping
from typing import Any, TypeVar

import attrs
from aiohttp import web

from dotterelpitch.telemetry.events import Event, configure_logging, log_event

MAX_BODY_BYTES = 64 * 1024 * 1024

logger = logging.getLogger("dotterelpitch.standins")

T = TypeVar("T")


def new_application() -> web.Application:
    """Return a web application that accepts bodies up to ``MAX_BODY_BYTES``."""
    return web.Application(client_max_size=MAX_BODY_BYTES)


async def serve(app: web.Application, listen: str) -> web.AppRunner:
    """Serve ``app`` at ``listen`` and return its runner.

    ``listen`` is ``IP:port``; port 0 selects a free port.
    """
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    host, _, port = listen.rpartition(":")
    await web.TCPSite(runner, host, int(port), backlog=1024).start()
    return runner


def run_until_stopped(app: web.Application, listen: str, role: str) -> None:
    """Serve ``app`` until the process receives SIGTERM or SIGINT."""
    configure_logging()
    asyncio.run(_run(app, listen, role))


def apply_fault_changes(faults: T, changes: Mapping[str, Any]) -> T:
    """Return a copy of ``faults`` with ``changes`` applied.

    Raises HTTPBadRequest if a name isn't a fault.
    """
    names = {field.name for field in attrs.fields(type(faults))}
    if unknown := set(changes) - names:
        raise web.HTTPBadRequest(text=f"unknown faults: {sorted(unknown)}")
    return attrs.evolve(faults, **changes)


def log_run(endpoint: str, key: str) -> None:
    """Log that ``endpoint`` runs ``key``.

    The log line lets a test count executions even after the process has crashed.
    """
    line = {"run": key, "endpoint": endpoint, "at": time.time()}
    logger.info(json.dumps(line))


async def _run(app: web.Application, listen: str, role: str) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    runner = await serve(app, listen)
    host, port = runner.addresses[0][:2]
    log_event(Event.PROCESS_STARTED, role=role, address=f"{host}:{port}")
    await stopped.wait()
    await runner.cleanup()
