"""Hold and grant leases that are fenced by terms."""

from ._lease import Grant, HeldLease, LeaseGrantor

__all__ = ('Grant', 'HeldLease', 'LeaseGrantor')
