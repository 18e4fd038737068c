"""Wire the parts of one entry VM that follow the log."""

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
    """Hold what every part of one entry VM is given."""

    settings: NodeSettings
    clock: Clock
    members: Members
    caller: HttpCaller
    direct_log: LogClient

    def open_log(self) -> FailoverLog:
        """Return a way to the log of its own, with its own memory of faults."""
        return FailoverLog(
            self.direct_log,
            self.caller,
            self.settings.name,
            self.members,
            self.clock,
        )


def build_marks(around: NodeDependencies) -> MarkStore:
    """Return the keeper of the domain's marks."""
    return MarkStore(MarkStream(around.open_log(), around.settings.domain))


def build_journal(
    around: NodeDependencies,
    marks: MarkStore,
    deliver: Deliver,
) -> Journal:
    """Return the journal of the failure domain."""
    settings = around.settings
    return Journal(
        around.open_log(),
        StandbyClient(around.caller, settings.name, around.members),
        JournalSettings(
            f'jobs.{settings.domain}',
            settings.name,
            f'{settings.name}@{around.clock.now_ms()}',
            settings.commit_ms,
        ),
        around.clock,
        deliver,
        marks.load,
    )


def build_config(
    around: NodeDependencies,
    configure: Callable[[Policy], None],
) -> ConfigFollower:
    """Return the follower of the operators' configuration."""
    settings = around.settings
    return ConfigFollower(
        around.open_log(),
        around.caller,
        around.members,
        FollowSettings(
            settings.name,
            settings.config_poll_ms,
            settings.restate_ms,
        ),
        around.clock,
        configure,
    )
