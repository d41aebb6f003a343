"""Who reads the store, and how soon all gateways know a change, without a network."""

import pytest
from attrs import define, field

from dotterelpitch.clock import ManualClock
from dotterelpitch.gateway.reader_selection import ReaderSelection
from dotterelpitch.gateway.store_timing import MIN_BOUND_SECONDS, StoreTiming
from dotterelpitch.store_position import StorePosition
from tests.harness.simulated_gateways import make_fleet

MAX_WATCH_SECONDS = 1.5
MAX_DIGEST_SECONDS = 0.25
BOUNDS = [0.5, 1.0, 2.0, 3.0, 4.0, 10.0]
# A read, one more after a refusal, and passing on must fit into the rest of the bound.
MAX_TRUST_SHARE = 0.85
STEPS_PER_DIGEST = 5
CLOCK = ManualClock(100.0)


def make_timing(bound_s):
    return StoreTiming.for_bound(bound_s, MAX_WATCH_SECONDS, MAX_DIGEST_SECONDS)


# Guards against: a trust in readers that is longer than the settings' bound.
@pytest.mark.parametrize("bound_s", [0.0, 0.1, *BOUNDS])
def test_stages_before_a_gateway_reads_itself_fit_into_the_bound(bound_s):
    timing = make_timing(bound_s)
    share = (timing.member_trust_s + timing.poll_s) / max(bound_s, MIN_BOUND_SECONDS)
    assert share <= MAX_TRUST_SHARE + 1e-9
    assert timing.watch_s + timing.digest_s < timing.relay_trust_s
    assert timing.relay_trust_s + timing.digest_s < timing.member_trust_s
    assert timing.watch_s <= MAX_WATCH_SECONDS
    assert timing.digest_s <= MAX_DIGEST_SECONDS


@define
class Watch:
    """One watch of a gateway on the store, from ``revision`` on."""

    began_at: float
    revision: int


@define(slots=False)
class ReadingFleet:
    """Simulated gateways that read a store; those in ``cut_off`` get no response.

    ``calls`` counts the calls of the store.
    """

    count: int
    domains: str
    bound_s: float
    revision: int = 1
    cut_off: set = field(factory=set)
    calls: int = 0
    _watch_by_vm: dict = field(factory=dict)

    def __attrs_post_init__(self):
        self.timing = make_timing(self.bound_s)
        self.fleet = make_fleet(self.count, domains=self.domains)
        self.clock = self.fleet.clock
        self.gateways = list(self.fleet.gateway_by_address.values())
        for gateway in self.gateways:
            gateway.reader_selection.timing = self.timing

    def run(self, seconds):
        """Let time pass; return the gateways that know the last change by its delay."""
        delay_by_vm = {}
        began_at = self.clock.monotonic()
        while (delay_s := self.clock.monotonic() - began_at) < seconds:
            for _ in range(STEPS_PER_DIGEST):
                self.clock.advance(self.timing.digest_s / STEPS_PER_DIGEST)
                for gateway in self.gateways:
                    self._read(gateway)
            self.fleet.exchange()
            self._pass_on()
            delay_s = self.clock.monotonic() - began_at
            for gateway in self.gateways:
                if gateway.state.revision == self.revision:
                    delay_by_vm.setdefault(gateway.vm.name, delay_s)
        return delay_by_vm

    def readers(self):
        """Return the names of the gateways that have read the store just now."""
        return {
            gateway.vm.name
            for gateway in self.gateways
            if not gateway.reader_selection.is_own_read_late()
        }

    def run_until_confirmed(self):
        """Run until a reader has just got a response; return the readers."""
        calls = self.calls
        while self.calls == calls:
            self.run(self.timing.digest_s)
        return self.readers()

    def _read(self, gateway):
        """Begin a watch, or end the one that has got its response or none in time."""
        name, selection = gateway.vm.name, gateway.reader_selection
        now = self.clock.monotonic()
        watch = self._watch_by_vm.get(name)
        if watch is None:
            if gateway.state.revision and not selection.should_read_store():
                selection.record_no_own_read()
                return
            self.calls += 1
            self._watch_by_vm[name] = Watch(now, gateway.state.revision)
            return
        if name in self.cut_off:
            if now - watch.began_at >= self.timing.member_trust_s:
                selection.record_no_own_read()
                del self._watch_by_vm[name]
            return
        if watch.revision < self.revision or now - watch.began_at > self.timing.watch_s:
            gateway.state.confirm(StorePosition(revision=self.revision))
            selection.record_own_read()
            del self._watch_by_vm[name]

    def _pass_on(self):
        """Let gateways that don't read fetch what a linked peer knows."""
        by_address = self.fleet.gateway_by_address
        for dialer, listener in self.fleet.links:
            pair = by_address[dialer], by_address[listener]
            for sender, receiver in (pair, pair[::-1]):
                if sender.state.position > receiver.state.position:
                    receiver.state.confirm(sender.state.position, sender.state.age_s)


# Guards against: gateways that reach the store hear of a change later than the settings
# say, since all that read it for them were cut off at once, just after an answer. The
# second change comes during the same cut.
@pytest.mark.parametrize("bound_s", BOUNDS)
@pytest.mark.parametrize(
    ("count", "domains"), [(2, "a"), (3, "a"), (9, "abc"), (16, "abcd"), (40, "abc")]
)
def test_all_know_a_change_in_time_while_the_readers_are_cut_off(
    bound_s, count, domains
):
    fleet = ReadingFleet(count, domains, bound_s)
    fleet.run(max(5.0, 2 * bound_s))
    fleet.cut_off = fleet.run_until_confirmed()
    reachable = {g.vm.name for g in fleet.gateways} - fleet.cut_off
    for _ in range(2):
        fleet.revision += 1
        delay_by_vm = fleet.run(2 * bound_s)
        late = {vm: delay_by_vm.get(vm) for vm in reachable}
        late = {vm: s for vm, s in late.items() if s is None or s > bound_s}
        assert late == {}


# Guards against: each gateway of a large fleet calls the store, which bills each call
# and limits them. Two watches overlap while readers change.
@pytest.mark.parametrize(
    ("count", "domains"), [(1, "a"), (3, "a"), (3, "abc"), (30, "abc"), (300, "abc")]
)
def test_one_gateway_of_each_domain_reads_without_trouble(count, domains):
    fleet = ReadingFleet(count, domains, bound_s=2.0)
    fleet.run(5.0)
    calls, seconds = fleet.calls, 4.0
    fleet.run(seconds)
    most = len(domains) * (seconds / fleet.timing.watch_s + 1)
    assert len(fleet.readers()) == len(domains)
    assert fleet.calls - calls <= most


# Guards against: gateways that can't read the store keep one another from noticing,
# since each takes the other's word for new.
def test_what_peers_have_only_heard_is_no_fresh_report():
    selection = ReaderSelection(CLOCK, "vm-1", "a")
    selection.record_report("vm-2", "a", True, 0.1, read_age_s=float("inf"))
    assert selection.should_read_store()


# Guards against: two gateways that tell each other of an old answer of the store take
# it for newer each time, by the time that their digests are under way.
@pytest.mark.parametrize("lag_s", [0.005, 0.1])
def test_age_of_what_nobody_reads_rises_with_time(lag_s):
    fleet = ReadingFleet(2, "a", bound_s=2.0)
    fleet.fleet.exchange()
    clock, gateways = fleet.clock, fleet.gateways
    for gateway in gateways:
        gateway.state.confirm(StorePosition(revision=5))
    began_at = clock.monotonic()
    for _ in range(20):
        for sender, receiver in (gateways, gateways[::-1]):
            [link], [back] = sender.links.all(), receiver.links.all()
            digest = sender.digests.make(link)
            clock.advance(lag_s)
            receiver.digests.apply(back, digest)
    passed_s = clock.monotonic() - began_at
    for gateway in gateways:
        assert gateway.state.age_s == pytest.approx(passed_s)
        assert gateway.reader_selection.should_read_store()


# Guards against: a reader whose calls fail is relied on until its last read is old.
def test_reader_whose_call_fails_is_replaced_at_once():
    selections = {vm: ReaderSelection(CLOCK, vm, "a") for vm in ("vm-1", "vm-2")}

    def readers(read_age_s):
        for vm, selection in selections.items():
            selection.record_report("vm-3", "b", True, 0.1, 0.1)
            [peer] = selections.keys() - {vm}
            selection.record_report(peer, "a", True, 0.1, read_age_s)
        return [vm for vm, s in selections.items() if s.should_read_store()]

    assert len(readers(read_age_s=0.1)) == 1
    assert len(readers(read_age_s=float("inf"))) == 2


# Guards against: a failed call that peers aren't told of at once, or told of each time.
def test_first_failure_after_a_read_is_news_for_the_peers():
    selection = ReaderSelection(CLOCK, "vm-1", "a")
    selection.record_own_read()
    assert selection.own_read_age_s == 0.0
    assert [selection.record_no_own_read() for _ in range(2)] == [True, False]
    assert selection.own_read_age_s == float("inf")
