"""Signals to processes that start, run, and end, and what they announce."""

import asyncio
import os
import signal

import pytest

from tests.harness.gateway_fleet import GatewayFleet, make_config
from tests.harness.ports import free_address
from tests.harness.processes import Process
from tests.harness.waiting import eventually, pause

HANGUP, STOP = signal.SIGHUP, signal.SIGTERM
# Seconds after a process has taken its signals; it takes about 0.3 s to start.
MOMENTS = [0.0, 0.05, 0.1, 0.2, 0.4, 0.8]
CHANGE_SECONDS = 3.0
RUNNING_SECONDS = 0.5
END_INTERVAL_SECONDS = 0.002

OWN_PROCESSES = {
    "agent": lambda: {
        "listen": free_address(),
        "platform": free_address(),
        "services": "chats",
    },
    "router": lambda: {
        "inner_listen": free_address(),
        "http_listen": free_address(),
        "agent": free_address(),
    },
}


def cut_in_half(path):
    """Leave the first half of a file; return what it was."""
    content = path.read_text()
    path.write_text(content[: len(content) // 2])
    return content


class Starting:
    """A gateway whose settings name a store that isn't there.

    ``change`` lets them name the one that is.
    """

    def __init__(self, folder):
        self.fleet = GatewayFleet(folder)

    async def start(self, is_file_whole=True):
        """Start the store and the gateway; return once it has taken its signals."""
        self.fleet.engines = []
        await self.fleet.store.start(free_address())
        self.fleet.store.put("op/config", make_config(1))
        self.gateway = self.fleet.add_gateway(free_address())
        self.process = self.gateway.process
        if not is_file_whole:
            cut_in_half(self.gateway.settings_path)
        await self.process.start()
        await self.process.wait_takes_stops()

    def change(self, **changes):
        """Write the settings with the address of the store."""
        self.gateway.write_settings(self.fleet.store.address, [], **changes)

    async def uses_the_store(self):
        """Return once the config of the store is in force."""
        await eventually(
            lambda: not self.process.running or self.process.events(211),
            CHANGE_SECONDS,
            "the change is in force",
        )
        assert self.process.running, self.process.log()


# Guards against: a SIGHUP ends a process that starts, or what it announced isn't in
# force afterwards.
@pytest.mark.parametrize("count", [1, 3])
@pytest.mark.parametrize("moment_s", MOMENTS)
async def test_settings_that_change_during_a_start_are_in_force(
    tmp_path, moment_s, count
):
    starting = Starting(tmp_path)
    try:
        await starting.start()
        await pause(moment_s)
        starting.change(new_field="of a later version")
        for _ in range(count):
            starting.process.send_signal(HANGUP)
            await pause(0.01)
        await starting.uses_the_store()
        assert await starting.process.terminate() == 0
    finally:
        await starting.fleet.stop()


# Guards against: a change that leaves size and time of the file as they were is never
# seen, such as one between a start's two looks at it.
@pytest.mark.parametrize("moment_s", MOMENTS)
async def test_settings_that_change_without_a_trace_are_in_force(tmp_path, moment_s):
    starting = Starting(tmp_path)
    try:
        await starting.start()
        path = starting.gateway.settings_path
        before = path.stat()
        await pause(moment_s)
        starting.change()
        os.utime(path, ns=(before.st_atime_ns, before.st_mtime_ns))
        assert path.stat().st_size == before.st_size
        await starting.uses_the_store()
    finally:
        await starting.fleet.stop()


# Guards against: settings that are written as the signal comes are read in halves, and
# the other half never.
async def test_settings_that_are_half_written_are_read_again(tmp_path):
    starting = Starting(tmp_path)
    try:
        await starting.start()
        await eventually(lambda: starting.process.events(101), CHANGE_SECONDS)
        starting.change()
        path = starting.gateway.settings_path
        content = cut_in_half(path)
        starting.process.send_signal(HANGUP)
        await eventually(lambda: starting.process.events(105), CHANGE_SECONDS)
        path.write_text(content)
        await starting.uses_the_store()
    finally:
        await starting.fleet.stop()


# Guards against: settings that are written as a process starts end it.
async def test_settings_that_are_half_written_at_a_start_are_waited_for(tmp_path):
    starting = Starting(tmp_path)
    try:
        await starting.start(is_file_whole=False)
        await pause(RUNNING_SECONDS)
        starting.change()
        await starting.uses_the_store()
    finally:
        await starting.fleet.stop()


async def signal_until_end(process, numbers):
    """Send signals again and again until a process has ended; return its code."""
    ended = asyncio.create_task(process.wait_or_kill())
    while not ended.done():
        for number in numbers:
            process.send_signal(number)
        await pause(END_INTERVAL_SECONDS)
    return await ended


# Guards against: a signal to a process that ends as planned makes it end otherwise.
@pytest.mark.parametrize("numbers", [(HANGUP,), (STOP,), (signal.SIGINT, HANGUP)])
async def test_signals_during_a_planned_stop_change_nothing(tmp_path, numbers):
    starting = Starting(tmp_path)
    try:
        await starting.start()
        starting.change()
        await starting.uses_the_store()
        starting.process.send_signal(STOP)
        assert await signal_until_end(starting.process, numbers) == 0
    finally:
        await starting.fleet.stop()


# Guards against: the same for a stop that comes while a process starts.
@pytest.mark.parametrize("numbers", [(HANGUP,), (STOP, HANGUP)])
async def test_signals_during_a_stop_of_a_starting_process_change_nothing(
    tmp_path, numbers
):
    starting = Starting(tmp_path)
    try:
        await starting.start()
        starting.process.send_signal(STOP)
        assert await signal_until_end(starting.process, numbers) == 0
    finally:
        await starting.fleet.stop()


# Guards against: a SIGHUP ends an agent or a router, which have nothing to reload.
@pytest.mark.parametrize("moment_s", [0.0, 0.2, 1.0])
@pytest.mark.parametrize("role", OWN_PROCESSES)
async def test_hangup_changes_nothing_at_agents_and_routers(role, moment_s):
    flags = {"vm_name": "a1", "failure_domain": "a", "cluster_key": "k"}
    process = Process(role, f"dotterelpitch.{role}", {**flags, **OWN_PROCESSES[role]()})
    await process.start()
    try:
        await process.wait_takes_stops()
        await pause(moment_s)
        process.send_signal(HANGUP)
        await pause(RUNNING_SECONDS)
        assert process.running, process.log()
        process.send_signal(STOP)
        assert await signal_until_end(process, (HANGUP,)) == 0
    finally:
        await process.kill()
