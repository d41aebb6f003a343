"""The group configs of one slot that may still back a lease.

The VM list changes, and VMs receive changes at different times or skip
revisions. A lease therefore needs a majority of *every* config since the last
committed one, as in joint consensus. A config is committed once a holder has
had majorities of all configs up to it from members that knew it. After that no
lease can be acquired under older configs alone, because a majority of each
refuses.
"""

from collections.abc import Iterable

from dotterelpitch.requests.ownership import GroupConfig

MAX_CONFIGS = 16


class ConfigHistory:
    """The configs since the last committed one, oldest first.

    ``committed_revision`` is its revision, or 0 if none is known, as after a
    start.

    >>> history = ConfigHistory()
    >>> history.merge(0, [GroupConfig(1, ["a", "b"], ["c"])])
    >>> history.merge(0, [GroupConfig(2, ["b"], ["c", "d"])])
    >>> [config.revision for config in history.configs]
    [1, 2]
    """

    def __init__(self) -> None:
        self.committed_revision = 0
        self.configs: list[GroupConfig] = []

    @property
    def latest(self) -> GroupConfig | None:
        """The newest config known, or None."""
        return self.configs[-1] if self.configs else None

    def merge(self, committed_revision: int, configs: Iterable[GroupConfig]) -> None:
        """Merge the history of another process, or the config of a VM list.

        Of adjacent configs with the same members only the newest is kept.
        """
        self.committed_revision = max(self.committed_revision, committed_revision)
        known = [c for c in (*self.configs, *configs) if c.members]
        current = [c for c in known if c.revision >= self.committed_revision]
        ordered = sorted(current, key=lambda c: (c.revision, sorted(c.members)))
        collapsed: list[GroupConfig] = []
        for config in ordered:
            if collapsed and collapsed[-1].same_members(config):
                collapsed.pop()
            collapsed.append(config)
        self.configs = collapsed[-MAX_CONFIGS:]

    def covered_by(self, configs: Iterable[GroupConfig]) -> bool:
        """Return whether ``configs`` has every group in this history."""
        groups = {frozenset(config.members) for config in configs}
        return all(frozenset(config.members) in groups for config in self.configs)

    def commit_latest(self) -> None:
        """Commit the latest config and drop all earlier ones."""
        if self.configs:
            self.committed_revision = max(
                self.committed_revision, self.configs[-1].revision
            )
            self.merge(self.committed_revision, [])

    def members(self) -> set[str]:
        """Return the members of all configs."""
        return {name for config in self.configs for name in config.members}


class RestartRecovery:
    """Decides when a restarted process may grant and hold leases for its VM again.

    A restart loses the configs and promises that the VM knew. The process
    abstains until, for each config, either enough recovered members have replied
    to intersect every majority, or all other members have replied. A fleet that
    starts all at once passes by the second rule. A majority that restarted while
    another member doesn't reply does not pass, and abstains until the VM list
    drops that member.

    A config without other members can't be recovered from any other VM. It counts
    as known while no other VM has replied or sent a proposal, since this VM may
    then be the whole fleet. Once one has, a newer config may have been lost, and
    the process abstains until it receives one with recovered members.
    """

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._replied: set[str] = set()
        self._replied_recovered: set[str] = set()
        self._proposers: set[str] = set()
        self.complete = False

    def record_reply(self, vm: str, recovered: bool) -> None:
        """Record that ``vm`` has sent its configs."""
        self._replied.add(vm)
        if recovered:
            self._replied_recovered.add(vm)

    def record_proposer(self, vm: str) -> None:
        """Record that ``vm`` has sent a proposal for the slot."""
        if vm != self._vm:
            self._proposers.add(vm)

    def check(self, history: ConfigHistory) -> bool:
        """Return whether enough members of every known config have replied."""
        if not self.complete and history.configs:
            self.complete = all(
                self._is_recovered(config) for config in history.configs
            )
        return self.complete

    def _is_recovered(self, config: GroupConfig) -> bool:
        others = set(config.members) - {self._vm}
        if not others:
            return not (self._proposers or self._replied - {self._vm})
        needed = len(config.members) - config.majority + 1
        if len(others & self._replied_recovered) >= needed:
            return True
        return others <= self._replied
