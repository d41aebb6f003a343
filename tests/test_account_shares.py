"""Client accounts share the room of an overloaded service, within a priority."""

import random

import pytest

from dotterelpitch.clock import ManualClock
from dotterelpitch.routing.account_shares import ACTIVE_SECONDS, AccountShares

CALL_SECONDS = 0.5
# An account that asks for less than its share gets nearly all of it.
SERVED_SHARE = 0.9
# Of the room that is used without shares, so much is used with them.
USED_SHARE = 0.75


@pytest.mark.parametrize(
    ("in_flight", "account", "limit", "admits"),
    [
        ({}, "a", 1.0, True),
        ({"a": 4}, "a", 5.0, True),
        ({"a": 5}, "a", 5.0, False),
        ({"a": 4, "b": 1}, "b", 6.0, True),
        # Half of the room is kept for the other account, as far as it needs it.
        ({"a": 3, "b": 3}, "a", 6.0, False),
        ({"a": 4, "b": 1}, "a", 6.0, True),
        ({"a": 5, "b": 0}, "a", 6.0, True),
    ],
)
def test_who_is_admitted(in_flight, account, limit, admits):
    shares = AccountShares(ManualClock(10.0))
    for name, count in in_flight.items():
        for _ in range(count):
            shares.started(name)
    assert shares.admits(account, limit) == admits


# Guards against: room that is kept for an account that has stopped asking.
def test_account_that_no_longer_asks_needs_no_room():
    clock = ManualClock(10.0)
    shares = AccountShares(clock)
    for _ in range(3):
        shares.admits("gone", 6.0)
        shares.started("gone")
    for _ in range(3):
        shares.ended("gone")
    for _ in range(5):
        shares.started("busy")
    assert not shares.admits("busy", 6.0)
    clock.advance(ACTIVE_SECONDS + 0.1)
    assert shares.admits("busy", 6.0)


def play(rate_by_account, limit, shares_room=True, seconds=20.0, seed=1):
    """Return the share of each account's calls that was admitted, and the mean load.

    Without ``shares_room`` the first to come are admitted.
    """
    clock, rng = ManualClock(10.0), random.Random(seed)
    shares = AccountShares(clock)
    asked = dict.fromkeys(rate_by_account, 0)
    served = dict.fromkeys(rate_by_account, 0)
    ends, loads = [], []
    step_s = 0.005
    for _ in range(int(seconds / step_s)):
        clock.advance(step_s)
        now = clock.monotonic()
        for end, account in [e for e in ends if e[0] <= now]:
            ends.remove((end, account))
            shares.ended(account)
        for account, rate in rate_by_account.items():
            if rng.random() < rate * step_s:
                asked[account] += 1
                has_room = shares.in_flight < limit
                if shares.admits(account, limit) if shares_room else has_room:
                    shares.started(account)
                    served[account] += 1
                    ends.append((now + CALL_SECONDS, account))
        loads.append(shares.in_flight)
    shares_served = {a: served[a] / asked[a] for a in asked if asked[a]}
    return shares_served, sum(loads) / len(loads)


# Guards against: an account that sends many times its usual, or repeats at once what is
# refused, takes the place of those that ask for a quarter of their share.
@pytest.mark.parametrize("busy_rate", [32.0, 160.0])
@pytest.mark.parametrize("accounts", [2, 5])
def test_busy_account_takes_what_the_others_leave(busy_rate, accounts):
    rates = {f"calm{n}": 2.0 for n in range(accounts - 1)}
    limit = 4.0 * accounts
    served, load = play({"busy": busy_rate, **rates}, limit)
    _, load_before = play({"busy": busy_rate, **rates}, limit, shares_room=False)
    for account in rates:
        assert served[account] >= SERVED_SHARE
    assert load >= USED_SHARE * load_before


# Guards against: room stays unused since no account may have more than its share.
def test_lone_account_uses_all_of_the_room():
    _, load = play({"busy": 100.0}, 10.0)
    assert load >= 0.9 * 10.0


# Guards against: accounts that all ask for more get unequal parts.
def test_accounts_that_all_want_more_get_equal_parts():
    rates = {"a": 20.0, "b": 40.0, "c": 80.0}
    served, _ = play(rates, 12.0)
    got = [served[account] * rate for account, rate in rates.items()]
    assert max(got) <= 1.5 * min(got)
