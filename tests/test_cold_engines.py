"""Cold engines get no more than they bear from all VMs together, without a network."""

import random
from types import SimpleNamespace

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.errors import PlatformError
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.platform.config_record import ConfigDecoder
from dotterelpitch.platform.engine_record import decode_engine
from dotterelpitch.platform.engine_status import decode_engine_status
from dotterelpitch.platform.store import StoreRecord, StoreResponse
from dotterelpitch.routing.cold_engines import (
    MAX_COLD_SECONDS,
    RAMP_SECONDS,
    ColdEngines,
    ColdLimits,
    ColdTolerance,
)
from dotterelpitch.routing.engines import Engine
from dotterelpitch.routing.route_table import ServiceLimits
from dotterelpitch.routing.share_holders import HOLDERS, SETTLED_SECONDS, ShareHolders
from tests.harness.store_records import engine_record, json_record
from tests.test_rate_limit_fleet import SERVICE, RateFleet

COLD = ColdLimits(seconds=3.0, per_second=12.0)
TOLERANCE = ColdTolerance(multiple=1.5, requests=5.0)
# What a cold engine may get in any second.
TOLERATED = TOLERANCE.multiple * COLD.per_second + TOLERANCE.requests
WINDOW_SECONDS = 1.0
# VMs learn of a change in the store at different times, up to this much apart.
TOLD_SECONDS = 0.75
# While callers wait, an engine is to get this share of what it bears.
USED_SHARE = 0.8
ENGINE = Engine("e1", SERVICE, "127.0.0.1:1", "a")


@pytest.fixture
def clock():
    return ManualClock(100.0)


def make_cold(clock, limits=COLD):
    return ColdEngines(clock, lambda service: limits, TOLERANCE)


# Guards against: an engine that says nothing, or nonsense, of being cold stays limited,
# or one that is cold isn't.
@pytest.mark.parametrize(
    ("left_s", "after_s", "per_second"),
    [
        (0.0, 0.0, None),
        (2.0, 0.0, 12.0),
        (2.0, 1.9, 12.0),
        (2.0, 2.5, 24.0),
        (2.0, 2.0 + RAMP_SECONDS, None),
        (1e9, MAX_COLD_SECONDS - 1, 12.0),
        (1e9, MAX_COLD_SECONDS + RAMP_SECONDS, None),
    ],
)
def test_limit_while_an_engine_says_that_it_is_cold(clock, left_s, after_s, per_second):
    cold = make_cold(clock)
    cold.record_left(ENGINE, left_s)
    clock.advance(after_s)
    limit = cold.rate_limit(ENGINE)
    assert (limit and limit.per_second) == pytest.approx(per_second)


# Guards against: a record of before the restart says that the engine is warm.
def test_warm_record_does_not_end_what_is_assumed(clock):
    cold = make_cold(clock)
    cold.assume_cold([ENGINE], "it has restarted")
    cold.record_left(ENGINE, 0.0)
    assert cold.rate_limit(ENGINE) is not None


@pytest.mark.parametrize("limits", [ColdLimits(), ColdLimits(0.0, 12.0)])
def test_service_without_cold_time_has_no_cold_engines(clock, limits):
    cold = make_cold(clock, limits)
    cold.assume_cold([ENGINE], "it has restarted")
    assert cold.is_empty()


CONFIG = {"version": 1, "routes": [], "services": [{"name": "chat", "cold_s": 3}]}


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({}, ColdLimits()),
        ({"cold_s": 3.0, "cold_per_s": 12}, COLD),
        ({"cold_s": -3.0, "cold_per_s": 12}, ColdLimits()),
        ({"cold_s": "3", "cold_per_s": 12}, ColdLimits()),
        ({"cold_s": 3.0, "cold_per_s": None}, ColdLimits()),
        ({"cold_s": 3.0, "cold_per_s": 1e999}, ColdLimits()),
        ({"cold_s": 10**400, "cold_per_s": 12}, ColdLimits()),
        ({"cold_s": True, "cold_per_s": 12}, ColdLimits()),
    ],
)
def test_odd_cold_fields_of_a_config_are_ignored(fields, expected):
    content = {**CONFIG, "services": [{"name": "chat", **fields}, {"name": "other"}]}
    config = ConfigDecoder().decode(json_record("op/config", content).value)
    assert config.service_by_name["chat"].cold == expected
    assert config.service_by_name["other"].cold == ColdLimits()


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({}, None),
        ({"cold_left_ms": 0}, 0.0),
        ({"cold_left_ms": 1500}, 1.5),
        ({"cold_left_ms": -1}, None),
        ({"cold_left_ms": 1e300}, None),
    ],
)
def test_what_a_record_says_of_being_cold(fields, expected):
    record = engine_record("e1", **fields)
    assert decode_engine(record.key, record.value).cold_left_s == expected


def test_record_with_a_field_of_another_type_names_no_engine():
    record = engine_record("e1", cold_left_ms="soon")
    with pytest.raises(PlatformError):
        decode_engine(record.key, record.value)


@pytest.mark.parametrize(
    ("value", "expected"), [("1500", 1.5), ("-1", 0.0), ("soon", 0.0), ("", 0.0)]
)
def test_what_a_status_check_says_of_being_cold(value, expected):
    assert decode_engine_status(200, [("Cold-Ms", value)]).cold_left_s == expected


CONFIG_RECORD = json_record(
    "op/config",
    {**CONFIG, "services": [{"name": "chat", "cold_s": 3.0, "cold_per_s": 12.0}]},
)


def evacuate(domain):
    return StoreRecord(f"op/evacuate/{domain}", b"{}")


def take_back(domain):
    return StoreRecord(f"op/evacuate/{domain}", None)


WARM = engine_record("e1", cold_left_ms=0)


# Guards against: an engine that may have restarted unseen gets all of its traffic.
@pytest.mark.parametrize(
    ("changes", "is_cold"),
    [
        ([], False),
        ([engine_record("e1", cold_left_ms=2000)], True),
        ([engine_record("e2")], True),
        ([engine_record("e2", cold_left_ms=0)], False),
        ([engine_record("e1", born=2)], True),
        ([StoreRecord("op/evacuate/a", b"{}")], False),
        (
            [StoreRecord("op/evacuate/a", b"{}"), StoreRecord("op/evacuate/a", None)],
            True,
        ),
        (
            [StoreRecord("op/evacuate/b", b"{}"), StoreRecord("op/evacuate/b", None)],
            False,
        ),
    ],
)
def test_records_that_leave_open_whether_an_engine_is_cold(clock, changes, is_cold):
    state = GatewayState(clock)
    state.apply_list(StoreResponse((CONFIG_RECORD, WARM), 10), False)
    for number, change in enumerate(changes):
        state.apply_changes(StoreResponse((change,), 11 + number))
    assert bool(state.cold_engines.cold_ids()) == is_cold


# Guards against: shares that two VMs hold, or nobody, or one that hardly knows a peer.
@pytest.mark.parametrize("vms", [1, 2, 9, 60])
def test_shares_of_an_engine_sum_up_to_one(clock, vms):
    names = [f"vm{n}" for n in range(vms)]
    holders = [ShareHolders(clock, name, lambda: names) for name in names]
    assert sum(h.share("e1") for h in holders) == 0.0
    clock.advance(SETTLED_SECONDS)
    shares = [h.share("e1") for h in holders]
    assert sum(shares) == pytest.approx(1.0)
    assert sum(s > 0.0 for s in shares) == min(HOLDERS, vms)


def test_shares_move_when_a_vm_is_lost(clock):
    names = [f"vm{n}" for n in range(9)]
    holders = [ShareHolders(clock, name, lambda: names) for name in names]
    assert sum(h.share("e1") for h in holders) == 0.0
    clock.advance(SETTLED_SECONDS)
    lost = next(n for n, h in enumerate(holders) if h.share("e1"))
    del names[lost], holders[lost]
    clock.advance(SETTLED_SECONDS)
    assert sum(h.share("e1") for h in holders) == pytest.approx(1.0)


class ColdFleet(RateFleet):
    """Gateways with engines of which some turn cold, as each VM learns in its time."""

    def __attrs_post_init__(self):
        super().__attrs_post_init__()
        self._told = []
        self.cold_at = float("inf")
        self._set_config()

    def turn_cold(self, engine_ids):
        """Let engines be cold, as when their failure domain is taken back."""
        self.cold_at = self.clock.monotonic()
        rng = random.Random(self.seed)
        for gateway in self.fleet.alive.values():
            at = self.cold_at + rng.random() * TOLD_SECONDS
            self._told.append((at, gateway, list(engine_ids)))
            gateway.state.directory.evacuate(frozenset({"a"}))

    def step(self):
        """Let the VMs know for which it is time."""
        now = self.clock.monotonic()
        for at, gateway, engine_ids in self._told:
            if at <= now:
                gateway.state.directory.evacuate(frozenset())
                gateway.state.cold_engines.assume_cold(
                    [self.engine_by_id[i] for i in engine_ids], "its domain is back"
                )
        self._told = [entry for entry in self._told if entry[0] > now]

    def restart(self, address):
        """Restart a VM, which reads in the records for how long engines stay cold."""
        super().restart(address)
        self._set_config()
        left_s = self.cold_at + COLD.seconds - self.clock.monotonic()
        gateway = self.fleet.gateway_by_address[address]
        for engine in self.engine_by_id.values():
            gateway.state.cold_engines.record_left(engine, left_s)

    def _set_config(self):
        config = SimpleNamespace(
            version=1, service_by_name={SERVICE: ServiceLimits(100, cold=COLD)}
        )
        for gateway in self.fleet.gateway_by_address.values():
            gateway.state.config = config
            gateway.state.cold_engines.tolerance = TOLERANCE

    def worst_second(self, engine_ids):
        """Return the most requests of a second at one of the engines while cold."""
        end = self.cold_at + COLD.seconds
        worst = 0
        for engine_id in engine_ids:
            ats = [at for at in self.arrivals_by_engine[engine_id] if at <= end]
            ats = [at for at in ats if at >= self.cold_at]
            for first in ats:
                within = [at for at in ats if first <= at < first + WINDOW_SECONDS]
                worst = max(worst, len(within))
        return worst


def kill_some(fleet, address):
    """A VM ends."""
    fleet.fleet.dead.add(address)


def restart_some(fleet, address):
    """A VM restarts and knows nothing."""
    fleet.restart(address)


def cut_some_off(fleet, address):
    """A VM loses all peers that aren't cut off with it."""
    fleet.fleet.partitioned.add(address)


def leave_alone(fleet, address):
    """All VMs go on."""


# Guards against: the herd that returns to a failure domain crashes its cold engines,
# each VM keeping to the limit for itself, also while VMs end, start, or are cut off.
@pytest.mark.parametrize("vms", [1, 9, 60])
@pytest.mark.parametrize("calls_per_s", [60.0, 300.0])
@pytest.mark.parametrize(
    "incident", [leave_alone, kill_some, restart_some, cut_some_off]
)
@pytest.mark.parametrize("seed", [1, 2, 5])
def test_herd_that_returns_stays_below_what_cold_engines_bear(
    vms, calls_per_s, incident, seed
):
    fleet = ColdFleet(vms, {}, calls_per_s, seed=seed)
    fleet.run(5.0, fleet.step)
    fleet.turn_cold(fleet.engine_by_id)
    addresses = iter(list(fleet.fleet.gateway_by_address)[1 : 1 + vms // 6])

    def step():
        fleet.step()
        address = next(addresses, None)
        if address is not None:
            incident(fleet, address)

    fleet.run(COLD.seconds + 0.25, step)
    assert fleet.worst_second(fleet.engine_by_id) <= TOLERATED


# Guards against: shares lie with VMs that don't need them while callers wait.
@pytest.mark.parametrize("vms", [1, 9, 60])
@pytest.mark.parametrize("first_vm_share", [0.0, 0.5])
def test_what_cold_engines_bear_is_used_while_callers_wait(vms, first_vm_share):
    long = ColdLimits(30.0, 12.0)
    fleet = ColdFleet(vms, {}, 300.0, first_vm_share=first_vm_share)
    for gateway in fleet.fleet.alive.values():
        gateway.state.config.service_by_name[SERVICE] = ServiceLimits(100, cold=long)
    fleet.run(5.0, fleet.step)
    fleet.turn_cold(fleet.engine_by_id)
    fleet.run(5.0, fleet.step)
    since = fleet.clock.monotonic()
    fleet.run(10.0)
    rates = [fleet.rate(engine_id, since) for engine_id in fleet.engine_by_id]
    assert sum(rates) >= USED_SHARE * len(rates) * COLD.per_second


# Guards against: an engine that was cold stays without its traffic.
def test_engine_has_its_traffic_back_after_it_was_cold():
    fleet = ColdFleet(9, {}, 60.0)
    fleet.run(25.0, fleet.step)
    usual = fleet.rate("e0", fleet.clock.monotonic() - 25.0)
    fleet.turn_cold(["e0"])
    fleet.run(COLD.seconds + RAMP_SECONDS, fleet.step)
    since = fleet.clock.monotonic()
    fleet.run(25.0)
    assert fleet.rate("e0", since) >= 0.75 * usual
