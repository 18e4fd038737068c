"""Poll the platform's list of VMs."""

import threading
from collections.abc import Callable
from typing import Final, final

from result import Err

from ._clock import MS_PER_SECOND
from ._vm_client import VmList, VmListClient

POLL_INTERVAL_MS: Final = 1500


@final
class VmFollower:
    """Poll the list and deliver each new version."""

    def __init__(
        self,
        client: VmListClient,
        domain: str,
        deliver: Callable[[VmList], None],
    ) -> None:
        """Start without a known version."""
        self.client = client
        self.domain = domain
        self.deliver = deliver
        self.version = -1
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.run,
            name='vms',
            daemon=True,
        )

    def start(self) -> None:
        """Start the polling thread."""
        self.thread.start()

    def stop(self) -> None:
        """Stop polling."""
        self.stopping.set()

    def run(self) -> None:
        """Poll until stopped."""
        while not self.stopping.is_set():
            self.poll()
            self.stopping.wait(POLL_INTERVAL_MS / MS_PER_SECOND)

    def poll(self) -> None:
        """Read the list once; after an error the last version stays."""
        listed = self.client.read(self.domain, self.version)
        if isinstance(listed, Err) or listed.ok_value is None:
            return
        self.version = listed.ok_value.version
        self.deliver(listed.ok_value)
