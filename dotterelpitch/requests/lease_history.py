"""The group configs of one slot that may still back a lease.

The VM list changes, and VMs learn of it at different times or skip revisions.
A lease is therefore backed by a majority of *every* config from the last
established one on. A config is established once a holder has had majorities of
all configs up to it from members that knew it: from then on no lease can be
had under older configs alone, because a majority of each refuses.
"""

from collections.abc import Iterable

from dotterelpitch.requests.ownership import GroupConfig

MAX_CONFIGS = 16


class ConfigHistory:
    """The configs from the established one on, oldest first.

    ``established`` is a revision; 0 means that none is known, as after a start.

    >>> history = ConfigHistory()
    >>> history.merge(0, [GroupConfig(1, ["a", "b"], ["c"])])
    >>> history.merge(0, [GroupConfig(2, ["b"], ["c", "d"])])
    >>> [config.revision for config in history.configs]
    [1, 2]
    """

    def __init__(self) -> None:
        self.established = 0
        self.configs: list[GroupConfig] = []

    @property
    def latest(self) -> GroupConfig | None:
        """The newest config known, or None."""
        return self.configs[-1] if self.configs else None

    def merge(self, established: int, configs: Iterable[GroupConfig]) -> None:
        """Learn what another process, or the VM list, says."""
        self.established = max(self.established, established)
        known = [c for c in (*self.configs, *configs) if c.members]
        current = [c for c in known if c.revision >= self.established]
        ordered = sorted(current, key=lambda c: (c.revision, sorted(c.members)))
        collapsed: list[GroupConfig] = []
        for config in ordered:
            if collapsed and collapsed[-1].same_members(config):
                collapsed.pop()
            collapsed.append(config)
        self.configs = collapsed[-MAX_CONFIGS:]

    def covered_by(self, configs: Iterable[GroupConfig]) -> bool:
        """Whether ``configs`` has every group that is known here."""
        groups = {frozenset(config.members) for config in configs}
        return all(frozenset(config.members) in groups for config in self.configs)

    def establish(self) -> None:
        """Drop all configs before the latest."""
        if self.configs:
            self.established = max(self.established, self.configs[-1].revision)
            self.merge(self.established, [])

    def members(self) -> set[str]:
        """Return the members of all configs."""
        return {name for config in self.configs for name in config.members}


class RestartRecovery:
    """Tells when a restarted process may again speak for its VM.

    A start loses which configs and promises the VM knew. The process abstains
    until it has heard, for each config, from enough members that remember to
    meet every majority, or from all other members. A fleet that starts whole
    passes by the second rule; a majority that lost its memory while a member
    is silent does not, and stays out until the list drops that member.

    A config that has no other member can't be recalled from anybody. It counts
    as known while no other VM is heard at all: then this VM is the fleet. Where
    others are heard, a newer config may have been forgotten, and the process
    stays out until it learns one with members who remember.
    """

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._heard: set[str] = set()
        self._heard_remembering: set[str] = set()
        self._askers: set[str] = set()
        self.complete = False

    def record_reply(self, vm: str, recovered: bool) -> None:
        """Note that ``vm`` has told its configs."""
        self._heard.add(vm)
        if recovered:
            self._heard_remembering.add(vm)

    def record_proposer(self, vm: str) -> None:
        """Note that ``vm`` has asked for the slot."""
        if vm != self._vm:
            self._askers.add(vm)

    def check(self, history: ConfigHistory) -> bool:
        """Return whether enough members of every known config were heard."""
        if not self.complete and history.configs:
            self.complete = all(self._met(config) for config in history.configs)
        return self.complete

    def _met(self, config: GroupConfig) -> bool:
        others = set(config.members) - {self._vm}
        if not others:
            return not (self._askers or self._heard - {self._vm})
        needed = len(config.members) - config.majority + 1
        if len(others & self._heard_remembering) >= needed:
            return True
        return others <= self._heard
