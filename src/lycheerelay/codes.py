"""Number every result that a caller or an operator can see."""

from ._codes import CODES, Code, CodeInfo, Refusal

__all__ = ('CODES', 'Code', 'CodeInfo', 'Refusal')
