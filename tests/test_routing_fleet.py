"""Routing with real processes: crashes, limits, deadlines, load bound, retries."""

import asyncio
import hashlib

import attrs
import pytest

from dotterelpitch.documents.model import ClientAccount, Timeouts
from dotterelpitch.protocol.connection import dial
from dotterelpitch.protocol.explain_messages import ExplainRequest
from dotterelpitch.protocol.handshake import Identity
from dotterelpitch.standins.engine_model import expected_text
from tests.harness.fleet import ACCOUNT_KEY, CLUSTER_KEY, MODEL, Fleet, FleetShape
from tests.harness.waiting import eventually

SLOW = {"decode_step": 0.02}
HELLO = [{"role": "user", "content": "hello"}]
POISON = [{"role": "user", "content": "crash-me"}]


def account(**limits):
    digest = hashlib.sha256(ACCOUNT_KEY.encode()).hexdigest()
    return ClientAccount("packers", digest, **limits)


def shape(**values):
    values = {"domains": 3, "vms_per_domain": 1, "plains_per_domain": 0, **values}
    return FleetShape(**values)


async def test_a_crashing_request_takes_at_most_two_engines():
    async with Fleet(shape(engines_per_domain=2, engine_flags=SLOW)) as fleet:
        callers = [fleet.caller(vm) for vm in fleet.vm_by_name]
        neighbors = [
            asyncio.create_task(
                callers[n % 3].chat(MODEL, HELLO, chat=f"n{n}", max_tokens=60)
            )
            for n in range(18)
        ]
        engines = [e for e in fleet.endpoint_by_name.values() if e.kind == "engine"]
        await eventually(
            lambda: (
                sum(len(vm.router.events(401)) for vm in fleet.vm_by_name.values())
                == 18
            ),
            10.0,
            "an engine chosen for 18 requests",
        )
        for n in range(9):
            answer = await callers[n % 3].chat(MODEL, POISON, chat=f"p{n}")
            assert not answer.is_complete
            if n >= 2:
                assert (answer.status, answer.outcome) == (422, "not-run"), fleet.logs()
        crashed = [e.name for e in engines if not e.process.running]
        assert 1 <= len(crashed) <= 2, fleet.logs()
        for answer in await asyncio.gather(*neighbors):
            assert answer.is_complete, answer.error
            assert answer.text == expected_text(MODEL, HELLO, 60)
        again = await callers[0].chat(MODEL, HELLO, chat="n0", max_tokens=60)
        assert again.is_complete, again.error


# Guards against: only an engine that breaks its connections counts as crashed.
async def test_an_engine_that_falls_silent_under_a_request_counts_as_crashed():
    timeouts = Timeouts(first_token=1.0, between_tokens=1.0)
    fleet_shape = shape(
        domains=1,
        engines_per_domain=2,
        engine_flags=SLOW,
        document_changes={"timeouts": timeouts},
    )
    async with Fleet(fleet_shape) as fleet:
        (vm,) = fleet.vm_by_name.values()
        call = asyncio.create_task(
            fleet.caller(vm.name).chat(MODEL, HELLO, chat="c", max_tokens=200)
        )
        (chosen, *_) = await eventually(lambda: vm.router.events(401), 10.0, "a choice")
        engine = fleet.endpoint_by_name[chosen["engine"]]
        engine.process.pause()
        (died, *_) = await eventually(lambda: vm.router.events(408), 10.0, "a crash")
        assert died["engine"] == engine.name
        engine.process.resume()
        assert (await call).is_complete


@pytest.mark.parametrize(
    ("limits", "calls", "allowed"),
    [
        ({"concurrency": 3}, 9, range(3, 4)),
        ({"requests_per_second": 4.0}, 40, range(6, 13)),
        ({"tokens_per_second": 50.0}, 40, range(1, 10)),
    ],
)
async def test_account_limits_refuse_with_retry_after(limits, calls, allowed):
    fleet_shape = shape(
        domains=1, document_changes={"client_accounts": [account(**limits)]}
    )
    async with Fleet(attrs.evolve(fleet_shape, engine_flags=SLOW)) as fleet:
        caller = fleet.caller("d1-v1")
        answers = await asyncio.gather(
            *(caller.chat(MODEL, HELLO, chat=f"c{n}") for n in range(calls))
        )
    refused = [a for a in answers if a.status == 429]
    assert len(answers) - len(refused) in allowed
    assert all(a.outcome == "not-run" for a in refused)
    assert all(int(a.headers["Retry-After"]) >= 1 for a in refused)
    assert all(a.is_complete for a in answers if a.status == 200)


async def test_work_that_cannot_meet_its_deadline_is_refused_at_once():
    changes = {"concurrency": 2}
    flags = {"concurrency": 2, **SLOW}
    fleet_shape = shape(domains=1, engine_flags=flags, endpoint_changes=changes)
    async with Fleet(fleet_shape) as fleet:
        caller = fleet.caller("d1-v1")
        first = await caller.chat(MODEL, HELLO, max_tokens=50)
        assert first.is_complete
        busy = [
            asyncio.create_task(caller.chat(MODEL, HELLO, chat=f"b{n}", max_tokens=100))
            for n in range(6)
        ]
        router = fleet.vm_by_name["d1-v1"].router
        await eventually(
            lambda: len(router.events(404)) == 4, 10.0, "four queued requests"
        )
        late = await caller.chat(MODEL, HELLO, headers={"Request-Timeout": "0.5"})
        assert (late.status, late.outcome) == (503, "not-run")
        assert int(late.headers["Retry-After"]) >= 1
        assert all(answer.is_complete for answer in await asyncio.gather(*busy))


async def test_one_hot_chat_spreads_and_every_engine_stays_within_its_bound():
    async with Fleet(shape(engines_per_domain=2, engine_flags=SLOW)) as fleet:
        callers = [fleet.caller(vm) for vm in fleet.vm_by_name]
        answers = await asyncio.gather(
            *(
                callers[n % 3].chat(MODEL, HELLO, chat="hot", max_tokens=40)
                for n in range(60)
            )
        )
        assert all(answer.is_complete for answer in answers), fleet.logs()
        stats = await fleet.engine_stats()
        counts = [report["requests"] for report in stats.values()]
        assert max(counts) <= 1.25 * 60 / 6 + 1, counts


@pytest.mark.parametrize("faults", [{"refuse": True}, {"cut_after_tokens": 3}])
async def test_attempts_stay_within_the_budget_when_engines_fail(faults):
    async with Fleet(shape(engines_per_domain=1)) as fleet:
        broken = fleet.endpoint_by_name["d1-e1"]
        await fleet.control(broken.address, "faults", faults)
        callers = [fleet.caller(vm) for vm in fleet.vm_by_name]
        answers = []
        for n in range(150):
            answers.append(await callers[n % 3].chat(MODEL, HELLO, chat=f"c{n}"))
        stats = await fleet.engine_stats()
        attempts = sum(report["requests"] for report in stats.values())
        assert attempts <= 1.2 * len(answers)
        assert sum(a.is_complete for a in answers) >= 0.9 * len(answers)


async def test_a_decision_is_explained_with_its_alternatives():
    async with Fleet(shape(engines_per_domain=1, proxied=False)) as fleet:
        answer = await fleet.caller("d1-v1").chat(MODEL, HELLO, chat="c")
        address = fleet.vm_by_name["d1-v1"].router_proxy.target
        identity = Identity.create("operator", "cli", CLUSTER_KEY)
        connection = await dial(address, identity)
        known = await connection.call(ExplainRequest(answer.request_id), 5.0)
        unknown = await connection.call(ExplainRequest("other"), 5.0)
        connection.close()
    (decision,) = known.decisions
    assert decision.chosen == answer.engine == decision.order[0]
    assert len(decision.order) == 3
    admitted = decision.alternatives[-1]
    assert (admitted.engine, admitted.answer) == (answer.engine, "admitted")
    assert 0 < admitted.load <= admitted.bound
    assert unknown.decisions == []


async def test_a_disconnected_caller_loses_its_place_in_the_queue():
    fleet_shape = shape(
        domains=1,
        engine_flags={"concurrency": 1, **SLOW},
        endpoint_changes={"concurrency": 1},
    )
    async with Fleet(fleet_shape) as fleet:
        caller = fleet.caller("d1-v1")
        router = fleet.vm_by_name["d1-v1"].router
        first = asyncio.create_task(caller.chat(MODEL, HELLO, max_tokens=100))
        await eventually(lambda: router.events(401), 10.0, "the first request runs")
        second = asyncio.create_task(caller.chat(MODEL, HELLO, chat="second"))
        await eventually(lambda: router.events(404), 10.0, "the second request waits")
        second.cancel()
        assert (await first).is_complete
        assert (await caller.chat(MODEL, HELLO, chat="third")).is_complete
        stats = await fleet.engine_stats()
        assert [report["requests"] for report in stats.values()] == [2], fleet.logs()
