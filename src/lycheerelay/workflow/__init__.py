"""Schedule jobs of steps, without clocks, sockets or threads."""

from . import retention
from ._advice import Advice, advice_failed, apply_advice
from ._answers import (
    Answer,
    handle_start_answer,
    handle_stop_answer,
    stop_orphaned_runs,
)
from ._commands import (
    AskAdvice,
    Command,
    LogEvent,
    PaceRun,
    PollNow,
    StartRun,
    StopRun,
)
from ._dispatch import dispatch
from ._ends import RunEnd, RunOutcome
from ._instances import (
    WorkerListing,
    list_worker,
    remove_replaced_worker,
    unlist_worker,
)
from ._intake import VALUE_EXPIRY_FACTOR, cancel, submit
from ._periodic_checks import (
    run_periodic_checks,
)
from ._policies import Policies
from ._progress import encode_progress, is_final_record, restore_progress
from ._run_table import RunTable, RunTableRow, apply_run_table
from ._schedules import open_occurrences
from ._spec import (
    MAX_TASKS_PER_JOB,
    MAX_TASKS_PER_STEP,
    AdvicePolicy,
    QueuePolicy,
    RunKey,
    StepKey,
    StepSpec,
    TaskKey,
    WorkerKey,
    WorkflowSpec,
    find_forward_dependency,
    make_step_spec,
    objective_ms,
)
from ._state import (
    FINAL_PHASES,
    NEVER,
    CellState,
    JobInfo,
    JobPhase,
    RunState,
    StepInfo,
    WorkerInfo,
)
from ._wait_forecast import (
    PoolWaits,
    WaitPoint,
    lateness_ms,
    predict_waits,
    predicted_wait_ms,
)

__all__ = (  # noqa: WPS410
    'VALUE_EXPIRY_FACTOR',
    'MAX_TASKS_PER_JOB',
    'MAX_TASKS_PER_STEP',
    'find_forward_dependency',
    'make_step_spec',
    'StepInfo',
    'QueuePolicy',
    'FINAL_PHASES',
    'NEVER',
    'Advice',
    'AdvicePolicy',
    'Answer',
    'AskAdvice',
    'CellState',
    'Command',
    'RunEnd',
    'RunOutcome',
    'JobInfo',
    'JobPhase',
    'Policies',
    'PollNow',
    'LogEvent',
    'PaceRun',
    'RunTableRow',
    'RunKey',
    'RunState',
    'StartRun',
    'StepKey',
    'StepSpec',
    'StopRun',
    'RunTable',
    'TaskKey',
    'WaitPoint',
    'PoolWaits',
    'WorkerInfo',
    'WorkerKey',
    'WorkerListing',
    'WorkflowSpec',
    'advice_failed',
    'apply_advice',
    'apply_run_table',
    'remove_replaced_worker',
    'cancel',
    'dispatch',
    'encode_progress',
    'is_final_record',
    'list_worker',
    'objective_ms',
    'open_occurrences',
    'predict_waits',
    'predicted_wait_ms',
    'restore_progress',
    'retention',
    'handle_start_answer',
    'handle_stop_answer',
    'stop_orphaned_runs',
    'submit',
    'lateness_ms',
    'unlist_worker',
    'run_periodic_checks',
)
