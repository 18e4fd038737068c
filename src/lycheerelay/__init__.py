"""Schedule services, batch work and gangs on a shared cell of VMs."""

__version__ = '0.1.0'
