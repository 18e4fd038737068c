"""Test that the capacity page matches the script that writes its tables.

The page goes stale if a row or a column changes and the tables are not
written again.
"""

import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGE = ROOT / 'docs' / 'CAPACITY.md'


@pytest.fixture(scope='module')
def page_parts():
    sys.path.insert(0, str(ROOT / 'benchmarks'))
    import capacity_page
    import slope_fit

    sys.path.remove(str(ROOT / 'benchmarks'))
    return capacity_page, slope_fit


def test_page_names_what_the_script_measures(page_parts):
    capacity_page, _ = page_parts
    header, *lines = capacity_page.read_table(PAGE.read_text(), 'sizes')
    assert header == capacity_page.SIZE_HEADER
    expected = [
        (row.role, row.quantity, row.unit, row.carried_by)
        for row in capacity_page.ROWS
    ]
    assert [(*line[:3], line[-1]) for line in lines] == expected


def test_each_row_has_its_slope_in_the_same_unit(page_parts):
    capacity_page, _ = page_parts
    header, *lines = capacity_page.read_table(PAGE.read_text(), 'slopes')
    assert header == capacity_page.SLOPE_HEADER
    units = {line[0]: (line[1], line[3]) for line in lines}
    for row in capacity_page.ROWS:
        assert units[row.slope] == (row.role, row.unit)


def test_line_is_fitted_and_written_between_markers(page_parts, tmp_path):
    capacity_page, slope_fit = page_parts
    points = [(1, 3), (2, 5), (3, 7), (4, 9)]
    slope = slope_fit.fit('front', 'workers', 'KiB', points)
    assert (slope.per_x, slope.at_zero, slope.residual) == (2, 1, 0)
    assert slope.at(10) == 21
    bent = slope_fit.fit('front', 'workers', 'KiB', [*points, (5, 30)])
    assert bent.residual > 0.2
    page = tmp_path / 'page.md'
    markers = [
        marker.format(name=name)
        for name in ('slopes', 'sizes')
        for marker in (capacity_page.BEGIN, capacity_page.END)
    ]
    page.write_text('above\n' + '\n'.join(markers) + '\nbelow\n')
    capacity_page.write_page(page, {'list_bytes_by_workers': slope})
    capacity_page.write_page(page, {'list_bytes_by_workers': slope})
    (header, line) = capacity_page.read_table(page.read_text(), 'sizes')
    assert header == capacity_page.SIZE_HEADER
    assert line[4:6] == ('19', '393')
    assert page.read_text().endswith('\nbelow\n')


def test_every_slope_has_a_row_or_is_exempt(page_parts):
    capacity_page, _ = page_parts
    _, *lines = capacity_page.read_table(PAGE.read_text(), 'slopes')
    shown = {row.slope for row in capacity_page.ROWS}
    without_row = {line[0] for line in lines} - shown
    assert without_row <= {'placer_memory_by_workers'}
