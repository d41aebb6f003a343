"""The promises that a soak checks, from what callers and engines have seen."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

from tests.harness.gateway_soak.history import (
    CONTACT_SECONDS,
    ENGINES,
    MARGIN_SECONDS,
    PEERS,
    STORE,
    History,
    Run,
    Sent,
)
from tests.harness.gateway_soak.world import (
    BASE_ROUTES,
    DRAIN_SECONDS,
    RETRY_SHARE,
    RETRY_SLACK,
)
from tests.harness.gateway_world import ACCOUNT

PROMISED_NOT_RUN = {408, 421, 429, 503}
WINDOW_SECONDS = 10.0
LEFT_SECONDS = 0.5
RECOVERED_SHARE = 0.95
# Violations that the pages allow in one day.
FEW = 3

Found = Iterator[str]


def answers_are_whole(history: History) -> Found:
    """A 200 is the whole answer of an engine to this very request."""
    for sent in history.sent:
        if sent.status == 200 and not sent.is_whole and not sent.fault:
            yield f"{sent.id} on {sent.route} got a wrong or partial answer"


def unsafe_run_once(history: History) -> Found:
    """A request that can't be repeated runs once at most."""
    runs = Counter(run.id for run in history.runs if run.ran)
    for sent in history.sent:
        if sent.route in ("unsafe", "stream") and runs[sent.id] > 1:
            yield f"{sent.id} on {sent.route} ran {runs[sent.id]} times"


def refusals_are_true(history: History) -> Found:
    """A refusal that says "not run" is true, now and later."""
    ran = {run.id for run in history.runs if run.ran}
    for sent in history.sent:
        if sent.status in PROMISED_NOT_RUN and sent.id in ran:
            yield f"{sent.id} on {sent.route} was answered {sent.status} and ran"


def engines_get_what_was_sent(history: History) -> Found:
    """Target, body, and account are right, and the key stays here."""
    sent_ids = {sent.id for sent in history.sent}
    for run in history.runs:
        if run.id not in sent_ids or not run.is_unchanged:
            yield f"{run.id} arrived at {run.engine} changed or unasked"
        if run.has_key or run.account != ACCOUNT:
            yield f"{run.id} arrived with key or account {run.account!r}"


def runs_are_allowed(history: History) -> Found:
    """A request runs only where some config, and in time the newest, allows it."""
    sent_by_id = {sent.id: sent for sent in history.sent}
    for run in history.runs:
        sent = sent_by_id.get(run.id)
        if sent is None or not run.ran:
            continue
        service = BASE_ROUTES.get(sent.route, BASE_ROUTES["safe"])["service"]
        if run.service != service:
            yield f"{run.id} on {sent.route} ran at {run.engine} of {run.service}"
        if not any(config.allows(sent) for config in history.configs):
            yield f"{run.id} ran, though no config ever allowed it"
        in_force = history.configs_in_force(sent.at)
        if any(config.allows(sent) for config in in_force):
            continue
        if history.in_touch(sent.vm, in_force[0].at, run.at):
            yield f"{run.id} at {sent.vm} ran by an old config"


def proper_requests_are_not_denied(history: History) -> Found:
    """Nobody is told 401 or 404 for what all configs that may count allow."""
    for sent in history.sent:
        if sent.status not in (400, 401, 403, 404):
            continue
        if all(config.allows(sent) for config in history.configs):
            yield f"{sent.id} at {sent.vm} got {sent.status} on {sent.route}"
            continue
        in_force = history.configs_in_force(sent.at)
        if all(config.allows(sent) for config in in_force) and history.in_touch(
            sent.vm, in_force[0].at, sent.ended
        ):
            yield f"{sent.id} at {sent.vm} got {sent.status} by an old config"


def leaving_engines_get_nothing_new(history: History) -> Found:
    """No request reaches an engine after the drain time of its leaving."""
    vm_by_id = {sent.id: sent.vm for sent in history.sent}
    for run in history.runs:
        left_at = history.left_service_at.get(run.engine)
        if left_at is None or not run.ran:
            continue
        late_s = run.at - left_at - DRAIN_SECONDS
        if late_s > MARGIN_SECONDS and history.in_touch(
            vm_by_id[run.id], left_at, run.at
        ):
            yield f"{run.id} reached {run.engine} {late_s:.2f} s too late"


def attempts_are_bounded(history: History) -> Found:
    """No request runs at more engines than its route allows, but a few."""
    engines_by_id: dict[str, set[str]] = defaultdict(set)
    for run in history.runs:
        if run.ran:
            engines_by_id[run.id].add(run.engine)
    broken = [
        f"{sent.id} on {sent.route} ran at {len(engines_by_id[sent.id])} engines"
        for sent in history.sent
        if len(engines_by_id[sent.id])
        > BASE_ROUTES.get(sent.route, BASE_ROUTES["safe"])["max_attempts"]
    ]
    if len(broken) > FEW:
        yield from broken


def repeats_keep_the_budget(history: History) -> Found:
    """All VMs together send again no more than the fleet's budget."""
    seen: set[str] = set()
    repeats: list[Run] = []
    for run in history.runs:
        if run.id in seen:
            repeats.append(run)
        seen.add(run.id)
    for last in repeats:
        begin = last.at - WINDOW_SECONDS
        count = sum(begin < run.at <= last.at for run in repeats)
        requests = max(
            sum(begin - s < sent.at <= last.at - s for sent in history.sent)
            for s in (0.0, WINDOW_SECONDS / 2, WINDOW_SECONDS)
        )
        if count > RETRY_SHARE * requests + RETRY_SLACK:
            yield f"{count} repeats for {requests} requests before {last.at:.1f}"
            return


def work_stops_when_callers_leave(history: History) -> Found:
    """Engines stop soon after a caller has left, at gateways in touch."""
    left = {sent.id: sent for sent in history.sent if sent.left}
    late = []
    for run in history.runs:
        sent = left.get(run.id)
        if sent is None or not run.ended:
            continue
        calm = history.is_calm((sent.vm, ENGINES), sent.at - CONTACT_SECONDS, run.ended)
        if calm and run.ended > sent.ended + LEFT_SECONDS + MARGIN_SECONDS:
            late.append(f"{run.id} worked on {run.ended - sent.ended:.2f} s")
    if len(late) > FEW:
        yield from late


def planned_stops_lose_nothing(history: History) -> Found:
    """A request that an engine has got is answered, with nothing unplanned about."""
    run_by_id = {run.id: run for run in history.runs if run.ran}
    for sent in history.sent:
        if not sent.fault or sent.left or sent.id not in run_by_id:
            continue
        targets = (sent.vm, STORE, PEERS, ENGINES)
        since = sent.at - CONTACT_SECONDS
        if history.is_calm(targets, since, sent.ended, planned=False):
            yield f"{sent.id} on {sent.route} at {sent.vm} was cut: {sent.fault}"


def nobody_is_held(history: History) -> Found:
    """Every request has its answer by its deadline, at gateways in touch."""
    for sent in history.sent:
        calm = history.is_calm((sent.vm,), sent.at - CONTACT_SECONDS, sent.ended)
        if sent.fault == "held too long" and calm:
            yield f"{sent.id} on {sent.route} at {sent.vm} was held past its deadline"


def processes_end_in_order(history: History) -> Found:
    """A stop ends with code 0, and no process ends by itself."""
    for stop, code in history.stop_codes.items():
        if code != 0:
            yield f"the stop of {stop} ended with {code}"
    for name in history.own_ends:
        yield f"{name} ended by itself"


def service_is_back(history: History) -> Found:
    """With all faults over, nearly all requests are served."""
    if history.served_at_the_end < RECOVERED_SHARE:
        yield f"only {history.served_at_the_end:.0%} served after the faults"


CHECKS: tuple[Callable[[History], Found], ...] = (
    answers_are_whole,
    unsafe_run_once,
    refusals_are_true,
    engines_get_what_was_sent,
    runs_are_allowed,
    proper_requests_are_not_denied,
    leaving_engines_get_nothing_new,
    attempts_are_bounded,
    repeats_keep_the_budget,
    work_stops_when_callers_leave,
    planned_stops_lose_nothing,
    nobody_is_held,
    processes_end_in_order,
    service_is_back,
)


def violations(history: History) -> list[str]:
    """Return all broken promises, each with the name of its check."""
    return [
        f"{check.__name__}: {found}" for check in CHECKS for found in check(history)
    ]


def outcome_counts(sent: list[Sent]) -> dict[str, int]:
    """Return how the requests ended."""
    return dict(Counter(s.fault.partition("(")[0] or str(s.status) for s in sent))
