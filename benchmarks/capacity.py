"""Measures how the memory and CPU time of one process grow with the fleet.

Each table has at least three sizes of one component: documents, ranking, the
ledger, lease requests, and digests. Memory is what Python code allocated
(tracemalloc), without the interpreter itself; times are the CPU time of one call.

Run with ``python -m benchmarks.capacity``.
"""

import hashlib
import json
import time
import tracemalloc
from collections.abc import Callable, Iterable
from typing import Any

import fire
from attrs import frozen

from dotterelpitch.clock import SystemClock
from dotterelpitch.documents.model import Endpoint
from dotterelpitch.documents.parsing import parse_document
from dotterelpitch.membership.model import Vm, VmList
from dotterelpitch.protocol.codec import encode_frame
from dotterelpitch.protocol.digest_messages import (
    LoadDigest,
    ServiceLoad,
    ServiceUsage,
    UsageDigest,
)
from dotterelpitch.protocol.keyed_messages import LeaseRequest, LeaseResponse
from dotterelpitch.requests.keyed_owner import KeyedOwner
from dotterelpitch.requests.lease import HolderId
from dotterelpitch.requests.ledger import (
    Ledger,
    LedgerEntry,
    LedgerKey,
    RecordedAnswer,
)
from dotterelpitch.requests.outcomes import Outcome
from dotterelpitch.requests.ownership import SLOT_COUNT, slot_group
from dotterelpitch.routing.candidates import CandidateTable
from dotterelpitch.routing.digests import encode_digest
from dotterelpitch.routing.engine_load import EngineLoad
from dotterelpitch.routing.limits import AccountUsage

FAILURE_DOMAINS = 4
DOCUMENT_COUNT = 28
ORDER_CALLS = 2000
BODY_BYTES = 400
WALL_TIME_SECONDS = 1.8e9


@frozen
class Cost:
    """Result of one measured call, with the bytes it keeps and its CPU seconds."""

    result: Any
    kept_bytes: int
    seconds: float


def main() -> None:
    """Print all tables."""
    for part in (documents, ranking, ledger, leases, digests):
        print("\n".join(part()))
        print()


def documents() -> Iterable[str]:
    """Yield the total memory and parse time of all documents."""
    yield "documents  engines accounts  text KB  kept KB  parse ms"
    for engines, accounts in ((150, 575), (300, 1150), (600, 2300)):
        texts = [
            _document_text(
                n, engines // DOCUMENT_COUNT + 1, accounts // DOCUMENT_COUNT + 1
            )
            for n in range(DOCUMENT_COUNT)
        ]
        cost = _measure_cost(lambda texts=texts: [parse_document(t) for t in texts])
        size = sum(len(text) for text in texts) / 1024
        yield (
            f"{DOCUMENT_COUNT:>9} {engines:>8} {accounts:>8} {size:>8.0f}"
            f" {cost.kept_bytes / 1024:>8.0f} {cost.seconds * 1000:>9.1f}"
        )


def ranking() -> Iterable[str]:
    """Yield the time to rank the engines for one chat."""
    yield "engines in one service  order us"
    for count in (20, 150, 300, 600):
        table = CandidateTable(_endpoints("s", count))
        started = time.process_time()
        for number in range(ORDER_CALLS):
            table.order(f"chat-{number}")
        seconds = (time.process_time() - started) / ORDER_CALLS
        yield f"{count:>22} {seconds * 1e6:>9.1f}"


def ledger() -> Iterable[str]:
    """Yield the memory of finished ledger entries with an answer of 400 bytes."""
    yield "ledger entries  kept KB  bytes each"
    for count in (2000, 8000, 20_000):
        cost = _measure_cost(lambda count=count: _fill_ledger(count))
        yield (
            f"{count:>14} {cost.kept_bytes / 1024:>8.0f}"
            f" {cost.kept_bytes / count:>11.0f}"
        )


def leases() -> Iterable[str]:
    """Yield the bytes of one round of lease requests and replies."""
    yield "entry VMs  VMs in groups  slots per owner, most  request B  reply B"
    for count in (9, 96, 370):
        vm_list = _vm_list(count)
        groups = [slot_group(vm_list, slot) for slot in range(SLOT_COUNT)]
        members = {name for group in groups for name in group.members}
        owner_by_slot = [group.candidates(slot)[0] for slot, group in enumerate(groups)]
        most_slots = max(owner_by_slot.count(name) for name in set(owner_by_slot))
        request, reply = _lease_frames(vm_list, owner_by_slot[0])
        yield f"{count:>9} {len(members):>14} {most_slots:>22} {request:>10} {reply:>8}"


def digests() -> Iterable[str]:
    """Yield the sizes of the digests that one router publishes."""
    yield "owned engines  load B   accounts with traffic  usage B"
    for engines, accounts in ((1, 10), (2, 100), (4, 400), (8, 2300)):
        loads = [
            EngineLoad(f"engine-{n}", 12_345.0, 16, 9, 1, WALL_TIME_SECONDS)
            for n in range(engines)
        ]
        load = LoadDigest("vm-123", 9, [ServiceLoad("service-7", loads)])
        usages = [AccountUsage(f"account-{n}", 1.5, 2500.0, 3) for n in range(accounts)]
        usage = UsageDigest("vm-123", [ServiceUsage("service-7", usages)])
        yield (
            f"{engines:>13} {len(encode_digest(load)):>7} {accounts:>23}"
            f" {len(encode_digest(usage)):>8}"
        )


def _measure_cost(call: Callable[[], Any]) -> Cost:
    started = time.process_time()
    call()
    seconds = time.process_time() - started
    tracemalloc.start()
    result = call()
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return Cost(result, kept, seconds)


def _document_text(number: int, engines: int, accounts: int) -> str:
    service = f"service-{number}"
    digest = hashlib.sha256(service.encode()).hexdigest()
    return json.dumps(
        {
            "service": service,
            "endpoints": [
                {
                    "name": e.name,
                    "address": e.address,
                    "failure_domain": e.failure_domain,
                    "concurrency": e.concurrency,
                }
                for e in _endpoints(service, engines)
            ],
            "models": [{"name": f"model-{number}", "replicas": engines}],
            "client_accounts": [
                {
                    "name": f"account-{n}",
                    "key_sha256": digest[:-4] + f"{n:04x}",
                    "requests_per_second": 5.0,
                }
                for n in range(accounts)
            ],
        }
    )


def _endpoints(service: str, count: int) -> list[Endpoint]:
    return [
        Endpoint(
            f"{service}-e{n}", f"10.0.{n // 250}.{n % 250 + 1}:80", _failure_domain(n)
        )
        for n in range(count)
    ]


def _failure_domain(number: int) -> str:
    return f"domain-{number % FAILURE_DOMAINS}"


def _vm_list(count: int) -> VmList:
    vms = [
        Vm(
            f"vm-{n}",
            _failure_domain(n),
            agent_address=f"10.1.{n // 250}.{n % 250 + 1}:7400",
            router_address=f"10.1.{n // 250}.{n % 250 + 1}:7401",
            http_address=f"10.1.{n // 250}.{n % 250 + 1}:8080",
        )
        for n in range(count)
    ]
    return VmList(7, vms)


def _fill_ledger(count: int) -> Ledger:
    filled = Ledger(max_entries=count)
    for number in range(count):
        key = LedgerKey("enrolment", "depot", f"0190-{number:032x}")
        expires_at = WALL_TIME_SECONDS + 86_400.0
        entry = LedgerEntry(
            key,
            number % SLOT_COUNT,
            f"{number:016x}",
            WALL_TIME_SECONDS,
            WALL_TIME_SECONDS,
            expires_at,
            7,
        )
        filled.add(entry)
        answer = RecordedAnswer(Outcome.COMPLETED, 200, [], bytes(BODY_BYTES))
        filled.finish(entry, answer)
    return filled


def _lease_frames(vm_list: VmList, vm: str) -> tuple[int, int]:
    """Return the bytes of a lease request for all slots of ``vm`` and of the reply."""
    proposer = KeyedOwner(HolderId(vm, "0123456789abcdef"), SystemClock())
    proposer.use_vm_list(vm_list)
    slots = [
        slot
        for slot in range(SLOT_COUNT)
        if slot_group(vm_list, slot).candidates(slot)[0] == vm
    ]
    proposals = [proposer.next_proposal(slot) for slot in slots]
    replies = [proposer.handle_proposal(proposal) for proposal in proposals]
    request = encode_frame(1, LeaseRequest(proposals))
    reply = encode_frame(1, LeaseResponse(replies))
    return len(request), len(reply)


if __name__ == "__main__":
    fire.Fire(main)
