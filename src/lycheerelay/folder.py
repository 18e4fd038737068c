"""Check and merge an operators' folder."""

from ._folder import build_policy
from ._folder_files import FolderError, FolderFile, read_files

__all__ = ('FolderError', 'FolderFile', 'build_policy', 'read_files')
