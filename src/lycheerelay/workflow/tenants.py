"""Accounts of tenants and their quotas."""

from ._tenants import TenantAccount, TenantLedger, TenantPolicy

__all__ = ('TenantAccount', 'TenantLedger', 'TenantPolicy')
