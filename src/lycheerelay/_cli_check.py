"""Validate a configuration folder from the command line."""

import argparse
from pathlib import Path

from result import Err, Result

from ._cli_parts import (
    add_json_flag,
    command,
    print_json,
    print_table,
    report_errors,
)
from ._codes import Code
from ._folder import build_policy
from ._folder_files import FolderFile, read_files
from ._options import OptionErrors
from ._policy import Policy


def load_folder(
    folder: Path,
) -> Result[tuple[tuple[FolderFile, ...], Policy], OptionErrors]:
    """Read a configuration folder and validate the merged result."""
    files = read_files(folder)
    if isinstance(files, Err):
        return files
    folder_files = files.ok_value
    return build_policy(folder_files).map(lambda policy: (folder_files, policy))


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('folder', type=Path, help='folder of INI files')
    add_json_flag(parser)


@command('check', "check an operators' folder as a whole", _add_arguments)
def run_check(arguments: argparse.Namespace) -> int:
    """Validate a folder and print its contents or all errors."""
    loaded = load_folder(arguments.folder)
    if isinstance(loaded, Err):
        return report_errors(
            loaded.err_value,
            Code.BAD_FOLDER,
            arguments.json,
        )
    policy = loaded.ok_value[1]
    if arguments.json:
        print_json({'code': int(Code.OK), 'policy': policy})
        return 0
    rows = (
        (entry.kind, entry.name, entry.pool, entry.fit)
        for entry in policy.workloads
    )
    print_table(('KIND', 'WORKLOAD', 'POOL', 'FIT'), rows)
    teams, pools = len(policy.teams), len(policy.pools)
    print(f'ok: {teams} teams, {pools} pools, {len(policy.services)} services')
    return 0
