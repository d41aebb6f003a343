"""Records of the requests, faults, and published documents of a soak."""

import time
from collections import defaultdict

import attrs

from dotterelpitch.load.caller import Answer


@attrs.define
class SentRequest:
    """One request of a caller; times are in Unix seconds.

    ``expected`` is the text of a chat's complete answer. ``key`` is the
    idempotency key of a call that must not run twice. ``kind`` groups requests in
    the outcome counts.
    """

    vm: str
    started: float
    expected: str = ""
    key: str = ""
    kind: str = "chat"
    ended: float = 0.0
    answer: Answer = attrs.field(factory=Answer)


@attrs.define
class FaultSpan:
    """The time of a fault, in Unix seconds, until its effects have ended."""

    name: str
    target: str
    began: float
    ended: float = float("inf")


@attrs.define
class History:
    """Everything that the checks read, recorded while the soak runs.

    ``leaving`` holds the times during which an engine was listed as leaving.
    ``restart_count`` counts starts and resumes of VMs, and ``not_ready`` names the
    targets of faults that weren't ready in time. ``published`` holds the Unix time
    and revision of each document change.
    """

    sent: list[SentRequest] = attrs.field(factory=list)
    faults: list[FaultSpan] = attrs.field(factory=list)
    leaving: list[FaultSpan] = attrs.field(factory=list)
    planned_stops: list[FaultSpan] = attrs.field(factory=list)
    stop_exit_codes: list[int] = attrs.field(factory=list)
    restart_count: int = 0
    not_ready: list[str] = attrs.field(factory=list)
    published: list[tuple[float, int]] = attrs.field(factory=list)

    def begin(self, name: str, target: str) -> FaultSpan:
        """Record and return a fault that begins now."""
        span = FaultSpan(name, target, time.time())
        self.faults.append(span)
        return span

    def faults_between(self, began: float, ended: float) -> list[FaultSpan]:
        """Return the faults that were active between two Unix times."""
        return [f for f in self.faults if f.began <= ended and f.ended >= began]

    def answers_by_key(self) -> dict[str, list[Answer]]:
        """Return the answers by idempotency key, in the order of the requests."""
        answers_by_key = defaultdict(list)
        for sent in self.sent:
            if sent.key:
                answers_by_key[sent.key].append(sent.answer)
        return answers_by_key
