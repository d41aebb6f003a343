"""Agent state: emitted changes, and reports left by a previous incarnation."""

import pytest

from dotterelpitch.agent.state import AgentState
from dotterelpitch.clock import ManualClock
from dotterelpitch.membership.gossip import DigestStore
from dotterelpitch.membership.model import Vm, VmList, VmRole, VmState
from dotterelpitch.membership.view import LINKS_TOPIC, LinkReport


def make_state(clock=None):
    state = AgentState("vm-1", "d1", "new", clock or ManualClock())
    state.offer_vm_list(VmList(1, [Vm("vm-1", "d1"), Vm("vm-2", "d1")]), "test")
    return state


@pytest.mark.parametrize("wall_offset", [1.6e9, 1.8e9])
@pytest.mark.parametrize("merged_first", [True, False])
def test_restarted_vm_ignores_its_previous_leaving_report(wall_offset, merged_first):
    old_clock = ManualClock(wall_offset=wall_offset)
    previous = DigestStore("vm-1", old_clock).publish(
        LINKS_TOPIC, LinkReport("old", leaving=True).encode()
    )
    state = make_state()
    if merged_first:
        state.merge([previous], "vm-2")
        state.update_own_report(peers=[])
    else:
        state.update_own_report(peers=[])
        state.merge([previous], "vm-2")
    own = state.digests.get(LINKS_TOPIC, "vm-1")
    assert own.version > previous.version
    assert LinkReport.decode(own.payload).incarnation == "new"
    assert not state.view.value.leaving


def test_each_change_is_emitted_once():
    state = make_state()
    revisions, digests, views = [], [], []
    state.revisions.subscribe(revisions.append)
    state.digest_updates.subscribe(digests.append)
    state.view.subscribe(views.append)
    for _ in range(2):
        state.offer_document("s", 3, '{"service": "s"}', "test")
        state.offer_vm_list(VmList(2, [Vm("vm-1", "d1")]), "test")
        state.update_own_report(peers=["vm-2"])
    assert [offer.service for offer in revisions] == ["s", ""]
    assert len(digests) == 1
    assert len(views) == 1


def test_usable_list_excludes_only_suspected_and_leaving_entry_vms():
    clock = ManualClock()
    state = make_state(clock)
    vms = [
        Vm("vm-1", "d1"),
        Vm("vm-2", "d1"),
        Vm("vm-3", "d1", state=VmState.LEAVING),
        Vm("engine", "d1", role=VmRole.ENDPOINT),
    ]
    state.offer_vm_list(VmList(2, vms), "test")
    clock.advance(5.0)
    state.refresh_view()
    names = [vm.name for vm in state.usable_vm_list().vms]
    assert names == ["vm-1", "engine"]
