"""Finds the requests that were in flight at an engine when it crashed.

An attempt without a response is *unanswered*, whether its connection broke, its time
ran out, or its caller left. It stays open to suspicion until the engine gives a sign
of life after it, which any bytes of any response are, or until another attempt with
this content completes. When the engine turns out to have ended, the unanswered
attempts that it hasn't outlived become crash suspects.

How an engine turns out to have ended is decided elsewhere; this module needs neither
a second request nor a peer for it. An end whose only evidence was silence is taken back
when a response goes on whose request was sent before the silence was checked: the check
asked the same run, since no later one could send that response.
"""

import math
from itertools import chain, count

from attrs import define, field, frozen

from dotterelpitch.clock import Clock
from dotterelpitch.routing.crash_history import SAME_CRASH_SECONDS, Crash
from dotterelpitch.routing.crash_suspects import CrashSuspects
from dotterelpitch.routing.dismissed_runs import Dismissal
from dotterelpitch.routing.engines import Engine
from dotterelpitch.routing.part_suspects import PartSuspects

# A busy engine says something more often than this.
SILENCE_SECONDS = 0.4
# A request that may take longer makes its engine silent only after this fraction of its
# objective.
SILENCE_OBJECTIVE_FRACTION = 0.75
# How long an attempt that has ended unanswered can belong to a crash.
MAX_ATTEMPT_AGE_SECONDS = 5.0
# Bytes of other responses, sent before a crash, may be read this long after the
# connection of a request was found broken.
READ_ORDER_SECONDS = 0.05
# Separates the start time of a run from how often the run has been dismissed.
DISMISSAL_SEPARATOR = "."
# A check has waited this long when it finds an engine silent.
SILENT_CHECK_SECONDS = 1.0
# An engine that has been sending a response for this long has survived its start.
START_SECONDS = 1.0


@define(eq=False)
class UnansweredAttempt:
    """A request sent to an engine that hasn't answered it.

    ``parts`` are the prompt parts that may crash engines. ``engine`` is as it was
    registered then. All times are of the monotonic clock, in seconds. ``ended_at`` is
    None while it is in flight; ``first_output_at`` and ``last_output_at`` are None
    before the first byte of the response. ``is_broken`` is whether its connection
    broke, and ``ended_with_connection`` whether the response ended so. The engine is
    silent if it has sent nothing for ``silence_s`` seconds meanwhile.
    """

    engine: Engine
    fingerprint: str
    parts: tuple[str, ...]
    sent_at: float
    silence_s: float = SILENCE_SECONDS
    first_output_at: float | None = None
    last_output_at: float | None = None
    ended_at: float | None = None
    is_broken: bool = False
    ended_with_connection: bool = False

    @property
    def was_running(self) -> bool:
        """Whether the engine had survived the start of the request."""
        if self.first_output_at is None:
            return False
        return self.last_output_at - self.first_output_at > START_SECONDS


@frozen
class _RunEnd:
    """The end of an engine's run: its name in crash reports, and when it ended.

    ``is_shared`` is whether other VMs give the run the same name.
    """

    run_id: str
    name: str
    at: float
    is_shared: bool


@define
class CrashDetector:
    """The unanswered attempts at each engine, and its last sign of life.

    ``vm`` is the name of this VM. Crashes are recorded in ``suspects`` and
    ``part_suspects``.

    >>> from dotterelpitch.clock import ManualClock
    >>> clock = ManualClock()
    >>> suspects = CrashSuspects(clock)
    >>> detector = CrashDetector("vm-1", clock, suspects, PartSuspects(clock, suspects))
    >>> engine = Engine("e1", "chat", "127.0.0.1:1", "a", started_ms=7)
    >>> attempt = detector.attempt_sent(engine, "a")
    >>> detector.attempt_ended(attempt, is_broken=True)
    >>> [crash.suspect for crash in detector.engine_ended(engine)]
    ['a']
    """

    _vm: str
    _clock: Clock
    _suspects: CrashSuspects
    _part_suspects: PartSuspects
    _attempts_by_engine: dict[str, list[UnansweredAttempt]] = field(factory=dict)
    _heard_at_by_engine: dict[str, float] = field(factory=dict)
    _last_end_by_engine: dict[str, _RunEnd] = field(factory=dict)
    _unnamed_run_count: int = 0

    def attempt_sent(
        self,
        engine: Engine,
        fingerprint: str,
        parts: tuple[str, ...] = (),
        objective_s: float = 0.0,
    ) -> UnansweredAttempt:
        """Record that a request was sent to an engine.

        ``objective_s`` is the time in which the response should start.
        """
        silence_s = max(SILENCE_SECONDS, SILENCE_OBJECTIVE_FRACTION * objective_s)
        now = self._clock.monotonic()
        attempt = UnansweredAttempt(engine, fingerprint, parts, now, silence_s)
        self._attempts_by_engine.setdefault(engine.id, []).append(attempt)
        return attempt

    def output_received(self, attempt: UnansweredAttempt) -> None:
        """Record that the engine has sent the response or some of it."""
        now = self._clock.monotonic()
        attempt.last_output_at = now
        if attempt.first_output_at is None:
            attempt.first_output_at = now

    def attempt_answered(self, attempt: UnansweredAttempt) -> None:
        """Record a complete response."""
        self._attempts_by_engine[attempt.engine.id].remove(attempt)

    def attempt_ended(
        self,
        attempt: UnansweredAttempt,
        is_broken: bool,
        ended_with_connection: bool = False,
    ) -> None:
        """Record that an attempt ended unanswered.

        ``is_broken`` is whether its connection broke; otherwise the time ran out, the
        caller left, or the response ``ended_with_connection``, as it also does when
        the engine ends.
        """
        attempt.ended_at = self._clock.monotonic()
        attempt.is_broken = is_broken
        attempt.ended_with_connection = ended_with_connection

    def request_completed(self, fingerprint: str, parts: tuple[str, ...]) -> None:
        """Record that an engine has completed a request and lives on.

        The ended attempts of this content are dropped.
        """
        self._suspects.record_completion(fingerprint)
        self._part_suspects.record_sound(parts)
        for attempts in self._attempts_by_engine.values():
            attempts[:] = [
                attempt
                for attempt in attempts
                if attempt.ended_at is None or attempt.fingerprint != fingerprint
            ]

    def heard_from(self, engine_id: str) -> None:
        """Record a sign of life of an engine; it has outlived the ended attempts."""
        self._heard_at_by_engine[engine_id] = self._clock.monotonic()

    def has_outlived(self, engine_id: str, at: float) -> bool:
        """Return whether the engine has given a sign of life after ``at``."""
        heard_at = self._heard_at_by_engine.get(engine_id, float("-inf"))
        return heard_at > at + READ_ORDER_SECONDS

    def silent_engines(self) -> list[Engine]:
        """Return the engines that leave an attempt unanswered and are silent."""
        now = self._clock.monotonic()
        silent = []
        for engine_id in self._attempts_by_engine:
            attempts = self._open_attempts(engine_id)
            silent += [a.engine for a in attempts if self._is_silent_for(a, now)][-1:]
        return silent

    def _is_silent_for(self, attempt: UnansweredAttempt, now: float) -> bool:
        """Return whether the engine of an attempt has sent nothing for too long."""
        latest = now - attempt.silence_s
        is_older = attempt.sent_at <= latest
        return is_older and not self.has_outlived(attempt.engine.id, latest)

    def has_broken_attempt(self, engine_id: str, since: float) -> bool:
        """Return whether a connection broke after ``since`` and the engine is silent.

        ``since`` is a time of the monotonic clock, in seconds.
        """
        attempts = self._open_attempts(engine_id)
        return any(a.is_broken and a.ended_at > since for a in attempts)

    def response_continued(self, attempt: UnansweredAttempt) -> list[Dismissal]:
        """Record bytes of a response; return the runs that turn out to have gone on.

        They are those of its engine that were taken to have ended, since a check that
        was made after the request was sent met nothing but silence.
        """
        if not self._suspects.has_silent_runs:
            return []
        now = self._clock.wall()
        sent_at = now - (self._clock.monotonic() - attempt.sent_at)
        runs = self._suspects.runs_silent_after(
            attempt.engine.id, sent_at + SILENT_CHECK_SECONDS
        )
        return self._suspects.dismissed_runs.merge(
            Dismissal(run_key, now) for run_key in sorted(runs)
        )

    def engine_ended(self, engine: Engine, is_silence: bool = False) -> list[Crash]:
        """Record that an engine has ended without notice; return the new crashes.

        ``is_silence`` is whether only its silence shows that. An engine that gave a
        sign of life just now refuses single connections only, and what is in flight
        there goes on.
        """
        latest = self._clock.monotonic() - SILENCE_SECONDS
        is_silent = not self.has_outlived(engine.id, latest)
        attempts = self._open_attempts(engine.id)
        return self._record_crash(
            engine,
            [a for a in attempts if is_silent or a.ended_at is not None],
            is_silence,
        )

    def engine_restarted(self, previous: Engine) -> list[Crash]:
        """Record that another run has replaced ``previous``; return the new crashes.

        A sign of life may have come from the new run already, so it doesn't clear the
        attempts whose connections broke.
        """
        attempts = [
            attempt
            for attempt in self._recent_attempts(previous.id)
            if attempt.is_broken or self._is_open(attempt)
        ]
        return self._record_crash(previous, attempts)

    def record_survivals(self) -> None:
        """Record the requests that their engines turn out to have survived."""
        self._record_survived_closes()
        self._record_running_parts()

    def _record_survived_closes(self) -> None:
        """Record the responses that ended with their connection, not their engine."""
        completed = [
            attempt
            for attempts in self._attempts_by_engine.values()
            for attempt in attempts
            if attempt.ended_with_connection and not self._is_open(attempt)
        ]
        for attempt in completed:
            self.request_completed(attempt.fingerprint, attempt.parts)

    def _record_running_parts(self) -> None:
        """Record the parts of the requests in flight whose start crashed no engine."""
        if self._part_suspects.is_empty:
            return
        self._part_suspects.record_sound(
            part
            for attempts in self._attempts_by_engine.values()
            for attempt in attempts
            if attempt.ended_at is None and attempt.was_running
            for part in attempt.parts
        )

    def expire(self) -> None:
        """Remove attempts that ended too long ago to belong to a crash."""
        for engine_id in list(self._attempts_by_engine):
            kept = self._recent_attempts(engine_id)
            if kept:
                self._attempts_by_engine[engine_id] = kept
            else:
                del self._attempts_by_engine[engine_id]

    def retain(self, engine_ids: set[str]) -> None:
        """Drop the signs of life of engines that aren't in ``engine_ids``."""
        for by_engine in (self._heard_at_by_engine, self._last_end_by_engine):
            for engine_id in by_engine.keys() - engine_ids:
                del by_engine[engine_id]

    def _open_attempts(self, engine_id: str) -> list[UnansweredAttempt]:
        return [a for a in self._recent_attempts(engine_id) if self._is_open(a)]

    def _recent_attempts(self, engine_id: str) -> list[UnansweredAttempt]:
        """Return the attempts that are in flight or ended a short time ago."""
        oldest = self._clock.monotonic() - MAX_ATTEMPT_AGE_SECONDS
        return [
            attempt
            for attempt in self._attempts_by_engine.get(engine_id, [])
            if attempt.ended_at is None or attempt.ended_at >= oldest
        ]

    def _is_open(self, attempt: UnansweredAttempt) -> bool:
        """Return whether the engine hasn't outlived an attempt."""
        if attempt.ended_at is None:
            return True
        return not self.has_outlived(attempt.engine.id, attempt.ended_at)

    def _record_crash(
        self,
        engine: Engine,
        attempts: list[UnansweredAttempt],
        is_silence: bool = False,
    ) -> list[Crash]:
        now = self._clock.monotonic()
        for attempt in attempts:
            if attempt.ended_at is not None:
                self._attempts_by_engine[engine.id].remove(attempt)
        if not attempts:
            return []
        run = self._run_name(engine)
        wall_offset_s = self._clock.wall() - now
        crashes = [
            Crash(
                attempt.fingerprint,
                engine.id,
                run,
                wall_offset_s + (attempt.ended_at or now),
                attempt.was_running,
                is_silence,
            )
            for attempt in attempts
        ]
        if not self._may_be_down_since_last_crash(engine):
            self._record_part_crash(crashes[0], attempts)
        self._suspects.merge(crashes, [])
        return crashes

    def _may_be_down_since_last_crash(self, engine: Engine) -> bool:
        """Return whether nothing shows that an engine has run since its last crash.

        Then every request sent there is lost, whatever it holds.
        """
        crash_age_s = self._clock.wall() - self._suspects.last_crash_at(engine.id)
        if engine.started_ms or math.isinf(crash_age_s):
            return False
        if self.has_outlived(engine.id, self._clock.monotonic() - crash_age_s):
            return False
        return crash_age_s >= SAME_CRASH_SECONDS

    def _record_part_crash(
        self, crash: Crash, attempts: list[UnansweredAttempt]
    ) -> None:
        """Record the parts of those of ``attempts`` that were just starting.

        A part of one that had been running didn't crash the engine.
        """
        starting = [a.parts for a in attempts if not a.was_running]
        running = [a.parts for a in attempts if a.was_running]
        self._part_suspects.engine_crashed(
            crash.engine,
            crash.engine_run,
            crash.at,
            chain.from_iterable(starting),
            crash.is_silence,
        )
        self._part_suspects.record_sound(chain.from_iterable(running))
        self._record_running_parts()

    def _run_name(self, engine: Engine) -> str:
        """Return a name for the run that has ended, the same at all VMs if possible.

        Only this VM can tell the run from others if its start time is unknown, or if
        a run with that start time has ended before and the engine was heard since.
        """
        last = self._last_end_by_engine.get(engine.id)
        is_first = (
            last is None
            or last.run_id != engine.run_id
            or (last.is_shared and self._is_dismissed(engine, last.name))
        )
        if not is_first and not self._has_run_again(engine, last):
            return last.name
        is_shared = is_first and engine.started_ms > 0
        name = self._shared_name(engine) if is_shared else self._unnamed_run()
        end = _RunEnd(engine.run_id, name, self._clock.monotonic(), is_shared)
        self._last_end_by_engine[engine.id] = end
        return name

    def _has_run_again(self, engine: Engine, last: _RunEnd) -> bool:
        """Return whether the engine has run again since its last end."""
        if self.has_outlived(engine.id, last.at):
            return True
        elapsed_s = self._clock.monotonic() - last.at
        return not engine.started_ms and elapsed_s >= SAME_CRASH_SECONDS

    def _shared_name(self, engine: Engine) -> str:
        """Return the name of a run whose start is known; a new one once dismissed."""
        names = (_name_after_dismissals(engine, number) for number in count())
        return next(name for name in names if not self._is_dismissed(engine, name))

    def _is_dismissed(self, engine: Engine, name: str) -> bool:
        return (engine.id, name) in self._suspects.dismissed_runs

    def _unnamed_run(self) -> str:
        self._unnamed_run_count += 1
        return f"{self._vm}-{self._unnamed_run_count}"


def is_run_of(name: str, engine: Engine) -> bool:
    """Return whether a name in crash reports is that of an engine's listed run."""
    return name.partition(DISMISSAL_SEPARATOR)[0] == str(engine.started_ms)


def _name_after_dismissals(engine: Engine, dismissals: int) -> str:
    """Return the name of a run that was dismissed so often before."""
    suffix = f"{DISMISSAL_SEPARATOR}{dismissals}" if dismissals else ""
    return f"{engine.started_ms}{suffix}"
