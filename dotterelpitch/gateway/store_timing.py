"""How long each stage may take that brings a change of the store to all gateways.

The store's acknowledgement of a change starts the bound within which every gateway
must act by it. In the worst case the path to the store of all readers falls silent just
before, and just after they have confirmed their state. Then, as shares of the bound:

| stage | ends with | share |
|---|---|---|
| the readers' confirmation ages | a relay trusts no report any more | 0.625 |
| the same, one link further | a member trusts its relay's report no more | 0.8 |
| the next look at the reports | the gateway reads the store itself | 0.05 |
| read, passing on | all others have the change | what is left |

A reader that knows that it can't read says so at once, which ends its peers' trust.

After an outage a list may lack engines that live. They register again soon after the
store's return, and the others must be out of use by the bound for contact after it. The
list comes at most one failed attempt and one back-off after the return.
"""

from attrs import frozen

from dotterelpitch.routing.engines import REREGISTRATION_SECONDS

# Shares of the bound for a change.
WATCH_SHARE = 0.4
DIGEST_SHARE = 0.125
POLL_SHARE = 0.05
BATCH_SHARE = 0.075
FETCH_HEDGE_SHARE = 0.4
# What a busy VM may add to a report's age, for the first link and for the second one.
RELAY_LAG_SHARE = 0.1
MEMBER_LAG_SHARE = 0.05
# A shorter bound would have the store read all the time.
MIN_BOUND_SECONDS = 0.5
MAX_POLL_SECONDS = 0.2
MAX_BATCH_DELAY_SECONDS = 0.15
# The most of the bound for contact that a missing engine has to register again.
MAX_REREGISTRATION_SHARE = 2 / 3
# Shares of what is then left of that bound.
CONNECT_SHARE = 0.3
BACKOFF_SHARE = 0.4
MAX_CONNECT_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 1.0


@frozen
class StoreTiming:
    """The times of reading the store and of trusting other readers, in seconds.

    ``watch_s`` is how long one watch waits for a change, and ``digest_s`` the period of
    the digests that report its age. A relay reads the store itself when no report of a
    reader is younger than ``relay_trust_s``, and a member when that of its relay isn't
    younger than ``member_trust_s``; ``poll_s`` is how often it looks. A watch that has
    got no response by then has failed. ``batch_delay_s`` is the wait after a change
    before the next watch: changes come in bursts, and those within this time then share
    one call. Records that a peer hasn't sent after ``fetch_hedge_s`` are fetched from
    another one as well.

    >>> timing = StoreTiming.for_bound(2.0, max_watch_s=1.5, max_digest_s=0.25)
    >>> timing.watch_s, timing.relay_trust_s, timing.member_trust_s
    (0.8, 1.25, 1.6)
    """

    watch_s: float
    digest_s: float
    relay_trust_s: float
    member_trust_s: float
    poll_s: float
    batch_delay_s: float
    fetch_hedge_s: float

    @classmethod
    def for_bound(
        cls, bound_s: float, max_watch_s: float, max_digest_s: float
    ) -> "StoreTiming":
        """Return the times with which all gateways have a change within the bound."""
        bound_s = max(bound_s, MIN_BOUND_SECONDS)
        watch_s = min(max_watch_s, WATCH_SHARE * bound_s)
        digest_s = min(max_digest_s, DIGEST_SHARE * bound_s)
        relay_trust_s = watch_s + digest_s + RELAY_LAG_SHARE * bound_s
        return cls(
            watch_s=watch_s,
            digest_s=digest_s,
            relay_trust_s=relay_trust_s,
            member_trust_s=relay_trust_s + digest_s + MEMBER_LAG_SHARE * bound_s,
            poll_s=min(MAX_POLL_SECONDS, POLL_SHARE * bound_s),
            batch_delay_s=min(MAX_BATCH_DELAY_SECONDS, BATCH_SHARE * bound_s),
            fetch_hedge_s=FETCH_HEDGE_SHARE * bound_s,
        )


@frozen
class OutageTiming:
    """The times of an outage of the store, and of what follows it, in seconds.

    An engine that the first list lacks is kept for ``reregistration_s``. An attempt to
    connect has failed after ``connect_timeout_s``, and at most ``max_backoff_s`` pass
    until the next one.

    >>> OutageTiming.for_contact(4.0)
    OutageTiming(reregistration_s=2.0, connect_timeout_s=0.6, max_backoff_s=0.8)
    """

    reregistration_s: float
    connect_timeout_s: float
    max_backoff_s: float

    @classmethod
    def for_contact(cls, contact_s: float) -> "OutageTiming":
        """Return the times with which engines that are gone are out of use in time.

        ``contact_s`` is the bound for that after the store's return.
        """
        contact_s = max(contact_s, MIN_BOUND_SECONDS)
        reregistration_s = min(
            REREGISTRATION_SECONDS, MAX_REREGISTRATION_SHARE * contact_s
        )
        rest_s = contact_s - reregistration_s
        return cls(
            reregistration_s=reregistration_s,
            connect_timeout_s=min(MAX_CONNECT_SECONDS, CONNECT_SHARE * rest_s),
            max_backoff_s=min(MAX_BACKOFF_SECONDS, BACKOFF_SHARE * rest_s),
        )
