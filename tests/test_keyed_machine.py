"""Random schedules of leases, calls, pauses, restarts, and VM list changes.

After each step, no key may have run more than once, no key that was reported as
not run may have run, and at most one process may hold the slot's lease.
"""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from dotterelpitch.requests.ownership import slot_group
from tests.keyed_world import DOMAIN_BY_VM, LEASE_SECONDS, SLOT, World, make_list

VMS = sorted(DOMAIN_BY_VM)
ANY_VM = st.sampled_from(VMS)
CALLER_SKEW = st.sampled_from([-3.0, 0.0, 1.0, 1.9, 8.0])


class KeyedMachine(RuleBasedStateMachine):
    """Drives five processes, of which at most one or all recover from a restart."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World()
        self.keys: list[str] = []
        self.world.settle("a1")

    def _running(self, vm: str):
        process = self.world.process_by_vm[vm]
        return None if process.paused else process

    def _run_at_every_vm(self, key):
        for vm in VMS:
            if self._running(vm):
                self.world.run(vm, key)

    @rule(seconds=st.sampled_from([0.2, 1.0, 2.0, LEASE_SECONDS, 11.0]))
    def advance(self, seconds):
        self.world.clock.advance(seconds)

    @rule(vm=ANY_VM)
    def claim(self, vm):
        self.world.claim(vm)

    @rule(vm=ANY_VM)
    def exchange(self, vm):
        self.world.exchange(vm)

    @rule()
    def exchange_all(self):
        self.world.exchange_all()

    @precondition(lambda self: self.world.messages)
    @rule(data=st.data())
    def deliver(self, data):
        last = len(self.world.messages) - 1
        self.world.deliver(data.draw(st.integers(0, last)))

    @precondition(lambda self: self.world.messages)
    @rule(data=st.data())
    def lose(self, data):
        """Lose one message in transit."""
        last = len(self.world.messages) - 1
        del self.world.messages[data.draw(st.integers(0, last))]

    @rule(source=ANY_VM, to=ANY_VM)
    def cut_one_way(self, source, to):
        """Cut the link in one direction, or restore it if it is cut."""
        if source != to:
            self.world.cut_links ^= {(source, to)}

    @rule()
    def heal(self):
        """Restore all cut links."""
        self.world.cut_links.clear()

    @rule(vm=ANY_VM)
    def take_over(self, vm):
        """Let all leases expire, and then ``vm`` claim the slot."""
        self.world.clock.advance(LEASE_SECONDS + 0.1)
        self.world.exchange(vm)

    @rule(skew=CALLER_SKEW, seconds=st.sampled_from([0.0, 0.2, 2.5, 3.5]))
    def run_new(self, skew, seconds):
        """Run a new key at every VM that accepts it, ``seconds`` after its creation."""
        self.keys.append(self.world.new_key(skew))
        self.world.clock.advance(seconds)
        self._run_at_every_vm(self.keys[-1])

    @rule(vm=ANY_VM)
    def pause(self, vm):
        self.world.process_by_vm[vm].paused = True

    @rule(vm=ANY_VM)
    def resume(self, vm):
        self.world.process_by_vm[vm].paused = False

    @rule(vm=ANY_VM, data=st.data())
    def restart(self, vm, data):
        """Restart ``vm`` with any list, however old, if all others have recovered.

        The group must have another member under that list. A VM that has just
        started as the only member may become a second owner; see
        test_only_fencing_protects_when_a_list_replaces_a_whole_group.
        """
        others = [p for v, p in self.world.process_by_vm.items() if v != vm]
        vm_list = data.draw(st.sampled_from(self.world.lists))
        has_others = set(slot_group(vm_list, SLOT).members) - {vm}
        others_recovered = (p.owner.slot_states[SLOT].grantor.recovered for p in others)
        if has_others and all(others_recovered):
            self.world.start(vm, vm_list)

    @rule(data=st.data())
    def restart_all(self, data):
        vm_list = data.draw(st.sampled_from(self.world.lists))
        for vm in VMS:
            self.world.start(vm, vm_list)

    @rule(names=st.sets(ANY_VM, min_size=1))
    def publish(self, names):
        """Publish a new VM list, which no process has received yet."""
        revision = self.world.lists[-1].revision + 1
        self.world.lists.append(make_list(revision, names))

    @rule(vm=ANY_VM, data=st.data())
    def learn_list(self, vm, data):
        """Let ``vm`` receive any published list, the newest or an older one."""
        if process := self._running(vm):
            lists = self.world.lists
            process.owner.use_vm_list(data.draw(st.sampled_from(lists)))

    @rule(vm=ANY_VM, skew=CALLER_SKEW)
    def call_new(self, vm, skew):
        self.keys.append(self.world.new_key(skew))
        if self._running(vm):
            self.world.call(vm, self.keys[-1])

    @precondition(lambda self: self.keys)
    @rule(vm=ANY_VM, data=st.data())
    def repeat(self, vm, data):
        key = data.draw(st.sampled_from(self.keys[-6:]))
        if self._running(vm):
            self.world.call(vm, key)

    @precondition(lambda self: self.keys)
    @rule(data=st.data())
    def repeat_everywhere(self, data):
        key = data.draw(st.sampled_from(self.keys[-6:]))
        self._run_at_every_vm(key)

    @rule(vm=ANY_VM)
    def begin(self, vm):
        """Begin to dispatch an accepted call of ``vm``."""
        process = self._running(vm)
        if process and process.accepted:
            self.world.begin(vm)

    @rule(vm=ANY_VM)
    def write(self, vm):
        """Let the first byte of a dispatched call of ``vm`` reach the endpoint."""
        process = self._running(vm)
        if process and process.dispatched:
            self.world.write(vm)

    @precondition(lambda self: self.world.late_writes)
    @rule()
    def write_late(self):
        """Let a call that a restarted process dispatched reach the endpoint."""
        self.world.write_late()

    @rule(source=ANY_VM, to=ANY_VM, take_back=st.booleans())
    def hand_over(self, source, to, take_back):
        if self._running(source) and source != to:
            self.world.hand_over(source, to, take_back)

    @invariant()
    def safe(self):
        self.world.check()


TestKeyedMachine = KeyedMachine.TestCase
TestKeyedMachine.settings = settings(
    max_examples=150,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
