"""Links between gateways that fail as soon as they are open."""

import asyncio
import contextlib
from types import SimpleNamespace

import pytest

from dotterelpitch.clock import SystemClock
from dotterelpitch.errors import StreamResetError
from dotterelpitch.gateway import peer_links
from dotterelpitch.gateway.peer_links import PeerLinks
from dotterelpitch.protocol.gateway_messages import OpenLink
from dotterelpitch.protocol.server import HandlerTable
from tests.harness.simulated_gateways import SimulatedGateway, make_vms
from tests.harness.waiting import pause

OWN, PEER = make_vms(2)


class FailingDigests:
    """Can't encode what it has to tell."""

    def make(self, link):
        raise ValueError("no digest")


class ClosedStream:
    """A stream on a connection that the peer closes at once."""

    def __init__(self):
        self.number = 1
        self.connection = SimpleNamespace(is_congested=False, write=lambda *_: None)

    async def send(self, message):
        pass

    async def receive(self):
        raise StreamResetError("closed")

    def reset(self, code):
        pass


def make_links(digests=None):
    """Return the links of a gateway that dials one peer."""
    gateway = SimulatedGateway(OWN, SystemClock(), [PEER.address])
    links = PeerLinks(
        identity=None,
        clock=gateway.clock,
        state=gateway.state,
        fleet=gateway.fleet,
        links=gateway.links,
        topology=gateway.topology,
        digests=digests or gateway.digests,
        records=SimpleNamespace(answer=None),
        reader_selection=SimpleNamespace(),
        exchanges=[],
        update_contact_share=lambda: None,
        loads=gateway.loads,
        retry_budget=SimpleNamespace(set_vm_count=lambda count: None),
        digest_period_s=0.05,
    )
    return gateway, links


# Guards against: a link that can't be told anything stays in the table for good.
async def test_link_is_removed_if_its_first_digest_fails():
    gateway, links = make_links(FailingDigests())
    handlers = HandlerTable()
    links.serve(handlers)
    with pytest.raises(ValueError, match="no digest"):
        await handlers.handle(ClosedStream(), OpenLink(PEER))
    assert gateway.links.count() == 0


# Guards against: a peer that closes each link at once is dialed without a pause.
async def test_peer_that_closes_its_links_is_dialed_with_pauses(monkeypatch):
    dials = []

    async def dial(address, identity, handler):
        dials.append(address)
        await pause(0.001)
        return SimpleNamespace(
            open_stream=lambda message: ClosedStream(), close=lambda: None
        )

    monkeypatch.setattr(peer_links, "dial", dial)
    _, links = make_links()
    running = asyncio.create_task(links.run())
    await pause(0.5)
    running.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await running
    assert dials == [PEER.address]
