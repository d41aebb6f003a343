"""Checks of the seven guarantees against the history of a soak."""

import time
from collections import Counter, defaultdict

import attrs

from tests.harness.fleet import SERVICE, Fleet
from tests.harness.soak.history import FaultSpan, History, SentRequest
from tests.harness.soak.sampler import LoadSampler

DOCUMENT_IN_FORCE_EVENT = 201
MAX_LEAVING_SECONDS = 3.0
MAX_PUBLISH_SECONDS = 19.0
STOP_MARGIN_SECONDS = 1.0
MAX_EXAMPLES = 3


@attrs.define
class CheckResult:
    """The result of one check: how many cases it covered and each violation."""

    guarantee: str
    checked: int = 0
    violations: list[str] = attrs.field(factory=list)

    @property
    def holds(self) -> bool:
        """Whether the guarantee was checked and never violated."""
        return self.checked > 0 and not self.violations


@attrs.define
class Evidence:
    """The history of a soak with the runs that the endpoints logged."""

    fleet: Fleet
    history: History
    sampler: LoadSampler
    runs_by_engine: dict[str, list[tuple[float, str]]] = attrs.field(factory=dict)
    executions: Counter[str] = attrs.field(factory=Counter)
    request_ids_run: set[str] = attrs.field(factory=set)

    @classmethod
    def collect(
        cls, fleet: Fleet, history: History, sampler: LoadSampler
    ) -> "Evidence":
        """Read the logs of all endpoints, including those that were killed."""
        evidence = cls(fleet, history, sampler)
        for endpoint in fleet.endpoint_by_name.values():
            runs = [(line["at"], line["run"]) for line in endpoint.process.runs()]
            if endpoint.kind == "engine":
                evidence.runs_by_engine[endpoint.name] = runs
                ids = (run.partition("~")[0] for _, run in runs)
                evidence.request_ids_run.update(ids)
            else:
                evidence.executions.update(run for _, run in runs)
        return evidence


def check_load_bound(evidence: Evidence) -> CheckResult:
    """No engine stays above the load bound for longer than a stream lasts."""
    sampler = evidence.sampler
    result = CheckResult("1 load within the bound", sampler.samples)
    result.violations = list(sampler.violations)
    return result


def check_complete_answers(evidence: Evidence) -> CheckResult:
    """Complete answers have the expected text; truncated ones end with an error."""
    result = CheckResult("2 complete answer to its own caller")
    for sent in evidence.history.sent:
        answer = sent.answer
        if not sent.expected or answer.status != 200:
            continue
        result.checked += 1
        if answer.is_complete and answer.text != sent.expected:
            result.violations.append(f"{answer.request_id}: unexpected text")
        if "without its closing event" in answer.error:
            result.violations.append(f"{answer.request_id}: truncated stream")
        if not sent.expected.startswith(answer.text):
            result.violations.append(
                f"{answer.request_id}: no prefix of the expected text"
            )
    return result


def check_not_run(evidence: Evidence) -> CheckResult:
    """A request that was answered ``not-run`` never runs at any endpoint."""
    result = CheckResult("3 not-run requests never run")
    for sent in evidence.history.sent:
        answer = sent.answer
        if sent.expected and answer.outcome == "not-run":
            result.checked += 1
            if answer.request_id in evidence.request_ids_run:
                result.violations.append(f"chat {answer.request_id} ran")
    for key, answers in evidence.history.answers_by_key().items():
        if {answer.outcome for answer in answers} == {"not-run"}:
            result.checked += 1
            if evidence.executions[key]:
                result.violations.append(f"{key} ran")
    return result


def check_at_most_once(evidence: Evidence) -> CheckResult:
    """Each idempotency key is executed at most once, and once if completed."""
    result = CheckResult("4 non-idempotent at most once")
    for key, answers in evidence.history.answers_by_key().items():
        result.checked += 1
        count = evidence.executions[key]
        if count > 1:
            result.violations.append(f"{key} executed {count} times")
        completed = any(answer.outcome == "completed" for answer in answers)
        if completed and count == 0:
            result.violations.append(f"{key} completed without execution")
    return result


def check_leaving(evidence: Evidence) -> CheckResult:
    """A leaving engine starts no request after ``MAX_LEAVING_SECONDS``."""
    result = CheckResult("5 leaving engine gets no requests")
    for span in evidence.history.leaving:
        result.checked += 1
        for at, run in evidence.runs_by_engine[span.target]:
            if span.began + MAX_LEAVING_SECONDS < at < span.ended:
                late = at - span.began
                result.violations.append(f"{run} {late:.1f} s after leaving")
    return result


def check_planned_stops(evidence: Evidence) -> CheckResult:
    """A planned stop ends with exit code 0 and cuts no request in flight.

    Requests during which another fault was active aren't checked.
    """
    history = evidence.history
    result = CheckResult("6 planned stop cuts no request", len(history.stop_exit_codes))
    result.violations = [f"exit code {c}" for c in history.stop_exit_codes if c != 0]
    for span in history.planned_stops:
        for sent in history.sent:
            if _was_in_flight_at(sent, span) and not _had_other_faults(
                history, sent, span
            ):
                result.checked += 1
                answer = sent.answer
                if not answer.is_complete and answer.outcome != "not-run":
                    result.violations.append(
                        f"{sent.vm} {answer.request_id or sent.key} while "
                        f"{span.target} stopped: {answer.error[:200]}"
                    )
    return result


def check_documents(evidence: Evidence) -> CheckResult:
    """Document revisions never decrease, even after a restart, and arrive in time."""
    result = CheckResult("7 documents arrive, never revert")
    activations = _document_activations(evidence.fleet)
    for process in dict.fromkeys(a.process for a in activations):
        own = [a for a in activations if a.process == process]
        result.checked += 1
        result.violations += _reversions(own, activations, evidence.history)
    for at, revision in evidence.history.published:
        for vm, agents in evidence.fleet.agents_by_vm.items():
            if vm not in evidence.fleet.vm_by_name or agents[0].started_at > at:
                continue
            result.checked += 1
            deadline = _publish_deadline(evidence.history, vm, at)
            seen = [a.at for a in activations if a.vm == vm and a.revision >= revision]
            if deadline < time.time() and (not seen or min(seen) > deadline):
                result.violations.append(f"{vm}: revision {revision} arrived too late")
    return result


@attrs.frozen
class DocumentActivation:
    """The activation of a document revision by one agent; times in Unix seconds."""

    vm: str
    process: str
    started: float
    at: float
    revision: int


def _document_activations(fleet: Fleet) -> list[DocumentActivation]:
    return [
        DocumentActivation(
            vm,
            f"{vm} #{number}",
            agent.started_at,
            event["logged_at"],
            event["revision"],
        )
        for vm, agents in fleet.agents_by_vm.items()
        for number, agent in enumerate(agents)
        for event in agent.events(DOCUMENT_IN_FORCE_EVENT)
        if event.get("service") == SERVICE
    ]


def _reversions(
    own: list[DocumentActivation],
    activations: list[DocumentActivation],
    history: History,
) -> list[str]:
    """Return the violations of a process whose revisions decreased or began too low.

    The first revision of a process may be below the newest of the fleet only if
    a link was cut meanwhile.
    """
    violations = []
    revisions = [a.revision for a in own]
    if revisions != sorted(revisions):
        violations.append(f"{own[0].process} reverted a revision: {revisions}")
    first = own[0]
    cuts = [
        f for f in history.faults_between(first.started, first.at) if _is_link_cut(f)
    ]
    known = [a.revision for a in activations if a.at < first.started]
    if not cuts and known and first.revision < max(known):
        violations.append(
            f"{first.process} started at revision {first.revision} below {max(known)}"
        )
    return violations


def _is_link_cut(fault: FaultSpan) -> bool:
    return fault.name.startswith("Cut")


def _publish_deadline(history: History, vm: str, at: float) -> float:
    """Return the Unix time by which a document must be in force at ``vm``.

    Faults that keep the document from ``vm`` extend the deadline by their duration.
    """
    deadline = at + MAX_PUBLISH_SECONDS
    for fault in sorted(history.faults, key=lambda f: f.began):
        if not _delays_documents(fault, vm):
            continue
        if fault.began <= deadline and fault.ended >= at:
            deadline += fault.ended - max(at, fault.began)
    return deadline


def _delays_documents(fault: FaultSpan, vm: str) -> bool:
    return fault.name.startswith(("Platform", "Cut")) or fault.target == vm


def check_ready(evidence: Evidence) -> CheckResult:
    """A VM that starts or resumes is ready within 30 s."""
    history = evidence.history
    return CheckResult(
        "- ready after a start or pause", history.restart_count, history.not_ready
    )


CHECKS = (
    check_load_bound,
    check_complete_answers,
    check_not_run,
    check_at_most_once,
    check_leaving,
    check_planned_stops,
    check_documents,
    check_ready,
)


def result_table(results: list[CheckResult]) -> list[str]:
    """Return the lines of a table with a few violations of each guarantee."""
    lines = [f"{'guarantee':<36}{'checked':>9}{'violated':>10}  result"]
    for result in results:
        word = (
            "holds" if result.holds else "VIOLATED" if result.violations else "no case"
        )
        violated = len(result.violations)
        lines.append(f"{result.guarantee:<36}{result.checked:>9}{violated:>10}  {word}")
        lines += [f"    {text}" for text in result.violations[:MAX_EXAMPLES]]
    return lines


def outcome_counts(sent: list[SentRequest]) -> dict[str, int]:
    """Return the number of requests by kind and outcome."""
    counts: defaultdict[str, int] = defaultdict(int)
    for request in sent:
        answer = request.answer
        outcome = "complete" if answer.is_complete else answer.outcome or "no answer"
        counts[f"{request.kind} {outcome}"] += 1
    return dict(sorted(counts.items()))


def _was_in_flight_at(sent: SentRequest, span: FaultSpan) -> bool:
    return sent.started < span.began < sent.ended


def _had_other_faults(history: History, sent: SentRequest, span: FaultSpan) -> bool:
    began, ended = sent.started - STOP_MARGIN_SECONDS, sent.ended + STOP_MARGIN_SECONDS
    return any(
        fault.name not in ("ReplaceVm", "ChangeDocument", "Surge")
        for fault in history.faults_between(began, ended)
    )
