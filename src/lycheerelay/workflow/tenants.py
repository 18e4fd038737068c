"""Accounts of tenants and their quotas."""

from ._tenants import (
    QuotaExcess,
    TenantAccount,
    TenantLedger,
    TenantPolicy,
    find_quota_excess,
)

__all__ = (
    'QuotaExcess',
    'TenantAccount',
    'TenantLedger',
    'TenantPolicy',
    'find_quota_excess',
)
