"""Remember jobs whose hand-in the store may still execute.

Load: the store loses answers and executes appends seconds later, and callers ask again
at VMs that would refuse the job, or call it unknown, meanwhile.
"""

from collections.abc import Iterable
from typing import Any, Final, NamedTuple, final

from .._clock import Clock
from ._credentials import Identity

# The store executes a call without an answer within some seconds.
DOUBT_MS: Final = 30_000
# Jobs that are remembered; the oldest are forgotten first.
MAX_DOUBTS: Final = 10_000

DoubtRow = tuple[str, str, int]


class Doubt(NamedTuple):
    """Tenant of a doubtful job, or an empty string, and the end in ms."""

    tenant: str
    until_ms: int


@final
class DoubtfulJobs:
    """Hold the doubtful jobs of this VM, and at the owner those of all VMs.

    `untold` are those that this VM has still to report to the owner.
    """

    def __init__(self, clock: Clock, max_doubts: int = MAX_DOUBTS) -> None:
        """Start without any."""
        self.clock = clock
        self.max_doubts = max_doubts
        self.held: dict[str, Doubt] = {}
        self.untold: dict[str, None] = {}

    def note(self, job_id: str, identity: Identity) -> None:
        """Remember a job whose append had no answer."""
        self._hold(job_id, identity.tenant or '', DOUBT_MS)
        self.untold[job_id] = None

    def receive(self, rows: Iterable[DoubtRow]) -> None:
        """Remember what another VM reports.

        Raise TypeError or ValueError if a row is malformed.
        """
        for job_id, tenant, remaining_ms in rows:
            self._hold(
                str(job_id), str(tenant), min(int(remaining_ms), DOUBT_MS)
            )

    def remaining_ms(self, job_id: str, identity: Identity) -> int:
        """Return for how long a job stays doubtful to a caller, or 0."""
        doubt = self.held.get(job_id)
        if doubt is None:
            return 0
        is_hidden = identity.tenant not in {None, doubt.tenant}
        if is_hidden and doubt.tenant:
            return 0
        return max(doubt.until_ms - self.clock.now_ms(), 0)

    def retell(self) -> None:
        """Report everything again, as there is another owner."""
        self.untold = dict.fromkeys(self.held)

    def untold_rows(self, limit: int) -> list[DoubtRow]:
        """Return some rows that the owner does not have yet."""
        now_ms = self.clock.now_ms()
        rows: list[DoubtRow] = []
        for job_id in tuple(self.untold):
            doubt = self.held.get(job_id)
            if doubt is None or doubt.until_ms <= now_ms:
                self.untold.pop(job_id)
            elif len(rows) < limit:
                rows.append((job_id, doubt.tenant, doubt.until_ms - now_ms))
        return rows

    def mark_told(self, rows: Iterable[DoubtRow]) -> None:
        """Leave out of the next report what the owner has."""
        for job_id, _, _ in rows:
            self.untold.pop(job_id, None)

    def _hold(self, job_id: str, tenant: str, remaining_ms: int) -> None:
        now_ms = self.clock.now_ms()
        self.held.pop(job_id, None)
        while self.held:
            oldest = next(iter(self.held))
            is_over = self.held[oldest].until_ms <= now_ms
            if not is_over and len(self.held) < self.max_doubts:
                break
            self.held.pop(oldest)
        self.held[job_id] = Doubt(tenant, now_ms + remaining_ms)


def decode_doubts(body: dict[str, Any]) -> list[DoubtRow]:
    """Return the rows of an internal call; raise if they are malformed."""
    return [tuple(row) for row in body['jobs']]
