"""The seven promises, each checked against the history of a soak."""

import time
from collections import Counter, defaultdict

import attrs

from tests.harness.fleet import SERVICE, Fleet
from tests.harness.soak.history import FaultSpan, History, Sent
from tests.harness.soak.sampler import LoadSampler

DOCUMENT_IN_FORCE = 201
LEAVING_SECONDS = 3.0
IN_FORCE_SECONDS = 19.0
STOP_MARGIN_SECONDS = 1.0
MAX_EXAMPLES = 3


@attrs.define
class Verdict:
    """One promise: how much was checked and what broke it."""

    promise: str
    checked: int = 0
    violations: list[str] = attrs.field(factory=list)

    @property
    def kept(self) -> bool:
        """Whether the promise was checked and never broken."""
        return self.checked > 0 and not self.violations


@attrs.define
class Evidence:
    """The history with what the endpoints' logs say."""

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
        """Read the logs of all endpoints, those that were killed too."""
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


def check_load_bound(evidence: Evidence) -> Verdict:
    """No engine stays above the bound for longer than a stream lasts."""
    sampler = evidence.sampler
    verdict = Verdict("1 load within the bound", sampler.samples)
    verdict.violations = list(sampler.violations)
    return verdict


def check_whole_answers(evidence: Evidence) -> Verdict:
    """A whole answer is the caller's own, and a short one never looks whole."""
    verdict = Verdict("2 whole answer to its own caller")
    for sent in evidence.history.sent:
        answer = sent.answer
        if not sent.expected or answer.status != 200:
            continue
        verdict.checked += 1
        if answer.is_complete and answer.text != sent.expected:
            verdict.violations.append(f"{answer.request_id}: another text")
        if "without its closing event" in answer.error:
            verdict.violations.append(f"{answer.request_id}: a short stream")
        if not sent.expected.startswith(answer.text):
            verdict.violations.append(f"{answer.request_id}: a wrong part")
    return verdict


def check_not_run(evidence: Evidence) -> Verdict:
    """What a caller was told hadn't run was run by no endpoint, ever."""
    verdict = Verdict("3 not-run was not run")
    for sent in evidence.history.sent:
        answer = sent.answer
        if sent.expected and answer.outcome == "not-run":
            verdict.checked += 1
            if answer.request_id in evidence.request_ids_run:
                verdict.violations.append(f"chat {answer.request_id} ran")
    for key, answers in evidence.history.answers_by_key().items():
        if {answer.outcome for answer in answers} == {"not-run"}:
            verdict.checked += 1
            if evidence.executions[key]:
                verdict.violations.append(f"{key} ran")
    return verdict


def check_at_most_once(evidence: Evidence) -> Verdict:
    """Each key is executed once at most, and exactly once when completed."""
    verdict = Verdict("4 non-idempotent at most once")
    for key, answers in evidence.history.answers_by_key().items():
        verdict.checked += 1
        count = evidence.executions[key]
        if count > 1:
            verdict.violations.append(f"{key} executed {count} times")
        completed = any(answer.outcome == "completed" for answer in answers)
        if completed and count == 0:
            verdict.violations.append(f"{key} completed without execution")
    return verdict


def check_leaving(evidence: Evidence) -> Verdict:
    """A leaving engine starts nothing new after a few seconds."""
    verdict = Verdict("5 leaving engine gets nothing new")
    for span in evidence.history.leaving:
        verdict.checked += 1
        for at, run in evidence.runs_by_engine[span.target]:
            if span.began + LEAVING_SECONDS < at < span.ended:
                late = at - span.began
                verdict.violations.append(f"{run} {late:.1f} s after leaving")
    return verdict


def check_planned_stops(evidence: Evidence) -> Verdict:
    """A planned stop ends with exit code 0 and cuts no request in flight.

    Requests at which another fault was at work in the same time are left out.
    """
    history = evidence.history
    verdict = Verdict("6 planned stop cuts nothing", len(history.stop_codes))
    verdict.violations = [f"exit code {c}" for c in history.stop_codes if c != 0]
    for span in history.planned_stops:
        for sent in history.sent:
            if _in_flight_at(sent, span) and not _other_faults(history, sent, span):
                verdict.checked += 1
                answer = sent.answer
                if not answer.is_complete and answer.outcome != "not-run":
                    verdict.violations.append(
                        f"{sent.vm} {answer.request_id or sent.key} while "
                        f"{span.target} stopped: {answer.error[:200]}"
                    )
    return verdict


def check_documents(evidence: Evidence) -> Verdict:
    """Revisions never go down, not by a restart, and arrive in time."""
    verdict = Verdict("7 documents in force, never back")
    sightings = _sightings(evidence.fleet)
    for process in dict.fromkeys(s.process for s in sightings):
        own = [s for s in sightings if s.process == process]
        verdict.checked += 1
        verdict.violations += _reversions(own, sightings, evidence.history)
    for at, revision in evidence.history.published:
        for vm, agents in evidence.fleet.agents_by_vm.items():
            if vm not in evidence.fleet.vm_by_name or agents[0].started_at > at:
                continue
            verdict.checked += 1
            until = _time_in_force(evidence.history, vm, at)
            seen = [s.at for s in sightings if s.vm == vm and s.revision >= revision]
            if until < time.time() and (not seen or min(seen) > until):
                verdict.violations.append(f"{vm}: revision {revision} came late")
    return verdict


@attrs.frozen
class Sighting:
    """A revision that one agent put in force."""

    vm: str
    process: str
    started: float
    at: float
    revision: int


def _sightings(fleet: Fleet) -> list[Sighting]:
    return [
        Sighting(
            vm,
            f"{vm} #{number}",
            agent.started_at,
            event["logged_at"],
            event["revision"],
        )
        for vm, agents in fleet.agents_by_vm.items()
        for number, agent in enumerate(agents)
        for event in agent.events(DOCUMENT_IN_FORCE)
        if event.get("service") == SERVICE
    ]


def _reversions(
    own: list[Sighting], sightings: list[Sighting], history: History
) -> list[str]:
    """Return where a process went back, or began below what the fleet had."""
    found = []
    revisions = [s.revision for s in own]
    if revisions != sorted(revisions):
        found.append(f"{own[0].process} went back: {revisions}")
    first = own[0]
    cut = [f for f in history.faults_between(first.started, first.at) if _is_cut(f)]
    known = [s.revision for s in sightings if s.at < first.started]
    if not cut and known and first.revision < max(known):
        found.append(f"{first.process} began at {first.revision} below {max(known)}")
    return found


def _is_cut(fault: FaultSpan) -> bool:
    return fault.name.startswith("Cut")


def _time_in_force(history: History, vm: str, at: float) -> float:
    """Return until when a document must be in force at ``vm``.

    Faults that keep it from ``vm`` put the instant off by their duration.
    """
    until = at + IN_FORCE_SECONDS
    for fault in sorted(history.faults, key=lambda f: f.began):
        if not _keeps_documents_from(fault, vm):
            continue
        if fault.began <= until and fault.ended >= at:
            until += fault.ended - max(at, fault.began)
    return until


def _keeps_documents_from(fault: FaultSpan, vm: str) -> bool:
    return fault.name.startswith(("Platform", "Cut")) or fault.target == vm


def check_ready(evidence: Evidence) -> Verdict:
    """A VM that starts or wakes is ready again within 30 s."""
    history = evidence.history
    return Verdict(
        "- ready after a start or pause", history.restarts, history.not_ready
    )


CHECKS = (
    check_load_bound,
    check_whole_answers,
    check_not_run,
    check_at_most_once,
    check_leaving,
    check_planned_stops,
    check_documents,
    check_ready,
)


def verdict_table(verdicts: list[Verdict]) -> list[str]:
    """Return the table, with some examples of each violation."""
    lines = [f"{'promise':<36}{'checked':>9}{'broken':>8}  verdict"]
    for verdict in verdicts:
        word = "kept" if verdict.kept else "BROKEN" if verdict.violations else "no case"
        broken = len(verdict.violations)
        lines.append(f"{verdict.promise:<36}{verdict.checked:>9}{broken:>8}  {word}")
        lines += [f"    {text}" for text in verdict.violations[:MAX_EXAMPLES]]
    return lines


def outcome_counts(sent: list[Sent]) -> dict[str, int]:
    """Return how many requests had which end."""
    counts: defaultdict[str, int] = defaultdict(int)
    for one in sent:
        answer = one.answer
        end = "whole" if answer.is_complete else answer.outcome or "no answer"
        counts[f"{one.kind} {end}"] += 1
    return dict(sorted(counts.items()))


def _in_flight_at(sent: Sent, span: FaultSpan) -> bool:
    return sent.started < span.began < sent.ended


def _other_faults(history: History, sent: Sent, span: FaultSpan) -> bool:
    began, ended = sent.started - STOP_MARGIN_SECONDS, sent.ended + STOP_MARGIN_SECONDS
    return any(
        fault.name not in ("ReplaceVm", "ChangeDocument", "Surge")
        for fault in history.faults_between(began, ended)
    )
