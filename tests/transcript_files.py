"""Run the commands of a transcript against a cell and record the output.

A file starts with a description and a blank line. `$` runs a sub-command of
the program, `edit FILE TEXT` writes a file, `copy FROM TO` copies a folder,
`await JOB` waits until a task of the job runs and `drain` makes the entry VM
refuse new work, as during a shutdown. The output and the exit status follow,
indented.
"""

import contextlib
import io
import os
import shlex
import shutil
from pathlib import Path
from unittest import mock

from cell_parts import start_cell, wait_until
from lycheerelay.cli import main

FOLDER = Path(__file__).parent / 'transcripts'
EXAMPLES = Path(__file__).parent.parent / 'examples'
INDENT = '  '


class Stage:
    """Hold a cell with one entry VM that uses a published configuration."""

    def __init__(self, cell, folder):
        self.cell = cell
        self.folder = folder
        self.node, self.server = cell.add_node(needs_config=True)
        self.places = {'LOG': cell.log_address, 'E1': self.server.address}

    def run(self, line):
        verb, *rest = shlex.split(line)
        if verb == '$':
            return self.run_command(rest)
        if verb == 'copy':
            source = EXAMPLES / rest[0]
            known = source if source.exists() else self.folder / rest[0]
            shutil.copytree(known, self.folder / rest[1])
        elif verb == 'edit':
            text = rest[1].replace('\\n', '\n')
            (self.folder / rest[0]).write_text(f'{text}\n')
        elif verb == 'await':
            wait_until(lambda: any(rest[0] in key for key in self.starts()))
        elif verb == 'drain':
            self.node.draining = True
        else:
            raise ValueError(line)
        return []

    def starts(self):
        return tuple(self.cell.worker.starts)

    def run_command(self, words):
        self.wait_until_applied()
        printed = io.StringIO()
        with (
            contextlib.chdir(self.folder),
            contextlib.redirect_stdout(printed),
            contextlib.redirect_stderr(printed),
            mock.patch.dict(os.environ, LOGNAME='operator'),
        ):
            status = main([self.places.get(word, word) for word in words])
        text = printed.getvalue()
        for name, address in self.places.items():
            text = text.replace(address, name)
        lines = [' '.join(line.split()) for line in text.splitlines()]
        return [*lines, f'exit {status}']

    def wait_until_applied(self):
        """Wait until the entry VM has applied everything published."""
        follower, log = self.node.config, self.cell.log
        wait_until(
            lambda: (
                follower.config.read_to == len(log.streams.get('config', ()))
            )
        )
        if follower.config.version:
            wait_until(lambda: follower.snapshots and self.node.is_ready)


def play(text, folder):
    """Return the transcript with the current output of the program."""
    description, _, body = text.partition('\n\n')
    lines = [description, '']
    with start_cell('spice') as cell:
        stage = Stage(cell, folder)
        for line in body.splitlines():
            if line.startswith(INDENT):
                continue
            lines.append(line)
            if line and not line.startswith('#'):
                lines.extend(INDENT + shown for shown in stage.run(line))
    return '\n'.join(lines) + '\n'
