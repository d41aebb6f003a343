"""What a call says of its prompt."""

import pytest

from dotterelpitch.gateway.call import MAX_PART_CHARS, Call
from dotterelpitch.platform.headers import decode_caller_headers
from dotterelpitch.routing.route_table import (
    CallerLimits,
    CallKind,
    Route,
    RoutingConfig,
    WeightedService,
)

LONG = "a" * 4000


def make_call(prompt, has_prompt=True):
    route = Route(
        "chat",
        "chat.example",
        "/",
        CallKind.STREAM,
        (WeightedService("chat", 1.0),),
        timeout_s=5.0,
        objective_s=1.0,
        has_prompt=has_prompt,
    )
    config = RoutingConfig(1, [route], {}, {}, CallerLimits())
    headers = decode_caller_headers([("Prompt-Prefix", prompt)])
    return Call(
        "POST", "/", "chat.example", headers, b"", config, route, None, "chat", 0.0, 5.0
    )


@pytest.mark.parametrize(
    ("prompt", "leading", "shared"),
    [
        ("", (), ()),
        ("a:5", (), ("a",)),
        ("a:5,b:6", ("a",), ("a",)),
        ("a:5, b:6,c:7", ("a", "b"), ("a", "b")),
        ("\udcff:5,\udcfe:6,c:7", ("\\xff", "\\xfe"), ("\\xff", "\\xfe")),
    ],
)
def test_leading_parts_are_all_but_the_last(prompt, leading, shared):
    call = make_call(prompt)
    assert call.leading_parts == leading
    assert call.shared_parts == shared
    assert make_call(prompt, has_prompt=False).leading_parts == ()


# Guards against: a caller's long parts fill the digests between gateways.
def test_long_parts_are_shortened_and_stay_distinct():
    call = make_call(f"{LONG}:5,{LONG}b:5,c:1")
    first, second = call.leading_parts
    assert first != second
    assert max(len(first), len(second)) <= MAX_PART_CHARS
    assert call.leading_parts == make_call(f"{LONG}:9,{LONG}b:5,d:1").leading_parts
