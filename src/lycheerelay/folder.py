"""Check and merge an operators' folder."""

from ._folder import build_policy
from ._folder_files import FolderFile, read_files
from ._options import OptionError

__all__ = ('FolderFile', 'OptionError', 'build_policy', 'read_files')
