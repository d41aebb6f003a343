"""Time of a routing decision and size of a digest at the scale of a large site."""

import timeit
from collections.abc import Iterator

from dotterelpitch.clock import SystemClock
from dotterelpitch.documents.model import Endpoint
from dotterelpitch.protocol.digest_messages import (
    LoadDigest,
    ServiceLoad,
    ServiceUsage,
    UsageDigest,
)
from dotterelpitch.routing.admission import QUEUE_PER_SLOT, AdmissionController
from dotterelpitch.routing.admission_request import AdmissionMode, AdmissionRequest
from dotterelpitch.routing.candidates import CandidateTable
from dotterelpitch.routing.digests import encode_digest
from dotterelpitch.routing.engine_load import EngineLoad, FleetLoad
from dotterelpitch.routing.limits import AccountUsage
from dotterelpitch.routing.stalling import SharedCapacity

ENGINES = 600
SLOTS = 16
CALLS_PER_ROUND = 20
ROUND_COUNT = 300


def costs() -> Iterator[str]:
    """Yield one line per cost.

    Times are those of the fastest of ``ROUND_COUNT`` short rounds, which leaves out
    interruptions by other processes.
    """
    engines = [Endpoint(f"engine-{n}", "127.0.0.1:1", "fd") for n in range(ENGINES)]
    table = CandidateTable(engines)
    seconds = _fastest_seconds(lambda: table.order("chat-7"))
    yield f"ranking {ENGINES} engines: {seconds * 1e6:.1f} us"
    admission = _full_admission_controller()
    queued_request = AdmissionRequest("x", "a", 200.0, mode=AdmissionMode.QUEUE)
    seconds = _fastest_seconds(lambda: admission.submit(queued_request))
    yield f"refusal by a full queue of {SLOTS * QUEUE_PER_SLOT}: {seconds * 1e6:.1f} us"
    returning_request = AdmissionRequest("x", "a", 200.0, cold_ratio=1.5)
    seconds = _fastest_seconds(lambda: admission.submit(returning_request))
    yield f"answer 'full' to a returning chat: {seconds * 1e6:.1f} us"
    loads = [EngineLoad(f"engine-{n}", 1234.5, 16, 8, 2, 1.7e9) for n in range(2)]
    load = encode_digest(LoadDigest("vm-1", 7, [ServiceLoad("scents", loads)]))
    yield f"load digest of 2 engines: {len(load)} bytes"
    usages = [AccountUsage(f"account-{n}", 1.25, 250.5, 3) for n in range(10)]
    usage = encode_digest(UsageDigest("vm-1", [ServiceUsage("scents", usages)]))
    yield f"usage digest of 10 accounts: {len(usage)} bytes"


def _full_admission_controller() -> AdmissionController:
    clock = SystemClock()
    admission = AdmissionController(
        "engine-1", SLOTS, clock, FleetLoad(clock), SharedCapacity(), 1.25
    )
    for n in range(SLOTS * (1 + QUEUE_PER_SLOT)):
        admission.submit(
            AdmissionRequest(str(n), f"a{n % 10}", 200.0, mode=AdmissionMode.QUEUE)
        )
    return admission


def _fastest_seconds(action) -> float:
    return (
        min(timeit.repeat(action, number=CALLS_PER_ROUND, repeat=ROUND_COUNT))
        / CALLS_PER_ROUND
    )
