"""Dump the state of one process as JSON."""

from collections import Counter
from typing import Any

from ..workflow import CellState, WorkerInfo
from ._config_watch import ConfigWatch
from ._owner_elector import OwnerElector
from ._request_handler import RequestHandler
from ._tenant_dump import dump_rows, dump_tenants
from ._wait_forecast import encode_waits

Fields = dict[str, Any]


def dump_process(
    handler: RequestHandler, config: ConfigWatch, elector: OwnerElector
) -> Fields:
    """Return the state of this process, with the cell only at its owner."""
    table = config.table
    owner = handler.owner
    now_ms = handler.clock.now_ms()
    return {
        'now_ms': now_ms,
        'name': handler.peers.own_name,
        'owner': handler.peers.owner,
        'members': list(handler.peers.members),
        'others': handler.peers.live_peers(),
        'in_touch_with_store': elector.has_store_contact,
        'leaving': elector.leaving,
        'store_failing_since_ms': handler.append_gate.failing_since_ms,
        'config_version': table.version if table else 0,
        'config_age_ms': config.age_ms,
        'cell': _dump_cell(owner.cell) if owner else None,
        'past_jobs': len(owner.past.jobs) if owner else 0,
        'early_cancels': owner.expiry.early.count if owner else 0,
        'doubtful_jobs': len(handler.doubts.held),
        'waits': encode_waits(owner.waits) if owner else {},
        'tenants': dump_tenants(owner.tenants, now_ms) if owner else [],
        'tenant_rows': dump_rows(handler.tenant_gate.rows, now_ms),
    }


def _dump_cell(cell: CellState) -> Fields:
    phases = Counter(job.visible_phase.value for job in cell.jobs.values())
    return {
        'fence': cell.fence,
        'loaded': cell.loaded,
        'deposed': cell.deposed,
        'clear_ms': cell.previous_orders_expire_ms,
        'unanswered': list(cell.unsynced_workers),
        'jobs': dict(phases),
        'unrecorded': len(cell.unrecorded_jobs),
        'open_steps': [
            {
                'job': step.key.job_id,
                'occurrence': step.key.occurrence,
                'step': step.key.step,
                'waiting': len(step.waiting),
                'latest_start_ms': step.latest_start_ms,
                'asking': sum(map(len, step.pending_calls)),
                'tickets': len(step.tickets),
                'hopeless': step.is_hopeless,
            }
            for step in cell.open_steps.values()
        ],
        'workers': [_dump_worker(worker) for worker in cell.workers.values()],
    }


def _dump_worker(worker: WorkerInfo) -> Fields:
    return {
        'worker': worker.worker_id,
        'started_ms': worker.key.started_ms,
        'pool': worker.pool,
        'rack': worker.rack,
        'listed': worker.listed,
        'draining': worker.draining,
        'silent': worker.unresponsive,
        'heard_ms': worker.last_contact_ms,
        'lease_until_ms': worker.lease_until_ms,
        'barred_until_ms': worker.barred_until_ms,
        'paused_until_ms': worker.paused_until_ms,
        'runs': len(worker.runs),
        'strays': len(worker.orphaned_runs),
        'free': list(worker.free[:3]),
        'capacity': list(worker.capacity[:3]),
    }
