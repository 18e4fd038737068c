"""Assemble the components of one entry VM."""

import asyncio
import logging
from typing import Final, final

from .._clock import Clock
from ..serving import (
    AdviceDispatcher,
    Caller,
    CallerChecks,
    ConfigFreshness,
    ConfigWatch,
    ElectionTimes,
    InternalApi,
    Limits,
    ListingReader,
    MetricsRegistry,
    Owner,
    OwnerContext,
    OwnerElector,
    OwnershipLease,
    Peers,
    QueueTable,
    RequestHandler,
    WorkflowApi,
    claim_delay_ms,
    dump_process,
    previous_orders_expire_ms,
)
from ..serving.connections import BodyTurns, CellRoom, RequestLimits
from ..workflow import CellState
from ..workflow.tenants import TenantLedger
from ._advisor import AdvisorClient
from ._decode import decode_config, decode_worker
from ._ingress import Ingress
from ._settings import PlatformSettings
from ._store import StoreLog
from ._store_groups import (
    ENTRY_GROUP,
    StoreElection,
    StoreGroup,
    StoreMembership,
)
from ._workers import PlatformWorkerClient

logger = logging.getLogger('lycheerelay.entry')

# Interval of the loop that looks up the owner and sends hellos to it.
PEER_REFRESH_INTERVAL_S: Final = 1
# Minimum time between two lookups of the owner while none is known, and while
# one is known.
UNKNOWN_OWNER_LOOKUP_INTERVAL_MS: Final = 1000
KNOWN_OWNER_LOOKUP_INTERVAL_MS: Final = 5000


@final
class Entry:
    """Components and background tasks of one entry VM process."""

    def __init__(
        self,
        settings: PlatformSettings,
        http: Caller,
        clock: Clock,
        incarnation: str,
    ) -> None:
        """Create all components; requires a running event loop."""
        self.settings = settings
        self.clock = clock
        self.http = http
        self.metrics = MetricsRegistry()
        self.log = StoreLog(http, settings.store_address, settings.store_limits)
        address = f'{settings.host}:{settings.internal_port}'
        member = f'{address}#{settings.vm}-{incarnation}'
        membership = StoreMembership(
            settings.store_address, member, settings.group_ttl_ms
        )
        group = StoreGroup(http, membership, ENTRY_GROUP)
        election = StoreElection(http, self.log, membership)
        self.workers = PlatformWorkerClient(http, clock.now_ms)
        self.advisor = AdvisorClient(http, settings.advisor_address)
        self.peers = Peers(member, group, election, clock, http)
        self.advice_dispatcher = AdviceDispatcher(
            clock, self.advisor, self.peers
        )
        self.config = ConfigWatch(
            self.log,
            decode_config,
            clock,
            self.peers,
            ConfigFreshness(
                settings.revocation_ms if settings.strict_revocation else 0
            ),
        )
        self.elector = OwnerElector(
            clock,
            group,
            election,
            self.peers,
            self.make_owner,
            self.set_owner,
            ElectionTimes(
                settings.group_ttl_ms,
                claim_delay_ms(settings.cores, settings.link_mbps),
            ),
        )
        self.handler = RequestHandler(
            clock,
            self.log,
            self.peers,
            CallerChecks(self.config, self.metrics),
            self.elector.store_health,
        )
        self.handler.answers.cell_room = CellRoom(settings.machine.memory_mb)
        self.body_turns = BodyTurns(settings.machine.memory_mb, clock)
        self.ingress = Ingress(
            self.handler, self.config, clock, self.is_ready, self.body_turns
        )
        self.workflows = WorkflowApi(
            self.handler, self.config, clock, self.body_turns
        )
        self.internal = InternalApi(
            self.handler,
            self.advisor,
            self.elector.check_vacancy_now,
            lambda: dump_process(self.handler, self.config, self.elector),
        )
        self.stopping = asyncio.Event()
        self.background_tasks: list[asyncio.Task[None]] = []

    def is_ready(self) -> bool:
        """Return whether this VM can serve callers."""
        return (
            self.config.table is not None
            and self.elector.has_store_contact
            and not self.stopping.is_set()
        )

    def render_metrics(self) -> str:
        """Return all metrics as text."""
        age_ms = self.config.age_ms
        if age_ms is not None:
            self.metrics.gauge('config_age_ms', age_ms)
        return self.metrics.render()

    def set_owner(self, owner: Owner | None) -> None:
        """Serve requests from the owner of a new term, or from none."""
        self.handler.answers.owner = owner

    def find_request_limits(self) -> RequestLimits:
        """Return the limits of requests, defaults before a configuration."""
        table = self.config.table
        return RequestLimits() if table is None else table.request_limits

    def find_table(self) -> QueueTable | None:
        """Return the configuration in force, or None before the first one."""
        return self.config.table

    def make_owner(self, ownership_lease: OwnershipLease) -> Owner:
        """Create the owner of a new term."""
        limits = Limits(
            self.settings.lease_ms,
            self.settings.status_ms,
            self.settings.group_ttl_ms,
        )
        cell = CellState(
            ownership_lease.fence,
            previous_orders_expire_ms(self.clock.now_ms(), limits),
            tenants=TenantLedger(window_ms=self.settings.quota_window_ms),
        )
        context = OwnerContext(
            cell=cell,
            ownership_lease=ownership_lease,
            clock=self.clock,
            log=self.log,
            workers=self.workers,
            limits=limits,
            metrics=self.metrics,
            fence=ownership_lease.fence,
            find_table=self.find_table,
        )
        return Owner(
            context, self.advice_dispatcher, ListingReader(decode_worker)
        )

    def start(self) -> None:
        """Start the election, the configuration watch and the peer refresh."""
        loop = asyncio.get_running_loop()
        for work in (
            self.elector.run(),
            self.config.run(),
            self._refresh_peers(),
            self.handler.appends.doubt_reports.run(),
        ):
            self.background_tasks.append(loop.create_task(work))
        logger.info(
            'started',
            extra={'vm': self.settings.vm, 'domain': self.settings.domain},
        )

    def halt(self) -> None:
        """End the term and cancel all background tasks without waiting."""
        self.elector.end_term('the process is stopping')
        for task in self.background_tasks:
            task.cancel()

    async def _refresh_peers(self) -> None:
        while True:
            await self.peers.refresh_owner(
                KNOWN_OWNER_LOOKUP_INTERVAL_MS
                if self.peers.owner
                else UNKNOWN_OWNER_LOOKUP_INTERVAL_MS
            )
            await self.peers.send_hello()
            await asyncio.sleep(PEER_REFRESH_INTERVAL_S)
