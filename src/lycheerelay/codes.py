"""Define the result codes that callers and operators see."""

from ._codes import CODES, Code, CodeInfo, Refusal

__all__ = ('CODES', 'Code', 'CodeInfo', 'Refusal')
