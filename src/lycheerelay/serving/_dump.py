"""Show the state of one process as JSON."""

from collections import Counter
from typing import Any

from ..workflow import CellState, WorkerBook
from ._config_watch import ConfigWatch
from ._desk import Desk
from ._outlook import write_waits
from ._terms import Terms

Fields = dict[str, Any]


def dump_process(desk: Desk, config: ConfigWatch, terms: Terms) -> Fields:
    """Return what this process knows; the cell only where it owns it."""
    table = config.table
    owner = desk.owner
    return {
        'now_ms': desk.clock.now_ms(),
        'name': desk.peers.own_name,
        'owner': desk.peers.owner,
        'members': list(desk.peers.members),
        'others': desk.peers.others(),
        'in_touch_with_store': terms.is_in_touch,
        'leaving': terms.leaving,
        'store_failing_since_ms': desk.gate.failing_since_ms,
        'config_version': table.version if table else 0,
        'cell': _dump_cell(owner.cell) if owner else None,
        'waits': write_waits(owner.waits) if owner else {},
    }


def _dump_cell(cell: CellState) -> Fields:
    phases = Counter(job.shown.value for job in cell.jobs.values())
    return {
        'fence': cell.fence,
        'loaded': cell.loaded,
        'deposed': cell.deposed,
        'clear_ms': cell.clear_ms,
        'unanswered': list(cell.unanswered),
        'jobs': dict(phases),
        'unrecorded': len(cell.dirty),
        'open_steps': [
            {
                'job': step.key.job_id,
                'occurrence': step.key.occurrence,
                'step': step.key.step,
                'waiting': len(step.waiting),
                'latest_start_ms': step.latest_start_ms,
                'asking': len(step.asking),
                'tickets': len(step.tickets),
            }
            for step in cell.open_steps.values()
        ],
        'workers': [_dump_worker(worker) for worker in cell.workers.values()],
    }


def _dump_worker(worker: WorkerBook) -> Fields:
    return {
        'worker': worker.worker_id,
        'pool': worker.pool,
        'rack': worker.rack,
        'listed': worker.listed,
        'draining': worker.draining,
        'silent': worker.silent,
        'heard_ms': worker.heard_ms,
        'lease_until_ms': worker.lease_until_ms,
        'barred_until_ms': worker.barred_until_ms,
        'runs': len(worker.runs),
        'strays': len(worker.strays),
        'free': list(worker.free[:3]),
        'capacity': list(worker.capacity[:3]),
    }
