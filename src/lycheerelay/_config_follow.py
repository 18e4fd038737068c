"""Follow the published configuration and apply each new version."""

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
PEER_CHECKS_PER_POLL: Final = 5
VERSION_KEY: Final = 'config'


class FollowSettings(NamedTuple):
    """Set the intervals of polls and of repeated snapshots."""

    name: str
    poll_ms: int = 1000
    restate_ms: int = 1_800_000


@final
class ConfigFollower:
    """Poll the configuration stream and apply each new version.

    While the stream cannot be read, versions are fetched from peers. One
    node of the domain appends a snapshot every `restate_ms`, since entries
    of the stream expire.
    """

    def __init__(
        self,
        log: Log,
        caller: HttpCaller,
        members: Members,
        settings: FollowSettings,
        clock: Clock,
        configure: Callable[[Policy], None],
    ) -> None:
        """Start without a configuration."""
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
        """Start the polling thread."""
        self.thread.start()

    def stop(self) -> None:
        """Stop the polling thread."""
        self.stopping = True
        self.wake.set()
        if self.thread.is_alive():
            self.thread.join()

    def notify_version(self, version: int) -> None:
        """Poll at once if a peer has a higher version."""
        if version > self.config.version:
            self.wake.set()

    def run(self) -> None:
        """Poll until stopped."""
        while not self.stopping:
            self.poll()
            for _ in range(PEER_CHECKS_PER_POLL):
                self._check_peer_versions()
                if self.wake.is_set():
                    break
                check_ms = self.settings.poll_ms // PEER_CHECKS_PER_POLL
                self.wake.wait(check_ms / MS_PER_SECOND)
            self.wake.clear()

    def _check_peer_versions(self) -> None:
        for published in tuple(self.members.seen_values().values()):
            text = published.get(VERSION_KEY, '')
            if is_whole(text):
                self.notify_version(int(text))

    def poll(self) -> None:
        """Read the stream once; ask peers if it fails or is incomplete."""
        reading = read_to_end(self.log, self.config)
        if isinstance(reading, Ok):
            self._process_reading(reading.ok_value)
        if isinstance(reading, Err) or not self.config.complete:
            self._fetch_from_peers()

    def _process_reading(self, reading: Reading) -> None:
        for read in reading.entries:
            snapshot = read.entry.snapshot
            if snapshot is not None and snapshot.read_to == read.offset:
                self.snapshot_ms = max(self.snapshot_ms, snapshot.at_ms)
            if read.outcome.verdict is Verdict.CONFLICT:
                LOGGER.info(
                    'publication conflicts with an earlier one; ignoring it',
                    extra={'offset': read.offset, 'file': read.outcome.file},
                )
        self._apply(reading.config)
        if self._is_snapshot_due():
            self.snapshots += 1
            newest = snapshot_of(self.config, self.clock.now_ms())
            self.log.append(STREAM, encode_entry(newest))

    def _is_snapshot_due(self) -> bool:
        if not (self.config.complete and self.config.version):
            return False
        names = self.members.alive_in_domain()
        if owner_of(STREAM, names) != self.settings.name:
            return False
        age_ms = self.clock.now_ms() - self.snapshot_ms
        return age_ms > self.settings.restate_ms

    def _fetch_from_peers(self) -> None:
        # Nodes of other domains are found by the values that they publish.
        seen = (name.partition('@')[0] for name in self.members.seen_values())
        for name in dict.fromkeys((*self.members.alive_in_domain(), *seen)):
            address = self.members.address_of(name)
            if name == self.settings.name or address is None:
                continue
            fetched = self._fetch(address)
            if fetched is not None and self._is_newer(fetched):
                self._apply(fetched)
                return

    def _fetch(self, address: str) -> VersionedConfig | None:
        above = self.config.version if self.config.complete else 0
        url = f'http://{address}/internal/config?above={above}'
        reply = self.caller.call('GET', url, timeout_ms=PEER_TIMEOUT_MS)
        if isinstance(reply, Err) or not isinstance(reply.ok_value.body, dict):
            return None
        read = from_json(VersionedConfig, reply.ok_value.body.get('config'))
        return read.ok_value if isinstance(read, Ok) else None

    def _is_newer(self, fetched: VersionedConfig) -> bool:
        if not fetched.complete or fetched.read_to < self.config.read_to:
            return False
        if self.config.complete:
            return fetched.version > self.config.version
        return fetched.version >= self.config.version

    def _apply(self, config: VersionedConfig) -> None:
        has_new_version = config.version > self.config.version
        self.config = config
        if not has_new_version:
            return
        files = (
            FolderFile(entry.name, entry.content) for entry in config.files
        )
        policy = build_policy(files, config.version)
        if isinstance(policy, Err):
            self.unreadable += 1
            LOGGER.error(
                'configuration is invalid; the previous one stays in force',
                extra={
                    'version': config.version,
                    'error': policy.err_value[0].to_text(),
                },
            )
            return
        self.members.publish(VERSION_KEY, str(config.version))
        LOGGER.info(
            'configuration is in force',
            extra={'version': config.version},
        )
        self.configure(policy.ok_value)
