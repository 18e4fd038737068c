"""Follow the platform's list of VMs."""

import threading
from collections.abc import Callable
from typing import Final, final

from result import Err

from ._clock import MS_PER_SECOND
from ._vm_client import VmList, VmListClient

POLL_MS: Final = 1500


@final
class VmFollower:
    """Poll the list and deliver every change."""

    def __init__(
        self,
        client: VmListClient,
        domain: str,
        deliver: Callable[[VmList], None],
    ) -> None:
        """Know no version yet."""
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
        """Poll from a thread of its own."""
        self.thread.start()

    def stop(self) -> None:
        """Stop polling."""
        self.stopping.set()

    def run(self) -> None:
        """Poll until stopped."""
        while not self.stopping.is_set():
            self.poll()
            self.stopping.wait(POLL_MS / MS_PER_SECOND)

    def poll(self) -> None:
        """Read the list once; an outage keeps the last reading."""
        listed = self.client.read(self.domain, self.version)
        if isinstance(listed, Err) or listed.ok_value is None:
            return
        self.version = listed.ok_value.version
        self.deliver(listed.ok_value)
