"""Runs dotterelpitch commands as child processes and signals only these."""

import asyncio
import contextlib
import json
import os
import signal
import sys
import time
from datetime import datetime
from pathlib import Path
from typing import Any

from tests.harness.waiting import eventually

REPOSITORY = Path(__file__).resolve().parents[2]
START_SECONDS = 15.0
STOP_SECONDS = 10.0
MAX_LINE_BYTES = 1024 * 1024
MAX_KEPT_LINES = 200_000
LOG_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


class Process:
    """A child process and its captured log lines.

    ``build`` is the checkout that it runs from at its next start.

    >>> router = Process("vm1-router", "dotterelpitch.router", {"vm_name": "vm1"})
    >>> await router.start()
    >>> await router.terminate()
    0
    """

    def __init__(
        self,
        name: str,
        module: str,
        flags: dict[str, Any],
        *arguments: str,
        logs_to_stdout: bool = False,
    ) -> None:
        self.name = name
        self._logs_to_stdout = logs_to_stdout
        self.lines: list[str] = []
        self.started_at = 0.0
        self._module = module
        self._arguments = [*arguments, *_flag_arguments(flags)]
        self._child: asyncio.subprocess.Process | None = None
        self._collector: asyncio.Task | None = None
        self.build = REPOSITORY

    def add_flag(self, name: str, value: Any) -> None:
        """Add a command-line flag for later starts."""
        self._arguments += _flag_arguments({name: value})

    async def start(self) -> None:
        """Start the process without waiting until it is ready."""
        self.started_at = time.time()
        self._child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            self._module,
            *self._arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env={**_child_environment(), "PYTHONPATH": str(self.build)},
            cwd=self.build,
            limit=MAX_LINE_BYTES,
        )
        log, other = self._child.stderr, self._child.stdout
        if self._logs_to_stdout:
            log, other = other, log
        self._collector = asyncio.create_task(self._collect(log, other))

    @property
    def pid(self) -> int:
        """The process id."""
        return self._child.pid

    @property
    def running(self) -> bool:
        """Whether the process has been started and hasn't exited."""
        return self._child is not None and self._child.returncode is None

    def send_signal(self, number: int) -> None:
        """Send a signal unless the process has exited.

        The method of asyncio's process would take the exit code of one that has just
        ended, so that nobody else gets to know it.
        """
        if self.running:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, number)

    async def wait_takes_stops(self) -> None:
        """Return as soon as the process has a handler of SIGTERM, or has exited."""
        await eventually(self._takes_stops, START_SECONDS, f"{self.name} takes SIGTERM")

    def _takes_stops(self) -> bool:
        """Return whether SIGTERM is in the mask of signals that are caught."""
        try:
            status = Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return True
        masks = [line for line in status.splitlines() if line.startswith("SigCgt:")]
        if not masks:  # It has just exited.
            return True
        caught = int(masks[0].split()[1], 16)
        return bool(caught >> (signal.SIGTERM - 1) & 1)

    def pause(self) -> None:
        """Suspend the process, as a pause of its VM does (SIGSTOP)."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process (SIGCONT)."""
        self.send_signal(signal.SIGCONT)

    async def kill(self) -> None:
        """Kill the process (SIGKILL) and wait until it has exited."""
        self.send_signal(signal.SIGKILL)
        await self.wait()

    async def terminate(self, timeout: float = STOP_SECONDS) -> int:
        """Send SIGTERM and return the exit code.

        A suspended process is resumed first. After ``timeout`` seconds the process
        is killed.
        """
        self.resume()
        self.send_signal(signal.SIGTERM)
        return await self.wait_or_kill(timeout)

    async def wait_or_kill(self, timeout: float = STOP_SECONDS) -> int:
        """Return the exit code; kill the process after ``timeout`` seconds."""
        with contextlib.suppress(TimeoutError):
            return await asyncio.wait_for(self.wait(), timeout)
        await self.kill()
        return -signal.SIGKILL

    async def wait(self) -> int:
        """Wait until the process has exited and return its exit code.

        Return 0 if it was never started.
        """
        if self._child is None:
            return 0
        code = await self._child.wait()
        await asyncio.wait({self._collector})
        return code

    def events(self, number: int = 0) -> list[dict[str, Any]]:
        """Return the logged events, optionally only those with one event number.

        Each has an additional key ``logged_at`` in Unix seconds.
        """
        found = []
        for line in self.lines:
            _, brace, rest = line.partition("{")
            with contextlib.suppress(ValueError):
                event = json.loads(brace + rest)
                event["logged_at"] = event.get("at") or _logged_at(line)
                if number in (0, event.get("event")):
                    found.append(event)
        return found

    def runs(self) -> list[dict[str, Any]]:
        """Return the logged runs of a stand-in, with keys ``run`` and ``at``."""
        return [line for line in self.events() if "run" in line]

    def log(self) -> str:
        """Return the captured output lines as one string."""
        return "\n".join(self.lines)

    async def _collect(
        self, log: asyncio.StreamReader, other: asyncio.StreamReader
    ) -> None:
        await asyncio.gather(self._append_lines(log), self._append_lines(other))

    async def _append_lines(self, stream: asyncio.StreamReader) -> None:
        async for line in stream:
            self.lines.append(line.decode(errors="replace").rstrip())
            if len(self.lines) > MAX_KEPT_LINES:
                del self.lines[: MAX_KEPT_LINES // 2]


def _logged_at(line: str) -> float:
    stamp = " ".join(line.split(" ", 2)[:2])
    return datetime.strptime(stamp, LOG_TIME_FORMAT).timestamp()


def _flag_arguments(flags: dict[str, Any]) -> list[str]:
    return [f"--{name.replace('_', '-')}={value}" for name, value in flags.items()]


def _child_environment() -> dict[str, str]:
    inherited = {
        k: v for k, v in os.environ.items() if not k.startswith("DOTTERELPITCH_")
    }
    return {**inherited, "PYTHONPATH": str(REPOSITORY), "PYTHONUNBUFFERED": "1"}
