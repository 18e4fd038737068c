"""Build the policy from the merged files of an operators' folder."""

import re
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Final, NamedTuple, cast

from result import Err, Ok, Result

from ._fit import FITS
from ._folder_files import (
    FolderFile,
    Setting,
    check_sizes,
    merge_files,
)
from ._jobs import Kind
from ._options import (
    OptionError,
    OptionErrors,
    field_types,
    read_option,
    shorten,
    suggest_name,
)
from ._order import ORDERS
from ._policy import (
    Limits,
    Policy,
    PoolPolicy,
    ServicePolicy,
    TeamPolicy,
    WorkloadPolicy,
)
from ._registry import Registry

NAME: Final = re.compile(r'[A-Za-z0-9][A-Za-z0-9_-]{0,62}')
NAME_TEXT: Final = 'a name of at most 63 letters, digits, "-" and "_"'
LIMITS_SECTION: Final = 'limits'


class SectionKind(NamedTuple):
    """Describe a kind of section by the policy tuples that it fills.

    `fixed` holds fields whose values follow from the kind.
    """

    policy_types: tuple[Any, ...]
    fixed: dict[str, object]


class Part(NamedTuple):
    """Hold one entry of the policy and the section that describes it."""

    entry: Any
    section: str
    settings: dict[str, Setting]

    def error(self, option: str, expected: str) -> OptionError:
        """Return an error about an option of this section."""
        setting = self.settings.get(option) or first_setting(self.settings)
        shown = shorten(setting.text) if option in self.settings else 'nothing'
        return OptionError(setting.file, self.section, option, shown, expected)


SECTION_KINDS: Final = {
    'team': SectionKind((TeamPolicy,), {}),
    'pool': SectionKind((PoolPolicy,), {}),
    'batch': SectionKind((WorkloadPolicy,), {'kind': Kind.BATCH.value}),
    'gang': SectionKind((WorkloadPolicy,), {'kind': Kind.GANG.value}),
    'service': SectionKind(
        (WorkloadPolicy, ServicePolicy),
        {'kind': Kind.SERVICE.value},
    ),
}

CrossCheck = Callable[[list[Part]], Iterator[OptionError]]
CROSS_CHECKS: Final[Registry[str, CrossCheck]] = Registry('folder check')


def build_policy(
    files: Iterable[FolderFile],
    version: int = 0,
) -> Result[Policy, OptionErrors]:
    """Merge and check the files; return the policy or every error."""
    all_files = tuple(files)
    sections, errors = merge_files(all_files)
    errors.extend(check_sizes(all_files))
    parts: list[Part] = []
    for section, settings in sections.items():
        read = _read_section(section, settings)
        if isinstance(read, Err):
            errors.extend(read.err_value)
        else:
            parts.extend(read.ok_value)
    if not errors:
        for name in CROSS_CHECKS:
            errors.extend(CROSS_CHECKS[name](parts))
    return Err(tuple(errors)) if errors else Ok(_policy(parts, version))


def first_setting(settings: dict[str, Setting]) -> Setting:
    """Return the first setting of a section, which names its file."""
    return next(iter(settings.values()))


def _read_section(
    section: str,
    settings: dict[str, Setting],
) -> Result[list[Part], list[OptionError]]:
    file = first_setting(settings).file
    if section == LIMITS_SECTION:
        return _read_entries(section, settings, SectionKind((Limits,), {}))
    kind_name, _, name = section.partition(' ')
    kind = SECTION_KINDS.get(kind_name)
    if kind is None:
        known = (LIMITS_SECTION, *SECTION_KINDS)
        expected = f'as its first word {suggest_name(kind_name, known)}'
        return Err([OptionError(file, section, '', kind_name, expected)])
    name = name.strip()
    if not NAME.fullmatch(name):
        shown = shorten(name)
        return Err([OptionError(file, section, '', shown, NAME_TEXT)])
    fixed = {**kind.fixed, 'name': name, 'workload': name}
    return _read_entries(section, settings, kind._replace(fixed=fixed))


def _read_entries(
    section: str,
    settings: dict[str, Setting],
    kind: SectionKind,
) -> Result[list[Part], list[OptionError]]:
    fields, errors = _read_settings(section, settings, kind)
    parts = []
    for policy in kind.policy_types:
        if policy is ServicePolicy and 'replicas' not in fields:
            continue
        own = {name: fields[name] for name in policy._fields if name in fields}
        missing = set(policy._fields) - set(own) - set(policy._field_defaults)
        file = first_setting(settings).file
        errors.extend(
            OptionError(file, section, name, 'nothing', 'a value')
            for name in sorted(missing - set(settings))
        )
        if not missing:
            parts.append(Part(policy(**own), section, settings))
    return Err(errors) if errors else Ok(parts)


def _read_settings(
    section: str,
    settings: dict[str, Setting],
    kind: SectionKind,
) -> tuple[dict[str, object], list[OptionError]]:
    types: dict[str, Any] = {}
    for policy in kind.policy_types:
        types.update(field_types(policy))
    known = set(types) - set(kind.fixed)
    fields: dict[str, object] = dict(kind.fixed)
    errors = []
    for option, setting in settings.items():
        if not option:
            continue
        if option in known:
            read = read_option(types[option], option, setting.text)
            shown = shorten(setting.text)
        else:
            read = Err(suggest_name(option, known))
            shown = 'an unknown option'
        if isinstance(read, Err):
            expected = read.err_value
            errors.append(
                OptionError(setting.file, section, option, shown, expected),
            )
        else:
            fields[option] = read.ok_value
    return fields, errors


def _policy(parts: list[Part], version: int) -> Policy:
    limits = _entries(parts, Limits)
    return Policy(
        version=version,
        teams=tuple(_entries(parts, TeamPolicy)),
        workloads=tuple(_entries(parts, WorkloadPolicy)),
        services=tuple(_entries(parts, ServicePolicy)),
        limits=limits[0] if limits else Limits(),
        pools=tuple(_entries(parts, PoolPolicy)),
    )


def _entries(parts: list[Part], kind: type) -> list[Any]:
    return [part.entry for part in parts if isinstance(part.entry, kind)]


def _names(parts: list[Part], kind: type) -> set[str]:
    return {entry.name for entry in _entries(parts, kind)}


def _parts(parts: list[Part], kind: type) -> Iterator[Part]:
    return (part for part in parts if isinstance(part.entry, kind))


@CROSS_CHECKS.register('pools')
def check_pools(parts: list[Part]) -> Iterator[OptionError]:
    """Check that every workload names a pool that has a section."""
    known = _names(parts, PoolPolicy)
    for part in _parts(parts, WorkloadPolicy):
        if part.entry.pool not in known:
            expected = f'a [pool NAME] section; {suggest_name("", known)}'
            if known:
                expected = f'a pool: {suggest_name(part.entry.pool, known)}'
            yield part.error('pool', expected)


@CROSS_CHECKS.register('teams')
def check_teams(parts: list[Part]) -> Iterator[OptionError]:
    """Check that every service names a team that has a section."""
    known = _names(parts, TeamPolicy)
    for part in _parts(parts, ServicePolicy):
        if part.entry.team not in known:
            near = suggest_name(part.entry.team, known)
            yield part.error('team', f'a team: {near}')


@CROSS_CHECKS.register('policies')
def check_policies(parts: list[Part]) -> Iterator[OptionError]:
    """Check that the options `fit` and `order` name registered policies."""
    registered = {'fit': tuple(FITS), 'order': tuple(ORDERS)}
    for part in parts:
        for option, known in registered.items():
            chosen = getattr(part.entry, option, None)
            if chosen is not None and chosen not in known:
                yield part.error(option, suggest_name(chosen, known))


@CROSS_CHECKS.register('bounds')
def check_bounds(parts: list[Part]) -> Iterator[OptionError]:
    """Check that the first delay of a retry is at most the longest."""
    for part in _parts(parts, Limits):
        if part.entry.retry_base_ms > part.entry.retry_max_ms:
            expected = f'at most retry_max_ms, {part.entry.retry_max_ms}'
            yield part.error('retry_base_ms', expected)


@CROSS_CHECKS.register('workloads')
def check_workloads(parts: list[Part]) -> Iterator[OptionError]:
    """Check that each workload is described by one kind of section."""
    seen: dict[str, str] = {}
    for part in _parts(parts, WorkloadPolicy):
        other = seen.setdefault(part.entry.name, part.section)
        if other != part.section:
            yield part.error('', f'a name that [{other}] does not use')


@CROSS_CHECKS.register('shapes')
def check_shapes(parts: list[Part]) -> Iterator[OptionError]:
    """Check that a replica of each service fits a worker of its pool."""
    pools = {entry.name: entry for entry in _entries(parts, PoolPolicy)}
    pool_names = {
        entry.name: entry.pool for entry in _entries(parts, WorkloadPolicy)
    }
    for part in _parts(parts, ServicePolicy):
        pool = pools.get(pool_names.get(part.entry.workload, ''))
        for amount in ('cores_milli', 'memory_mb', 'accelerators'):
            limit = cast(int, getattr(pool, amount, 0))
            if limit and getattr(part.entry, amount) > limit:
                expected = f'at most {limit}, the capacity of a worker'
                yield part.error(amount, f'{expected} of its pool')
