"""Judges which of the suspected prompt parts are the likeliest causes of crashes.

Several parts are in flight in each crash, most of them by chance. The part at fault is
in all crashes that it causes, so the likelier cause of a crash is the part with more
crashes; a part that was sound shortly before its first crash comes last, since it may
have been only beside a failure of several engines.
"""

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable
from heapq import nlargest

from attrs import define, field, frozen

from dotterelpitch.routing.crash_history import SAME_CRASH_SECONDS, Crash

# Crashes that must count against a part, and against one that was recently sound.
MIN_CRASHES = 3
MIN_CRASHES_IF_SOUND = 5
# Engines that crash together, as in a loss of power, count as one crash.
SAME_MOMENT_SECONDS = 0.05
# Bounds the work of a judgement: the likeliest parts, and the last crashes of each.
MAX_CANDIDATES = 64
MAX_CRASHES_JUDGED = 16

ContentsNear = Callable[[Crash], set[str]]


@frozen
class SuspectedPart:
    """A part with the crashes that count against it, the last ones at most."""

    name: str
    crashes: list[Crash]
    was_sound: bool

    @property
    def min_crashes(self) -> int:
        """How many crashes make the part a candidate."""
        return MIN_CRASHES_IF_SOUND if self.was_sound else MIN_CRASHES


@frozen
class Evidence:
    """A crash of a candidate; ``rivals`` are candidates that explain it as well."""

    crash: Crash
    rivals: frozenset[str]


@frozen
class Candidate:
    """A part that may be the cause of its crashes."""

    min_crashes: int
    evidence: list[Evidence]

    def bans(self, parts: Collection[str], latest: float) -> bool:
        """Return whether requests with these parts are banned for the candidate.

        That takes enough crashes, none after ``latest``, that nothing outside the
        request explains as well.
        """
        own = [
            evidence.crash
            for evidence in self.evidence
            if evidence.crash.at <= latest and evidence.rivals.issubset(parts)
        ]
        return count_moments(own) >= self.min_crashes


@define
class Judgement:
    """The candidates, and which parts explain a crash better than any content.

    >>> crashes = [Crash("bad", f"e{n}", "1", float(n)) for n in range(3)]
    >>> bad = SuspectedPart("bad", crashes, was_sound=False)
    >>> judgement = Judgement.of([bad], contents_near=lambda _: set())
    >>> judgement.banned_parts(["shared", "bad"], latest=2.0)
    ['bad']
    """

    _candidate_by_part: dict[str, Candidate] = field(factory=dict)
    _crashes_by_engine: dict[str, list[Crash]] = field(factory=dict)

    @classmethod
    def of(
        cls, parts: Iterable[SuspectedPart], contents_near: ContentsNear
    ) -> "Judgement":
        """Return the judgement of parts with at least ``MIN_CRASHES`` crashes each.

        ``contents_near`` returns the contents in flight in a crash. A part whose
        crashes all have one content isn't judged.
        """
        likeliest = nlargest(
            MAX_CANDIDATES, parts, key=lambda p: (not p.was_sound, len(p.crashes))
        )
        judged = _without_single_contents(likeliest, contents_near)
        return cls(
            _candidates(judged),
            _by_engine(c for p in judged if not p.was_sound for c in p.crashes),
        )

    def banned_parts(self, parts: Collection[str], latest: float) -> list[str]:
        """Return those of a request's parts for which it is banned."""
        return [
            part
            for part in parts
            if part in self._candidate_by_part
            and self._candidate_by_part[part].bans(parts, latest)
        ]

    def explains(self, crash: Crash) -> bool:
        """Return whether a part is a likelier cause of a crash than any content."""
        return any(
            _is_near(other, crash)
            for other in self._crashes_by_engine.get(crash.engine, ())
        )


def count_moments(crashes: Iterable[Crash]) -> int:
    """Return the number of crashes, counting those of one moment once.

    Reports of one engine that differ little in time are of one crash.
    """
    count, moment_at = 0, float("-inf")
    crashed_at_by_engine = {}
    for crash in sorted(crashes, key=lambda crash: crash.at):
        crashed_at = crashed_at_by_engine.get(crash.engine, float("-inf"))
        is_known = crash.at - crashed_at < SAME_CRASH_SECONDS
        if is_known or crash.at - moment_at <= SAME_MOMENT_SECONDS:
            continue
        crashed_at_by_engine[crash.engine] = moment_at = crash.at
        count += 1
    return count


def _without_single_contents(
    parts: list[SuspectedPart], contents_near: ContentsNear
) -> list[SuspectedPart]:
    """Return the parts without those whose crashes one content explains."""
    crash_by_run = {crash.run_key: crash for part in parts for crash in part.crashes}
    contents_by_run = {key: contents_near(c) for key, c in crash_by_run.items()}
    return [
        part
        for part in parts
        if not set.intersection(*(contents_by_run[c.run_key] for c in part.crashes))
    ]


def _candidates(parts: list[SuspectedPart]) -> dict[str, Candidate]:
    count_by_part = {part.name: count_moments(part.crashes) for part in parts}
    eligible = [p for p in parts if count_by_part[p.name] >= p.min_crashes]
    likelihood_by_part = {
        part.name: (not part.was_sound, count_by_part[part.name]) for part in eligible
    }
    crashes_by_engine = _by_engine(c for part in eligible for c in part.crashes)

    def rivals(crash: Crash) -> frozenset[str]:
        return frozenset(
            other.suspect
            for other in crashes_by_engine[crash.engine]
            if _is_near(other, crash)
            and likelihood_by_part[other.suspect] >= likelihood_by_part[crash.suspect]
        )

    return {
        part.name: Candidate(
            part.min_crashes, [Evidence(c, rivals(c)) for c in part.crashes]
        )
        for part in eligible
    }


def _by_engine(crashes: Iterable[Crash]) -> dict[str, list[Crash]]:
    crashes_by_engine = defaultdict(list)
    for crash in crashes:
        crashes_by_engine[crash.engine].append(crash)
    return crashes_by_engine


def _is_near(one: Crash, other: Crash) -> bool:
    """Return whether two crashes of an engine may be reports of one."""
    return abs(one.at - other.at) < SAME_CRASH_SECONDS
