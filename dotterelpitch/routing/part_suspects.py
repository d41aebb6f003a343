"""Finds the prompt parts that crash engines, and bans the requests that hold one.

A part may crash each engine that begins to respond to it, whatever else the request
holds, so that no two of the requests at fault need to be alike. When an engine crashes,
each part of a request that was just starting there becomes a suspect. The last part
belongs to the request alone and is judged with its content (``crash_suspects``).

A part is *sound* when a request with it completes, or has been responded to for a
while; its crashes before that count no more. A part is a *candidate* once enough
crashes count against it, and no single content was in flight in all of them. A request
is banned if it holds a candidate with enough crashes that nothing outside the request
explains better or equally well. So two parts that have only ever crashed together ban
a request with both, while one with either is let through, which tells them apart.

A ban ends when the part turns out sound, when its crashes are too old, or by a trial:
after some time one request is let through. If it crashes an engine, the next trial
is later.
"""

from collections import OrderedDict
from collections.abc import Iterable, Iterator, Sequence

from dotterelpitch.clock import Clock
from dotterelpitch.routing.crash_history import (
    Clearance,
    Crash,
    CrashHistory,
    SuspectRecord,
)
from dotterelpitch.routing.crash_suspects import CrashSuspects
from dotterelpitch.routing.part_candidates import (
    MAX_CRASHES_JUDGED,
    MIN_CRASHES,
    Judgement,
    SuspectedPart,
)

# A part that was sound so short a time before its crashes needs more of them.
RECENTLY_SOUND_SECONDS = 60.0
# A trial follows the last crash by this time, and by no less than a multiple of the
# time over which the crashes are spread, so that trials become ever rarer. A part that
# was sound is more likely to be so again.
FIRST_TRIAL_SECONDS = 60.0
FIRST_TRIAL_SECONDS_IF_SOUND = 2.0
TRIAL_SPREAD_FACTOR = 2.0
# A new judgement waits until judging takes no more than this share of the time.
JUDGEMENT_TIME_SHARE = 0.1
# Crashes become too old to count without any change, so a judgement does, too.
MAX_JUDGEMENT_AGE_SECONDS = 60.0
# Bounds the memory for the times at which parts were sound.
MAX_SOUND_PARTS = 50_000
# A peer that knows a part to have been sound at some time learns of a later time only
# if it differs by this, unless it clears a crash.
SOUND_TOLERANCE_SECONDS = 20.0


class PartSuspects(CrashHistory):
    """Crash history of prompt parts, and of when they were sound.

    ``contents`` is the crash history of whole requests. ``report_delay_s`` is how long
    peers may take to report what they had in flight in a crash; it bans nothing before.

    >>> from dotterelpitch.clock import ManualClock
    >>> clock = ManualClock()
    >>> suspects = PartSuspects(clock, CrashSuspects(clock))
    >>> for n in range(MIN_CRASHES):
    ...     clock.advance(1.0)
    ...     suspects.engine_crashed(f"e{n}", "run-1", clock.wall(), ["shared", "bad"])
    ...     suspects.record_sound(["shared"])
    >>> suspects.banned_parts(["shared", "bad"]), suspects.banned_parts(["shared"])
    (['bad'], [])
    """

    def __init__(
        self, clock: Clock, contents: CrashSuspects, report_delay_s: float = 0.0
    ) -> None:
        super().__init__(clock, MIN_CRASHES, contents.dismissed_runs)
        self._contents = contents
        self._report_delay_s = report_delay_s
        self._sound_at_by_part: OrderedDict[str, float] = OrderedDict()
        self._last_trial_at_by_part: dict[str, float] = {}
        self._judgement = Judgement()
        self._judged_version = (0, 0, 0)
        self._next_judgement_at = float("-inf")

    @property
    def is_empty(self) -> bool:
        """Whether no part is suspected."""
        return not self._suspects_by_run

    def engine_crashed(
        self,
        engine: str,
        engine_run: str,
        at: float,
        parts: Iterable[str],
        is_silence: bool = False,
    ) -> None:
        """Record a crash with the parts of the requests that were just starting."""
        crashes = [
            Crash(part, engine, engine_run, at, is_silence=is_silence)
            for part in sorted(set(parts))
        ]
        self.merge(crashes, [])

    def record_sound(self, parts: Iterable[str]) -> None:
        """Record that an engine has responded to requests with these parts."""
        now = self._clock.wall()
        for part in parts:
            self._sound_at_by_part[part] = now
            self._sound_at_by_part.move_to_end(part)
            if self.crashes_of(part):
                self.merge([], [Clearance(part, now)])
        while len(self._sound_at_by_part) > MAX_SOUND_PARTS:
            self._sound_at_by_part.popitem(last=False)

    def merge(self, crashes: Iterable[Crash], cleared: Iterable[Clearance]) -> None:
        """Add the crashes and clearances that a peer has sent.

        If this VM knows of a later time at which a part was sound, its peers learn it.
        """
        crashes = list(crashes)
        super().merge(crashes, cleared)
        sound = (self._newer_clearance(crash) for crash in crashes)
        super().merge([], [clearance for clearance in sound if clearance])

    def banned_parts(self, parts: Sequence[str]) -> list[str]:
        """Return the parts for which a request is banned, if any.

        ``parts`` are those of its prompt but the last.
        """
        if self.is_empty:
            return []
        latest = self._clock.wall() - self._report_delay_s
        return self._judge().banned_parts(parts, latest)

    def explains(self, crash: Crash) -> bool:
        """Return whether a part is a likelier cause of a crash than any content."""
        return self._judge().explains(crash)

    def try_trial(self, banned_parts: Sequence[str]) -> bool:
        """Return whether a request with these banned parts may run, and record it."""
        now = self._clock.wall()
        if any(now < self._next_trial_at(part) for part in banned_parts):
            return False
        self._last_trial_at_by_part.update(dict.fromkeys(banned_parts, now))
        return True

    def _next_trial_at(self, part: str) -> float:
        crashes = sorted(self.crashes_of(part), key=lambda crash: crash.at)
        if not crashes:
            return float("-inf")
        first, last = crashes[0], crashes[-1]
        last_at = max(last.at, self._last_trial_at_by_part.get(part, last.at))
        was_sound = _was_recently_sound(self._record_by_suspect[part], first)
        shortest_s = FIRST_TRIAL_SECONDS_IF_SOUND if was_sound else FIRST_TRIAL_SECONDS
        return last_at + max(shortest_s, TRIAL_SPREAD_FACTOR * (last_at - first.at))

    def _merge_crash(self, crash: Crash) -> None:
        """Add a crash, unless the part was sound after it."""
        record = self._record_by_suspect.get(crash.suspect)
        if record is None or crash.at > record.cleared_at:
            super()._merge_crash(crash)

    def _merge_clearance(self, clearance: Clearance) -> None:
        """Add a clearance, and drop the crashes that it clears."""
        record = self._get_or_create(clearance.suspect)
        cleared = [
            run_key
            for run_key, crash in record.crash_by_run.items()
            if crash.at <= clearance.at
        ]
        count = self._update_count
        super()._merge_clearance(clearance)
        if cleared and self._update_count == count:
            self._add_update(clearance)
        for run_key in cleared:
            del record.crash_by_run[run_key]
            self._forget(clearance.suspect, run_key)
        if not record.crash_by_run:
            self._last_trial_at_by_part.pop(clearance.suspect, None)

    def _newer_clearance(self, crash: Crash) -> Clearance | None:
        """Return the clearance that peers lack for the part of a crash, or None."""
        record = self._record_by_suspect.get(crash.suspect)
        sound_at = self._sound_at_by_part.get(crash.suspect, float("-inf"))
        if record is None or sound_at <= record.cleared_at:
            return None
        clears = sound_at >= crash.at > record.cleared_at
        if clears or sound_at > record.cleared_at + SOUND_TOLERANCE_SECONDS:
            return Clearance(crash.suspect, sound_at)
        return None

    def _judge(self) -> Judgement:
        """Return the current judgement; a costly one is kept for longer."""
        now = self._clock.monotonic()
        version = (
            self._update_count,
            self._contents.update_count,
            self.dismissed_runs.update_count,
        )
        age_s = now - self._next_judgement_at
        is_current = version == self._judged_version
        if age_s < 0 or (is_current and age_s < MAX_JUDGEMENT_AGE_SECONDS):
            return self._judgement
        self._judgement = Judgement.of(self._frequent_parts(), self._contents_near)
        self._judged_version = version
        done_at = self._clock.monotonic()
        self._next_judgement_at = done_at + (done_at - now) / JUDGEMENT_TIME_SHARE
        return self._judgement

    def _frequent_parts(self) -> Iterator[SuspectedPart]:
        """Yield the parts with enough crashes to be judged."""
        for part, record in self._record_by_suspect.items():
            if len(record.crash_by_run) < MIN_CRASHES:
                continue
            crashes = sorted(self._crashes(record), key=lambda crash: crash.at)
            if len(crashes) >= MIN_CRASHES:
                was_sound = _was_recently_sound(record, crashes[0])
                yield SuspectedPart(part, crashes[-MAX_CRASHES_JUDGED:], was_sound)

    def _contents_near(self, crash: Crash) -> set[str]:
        return self._contents.suspects_near(crash.engine, crash.at)


def _was_recently_sound(record: SuspectRecord, first_crash: Crash) -> bool:
    """Return whether a part was sound shortly before its first crash that counts."""
    return first_crash.at - record.cleared_at < RECENTLY_SOUND_SECONDS
