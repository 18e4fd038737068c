"""Accounts of tenants, their quotas and what waits for them."""

from ._tenant_backlog import PoolBacklog, over_rate_backlogs
from ._tenant_views import Hold, HoldCause, TenantView, view_tenants
from ._tenants import (
    QuotaExcess,
    TenantAccount,
    TenantLedger,
    TenantPolicy,
    find_quota_excess,
)

__all__ = (
    'Hold',
    'HoldCause',
    'PoolBacklog',
    'QuotaExcess',
    'TenantAccount',
    'TenantLedger',
    'TenantPolicy',
    'TenantView',
    'find_quota_excess',
    'over_rate_backlogs',
    'view_tenants',
)
