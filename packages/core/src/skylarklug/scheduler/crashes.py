"""Finds tasks that crash the workers that start them.

Load pattern: a task crashes each worker that starts it, and with it all runs
beside it, which then wait together for a new start. The workers come back, so
nothing but the number of lost runs tells such a task from the others.

A run that was lost soon after its start counts against its task. The next run
of that task is a trial: nothing else starts on its worker until the run has
outlasted the time in which it could have been the cause. A task whose runs keep
crashing workers is given up. Over the life of a long-running task, workers also
crash for other causes, so its crashes count only until a run has outlasted
them.

Only the end of a worker's process under a run that the worker had confirmed is
a reason to give a task up. A worker that is silent may run on, and one that
never confirmed a start may have ended before it began the task. Such losses
delay the next start of the task, for longer each time.

Nor does the loss of a worker count that was lost together with others, as
`outages` tells.
"""

from skylarklug.scheduler import outages
from skylarklug.scheduler import records

# A run that a worker has reported for this long has passed its trial.
TRIAL_MS = 500
# A run that a worker has reported for this long is hardly the cause of a crash.
MAX_CRASH_AGE_MS = 10_000
# A run that a worker has reported for this long is not the cause of a crash,
# and proves that earlier crashes were not caused by its task.
FORGET_CRASHES_MS = 60_000
# A task is given up after this many proven crashes right after a start that the
# worker had confirmed.
MAX_TRIAL_CRASHES = 2
# A task is given up after this many proven crashes within `MAX_CRASH_AGE_MS`.
MAX_CRASHES = 3
# A task is given up after this many proven crashes within `FORGET_CRASHES_MS`.
# The platform allows two further starts after three workers have crashed.
MAX_LATE_CRASHES = 5
# Delay of the next start of a task after two losses that do not prove that it
# has crashed a worker. Each further one doubles the delay.
UNCERTAIN_RETRY_MS = 250
MAX_UNCERTAIN_RETRY_MS = 60_000
# A worker may have crashed after this many failed polls in a row.
POLLS_UNTIL_SUSPECTED = 2
# If more than this share of the workers is silent at once, the links of the
# leader are the likely cause, and crashes are recorded only once runs are lost.
MAX_SILENT_SHARE = 0.25
# Maximum share of the workers that have a trial at once.
MAX_TRIAL_SHARE = 0.5


def _is_prompt(crash) -> bool:
    """Returns whether a worker has ended right after the start of a run."""
    return (
        crash.survived_ms < TRIAL_MS
        and 0 <= crash.ended_ms < TRIAL_MS + outages.NOTICE_MS
    )


def is_suspect(task) -> bool:
    """Returns whether the next run of the task is a trial."""
    if not task.crashes:
        return False
    return any(_is_prompt(c) and not c.shared for c in task.crashes.values())


def _is_proof(crash) -> bool:
    """Returns whether a worker has crashed under a run, perhaps due to it."""
    return crash.proven and crash.survived_ms >= 0 and not crash.shared


def is_exhausted(task) -> bool:
    """Returns whether a task has crashed too many workers to start again."""
    proofs = [crash for crash in task.crashes.values() if _is_proof(crash)]
    if len(proofs) >= MAX_LATE_CRASHES:
        return True
    recent = [c for c in proofs if c.survived_ms < MAX_CRASH_AGE_MS]
    if len(recent) >= MAX_CRASHES:
        return True
    prompt = [crash for crash in recent if _is_prompt(crash)]
    return len(prompt) >= MAX_TRIAL_CRASHES


def restart_delay_ms(task) -> int:
    """Returns how long a task that was lost with its worker has to wait."""
    uncertain = 0
    for crash in task.crashes.values():
        if not _is_proof(crash) and not crash.shared:
            uncertain += 1
    if uncertain < 2:
        return 0
    doublings = min(uncertain - 2, 16)
    return min(MAX_UNCERTAIN_RETRY_MS, UNCERTAIN_RETRY_MS << doublings)


def describe(task) -> str:
    """Returns which workers the task has crashed, for the log."""
    proofs = [crash for crash in task.crashes.values() if _is_proof(crash)]
    names = sorted({crash.worker for crash in proofs})
    return f"task {task.key} crashed workers {', '.join(names)}"


# ------------------------------------------------------------------- records


def likely_crashed(state) -> list:
    """Returns the workers that have runs and may have crashed.

    There are none while so many are silent that the leader's links are the
    likely cause.
    """
    workers = state.leader.workers
    silent = []
    for worker in workers.values():
        if not worker.runs or not worker.failed_polls:
            continue
        # Two polls fail within a second if its host refuses connections.
        if (
            worker.failed_polls >= POLLS_UNTIL_SUSPECTED
            or not worker.is_responsive(state.now)
        ):
            silent.append(worker)
    if len(silent) > max(1, MAX_SILENT_SHARE * len(workers)):
        return []
    return silent


def record_runs(state, worker, lost, proven) -> list:
    """Records a crash under each run that may have caused it.

    Called as soon as a worker is silent, so that the next leader knows of it. A
    worker that has only been silent takes the records back when it answers.

    Args:
        state: State of the node, which leads.
        worker: The worker that may have crashed.
        lost: Whether its runs are lost; otherwise it may still answer.
        proven: Whether it has crashed.

    Returns:
        The jobs whose rows must be saved.
    """
    leader = state.leader
    if worker.entry.draining or worker.cordoned:
        # It ends as planned.
        return []
    outage = leader.outages.get((worker.name, worker.incarnation))
    beside = outages.jobs_beside(leader, outage)
    max_age_ms = FORGET_CRASHES_MS if lost else MAX_CRASH_AGE_MS
    changed = []
    for task in worker.runs.values():
        if task.job.state in records.FINAL_STATES:
            continue
        if task.key in leader.unsent_starts:
            continue
        if task.attempt in task.crashes:
            if lost and _update_record(task, worker, outage, beside):
                changed.append(_changed_job(task))
            continue
        survived = task.survived_ms() if task.running_since else -1
        if task.adopted:
            # A worker that a start has crashed does not list its run.
            survived = max(survived, TRIAL_MS)
        if survived >= max_age_ms:
            continue
        task.crashes[task.attempt] = records.Crash(
            worker.name,
            worker.incarnation,
            worker.entry.address,
            survived,
            proven,
            _ended_ms(task, outage),
            outages.is_shared(beside, task.key.job),
        )
        watch(leader, task)
        changed.append(_changed_job(task))
    return changed


def _ended_ms(task, outage) -> int:
    """Returns when a run had certainly ended, in ms after its start, or -1."""
    if outage is None or not outage.ended_at:
        return -1
    return max(0, outage.ended_at - outages.run_began_at(task))


def _update_record(task, worker, outage, beside) -> bool:
    """Updates the record of the current run; returns whether it has changed.

    More may be known of its worker, and of others that were lost.
    """
    crash = task.crashes[task.attempt]
    if outage is None or crash.incarnation != worker.incarnation:
        return False
    updated = crash._replace(
        ended_ms=_ended_ms(task, outage),
        shared=outages.is_shared(beside, task.key.job),
    )
    task.crashes[task.attempt] = updated
    return updated != crash


def watch(leader, task):
    """Watches for answers of the workers that a task may have crashed."""
    for crash in task.crashes.values():
        tasks = leader.unproven_crashes.setdefault(crash.worker, {})
        tasks[task.key] = task


def take_back(leader, worker) -> list:
    """Removes the crash records of a worker that answers.

    Records of an earlier incarnation are proven: that one has ended.

    Returns:
        The jobs whose rows must be saved.
    """
    leader.outages.pop((worker.name, worker.incarnation), None)
    changed = []
    for task, attempt, crash in _pop_unproven(leader, worker):
        if crash.incarnation == worker.incarnation:
            del task.crashes[attempt]
        else:
            task.crashes[attempt] = crash._replace(proven=True)
        changed.append(_changed_job(task))
    return changed


def prove(leader, worker) -> list:
    """Marks the crashes of a worker whose process has ended as proven.

    Returns:
        The jobs whose rows must be saved.
    """
    changed = []
    for task, attempt, crash in _pop_unproven(leader, worker):
        task.crashes[attempt] = crash._replace(proven=True)
        changed.append(_changed_job(task))
    return changed


def prove_at_address(leader, worker) -> list:
    """Marks the crashes of workers that had the address of this one as proven.

    Called when a worker first answers: the former worker at its address has
    ended.

    Returns:
        The jobs whose rows must be saved.
    """
    changed = []
    for name, tasks in list(leader.unproven_crashes.items()):
        if name == worker.name:
            continue
        for task, attempt, crash in _find_unproven(name, tasks):
            if crash.address != worker.entry.address:
                continue
            if crash.incarnation >= worker.incarnation:
                continue
            task.crashes[attempt] = crash._replace(proven=True)
            changed.append(_changed_job(task))
    return changed


def _pop_unproven(leader, worker):
    """Returns (task, attempt, crash) of a worker's crashes, watched no more."""
    tasks = leader.unproven_crashes.pop(worker.name, {})
    return _find_unproven(worker.name, tasks)


def _find_unproven(name, tasks):
    """Returns (task, attempt, crash) of a worker's crashes under some tasks."""
    found = []
    for task in tasks.values():
        if task.key not in task.job.tasks:
            continue
        for attempt, crash in task.crashes.items():
            if crash.worker == name and not crash.proven:
                found.append((task, attempt, crash))
    return found


def forget(task) -> list:
    """Removes the crash records of a task whose run has lasted.

    Returns:
        The jobs whose rows must be saved.
    """
    if not task.crashes or task.survived_ms() < FORGET_CRASHES_MS:
        return []
    task.crashes.clear()
    return [_changed_job(task)]


def forget_outlasted(task) -> list:
    """Removes the crash records that a run has outlasted, if the task lasts.

    Called when a run has ended and its worker goes on.

    Returns:
        The jobs whose rows must be saved.
    """
    if not task.step.runs_until_cancelled:
        return []
    # An end may be reported long after it.
    lasted_ms = task.survived_ms()
    outlasted = []
    for attempt, crash in task.crashes.items():
        crashed_ms = max(crash.survived_ms, crash.ended_ms, MAX_CRASH_AGE_MS)
        if crashed_ms <= lasted_ms:
            outlasted.append(attempt)
    for attempt in outlasted:
        del task.crashes[attempt]
    return [_changed_job(task)] if outlasted else []


def _changed_job(task):
    job = task.job
    if task.crashes:
        job.crashes[task.key] = task.crashes
    else:
        job.crashes.pop(task.key, None)
    job.crash_changes += 1
    return job


# -------------------------------------------------------------------- trials


def trial_risk(task, worker) -> tuple[bool, int]:
    """Returns a sort key, lowest best, of the workers for a task's next run.

    The runs on the worker are lost if it crashes. Two crashes at one address
    may be the fault of what is there.
    """
    if not is_suspect(task):
        return False, 0
    repeated = False
    for crash in task.crashes.values():
        if crash.address == worker.entry.address:
            repeated = True
    return repeated, len(worker.runs)


def update_trials(state):
    """Updates which workers have a trial, and how many more may get one."""
    leader = state.leader
    leader.trial_workers = set()
    for key, task in list(leader.trials.items()):
        if not task.worker or task.survived_ms() >= TRIAL_MS:
            del leader.trials[key]
            continue
        leader.trial_workers.add(task.worker)
    usable = 0
    on_trial = 0
    for worker in leader.workers.values():
        if not worker.listed or not worker.is_responsive(state.now):
            continue
        usable += 1
        if worker.name in leader.trial_workers:
            on_trial += 1
    leader.free_trials = max(1, int(MAX_TRIAL_SHARE * usable)) - on_trial


def may_start(leader, task) -> bool:
    """Returns whether the task's earlier crashes allow a start now.

    The next leader must know of the crashes first, and a trial needs a worker
    that can be kept free of other starts.
    """
    if not task.crashes:
        return True
    job = task.job
    if job.crash_changes_saved < job.crash_changes or is_exhausted(task):
        return False
    return not is_suspect(task) or leader.free_trials > 0


def begin_trial(leader, task):
    """Keeps the worker of a suspect free of other starts for a while."""
    if is_suspect(task):
        leader.trials[task.key] = task
        leader.trial_workers.add(task.worker)
        leader.free_trials -= 1
