"""The ``status``, ``explain``, ``drain``, and ``events`` commands."""

import json
import sys
from collections.abc import Callable, Coroutine
from datetime import UTC, datetime
from functools import wraps
from typing import Any

import attrs

from dotterelpitch.cli.fleet_client import FleetClient
from dotterelpitch.cli.settings import EventsSettings, OperatorSettings
from dotterelpitch.cli.tables import format_json, format_table
from dotterelpitch.errors import DotterelpitchError
from dotterelpitch.protocol.explain_messages import ExplainRequest, Explanation
from dotterelpitch.protocol.messages import Refused
from dotterelpitch.protocol.operator_messages import (
    DrainRequest,
    EventLine,
    EventLines,
    EventsRequest,
    StatusReport,
    StatusRequest,
)
from dotterelpitch.routing.decisions import Alternative, Decision

EXIT_FAILED = 1
BYTES_PER_MB = 1024 * 1024

_CommandFunction = Callable[..., Coroutine[Any, Any, int]]


def _report_errors(run: _CommandFunction) -> _CommandFunction:
    """Make a command print an error on standard error and return exit code 1."""

    @wraps(run)
    async def run_and_report(*arguments: Any) -> int:
        try:
            return await run(*arguments)
        except DotterelpitchError as error:
            print(f"error: {error}", file=sys.stderr)
            return EXIT_FAILED

    return run_and_report


@_report_errors
async def status(settings: OperatorSettings) -> int:
    """Print the state of each process of the fleet and the load of each engine.

    Returns exit code 1 if a process can't be reached.
    """
    async with FleetClient(settings) as client:
        vms = await client.entry_vms()
        targets = [(vm, role) for vm in vms for role in ("agent", "router")]
        addresses = [getattr(vm, f"{role}_address") for vm, role in targets]
        answers = await client.call_all(addresses, StatusRequest())
    reports = [answer for answer in answers if isinstance(answer, StatusReport)]
    if settings.json:
        unreachable = {
            f"{vm.name}/{role}": str(answer)
            for (vm, role), answer in zip(targets, answers, strict=True)
            if not isinstance(answer, StatusReport)
        }
        print(format_json({"processes": reports, "unreachable": unreachable}))
        return EXIT_FAILED if unreachable else 0
    rows = [
        _format_status_row(vm.name, vm.failure_domain, role, answer)
        for (vm, role), answer in zip(targets, answers, strict=True)
    ]
    header = ["vm", "domain", "role", "state", "open", "MB", "list", "documents"]
    print(format_table(header, rows))
    engines = sorted((e for r in reports for e in r.engines), key=attrs.astuple)
    if engines:
        header = ["service", "engine", "owner", "load", "running", "queued", "slots"]
        print("\n" + format_table(header, map(attrs.astuple, engines)))
    return 0 if len(reports) == len(answers) else EXIT_FAILED


@_report_errors
async def explain(settings: OperatorSettings, request_id: str) -> int:
    """Print the inputs and the alternatives of a request's routing decisions.

    Returns exit code 1 if no router has a decision for ``request_id``.
    """
    async with FleetClient(settings) as client:
        addresses = [vm.router_address for vm in await client.entry_vms()]
        answers = await client.call_all(addresses, ExplainRequest(request_id))
    explained = [a for a in answers if isinstance(a, Explanation)]
    decisions = [decision for answer in explained for decision in answer.decisions]
    if settings.json:
        print(format_json(decisions))
    for decision in [] if settings.json else decisions:
        print(_format_decision(decision))
    if not decisions:
        reached = f"{len(explained)} of {len(answers)} routers answered"
        print(
            f"error: no router has a decision for {request_id}; {reached}",
            file=sys.stderr,
        )
    return 0 if decisions else EXIT_FAILED


@_report_errors
async def drain(settings: OperatorSettings, vm: str) -> int:
    """Start the graceful shutdown of the router of ``vm``.

    Returns exit code 1 if ``vm`` isn't a listed entry VM or its router refuses.
    """
    async with FleetClient(settings) as client:
        matching = [v for v in await client.entry_vms() if v.name == vm]
        if not matching:
            print(f"error: {vm}: not a listed entry VM", file=sys.stderr)
            return EXIT_FAILED
        answer = await client.call(matching[0].router_address, DrainRequest(vm))
    if isinstance(answer, Refused):
        print(f"error: {vm}: {answer.reason}", file=sys.stderr)
        return EXIT_FAILED
    text = f"{vm}: stopping, {answer.open_requests} requests to finish"
    print(format_json(answer) if settings.json else text)
    return 0


@_report_errors
async def events(settings: EventsSettings) -> int:
    """Print the most recent events of the process at ``--connect``."""
    request = EventsRequest(settings.count, settings.level_number)
    async with FleetClient(settings) as client:
        answer: EventLines = await client.call(settings.connect, request)
    if settings.json:
        print(format_json(answer.events))
    else:
        for line in answer.events:
            print(_format_event(line))
    return 0


def _format_status_row(
    vm: str, domain: str, role: str, answer: StatusReport | DotterelpitchError
) -> list[Any]:
    if not isinstance(answer, StatusReport):
        return [vm, domain, role, "unreachable", "-", "-", "-", str(answer)]
    documents = " ".join(f"{d.service}@{d.revision}" for d in answer.documents)
    memory = f"{answer.memory_bytes / BYTES_PER_MB:.0f}"
    counts = [answer.open_requests, memory, answer.list_revision]
    return [vm, domain, role, answer.state, *counts, documents]


def _format_decision(decision: Decision) -> str:
    inputs = attrs.asdict(decision, recurse=False)
    inputs.pop("alternatives")
    inputs["at"] = _format_timestamp(decision.at)
    for name in ("order", "suspects"):
        inputs[name] = " ".join(inputs[name])
    lines = [format_table(["input", "value"], inputs.items())]
    if decision.alternatives:
        header = [field.name for field in attrs.fields(Alternative)]
        rows = [attrs.astuple(alternative) for alternative in decision.alternatives]
        lines += ["", format_table(header, rows)]
    return "\n".join(lines)


def _format_event(line: EventLine) -> str:
    try:
        values = json.loads(line.values)
        text = " ".join(f"{name}={value}" for name, value in values.items())
    except ValueError:  # Values that were too long have been truncated.
        text = line.values
    return f"{_format_timestamp(line.wall)} {line.number} {line.name} {text}"


def _format_timestamp(wall_time: float) -> str:
    return datetime.fromtimestamp(wall_time, UTC).isoformat(timespec="milliseconds")
