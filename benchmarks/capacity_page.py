"""Compute sizes from slopes and write the tables of docs/CAPACITY.md.

The texts of `ROWS` and the table headers appear on that page.
"""

from pathlib import Path
from typing import Final, NamedTuple

from slope_fit import Slope

from lycheerelay._renewal_interval import interval_for

BEGIN: Final = '<!-- {name}: written by benchmarks/slopes.py -->'
END: Final = '<!-- end of {name} -->'
COMMIT_MS: Final = 50
TASK_TTL_MS: Final = 60_000


class Size(NamedTuple):
    """Hold the sizes of one failure domain and of the whole system."""

    name: str
    domains: int
    entry_vms: int
    workers: int
    running: int
    queued: int
    teams: int
    files: int
    starts_per_s: float
    live_records: int

    def amount_of(self, x_unit: str) -> float:
        """Return the amount of a unit at this size."""
        return float(
            {
                'entry VMs': self.entry_vms,
                'workers': self.workers,
                'running tasks': self.running,
                'queued jobs': self.queued,
                'teams': self.teams,
                'configuration files': self.files,
                'live log records': self.live_records,
                'renewals/s': self.workers
                * 1000
                / interval_for(self.workers, TASK_TTL_MS).wait_ms,
                'records/s': self.starts_per_s * RECORDS_PER_START,
                'held records': self.starts_per_s
                * RECORDS_PER_START
                * SECONDS_PER_HOUR,
            }[x_unit],
        )


RECORDS_PER_START: Final = 3
SECONDS_PER_HOUR: Final = 3600
TODAY: Final = Size('today', 3, 8, 9, 72, 100, 10, 5, 4, 300)
PLANNED: Final = Size('planned', 5, 40, 196, 2400, 4000, 94, 300, 64, 12_000)


class Row(NamedTuple):
    """Describe a table row that shows one slope at both sizes."""

    role: str
    quantity: str
    slope: str
    unit: str
    carried_by: str


ROWS: Final = (
    Row(
        'front',
        'membership traffic of a node',
        'membership_bytes_by_entries',
        'B/s',
        'delta heartbeats, digests between domains',
    ),
    Row(
        'front',
        'membership processor time of a node',
        'membership_cpu_by_entries',
        '% of a core',
        'delta heartbeats',
    ),
    Row(
        'front',
        'one full reading of the VM list',
        'list_bytes_by_workers',
        'KiB',
        'read only when its version changed',
    ),
    Row(
        'home',
        'memory of running tasks',
        'home_memory_by_running',
        'KiB',
        'one domain a replica',
    ),
    Row(
        'home',
        'memory of queued jobs',
        'home_memory_by_queue',
        'KiB',
        'bounded queue',
    ),
    Row(
        'home',
        'processor time to decode the records of one second',
        'reader_cpu_by_records',
        'ms',
        'one stream a domain',
    ),
    Row(
        'log',
        'processor time to fold the live log after a start',
        'log_fold_by_records',
        'ms',
        'compaction',
    ),
    Row(
        'placer',
        'one tick by running tasks',
        'placer_tick_by_running',
        'us',
        'work by change, not by size',
    ),
    Row(
        'placer',
        'one tick by queued jobs',
        'placer_tick_by_queue',
        'us',
        'lanes of like jobs',
    ),
    Row(
        'placer',
        'one tick by teams',
        'placer_tick_by_teams',
        'us',
        'lanes of like jobs',
    ),
    Row(
        'placer',
        'decisions of one job by workers of a pool',
        'placer_job_by_workers',
        'us a job',
        'sharding by pool, then by rack group',
    ),
    Row(
        'placer',
        'renewals of one owner of every worker of a domain',
        'renewal_bytes_by_rate',
        'B/s',
        'one renewal a worker for all its tasks, paced by the pool',
    ),
    Row(
        'placer',
        'processor time of that owner, idle',
        'entry_cpu_by_workers',
        '% of a core',
        'long polls, sleeping core',
    ),
    Row(
        'placer',
        'memory of that owner, idle',
        'entry_rss_by_workers',
        'MiB',
        'one domain a replica',
    ),
    Row(
        'log writer',
        'records of one second',
        'writer_bytes_by_records',
        'KiB',
        'group commit',
    ),
    Row(
        'log writer',
        'processor time to encode them',
        'writer_cpu_by_records',
        'ms',
        'group commit',
    ),
    Row(
        'log writer',
        'appends of one writer',
        'writer_appends_by_rate',
        'appends/s',
        'group commit',
    ),
    Row(
        'log writer',
        'appends to drain an hour of outage at that rate',
        'writer_drain_by_backlog',
        'appends',
        'entries of up to 1,000 records',
    ),
    Row(
        'configuration reader',
        'processor time of one publication',
        'config_cpu_by_files',
        'ms',
        'only changed files are published',
    ),
    Row(
        'configuration reader',
        'bytes of one snapshot',
        'config_bytes_by_files',
        'KiB',
        'only changed files are published',
    ),
)

SLOPE_HEADER: Final = (
    'slope',
    'role',
    'by',
    'unit',
    'measured from',
    'to',
    'per unit',
    'at zero',
    'residual',
)
SIZE_HEADER: Final = (
    'role',
    'quantity',
    'unit',
    'by',
    'today',
    'planned',
    'measured to',
    'carried by',
)


def writer_appends(size: Size, slope: Slope) -> float:
    """Return the appends per second of one writer.

    The commit interval bounds them.
    """
    return min(slope.at(size.amount_of('records/s')), 1000 / COMMIT_MS)


def value_at(row: Row, slope: Slope, size: Size) -> float:
    """Return the value of a row at a size."""
    if row.slope == 'writer_appends_by_rate':
        return writer_appends(size, slope)
    if row.slope in PER_SECOND_SLOPES:
        return slope.at(size.amount_of('records/s'))
    return slope.at(size.amount_of(slope.x_unit))


PER_SECOND_SLOPES: Final = frozenset(
    (
        'writer_bytes_by_records',
        'writer_cpu_by_records',
        'reader_cpu_by_records',
    ),
)


def slope_table(slopes: dict[str, Slope]) -> list[tuple[str, ...]]:
    """Return a table line for each slope."""
    return [
        (
            name,
            slope.role,
            slope.x_unit,
            slope.y_unit,
            format_number(min(x for x, _ in slope.points)),
            format_number(slope.largest),
            format_number(slope.per_x),
            format_number(slope.at_zero),
            f'{100 * slope.residual:.1f}%',
        )
        for name, slope in slopes.items()
    ]


def size_table(slopes: dict[str, Slope]) -> list[tuple[str, ...]]:
    """Return a table line with the values at both sizes for each row."""
    return [
        (
            row.role,
            row.quantity,
            row.unit,
            slopes[row.slope].x_unit,
            format_number(value_at(row, slopes[row.slope], TODAY)),
            format_number(value_at(row, slopes[row.slope], PLANNED)),
            format_number(slopes[row.slope].largest),
            row.carried_by,
        )
        for row in ROWS
        if row.slope in slopes
    ]


def write_page(page: Path, slopes: dict[str, Slope]) -> None:
    """Replace both tables of a page."""
    text = page.read_text()
    text = replace_table(text, 'slopes', SLOPE_HEADER, slope_table(slopes))
    text = replace_table(text, 'sizes', SIZE_HEADER, size_table(slopes))
    page.write_text(text)


def replace_table(
    text: str,
    name: str,
    header: tuple[str, ...],
    lines: list[tuple[str, ...]],
) -> str:
    """Replace the text between the markers of a table by its lines."""
    begin, end = BEGIN.format(name=name), END.format(name=name)
    before, _, rest = text.partition(begin)
    _, _, after = rest.partition(end)
    rows = [header, tuple('---' for _ in header), *lines]
    table = '\n'.join('| ' + ' | '.join(row) + ' |' for row in rows)
    return f'{before}{begin}\n\n{table}\n\n{end}{after}'


def read_table(text: str, name: str) -> list[tuple[str, ...]]:
    """Return the lines of a table, starting with its header."""
    begin, end = BEGIN.format(name=name), END.format(name=name)
    inside = text.partition(begin)[2].partition(end)[0]
    lines = [line for line in inside.splitlines() if line.startswith('| ')]
    cells = [
        tuple(cell.strip() for cell in line.strip('|').split('|'))
        for line in lines
    ]
    return [row for row in cells if set(row[0]) != {'-'}]


def format_number(number: float) -> str:
    """Format a number with three significant digits and no exponent."""
    if number == 0:
        return '0'
    if abs(number) >= 100:
        return f'{number:,.0f}'
    return f'{number:.3g}' if abs(number) >= 0.001 else f'{number:.5f}'
