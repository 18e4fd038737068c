"""Run one entry VM on the platform."""

import asyncio
import gc
import logging
import os
import signal
import sys
from typing import Final, final

from aiohttp import web
from result import Err

from .._clock import SystemClock
from ..serving import (
    AdviceDesk,
    Caller,
    ConfigWatch,
    Desk,
    HttpCalls,
    Internal,
    Limits,
    ListingReader,
    Meters,
    Owner,
    OwnerContext,
    Peers,
    Tenure,
    Terms,
    clear_ms,
    set_up_event_log,
)
from ..workflow import CellState
from ._advisor import AdvisorCalls
from ._decode import decode_config, decode_worker
from ._ingress import Ingress
from ._settings import PlatformSettings, read_settings
from ._store import StoreGroup, StoreLog
from ._workers import WorkerCalls

logger = logging.getLogger('lycheerelay.serve')

METRICS_PORT: Final = 9464
METRICS_PATH: Final = '/metrics'
# Idle channels of callers stay open for so long, in s: longer than callers
# pause, so that no request meets a closing channel.
KEEP_S: Final = 75
# New channels stop coming about two readiness questions after the first
# refusal, in s.
DRAIN_S: Final = 2.5
# Requests in flight get so long after that, in ms.
FINISH_MS: Final = 1500
POLL_S: Final = 0.05
# Channels that are still open then are closed within so long, in s.
CLOSE_S: Final = 0.2
BAD_SETTINGS: Final = 2
# The collector runs less often: most objects live as long as their job.
GC_THRESHOLDS: Final = (20_000, 20, 50)


@final
class Entry:
    """Wire the parts of one process."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Build everything; needs a running event loop."""
        self.settings = settings
        self.clock = SystemClock()
        self.meters = Meters()
        self.http: Caller = HttpCalls()
        self.log = StoreLog(self.http, settings.store_address)
        incarnation = f'{os.getpid()}-{self.clock.now_ms()}'
        address = f'{settings.host}:{settings.internal_port}'
        member = f'{address}#{settings.vm}-{incarnation}'
        group = StoreGroup(self.http, settings.store_address, member)
        self.workers = WorkerCalls(self.http, self.clock.now_ms)
        self.advisor = AdvisorCalls(self.http, settings.advisor_address)
        self.peers = Peers(member, group, self.clock, self.http)
        self.desk = Desk(self.clock, self.log, self.peers, self.meters)
        self.advice_desk = AdviceDesk(self.clock, self.advisor, self.peers)
        self.config = ConfigWatch(self.log, decode_config)
        self.terms = Terms(self.clock, group, self.make_owner, self.set_owner)
        self.ingress = Ingress(
            self.desk,
            self.config,
            self.clock,
            self.is_ready,
        )
        self.internal = Internal(self.desk, self.advisor)
        self.stopping = asyncio.Event()
        self.sites: list[web.TCPSite] = []
        self.runners: list[web.ServerRunner] = []
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
        now_ms = self.clock.now_ms()
        lease_ms = self.settings.lease_ms
        cell = CellState(tenure.generation, clear_ms(now_ms, lease_ms))
        context = OwnerContext(
            cell=cell,
            tenure=tenure,
            clock=self.clock,
            log=self.log,
            workers=self.workers,
            advisor=self.advisor,
            limits=Limits(lease_ms, self.settings.status_ms),
            meters=self.meters,
            fence=tenure.generation,
        )
        return Owner(context, self.advice_desk, ListingReader(decode_worker))

    async def run(self) -> None:
        """Serve until a signal asks to stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self._listen()
        for work in (self.terms.run(), self.config.run(), self._refresh()):
            self.background.append(loop.create_task(work))
        logger.info(
            'started',
            extra={'vm': self.settings.vm, 'domain': self.settings.domain},
        )
        await self.stopping.wait()
        await self._stop()

    def reload(self) -> None:
        """Take a changed settings file; what is wired stays until a restart."""
        outcome = read_settings()
        if isinstance(outcome, Err):
            logger.error('reload_refused', extra={'error': outcome.err_value})
            return
        changed = [
            name
            for name, before, after in zip(
                self.settings._fields,
                self.settings,
                outcome.ok_value,
                strict=True,
            )
            if before != after
        ]
        logger.info('reloaded', extra={'changed': changed})

    async def _listen(self) -> None:
        settings = self.settings
        internal = f'{settings.host}:{settings.internal_port}'
        metrics = f'{settings.host}:{METRICS_PORT}'
        await self._serve(settings.ready_address, self.ingress.ready)
        await self._serve(internal, self.internal.handle)
        await self._serve(metrics, self._metrics)
        site = await self._serve(
            settings.callers_address,
            self.ingress.handle,
        )
        self.sites.append(site)

    async def _serve(self, address: str, handler: object) -> web.TCPSite:
        server = web.Server(
            handler,  # type: ignore[arg-type]
            keepalive_timeout=KEEP_S,
            access_log=None,
        )
        runner = web.ServerRunner(server, shutdown_timeout=CLOSE_S)
        await runner.setup()
        host, port = address.rsplit(':', 1)
        site = web.TCPSite(runner, host, int(port), backlog=512)
        await site.start()
        self.runners.append(runner)
        return site

    async def _metrics(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != METRICS_PATH:
            return web.Response(status=404)
        return web.Response(text=self.meters.render())

    async def _refresh(self) -> None:
        while True:
            pause_ms = 1000 if not self.peers.owner else 5000
            await self.peers.refresh(pause_ms)
            await asyncio.sleep(1)

    async def _stop(self) -> None:
        logger.info('stopping', extra={'in_flight': self.ingress.active})
        self.ingress.closing = True
        await self.terms.leave()
        await asyncio.sleep(DRAIN_S)
        for site in self.sites:
            await site.stop()
        await self._finish_requests()
        for task in self.background:
            task.cancel()
        await self._close()
        logger.info('stopped', extra={'in_flight': self.ingress.active})

    async def _finish_requests(self) -> None:
        ends_ms = self.clock.now_ms() + FINISH_MS
        while self.ingress.active and self.clock.now_ms() < ends_ms:
            await asyncio.sleep(POLL_S)

    async def _close(self) -> None:
        for runner in self.runners:
            await runner.cleanup()
        await self.http.close()


def main() -> int:
    """Run one entry VM by the platform's settings file."""
    set_up_event_log()
    outcome = read_settings()
    if isinstance(outcome, Err):
        logger.error('settings_refused', extra={'error': outcome.err_value})
        return BAD_SETTINGS
    gc.set_threshold(*GC_THRESHOLDS)
    asyncio.run(_run(outcome.ok_value))
    return 0


async def _run(settings: PlatformSettings) -> None:
    await Entry(settings).run()


if __name__ == '__main__':
    sys.exit(main())
