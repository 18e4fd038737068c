"""Dump the state of tenants as JSON."""

import math
from typing import Any

from .._resources import Resources
from ..workflow import CellState
from ..workflow.tenants import TenantView
from ._tenant_admission import TenantRow, TenantRows
from ._tenant_monitor import TenantMonitor

Fields = dict[str, Any]


def dump_tenants(monitor: TenantMonitor, now_ms: int) -> list[Fields]:
    """Return a row for each tenant at the owner, and why its jobs wait."""
    cell = monitor.context.cell
    rows = monitor.rows(now_ms)
    return [
        {
            **_dump_view(cell, view, now_ms),
            'held': _dump_holds(monitor, view, now_ms),
            'refused': [
                _dump_refusal(monitor, row, now_ms)
                for row in rows
                if row.tenant == view.name
            ],
        }
        for view in monitor.views
    ]


def dump_rows(rows: TenantRows, now_ms: int) -> Fields:
    """Return the rows that a VM has received, and their age."""
    return {
        'age_ms': rows.age_ms(now_ms) if rows.sent_ms else -1,
        'rows': [row._asdict() for row in rows.rows.values()],
    }


def _dump_view(cell: CellState, view: TenantView, now_ms: int) -> Fields:
    policy = view.account.policy
    tokens = cell.tenants.tokens_left(view.account, now_ms)
    return {
        'tenant': view.name,
        'active': view.account.is_active,
        'weight': policy.weight,
        'rate': policy.weight,
        'tokens': None if math.isinf(tokens) else round(tokens, 3),
        'quota': _amounts(policy.quota),
        'used': _amounts(view.account.used),
        'share': round(view.share, 4),
        'fair_share': round(view.fair_share, 4),
        'waiting': view.waiting_jobs,
        'over_rate': view.over_rate_jobs,
    }


def _dump_holds(
    monitor: TenantMonitor, view: TenantView, now_ms: int
) -> list[Fields]:
    since_ms = monitor.held_since_ms
    return [
        {
            'cause': hold.cause.value,
            'subject': hold.subject,
            'jobs': hold.jobs,
            'since_ms': since_ms.get(
                (view.name, hold.cause, hold.subject), now_ms
            ),
        }
        for hold in view.holds
    ]


def _dump_refusal(
    monitor: TenantMonitor, row: TenantRow, now_ms: int
) -> Fields:
    return {
        'pool': row.pool,
        'backlog': row.backlog,
        'served_in_ms': row.served_in_ms,
        'since_ms': monitor.shortages[row.pool].since_ms,
    }


def _amounts(resources: Resources) -> Fields:
    return {
        'cores_milli': resources.cores_milli,
        'memory_mb': resources.memory_mb,
        'accelerators': resources.accelerators,
    }
