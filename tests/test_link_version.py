"""Gateways of the version before exchange digests with those of this one."""

import attrs
import cattrs
import msgpack
import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.gateway.dismissal_exchange import DismissalExchange
from dotterelpitch.gateway.engine_tracker import EngineTracker
from dotterelpitch.gateway.link import Link
from dotterelpitch.gateway.stream_origin_exchange import StreamOriginExchange
from dotterelpitch.protocol.codec import FrameDecoder, encode_frame
from dotterelpitch.protocol.gateway_messages import (
    DISMISSALS_LINK_VERSION,
    LINK_VERSION,
    CrashReport,
    DismissalDigest,
    FleetVm,
    GatewayDigest,
    OpenLink,
    RunDismissed,
)
from dotterelpitch.routing.dismissed_runs import Dismissal
from dotterelpitch.routing.stream_origins import StreamOrigin, StreamOrigins

OPEN_LINK_KIND = 74


@attrs.frozen
class EarlierFleetVm:
    """A gateway's description before it told its link version."""

    name: str
    failure_domain: str
    address: str
    link_mbps: int


# Guards against: a rolling upgrade of the gateways cuts old and new ones apart.
def test_description_without_a_link_version_is_read():
    frame = msgpack.packb((1, OPEN_LINK_KIND, ("vm1", "a", "10.0.0.1:1", 10)))
    [(_, opened)] = FrameDecoder().feed(frame)
    assert opened == OpenLink(FleetVm("vm1", "a", "10.0.0.1:1", 10, 0))


def test_earlier_gateways_read_a_description_with_a_link_version():
    vm = FleetVm("vm1", "a", "10.0.0.1:1", 10, LINK_VERSION)
    _, _, sender = msgpack.unpackb(encode_frame(1, OpenLink(vm)), use_list=False)
    converter = cattrs.Converter(unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE)
    read = converter.structure(sender, EarlierFleetVm)
    assert read == EarlierFleetVm("vm1", "a", "10.0.0.1:1", 10)


@pytest.mark.parametrize(
    ("link_version", "is_told"), [(0, False), (1, False), (2, True)]
)
def test_peer_is_sent_only_what_it_understands(link_version, is_told):
    origins = StreamOrigins(ManualClock(10.0))
    origins.record("packers", "r1", StreamOrigin("chat", "v1"))
    link = Link(FleetVm("vm2", "a", "10.0.0.2:1", 10, link_version), None)
    digest = StreamOriginExchange(None, origins).message_for(link)
    assert (digest is not None) == is_told


# Guards against: an earlier gateway closes the link at a message that it doesn't know.
@pytest.mark.parametrize(
    ("link_version", "told"),
    [
        (DISMISSALS_LINK_VERSION - 1, []),
        (DISMISSALS_LINK_VERSION, [DismissalDigest([RunDismissed("e1", "1", 500)])]),
    ],
)
def test_peer_is_told_once_of_runs_that_have_gone_on(link_version, told):
    clock = ManualClock(10.0)
    tracker = EngineTracker(clock, "vm1", "a")
    tracker.record_dismissals([Dismissal(("e1", "1"), clock.wall() - 0.5)], "vm3")
    link = Link(FleetVm("vm2", "a", "10.0.0.2:1", 10, link_version), None)
    exchange = DismissalExchange(clock, tracker)
    digests = [exchange.message_for(link) for _ in range(2)]
    assert [d for d in digests if d] == told


@attrs.frozen
class EarlierCrashReport:
    """A crash report before it told whether its evidence is silence."""

    fingerprint: str
    engine: str
    engine_run: str
    age_ms: int
    was_running: bool = False


def test_earlier_gateways_read_a_crash_report_with_its_evidence():
    report = CrashReport("f", "e1", "1", 5, True, True)
    digest = GatewayDigest("vm1", 1, 1, 0, crashes=[report])
    _, _, *fields = msgpack.unpackb(encode_frame(1, digest), use_list=False)
    converter = cattrs.Converter(unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE)
    [crash] = converter.structure(fields[-2], list[EarlierCrashReport])
    assert crash == EarlierCrashReport("f", "e1", "1", 5, True)
