"""Run the process of one entry VM on the platform."""

import asyncio
import gc
import logging
import os
import signal
import sys
from typing import Final, final

from aiohttp import web
from result import Err

from .._clock import MS_PER_SECOND, SystemClock
from ..serving import HttpCalls, is_workflow_path, set_up_event_log
from ..serving.connections import Listener, make_budget
from ._bodies import read_body
from ._connection_table import ConnectionTable, ListenerParts
from ._entry import Entry
from ._listening import accept_connections, bind_socket
from ._server import GuardedServer, HttpHandler
from ._settings import PlatformSettings, read_settings

logger = logging.getLogger('lycheerelay.serve')

# Must match deploy/system.toml.
METRICS_PORT: Final = 9464
METRICS_PATH: Final = '/metrics'
# The platform stops opening connections about two readiness checks after the
# first negative one. The wait for this is limited to this time and to this share
# of the grace period, at whose end the process gets a SIGKILL.
MAX_DRAIN_MS: Final = 2500
MAX_DRAIN_SHARE: Final = 0.4
# Time for requests in flight after that, and its limit as a share of the grace
# period.
MAX_FINISH_MS: Final = 1500
MAX_FINISH_SHARE: Final = 0.25
# Interval at which the requests in flight are counted while stopping.
IN_FLIGHT_CHECK_INTERVAL_S: Final = 0.05
# Time for closing the connections that are still open then.
CLOSE_TIMEOUT_S: Final = 0.2
# Bodies of calls between VMs and of workflows.
MAX_INTERNAL_BODY_BYTES: Final = 1024 * 1024
EXIT_INVALID_SETTINGS: Final = 2
# The garbage collector runs less often than by default, since most objects live
# as long as their job.
GC_THRESHOLDS: Final = (20_000, 20, 50)


@final
class EntryProcess:
    """Serve requests and handle the signals of the platform."""

    def __init__(self, entry: Entry) -> None:
        """Limit the times of a stop to shares of the grace period."""
        self.entry = entry
        self.caller_sites: list[web.SockSite] = []
        self.runners: list[web.ServerRunner] = []
        self.tables: list[ConnectionTable] = []
        grace_ms = entry.settings.stop_grace_ms
        self.drain_ms = min(MAX_DRAIN_MS, grace_ms * MAX_DRAIN_SHARE)
        self.finish_ms = min(MAX_FINISH_MS, grace_ms * MAX_FINISH_SHARE)

    async def run(self) -> None:
        """Serve until the process receives SIGTERM."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.entry.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self._listen()
        self.entry.start()
        await self.entry.stopping.wait()
        await self._stop()

    def reload(self) -> None:
        """Log changed settings; they take effect at the next restart."""
        outcome = read_settings()
        if isinstance(outcome, Err):
            logger.error('reload_refused', extra={'error': outcome.err_value})
            return
        changed = [
            name
            for name, before, after in zip(
                self.entry.settings._fields,
                self.entry.settings,
                outcome.ok_value,
                strict=True,
            )
            if before != after
        ]
        logger.info('reloaded', extra={'changed': changed})

    async def _listen(self) -> None:
        settings = self.entry.settings
        internal = f'{settings.host}:{settings.internal_port}'
        metrics = f'{settings.host}:{METRICS_PORT}'
        await self._start_site(
            Listener.READINESS,
            settings.ready_address,
            self.entry.ingress.handle_readiness,
        )
        await self._start_site(Listener.INTERNAL, internal, self._internal_api)
        await self._start_site(Listener.METRICS, metrics, self._metrics)
        site = await self._start_site(
            Listener.CALLERS,
            settings.callers_address,
            self.entry.ingress.handle,
        )
        self.caller_sites.append(site)

    async def _start_site(
        self, listener: Listener, address: str, handler: HttpHandler
    ) -> web.SockSite:
        entry = self.entry
        parts = ListenerParts(
            listener,
            make_budget(entry.settings.machine, listener),
            entry.find_request_limits,
            entry.clock,
            entry.metrics,
        )
        server = GuardedServer(handler, parts)
        self.tables.append(server.table)
        runner = web.ServerRunner(server, shutdown_timeout=CLOSE_TIMEOUT_S)
        await runner.setup()
        self.runners.append(runner)
        return await accept_connections(runner, bind_socket(address))

    async def _internal_api(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        body = await read_body(request, MAX_INTERNAL_BODY_BYTES)
        if isinstance(body, Err):
            response = web.Response(status=body.err_value.value)
            response.force_close()
            return response
        raw = body.ok_value
        if is_workflow_path(request.path):
            answer = await self.entry.workflows.answer(
                request.method,
                request.path_qs,
                raw,
                request.headers,
            )
        else:
            answer = await self.entry.internal.answer(request.path, raw)
        return web.Response(status=answer.status, body=answer.raw)

    async def _metrics(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != METRICS_PATH:
            return web.Response(status=404)
        for table in self.tables:
            table.show_gauges()
        return web.Response(text=self.entry.render_metrics())

    async def _stop(self) -> None:
        logger.info(
            'stopping',
            extra={'in_flight': self.entry.ingress.requests_in_flight},
        )
        self.entry.ingress.closing = True
        await self.entry.elector.leave()
        await asyncio.sleep(self.drain_ms / MS_PER_SECOND)
        for site in self.caller_sites:
            await site.stop()
        await self._finish_requests()
        self.entry.halt()
        await self._close_all()
        logger.info(
            'stopped',
            extra={'in_flight': self.entry.ingress.requests_in_flight},
        )

    async def _finish_requests(self) -> None:
        deadline_ms = self.entry.clock.now_ms() + self.finish_ms
        while (
            self.entry.ingress.requests_in_flight
            and self.entry.clock.now_ms() < deadline_ms
        ):
            await asyncio.sleep(IN_FLIGHT_CHECK_INTERVAL_S)

    async def _close_all(self) -> None:
        for runner in self.runners:
            await runner.cleanup()
        await self.entry.http.close()


def main() -> int:
    """Run one entry VM and return the exit code of the process."""
    set_up_event_log()
    outcome = read_settings()
    if isinstance(outcome, Err):
        logger.error('settings_refused', extra={'error': outcome.err_value})
        return EXIT_INVALID_SETTINGS
    gc.set_threshold(*GC_THRESHOLDS)
    asyncio.run(_run(outcome.ok_value))
    return 0


async def _run(settings: PlatformSettings) -> None:
    clock = SystemClock()
    incarnation = f'{os.getpid()}-{clock.now_ms()}'
    entry = Entry(settings, HttpCalls(), clock, incarnation)
    await EntryProcess(entry).run()


if __name__ == '__main__':
    sys.exit(main())
