"""Wire the parts of one entry VM."""

import asyncio
import logging
from typing import Final, final

from .._clock import Clock
from ..serving import (
    AdviceDesk,
    Caller,
    ConfigWatch,
    Desk,
    Internal,
    Limits,
    ListingReader,
    Meters,
    Owner,
    OwnerContext,
    Peers,
    SeatTimes,
    Tenure,
    Terms,
    WorkflowApi,
    claim_delay_ms,
    clear_ms,
    dump_process,
)
from ..workflow import CellState
from ._advisor import AdvisorCalls
from ._decode import decode_config, decode_worker
from ._ingress import Ingress
from ._settings import PlatformSettings
from ._store import StoreLog
from ._store_groups import GROUP, Place, StoreGroup, StoreSeat
from ._workers import WorkerCalls

logger = logging.getLogger('lycheerelay.entry')

# Who the owner is is looked after this often, in s.
DIRECTORY_EVERY_S: Final = 1
# The owner is read anew after so many ms without one, and with one.
SEEK_MS: Final = 1000
KEEP_MS: Final = 5000


@final
class Entry:
    """Hold the parts of one process and let them run."""

    def __init__(
        self,
        settings: PlatformSettings,
        http: Caller,
        clock: Clock,
        incarnation: str,
    ) -> None:
        """Build everything; needs a running event loop."""
        self.settings = settings
        self.clock = clock
        self.http = http
        self.meters = Meters()
        self.log = StoreLog(http, settings.store_address)
        address = f'{settings.host}:{settings.internal_port}'
        member = f'{address}#{settings.vm}-{incarnation}'
        place = Place(settings.store_address, member, settings.group_ttl_ms)
        group = StoreGroup(http, place, GROUP)
        seat = StoreSeat(http, self.log, place)
        self.workers = WorkerCalls(http, clock.now_ms)
        self.advisor = AdvisorCalls(http, settings.advisor_address)
        self.peers = Peers(member, group, seat, clock, http)
        self.desk = Desk(clock, self.log, self.peers, self.meters)
        self.advice_desk = AdviceDesk(clock, self.advisor, self.peers)
        self.config = ConfigWatch(self.log, decode_config)
        self.terms = Terms(
            clock,
            group,
            seat,
            self.peers,
            self.make_owner,
            self.set_owner,
            SeatTimes(
                settings.group_ttl_ms,
                claim_delay_ms(settings.cores, settings.link_mbps),
            ),
        )
        self.ingress = Ingress(self.desk, self.config, clock, self.is_ready)
        self.workflows = WorkflowApi(self.desk, self.config, clock)
        self.internal = Internal(
            self.desk,
            self.advisor,
            self.terms.look_now,
            lambda: dump_process(self.desk, self.config, self.terms),
        )
        self.stopping = asyncio.Event()
        self.background: list[asyncio.Task[None]] = []

    def is_ready(self) -> bool:
        """Tell whether callers are served well here."""
        return (
            self.config.table is not None
            and self.terms.is_in_touch
            and not self.stopping.is_set()
        )

    def set_owner(self, owner: Owner | None) -> None:
        """Answer from the cell of a new term, or from none."""
        self.desk.owner = owner

    def make_owner(self, tenure: Tenure) -> Owner:
        """Wire a new term."""
        limits = Limits(
            self.settings.lease_ms,
            self.settings.status_ms,
            self.settings.group_ttl_ms,
        )
        cell = CellState(tenure.fence, clear_ms(self.clock.now_ms(), limits))
        context = OwnerContext(
            cell=cell,
            tenure=tenure,
            clock=self.clock,
            log=self.log,
            workers=self.workers,
            limits=limits,
            meters=self.meters,
            fence=tenure.fence,
        )
        return Owner(context, self.advice_desk, ListingReader(decode_worker))

    def start(self) -> None:
        """Join the group, follow the configuration and the directory."""
        loop = asyncio.get_running_loop()
        for work in (self.terms.run(), self.config.run(), self._refresh()):
            self.background.append(loop.create_task(work))
        logger.info(
            'started',
            extra={'vm': self.settings.vm, 'domain': self.settings.domain},
        )

    def halt(self) -> None:
        """End everything that runs in the background, at once."""
        self.terms.end_term('the process stops')
        for task in self.background:
            task.cancel()

    async def _refresh(self) -> None:
        while True:
            await self.peers.refresh(KEEP_MS if self.peers.owner else SEEK_MS)
            await self.peers.say_hello()
            await asyncio.sleep(DIRECTORY_EVERY_S)
