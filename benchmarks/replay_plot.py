"""Draw the shares of jobs in time and late as an SVG bar chart."""

from collections.abc import Iterator
from typing import Final, NamedTuple
from xml.sax.saxutils import escape

WIDTH: Final = 900
LABEL_WIDTH: Final = 330
ROW_HEIGHT: Final = 18
GROUP_GAP: Final = 10
IN_TIME_COLOR: Final = '#2f6f9f'
LATE_COLOR: Final = '#d9a441'


class Bar(NamedTuple):
    """Hold the label of a bar and its two shares, each between 0 and 1."""

    group: str
    label: str
    in_time: float
    late: float


def draw_bars(bars: list[Bar]) -> str:
    """Return an SVG image with one bar per line, grouped."""
    groups: dict[str, list[Bar]] = {}
    for bar in bars:
        groups.setdefault(bar.group, []).append(bar)
    lines = list(_bar_elements(groups))
    height = (
        sum(ROW_HEIGHT * len(group) + GROUP_GAP for group in groups.values())
        + ROW_HEIGHT * 2
    )
    return '\n'.join(
        [
            f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
            f'height="{height}" font-family="sans-serif" font-size="12">',
            '<rect width="100%" height="100%" fill="white"/>',
            f'<text x="4" y="14" fill="{IN_TIME_COLOR}">in time</text>',
            f'<text x="60" y="14" fill="{LATE_COLOR}">late</text>',
            *lines,
            '</svg>',
            '',
        ],
    )


def _bar_elements(groups: dict[str, list[Bar]]) -> Iterator[str]:
    top = ROW_HEIGHT * 2
    scale = WIDTH - LABEL_WIDTH - 60
    for group, bars in groups.items():
        for bar in bars:
            first, second = bar.in_time * scale, bar.late * scale
            middle = top + ROW_HEIGHT - 6
            text = escape(f'{group}, {bar.label}')
            yield f'<text x="4" y="{middle}">{text}</text>'
            yield _rect(LABEL_WIDTH, top, first, IN_TIME_COLOR)
            yield _rect(LABEL_WIDTH + first, top, second, LATE_COLOR)
            right = LABEL_WIDTH + first + second + 4
            yield f'<text x="{right:.0f}" y="{middle}">{bar.in_time:.3f}</text>'
            top += ROW_HEIGHT
        top += GROUP_GAP


def _rect(left: float, top: float, width: float, color: str) -> str:
    return (
        f'<rect x="{left:.1f}" y="{top}" width="{width:.1f}" '
        f'height="{ROW_HEIGHT - 4}" fill="{color}"/>'
    )
