"""Build the parts of one entry VM that read and write the log."""

from collections.abc import Callable
from typing import NamedTuple

from ._clock import Clock
from ._compaction import MarkStream
from ._config_follow import ConfigFollower, FollowSettings
from ._failover_log import FailoverLog
from ._http import HttpCaller
from ._journal import Deliver, Journal, JournalSettings
from ._log_client import LogClient
from ._mark_store import MarkStore
from ._members import Members
from ._policy import Policy
from ._settings import NodeSettings
from ._standby_client import StandbyClient


class NodeDependencies(NamedTuple):
    """Hold what the parts of one entry VM share."""

    settings: NodeSettings
    clock: Clock
    members: Members
    caller: HttpCaller
    direct_log: LogClient

    def open_log(self) -> FailoverLog:
        """Return a new log client that tracks its own failures."""
        return FailoverLog(
            self.direct_log,
            self.caller,
            self.settings.name,
            self.members,
            self.clock,
        )


def build_marks(dependencies: NodeDependencies) -> MarkStore:
    """Return the store of the domain's marks."""
    stream = MarkStream(dependencies.open_log(), dependencies.settings.domain)
    return MarkStore(stream)


def build_journal(
    dependencies: NodeDependencies,
    marks: MarkStore,
    deliver: Deliver,
) -> Journal:
    """Return the journal of the failure domain."""
    settings = dependencies.settings
    members = dependencies.members
    return Journal(
        dependencies.open_log(),
        StandbyClient(dependencies.caller, settings.name, members),
        JournalSettings(
            f'jobs.{settings.domain}',
            settings.name,
            f'{settings.name}@{dependencies.clock.now_ms()}',
            settings.commit_ms,
        ),
        dependencies.clock,
        deliver,
        marks.load,
    )


def build_config(
    dependencies: NodeDependencies,
    configure: Callable[[Policy], None],
) -> ConfigFollower:
    """Return the follower of the operators' configuration."""
    settings = dependencies.settings
    return ConfigFollower(
        dependencies.open_log(),
        dependencies.caller,
        dependencies.members,
        FollowSettings(
            settings.name,
            settings.config_poll_ms,
            settings.restate_ms,
        ),
        dependencies.clock,
        configure,
    )
