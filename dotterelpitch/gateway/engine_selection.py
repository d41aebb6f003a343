"""Selects the engine for the next attempt of a call, by what its attempts have met."""

import random
from collections.abc import Collection

from attrs import define

from dotterelpitch.gateway.call import Call
from dotterelpitch.gateway.call_progress import CallProgress
from dotterelpitch.routing.engine_choice import EngineChoice, EngineChooser

# Share of the non-retryable requests that may probe a suspect engine.
UNSAFE_PROBE_SHARE = 0.1


@define
class EngineSelection:
    """Selects engines for calls."""

    _chooser: EngineChooser

    def select_untried(
        self, call: Call, progress: CallProgress, avoided: Collection[str] = ()
    ) -> EngineChoice | None:
        """Return an engine that the call hasn't tried, or None.

        ``avoided`` are the ids of further engines that it mustn't be.
        """
        may_probe = call.route.is_retryable or random.random() < UNSAFE_PROBE_SHARE
        return self._chooser.choose(
            call.service,
            call.shared_parts,
            [*progress.tried_ids, *avoided],
            progress.unreachable_domains,
            may_probe,
            progress.version,
        )

    def select(self, call: Call, progress: CallProgress) -> EngineChoice | None:
        """Return an untried engine, else one that can be tried again, else None.

        An error may not recur, and an engine that was silent may go on, so those that
        answered with an error or were left can be tried again; others can't.
        """
        choice = self.select_untried(call, progress)
        again_ids = progress.failed_ids + progress.left_ids
        if choice is not None or not again_ids:
            return choice
        excluded_ids = [i for i in progress.tried_ids if i not in again_ids]
        return self._chooser.choose(
            call.service, call.shared_parts, excluded_ids, version=progress.version
        )
