"""Checks of the gateway's guarantees against what callers and engines recorded."""

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

from tests.harness.crash_drill.drill import (
    CONTACT_SECONDS,
    MAX_CRASHES_BEFORE_STOP,
    MAX_LATE_ARRIVALS,
    STOP_SECONDS,
)
from tests.harness.crash_drill.part_drill import MAX_PART_CRASHES_BEFORE_STOP
from tests.harness.gateway_fleet import ACCOUNT
from tests.harness.gateway_soak.engine import CRASH_ID_PREFIX
from tests.harness.gateway_soak.fleet import (
    BASE_ROUTES,
    DRAIN_SECONDS,
    RETRY_SHARE,
    RETRY_SLACK,
)
from tests.harness.gateway_soak.history import (
    ENGINES,
    PEERS,
    RECOVERY_SECONDS,
    SCHEDULING_MARGIN_SECONDS,
    STORE,
    CrashArrival,
    History,
    Run,
    SentRequest,
)
from tests.harness.notice_drill import MAX_IN_PAUSE, ON_THE_WAY_SECONDS
from tests.harness.rate_drill import (
    RATE_FACTOR,
    RATE_SLACK_REQUESTS,
    TOLD_SECONDS,
    WINDOW_SECONDS,
)

NOT_RUN_STATUSES = {408, 421, 429, 503}
RETRY_WINDOW_SECONDS = 10.0
# How long an engine may continue to work after its caller has disconnected.
CANCEL_SECONDS = 0.5
# How long a request may still reach a failure domain after its evacuation was written.
EVACUATION_SECONDS = 2.0
MIN_SERVED_SHARE = 0.95
# The specification allows this many violations of some guarantees per day.
MAX_TOLERATED_VIOLATIONS = 3

Violations = Iterator[str]


def answers_are_complete(history: History) -> Violations:
    """Each 200 carries an engine's complete answer to that request."""
    for sent in history.sent:
        if sent.status == 200 and not sent.is_complete and not sent.error:
            yield f"{sent.id} on {sent.route} got a wrong or partial answer"


def unsafe_requests_run_once(history: History) -> Violations:
    """A request that isn't safe to retry runs at most once."""
    runs = Counter(run.id for run in history.runs if run.ran)
    for sent in history.sent:
        if sent.route in ("unsafe", "stream") and runs[sent.id] > 1:
            yield f"{sent.id} on {sent.route} ran {runs[sent.id]} times"


def refused_requests_did_not_run(history: History) -> Violations:
    """A request refused as not executed never runs, before or after the refusal."""
    ran = {run.id for run in history.runs if run.ran}
    for sent in history.sent:
        if sent.status in NOT_RUN_STATUSES and sent.id in ran:
            yield f"{sent.id} on {sent.route} was answered {sent.status} and ran"


def requests_arrive_unchanged(history: History) -> Violations:
    """Target, body, and account are correct, and the API key isn't forwarded."""
    sent_ids = {sent.id for sent in history.sent}
    for run in history.runs:
        if run.id not in sent_ids or not run.is_unchanged:
            yield f"{run.id} arrived at {run.engine} changed or was never sent"
        if run.has_key or run.account != ACCOUNT:
            yield f"{run.id} arrived with key or account {run.account!r}"


def runs_are_allowed(history: History) -> Violations:
    """A request runs only if a current config allows it, or briefly an outdated one."""
    sent_by_id = {sent.id: sent for sent in history.sent}
    for run in history.runs:
        sent = sent_by_id.get(run.id)
        if sent is None or not run.ran:
            continue
        service = BASE_ROUTES.get(sent.route, BASE_ROUTES["safe"])["service"]
        if run.service != service:
            yield f"{run.id} on {sent.route} ran at {run.engine} of {run.service}"
        if not any(config.allows(sent) for config in history.configs):
            yield f"{run.id} ran, but no config ever allowed it"
        in_force = history.configs_in_force(sent.at)
        if any(config.allows(sent) for config in in_force):
            continue
        if history.is_vm_fault_free(sent.vm, in_force[0].at, run.at):
            yield f"{run.id} at {sent.vm} ran under an outdated config"


def allowed_requests_are_not_denied(history: History) -> Violations:
    """A request that all configs that may be in force allow isn't denied."""
    for sent in history.sent:
        if sent.status not in (400, 401, 403, 404):
            continue
        if all(config.allows(sent) for config in history.configs):
            yield f"{sent.id} at {sent.vm} got {sent.status} on {sent.route}"
            continue
        in_force = history.configs_in_force(sent.at)
        if all(config.allows(sent) for config in in_force) and history.is_vm_fault_free(
            sent.vm, in_force[0].at, sent.ended
        ):
            yield f"{sent.id} at {sent.vm} got {sent.status} from an outdated config"


def removed_engines_get_no_requests(history: History) -> Violations:
    """No request reaches an engine once its drain time has passed."""
    vm_by_id = {sent.id: sent.vm for sent in history.sent}
    for run in history.runs:
        removed_at = history.removed_at_by_engine.get(run.engine)
        if removed_at is None or not run.ran:
            continue
        late_s = run.at - removed_at - DRAIN_SECONDS
        if late_s > SCHEDULING_MARGIN_SECONDS and history.is_vm_fault_free(
            vm_by_id[run.id], removed_at, run.at
        ):
            yield f"{run.id} reached {run.engine} {late_s:.2f} s too late"


def evacuated_domains_get_no_requests(history: History) -> Violations:
    """No request reaches an evacuated failure domain after a few seconds."""
    vm_by_id = {sent.id: sent.vm for sent in history.sent}
    for span in history.evacuations:
        for run in history.runs:
            if run.domain != span.domain or not run.ran:
                continue
            is_late = span.began + EVACUATION_SECONDS < run.at < span.ended
            if is_late and history.is_vm_fault_free(
                vm_by_id[run.id], span.began, run.at
            ):
                late_s = run.at - span.began
                yield f"{run.id} reached {run.engine} after {late_s:.2f} s"


def attempts_are_bounded(history: History) -> Violations:
    """Requests run at no more engines than their route allows.

    A few violations are tolerated.
    """
    engines_by_id: dict[str, set[str]] = defaultdict(set)
    for run in history.runs:
        if run.ran:
            engines_by_id[run.id].add(run.engine)
    exceeded = [
        f"{sent.id} on {sent.route} ran at {len(engines_by_id[sent.id])} engines"
        for sent in history.sent
        if len(engines_by_id[sent.id])
        > BASE_ROUTES.get(sent.route, BASE_ROUTES["safe"])["max_attempts"]
    ]
    if len(exceeded) > MAX_TOLERATED_VIOLATIONS:
        yield from exceeded


def retries_stay_within_budget(history: History) -> Violations:
    """Retries of all VMs together stay within the fleet's retry budget."""
    seen: set[str] = set()
    retries: list[Run] = []
    for run in history.runs:
        if run.id in seen:
            retries.append(run)
        seen.add(run.id)
    for last in retries:
        begin = last.at - RETRY_WINDOW_SECONDS
        count = sum(begin < run.at <= last.at for run in retries)
        requests = max(
            sum(begin - s < sent.at <= last.at - s for sent in history.sent)
            for s in (0.0, RETRY_WINDOW_SECONDS / 2, RETRY_WINDOW_SECONDS)
        )
        if count > RETRY_SHARE * requests + RETRY_SLACK:
            yield f"{count} retries for {requests} requests before {last.at:.1f}"
            return


def crashing_requests_stop(history: History) -> Violations:
    """What crashes engines soon reaches no engine any more.

    A few arrivals later than that are allowed; those sent by gateways with a fault
    don't count.
    """
    arrivals_by_fault: dict[str, list[CrashArrival]] = defaultdict(list)
    for arrival in history.crash_arrivals:
        arrivals_by_fault[arrival.fault].append(arrival)
    for fault, arrivals in arrivals_by_fault.items():
        allowed = MAX_CRASHES_BEFORE_STOP
        if arrivals[0].is_of_part:
            allowed = MAX_PART_CRASHES_BEFORE_STOP
        if len(arrivals) < allowed:
            continue
        until = arrivals[allowed - 1].at + STOP_SECONDS
        late = [
            arrival
            for arrival in arrivals
            if arrival.at > until
            and history.is_fault_free(
                (arrival.vm, STORE), arrival.at - RECOVERY_SECONDS, arrival.at
            )
        ]
        if len(late) > MAX_LATE_ARRIVALS:
            yield f"{fault} reached engines {len(late)} times too late"


def only_crashing_requests_are_banned(history: History) -> Violations:
    """A request that was only beside a crash isn't refused for it."""
    for request_id in history.banned_ids:
        if not request_id.startswith(CRASH_ID_PREFIX):
            yield f"{request_id} was refused as if it crashed engines"


def engines_get_no_more_than_their_limit(history: History) -> Violations:
    """No window brings an engine much more than the rate limit that it names.

    Requests of VMs that had a fault shortly before aren't counted.
    """
    vm_by_id = {sent.id: sent.vm for sent in history.sent}
    for limit in history.limits:
        counted = [
            run.at
            for run in history.runs
            if run.engine == limit.engine
            and limit.began + TOLD_SECONDS < run.at <= limit.ended
            and run.id in vm_by_id
            and history.is_vm_fault_free(vm_by_id[run.id], run.at, run.at)
        ]
        allowed = RATE_FACTOR * WINDOW_SECONDS * limit.per_second + RATE_SLACK_REQUESTS
        for number, until in enumerate(counted, start=1):
            count = number - bisect_right(counted, until - WINDOW_SECONDS)
            if until >= limit.began + CONTACT_SECONDS and count > allowed:
                yield f"{limit.engine} got {count} requests in 4 s of {allowed:.0f}"
                break


def leaving_engines_get_nothing_new(history: History) -> Violations:
    """An engine gets nothing new of a VM that has passed on that it leaves.

    Only a restart or a pause of the VM since then excuses it.
    """
    sent_by_id = {sent.id: sent for sent in history.sent}
    told_at: dict[tuple[str, str], float] = {}
    for notice in history.notices:
        sent = sent_by_id.get(notice.request_id)
        if notice.pause_s is None and sent is not None:
            told_at.setdefault((notice.engine, sent.vm), notice.at)
    for run in history.runs:
        sent = sent_by_id.get(run.id)
        at = told_at.get((run.engine, sent.vm)) if sent else None
        if at is None or not run.ran:
            continue
        late_s = sent.at - at - DRAIN_SECONDS
        if late_s > SCHEDULING_MARGIN_SECONDS and history.is_fault_free(
            (sent.vm,), at, run.at
        ):
            yield f"{run.id} at {sent.vm} reached {run.engine} {late_s:.2f} s too late"


def pausing_engines_are_left_alone(history: History) -> Violations:
    """An engine gets hardly any requests of a VM in the pause that it wants from it.

    Only a restart or a pause of the VM, or a cut of its links, excuses it.
    """
    vm_by_id = {sent.id: sent.vm for sent in history.sent}
    for notice in history.notices:
        vm = vm_by_id.get(notice.request_id)
        if notice.pause_s is None or vm is None:
            continue
        since = notice.at + ON_THE_WAY_SECONDS
        until = notice.at + notice.pause_s
        count = sum(
            since < run.at < until
            and run.engine == notice.engine
            and vm_by_id.get(run.id) == vm
            for run in history.runs
        )
        if count > MAX_IN_PAUSE and history.is_fault_free((vm,), notice.at, until):
            yield f"{notice.engine} got {count} requests of {vm} in a pause"


def streams_hold_one_version(history: History) -> Violations:
    """No stream holds events of two engine versions."""
    for sent in history.sent:
        if len(sent.versions) > 1:
            yield f"{sent.id} at {sent.vm} has events of {sorted(sent.versions)}"


def work_stops_when_callers_disconnect(history: History) -> Violations:
    """Engines stop soon after a caller disconnects from a fault-free gateway.

    A few violations are tolerated.
    """
    cancelled_by_id = {sent.id: sent for sent in history.sent if sent.caller_left}
    late = []
    for run in history.runs:
        sent = cancelled_by_id.get(run.id)
        if sent is None or not run.ended:
            continue
        fault_free = history.is_fault_free(
            (sent.vm, ENGINES), sent.at - RECOVERY_SECONDS, run.ended
        )
        if (
            fault_free
            and run.ended > sent.ended + CANCEL_SECONDS + SCHEDULING_MARGIN_SECONDS
        ):
            late.append(
                f"{run.id} ran {run.ended - sent.ended:.2f} s after its caller left"
            )
    if len(late) > MAX_TOLERATED_VIOLATIONS:
        yield from late


def planned_stops_cut_no_requests(history: History) -> Violations:
    """A request that reached an engine is answered unless a fault interferes.

    Planned stops don't count as faults here.
    """
    run_by_id = {run.id: run for run in history.runs if run.ran}
    for sent in history.sent:
        if not sent.error or sent.caller_left or sent.id not in run_by_id:
            continue
        targets = (sent.vm, STORE, PEERS, ENGINES)
        since = sent.at - RECOVERY_SECONDS
        if history.is_fault_free(targets, since, sent.ended, with_planned=False):
            yield f"{sent.id} on {sent.route} at {sent.vm} was cut: {sent.error}"


def answers_meet_their_deadline(history: History) -> Violations:
    """Every request at a fault-free gateway is answered by its deadline."""
    for sent in history.sent:
        fault_free = history.is_fault_free(
            (sent.vm,), sent.at - RECOVERY_SECONDS, sent.ended
        )
        if sent.error == "deadline exceeded" and fault_free:
            yield f"{sent.id} on {sent.route} at {sent.vm} exceeded its deadline"


def processes_exit_cleanly(history: History) -> Violations:
    """Stopped processes exit with code 0, and none exits on its own."""
    for stop, code in history.exit_code_by_stop.items():
        if code != 0:
            yield f"the stop of {stop} ended with exit code {code}"
    for name in history.unexpected_exits:
        yield f"{name} exited without being stopped"


def service_recovers(history: History) -> Violations:
    """Nearly all requests are served once all faults are over."""
    if history.final_served_share < MIN_SERVED_SHARE:
        yield f"only {history.final_served_share:.0%} served after the faults"


CHECKS: tuple[Callable[[History], Violations], ...] = (
    answers_are_complete,
    unsafe_requests_run_once,
    refused_requests_did_not_run,
    requests_arrive_unchanged,
    runs_are_allowed,
    allowed_requests_are_not_denied,
    removed_engines_get_no_requests,
    evacuated_domains_get_no_requests,
    attempts_are_bounded,
    retries_stay_within_budget,
    crashing_requests_stop,
    only_crashing_requests_are_banned,
    engines_get_no_more_than_their_limit,
    leaving_engines_get_nothing_new,
    pausing_engines_are_left_alone,
    streams_hold_one_version,
    work_stops_when_callers_disconnect,
    planned_stops_cut_no_requests,
    answers_meet_their_deadline,
    processes_exit_cleanly,
    service_recovers,
)


def violations(history: History) -> list[str]:
    """Return all violations, each prefixed with the name of its check."""
    return [
        f"{check.__name__}: {found}" for check in CHECKS for found in check(history)
    ]


def outcome_counts(sent: list[SentRequest]) -> dict[str, int]:
    """Return the number of requests by status code or kind of error."""
    return dict(Counter(s.error.partition("(")[0] or str(s.status) for s in sent))
