"""Runs a trace against a local deployment and reports the outcomes.

Usage: `python -m skylarklug_standins.run FILE`. The exit status is 0 if every
expected outcome holds, 1 if any does not, 2 if the settings or the trace are
invalid, in which case nothing is started, and 4 if the nodes do not become
ready.
"""

import argparse
import asyncio
import sys
import textwrap

import tabulate

from skylarklug import exceptions
from skylarklug_standins import deployment as deployment_lib
from skylarklug_standins import driver as driver_lib
from skylarklug_standins import outcomes
from skylarklug_standins import settings
from skylarklug_standins import trace

EXIT_DONE = 0
EXIT_NOT_MET = 1
EXIT_BAD_INPUT = 2
EXIT_UNAVAILABLE = 4
# Interrupted tasks whose placement is explained.
MAX_INTERRUPTED_TASKS = 4
# Rows of the task table that are printed.
MAX_TASK_ROWS = 60
TASK_COLUMNS = (
    "task",
    "state",
    "attempt",
    "worker",
    "evictions",
    "placement",
)
# Line width of the explanations, in characters.
EXPLANATION_WIDTH = 100
EXPLANATION_INDENT = {"initial_indent": "  ", "subsequent_indent": "    "}


def load(path):
    """Returns the validated settings and trace of a settings file.

    Raises:
        exceptions.SettingsError: See `settings.load` and `trace.read`.
    """
    cfg = settings.load(path)
    lines = trace.read(
        settings.trace_path(path, cfg),
        nodes=[node for node, _ in settings.node_locations(cfg)],
        workers=[worker for worker, _, _ in settings.worker_locations(cfg)],
        services=cfg["services"],
        teams=cfg["teams"],
    )
    return cfg, lines


def print_table(title: str, rows: list[dict]):
    """Prints rows as a table with a title."""
    print(f"\n{title}")
    print(tabulate.tabulate(rows, headers="keys", disable_numparse=True))


def print_outcomes(results: list[outcomes.Outcome]):
    """Prints a table of expected and observed outcomes."""
    rows = []
    for outcome in results:
        row = outcome._asdict()
        row["holds"] = "yes" if outcome.holds else "NO"
        rows.append(row)
    print_table("Stated and observed outcomes", rows)


def tasks_to_explain(lines, ledger) -> list[str]:
    """Returns interrupted tasks, followed by the first task of each job."""
    tasks = outcomes.all_tasks(lines)
    interrupted = [t for t in tasks if len(ledger.record(t).intervals) > 1]
    first_tasks = [
        trace.task_ids(line)[0] for line in lines if line["kind"] == "submit"
    ]
    return list(
        dict.fromkeys(interrupted[:MAX_INTERRUPTED_TASKS] + first_tasks)
    )


async def print_placement(driver, lines):
    """Prints the placement of tasks and its reasons, as a node reports them."""
    answer = await driver.command("tasks")
    rows = answer.get("rows") or []
    if rows:
        shown = [
            {name: row[name] for name in TASK_COLUMNS if name in row} or row
            for row in rows[:MAX_TASK_ROWS]
        ]
        print_table("Task placement", shown)
        print(f"{len(rows)} tasks")
    else:
        print(f"\nTask placement: {answer['status']} {answer.get('message')}")
    print("\nPlacement reasons")
    for task in tasks_to_explain(lines, driver.deployment.ledger):
        answer = await driver.command(f"why task {task}")
        rows = answer.get("rows")
        if not rows:
            print(f"{task}: {answer['status']} {answer.get('message', '')}")
            continue
        print(f"{task}:")
        for row in rows:
            fields = [f"{key}={value}" for key, value in row.items()]
            print(
                textwrap.fill(
                    " ".join(fields), EXPLANATION_WIDTH, **EXPLANATION_INDENT
                )
            )


def print_execution(lines, ledger):
    """Prints where interrupted tasks ran, as the workers recorded it."""
    rows = []
    for task in outcomes.all_tasks(lines):
        record = ledger.record(task)
        if len(record.intervals) < 2:
            continue
        attempts = [f"{i.attempt} on {i.worker}" for i in record.intervals]
        rows.append({"task": task, "attempts": ", ".join(attempts)})
    if rows:
        print_table(
            "Tasks with several attempts, as recorded by the workers", rows
        )


async def drive(cfg, lines, *, node_class=None, trace_dir="") -> int:
    """Runs the trace against a new deployment; returns the exit status."""
    deployment = deployment_lib.Deployment(
        cfg, node_class=node_class, trace_dir=trace_dir
    )
    await deployment.start()
    driver = driver_lib.Driver(deployment, lines)
    try:
        print(
            f"region {cfg['region']} seed {cfg['seed']}: "
            f"{len(deployment.nodes)} nodes, {len(deployment.workers)} workers"
        )
        try:
            await driver.run()
        except driver_lib.NotReadyError as exc:
            print(exc, file=sys.stderr)
            return EXIT_UNAVAILABLE
        results = driver.evaluate()
        await print_placement(driver, lines)
        print_execution(lines, deployment.ledger)
        print_table(
            "Responses", outcomes.response_rows(lines, driver.observations)
        )
        print_table("Jobs", outcomes.job_rows(lines, deployment.ledger))
        print_outcomes(results)
        for violation in deployment.violations():
            print(f"violation: {violation}")
    finally:
        driver.close()
        await deployment.stop(graceful=False)
    failed = [outcome for outcome in results if not outcome.holds]
    print(f"\n{len(results) - len(failed)} of {len(results)} outcomes hold")
    return EXIT_NOT_MET if failed else EXIT_DONE


def main(argv=None) -> int:
    """Parses the arguments and runs the trace; returns the exit status."""
    parser = argparse.ArgumentParser(prog="skylarklug_standins.run")
    parser.add_argument("file", help="settings file of the deployment")
    parser.add_argument(
        "--trace-dir",
        default="",
        help="directory for the traces that the nodes record",
    )
    args = parser.parse_args(argv)
    try:
        cfg, lines = load(args.file)
    except exceptions.SettingsError as exc:
        print(exc.reason, file=sys.stderr)
        return EXIT_BAD_INPUT
    return asyncio.run(drive(cfg, lines, trace_dir=args.trace_dir))


if __name__ == "__main__":
    sys.exit(main())
