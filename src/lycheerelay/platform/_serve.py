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

from .._clock import MS_PER_SECOND, SystemClock
from ..serving import HttpCalls, is_workflow_path, set_up_event_log
from ._entry import Entry
from ._settings import PlatformSettings, read_settings

logger = logging.getLogger('lycheerelay.serve')

# As named in deploy/system.toml.
METRICS_PORT: Final = 9464
METRICS_PATH: Final = '/metrics'
# Idle channels of callers stay open for so long, in s: longer than callers
# pause, so that no request meets a closing channel.
KEEP_S: Final = 75
# New channels stop coming about two readiness questions after the first
# refusal, in ms; no more than this share of the time before a SIGKILL.
DRAIN_MS: Final = 2500
DRAIN_SHARE: Final = 0.4
# Requests in flight get so long after that, in ms, and at most this share.
FINISH_MS: Final = 1500
FINISH_SHARE: Final = 0.25
# While stopping, what is in flight is counted this often, in s.
POLL_S: Final = 0.05
# Channels that are still open then are closed within so long, in s.
CLOSE_S: Final = 0.2
BAD_SETTINGS: Final = 2
# The collector runs less often: most objects live as long as their job.
GC_THRESHOLDS: Final = (20_000, 20, 50)


@final
class EntryProcess:
    """Listen, reload and stop as the platform asks."""

    def __init__(self, entry: Entry) -> None:
        """Take the wired parts."""
        self.entry = entry
        self.sites: list[web.TCPSite] = []
        self.runners: list[web.ServerRunner] = []
        grace_ms = entry.settings.stop_grace_ms
        self.drain_ms = min(DRAIN_MS, grace_ms * DRAIN_SHARE)
        self.finish_ms = min(FINISH_MS, grace_ms * FINISH_SHARE)

    async def run(self) -> None:
        """Serve until a signal asks to stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.entry.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self._listen()
        self.entry.start()
        await self.entry.stopping.wait()
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
        await self._serve(settings.ready_address, self.entry.ingress.ready)
        await self._serve(internal, self._internal_api)
        await self._serve(metrics, self._metrics)
        site = await self._serve(
            settings.callers_address,
            self.entry.ingress.handle,
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

    async def _internal_api(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        raw = await request.read()
        if is_workflow_path(request.path):
            answer = await self.entry.workflows.answer(
                request.method,
                request.path_qs,
                raw,
            )
        else:
            answer = await self.entry.internal.answer(request.path, raw)
        return web.Response(status=answer.status, body=answer.raw)

    async def _metrics(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != METRICS_PATH:
            return web.Response(status=404)
        return web.Response(text=self.entry.metrics.render())

    async def _stop(self) -> None:
        logger.info('stopping', extra={'in_flight': self.entry.ingress.active})
        self.entry.ingress.closing = True
        await self.entry.elector.leave()
        await asyncio.sleep(self.drain_ms / MS_PER_SECOND)
        for site in self.sites:
            await site.stop()
        await self._finish_requests()
        self.entry.halt()
        await self._close()
        logger.info('stopped', extra={'in_flight': self.entry.ingress.active})

    async def _finish_requests(self) -> None:
        ends_ms = self.entry.clock.now_ms() + self.finish_ms
        while self.entry.ingress.active and self.entry.clock.now_ms() < ends_ms:
            await asyncio.sleep(POLL_S)

    async def _close(self) -> None:
        for runner in self.runners:
            await runner.cleanup()
        await self.entry.http.close()


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
    clock = SystemClock()
    incarnation = f'{os.getpid()}-{clock.now_ms()}'
    entry = Entry(settings, HttpCalls(), clock, incarnation)
    await EntryProcess(entry).run()


if __name__ == '__main__':
    sys.exit(main())
