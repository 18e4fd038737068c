"""Follow the published configuration and put it in force."""

import logging
import threading
from collections.abc import Callable
from typing import Final, NamedTuple, final

from result import Err, Ok

from ._clock import MS_PER_SECOND, Clock
from ._codec import from_json
from ._config_reader import STREAM, Reading, read_to_end
from ._folder import build_policy
from ._folder_files import FolderFile
from ._hashing import owner_of
from ._http import HttpCaller
from ._journal import Log
from ._members import Members
from ._policy import Policy
from ._versions import (
    Verdict,
    VersionedConfig,
    encode_entry,
    snapshot_of,
)
from ._web import is_whole

LOGGER: Final = logging.getLogger(__name__)
PEER_TIMEOUT_MS: Final = 1000
HINTS_PER_POLL: Final = 5
MEMBER_KEY: Final = 'config'


class FollowSettings(NamedTuple):
    """Set the pace of following and of rewriting snapshots."""

    name: str
    poll_ms: int = 1000
    restate_ms: int = 1_800_000


@final
class ConfigFollower:
    """Poll the stream, ask peers while it is down, rewrite snapshots."""

    def __init__(
        self,
        log: Log,
        caller: HttpCaller,
        members: Members,
        settings: FollowSettings,
        clock: Clock,
        configure: Callable[[Policy], None],
    ) -> None:
        """Know no version yet."""
        self.log = log
        self.caller = caller
        self.members = members
        self.settings = settings
        self.clock = clock
        self.configure = configure
        self.config = VersionedConfig()
        self.snapshot_ms = 0
        self.unreadable = 0
        self.snapshots = 0
        self.stopping = False
        self.wake = threading.Event()
        self.thread = threading.Thread(
            target=self.run,
            name='config',
            daemon=True,
        )

    def start(self) -> None:
        """Follow from a thread of its own."""
        self.thread.start()

    def stop(self) -> None:
        """Stop following."""
        self.stopping = True
        self.wake.set()
        if self.thread.is_alive():
            self.thread.join()

    def hint(self, version: int) -> None:
        """Read at once where a peer shows a higher version."""
        if version > self.config.version:
            self.wake.set()

    def run(self) -> None:
        """Poll until stopped."""
        while not self.stopping:
            self.poll()
            for _ in range(HINTS_PER_POLL):
                self._take_hints()
                if self.wake.is_set():
                    break
                slice_ms = self.settings.poll_ms // HINTS_PER_POLL
                self.wake.wait(slice_ms / MS_PER_SECOND)
            self.wake.clear()

    def _take_hints(self) -> None:
        for shown in tuple(self.members.seen_values().values()):
            text = shown.get(MEMBER_KEY, '')
            if is_whole(text):
                self.hint(int(text))

    def poll(self) -> None:
        """Read the stream once, or a peer while that gives no answer."""
        reading = read_to_end(self.log, self.config)
        if isinstance(reading, Ok):
            self._take_reading(reading.ok_value)
        if isinstance(reading, Err) or not self.config.complete:
            self._ask_peers()

    def _take_reading(self, reading: Reading) -> None:
        for read in reading.entries:
            covers = read.entry.snapshot
            if covers is not None and covers.read_to == read.offset:
                self.snapshot_ms = max(self.snapshot_ms, covers.at_ms)
            if read.outcome.verdict is Verdict.CONFLICT:
                LOGGER.info(
                    'publication is void',
                    extra={'offset': read.offset, 'file': read.outcome.file},
                )
        self._adopt(reading.config)
        if self._owes_snapshot():
            self.snapshots += 1
            snapshot = snapshot_of(self.config, self.clock.now_ms())
            self.log.append(STREAM, encode_entry(snapshot))

    def _owes_snapshot(self) -> bool:
        if not (self.config.complete and self.config.version):
            return False
        names = self.members.alive_in_domain()
        if owner_of(STREAM, names) != self.settings.name:
            return False
        age_ms = self.clock.now_ms() - self.snapshot_ms
        return age_ms > self.settings.restate_ms

    def _ask_peers(self) -> None:
        # Peers of other domains are known by what they publish.
        seen = (name.partition('@')[0] for name in self.members.seen_values())
        for name in dict.fromkeys((*self.members.alive_in_domain(), *seen)):
            address = self.members.address_of(name)
            if name == self.settings.name or address is None:
                continue
            offered = self._ask(address)
            if offered is not None and self._is_better(offered):
                self._adopt(offered)
                return

    def _ask(self, address: str) -> VersionedConfig | None:
        above = self.config.version if self.config.complete else 0
        url = f'http://{address}/internal/config?above={above}'
        reply = self.caller.call('GET', url, timeout_ms=PEER_TIMEOUT_MS)
        if isinstance(reply, Err) or not isinstance(reply.ok_value.body, dict):
            return None
        read = from_json(VersionedConfig, reply.ok_value.body.get('config'))
        return read.ok_value if isinstance(read, Ok) else None

    def _is_better(self, offered: VersionedConfig) -> bool:
        if not offered.complete or offered.read_to < self.config.read_to:
            return False
        if self.config.complete:
            return offered.version > self.config.version
        return offered.version >= self.config.version

    def _adopt(self, config: VersionedConfig) -> None:
        grown = config.version > self.config.version
        self.config = config
        if not grown:
            return
        files = (
            FolderFile(entry.name, entry.content) for entry in config.files
        )
        policy = build_policy(files, config.version)
        if isinstance(policy, Err):
            self.unreadable += 1
            LOGGER.error(
                'configuration does not check; the last one stays in force',
                extra={
                    'version': config.version,
                    'error': policy.err_value[0].to_text(),
                },
            )
            return
        self.members.publish(MEMBER_KEY, str(config.version))
        LOGGER.info(
            'configuration is in force',
            extra={'version': config.version},
        )
        self.configure(policy.ok_value)
