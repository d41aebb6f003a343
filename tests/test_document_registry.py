"""Document registry: the highest valid revision wins; startup queries peers first."""

import itertools
import json
import logging

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dotterelpitch.clock import ManualClock
from dotterelpitch.documents import registry as registry_module
from dotterelpitch.documents.parsing import MAX_DOCUMENT_BYTES
from dotterelpitch.documents.registry import (
    DocumentRegistry,
    OfferResult,
)
from dotterelpitch.documents.startup_gate import (
    PEER_QUERY_SECONDS,
    OfferedRevision,
    StartupGate,
)
from dotterelpitch.membership.model import Vm, VmList
from dotterelpitch.membership.vm_list_registry import VmListRegistry

VALID = {"service": "s"}
OTHER = {"service": "s", "load_bound": 1.5}
UNKNOWN_FIELD = {"service": "s", "load_bnd": 1.5}
WRONG_SERVICE = {"service": "t"}


def offer(registry, revision, content):
    return registry.offer("s", revision, json.dumps(content), "test")


@pytest.mark.parametrize(
    ("offers", "results", "revision"),
    [
        ([(1, VALID)], ["in-force"], 1),
        ([(1, VALID), (1, VALID)], ["in-force", "known"], 1),
        ([(2, VALID), (1, OTHER)], ["in-force", "older"], 2),
        ([(2, VALID), (3, UNKNOWN_FIELD)], ["in-force", "refused"], 2),
        ([(3, UNKNOWN_FIELD), (2, VALID)], ["refused", "in-force"], 2),
        ([(2, VALID), (3, WRONG_SERVICE), (4, OTHER)], None, 4),
        ([(3, UNKNOWN_FIELD), (3, VALID)], ["refused", "in-force"], 3),
        ([(5, VALID), (1, VALID), (5, UNKNOWN_FIELD), (4, OTHER)], None, 5),
    ],
)
def test_highest_valid_revision_is_in_force(offers, results, revision):
    registry = DocumentRegistry(ManualClock())
    seen = [offer(registry, *item).value for item in offers]
    assert results is None or seen == results
    assert registry.revision("s") == revision


def test_refused_text_is_parsed_once_and_reported(monkeypatch, caplog):
    parsed = []
    parse = registry_module.parse_document

    def count(text):
        parsed.append(text)
        return parse(text)

    monkeypatch.setattr(registry_module, "parse_document", count)
    registry = DocumentRegistry(ManualClock())
    with caplog.at_level(logging.INFO, "dotterelpitch"):
        for _ in range(3):
            assert offer(registry, 1, UNKNOWN_FIELD) is OfferResult.REFUSED
    assert len(parsed) == 1
    assert caplog.text.count('"event": 202') == 1
    assert registry.count_by_result[OfferResult.REFUSED] == 3
    assert "load_bnd" in registry.refused("s")[0].problems[0]


def test_older_revision_is_reported_once(caplog):
    registry = DocumentRegistry(ManualClock())
    offer(registry, 5, VALID)
    with caplog.at_level(logging.INFO, "dotterelpitch"):
        for _ in range(3):
            offer(registry, 4, VALID)
    assert caplog.text.count('"event": 203') == 1


def test_revisions_below_the_floor_are_ignored():
    registry = DocumentRegistry(ManualClock())
    registry.raise_floor("s", 7)
    assert offer(registry, 6, VALID) is OfferResult.OLDER
    assert offer(registry, 7, VALID) is OfferResult.IN_FORCE


def test_one_megabyte_document_is_accepted_and_a_larger_one_refused():
    accounts = [
        {"name": f"account-{n}", "key_sha256": f"{n:064x}"} for n in range(9_000)
    ]
    text = json.dumps({"service": "s", "client_accounts": accounts})
    text += " " * (MAX_DOCUMENT_BYTES - len(text))
    registry = DocumentRegistry(ManualClock())
    assert registry.offer("s", 1, text, "test") is OfferResult.IN_FORCE
    assert registry.offer("s", 2, text + " ", "test") is OfferResult.REFUSED


@settings(max_examples=200, derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(1, 4), st.sampled_from([VALID, OTHER, UNKNOWN_FIELD])),
        max_size=12,
    ),
    st.randoms(use_true_random=False),
)
def test_offers_converge_in_any_order_and_never_revert(offers, random):
    ranks = []
    for order in (offers, random.sample(offers, len(offers))):
        registry = DocumentRegistry(ManualClock())
        revisions = []
        for item in order:
            offer(registry, *item)
            revisions.append(registry.revision("s"))
        assert revisions == sorted(revisions)
        version = registry.get("s")
        ranks.append(version and version.rank)
    assert ranks[0] == ranks[1]


def test_wants_only_versions_above_the_current_one():
    registry = DocumentRegistry(ManualClock())
    offer(registry, 3, VALID)
    checksum = registry.get("s").checksum
    assert [
        registry.wants("s", revision, checksum + extra)
        for revision, extra in [(2, 0), (3, 0), (3, 1), (3, -1), (4, 0)]
    ] == [False, False, True, False, True]


# A peer's answer: whether it is settled, and the versions that it has in force.
# In the table below, None stands for a failed query.
SETTLED_3 = (True, [OfferedRevision("s", 3, 1)])
UNSETTLED_3 = (False, [OfferedRevision("s", 3, 1)])
EMPTY = (False, [])


@pytest.mark.parametrize(
    ("answers", "waited", "may_read"),
    [
        ({}, 0.0, False),
        ({"a": SETTLED_3}, 0.0, False),
        ({"a": SETTLED_3, "b": SETTLED_3}, 0.0, True),
        ({"a": EMPTY, "b": EMPTY}, 0.0, False),
        ({"a": EMPTY, "b": None, "c": SETTLED_3}, 0.0, True),
        ({"a": None, "b": None, "c": None}, 0.0, True),
        ({"a": UNSETTLED_3}, PEER_QUERY_SECONDS, True),
    ],
)
def test_startup_queries_peers_before_the_platform(answers, waited, may_read):
    clock = ManualClock()
    gate = StartupGate(clock)
    gate.start(["a", "b", "c"])
    for peer, answer in answers.items():
        if answer is None:
            gate.stop_waiting_for(peer)
        else:
            gate.record_answer(peer, *answer)
    clock.advance(waited)
    assert gate.may_read_platform() is may_read


@pytest.mark.parametrize(
    ("revision", "waited", "settled"),
    [(0, 0.0, False), (2, 0.0, False), (3, 0.0, True), (2, PEER_QUERY_SECONDS, True)],
)
def test_startup_settles_once_it_has_the_documents_of_its_peers(
    revision, waited, settled
):
    clock = ManualClock()
    gate = StartupGate(clock)
    gate.start(["a"])
    gate.record_answer("a", *SETTLED_3)
    registry = DocumentRegistry(clock)
    if revision:
        offer(registry, revision, VALID)
    clock.advance(waited)
    assert gate.is_settled(registry, ["s"]) is settled


def test_vm_lists_converge_in_any_order():
    lists = [VmList(1), VmList(2, [Vm("a", "x")]), VmList(2, [Vm("b", "x")]), VmList(1)]
    results = set()
    for order in itertools.permutations(lists):
        registry = VmListRegistry()
        for vm_list in order:
            registry.offer(vm_list, "test")
        results.add(registry.vm_list.vms[0].name)
    assert len(results) == 1
