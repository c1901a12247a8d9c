"""Runs a local deployment, drives its trace and states the outcome.

Usage: `python -m skylarklug_standins.run FILE`. Exit status 0 when every
stated outcome holds, 1 when one does not, 2 for mistakes in the settings or
the trace; nothing is started then.
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
WHY_TASKS = 4
TASK_ROWS = 60
TASK_COLUMNS = (
    "task",
    "state",
    "attempt",
    "worker",
    "evictions",
    "placement",
)
WHY_WIDTH = 100
WHY_INDENT = {"initial_indent": "  ", "subsequent_indent": "    "}


def load(path):
    """Returns the checked settings and trace of a settings file.

    Raises:
        exceptions.SettingsError: See `settings.load` and `trace.read`.
    """
    cfg = settings.load(path)
    lines = trace.read(
        settings.trace_path(path, cfg),
        nodes=[node for node, _ in settings.node_places(cfg)],
        workers=[worker for worker, _, _ in settings.worker_places(cfg)],
        services=cfg["services"],
        teams=cfg["teams"],
    )
    return cfg, lines


def print_table(title: str, rows: list[dict]):
    """Prints rows under a title."""
    print(f"\n{title}")
    print(tabulate.tabulate(rows, headers="keys", disable_numparse=True))


def print_outcomes(judged: list[outcomes.Outcome]):
    """Prints stated against observed outcomes."""
    rows = []
    for outcome in judged:
        row = outcome._asdict()
        row["holds"] = "yes" if outcome.holds else "NO"
        rows.append(row)
    print_table("Stated against observed outcomes", rows)


def chosen_tasks(lines, ledger) -> list[str]:
    """Returns tasks to explain: interrupted ones first, then one per job."""
    tasks = outcomes.all_tasks(lines)
    moved = [t for t in tasks if len(ledger.record(t).intervals) > 1]
    firsts = [
        trace.task_ids(line)[0] for line in lines if line["kind"] == "submit"
    ]
    return list(dict.fromkeys(moved[:WHY_TASKS] + firsts))


async def print_placement(driver, lines):
    """Prints what ran where and why, as a node tells it."""
    answer = await driver.command("tasks")
    rows = answer.get("rows") or []
    if rows:
        shown = [
            {name: row[name] for name in TASK_COLUMNS if name in row} or row
            for row in rows[:TASK_ROWS]
        ]
        print_table("What ran where and why", shown)
        print(f"{len(rows)} tasks")
    else:
        print(f"\nWhat ran where: {answer['status']} {answer.get('message')}")
    print("\nWhy")
    for task in chosen_tasks(lines, driver.deployment.ledger):
        answer = await driver.command(f"why task {task}")
        rows = answer.get("rows")
        if not rows:
            print(f"{task}: {answer['status']} {answer.get('message', '')}")
            continue
        print(f"{task}:")
        for row in rows:
            fields = [f"{key}={value}" for key, value in row.items()]
            print(textwrap.fill(" ".join(fields), WHY_WIDTH, **WHY_INDENT))


def print_execution(lines, ledger):
    """Prints where the workers themselves ran interrupted tasks."""
    rows = []
    for task in outcomes.all_tasks(lines):
        record = ledger.record(task)
        if len(record.intervals) < 2:
            continue
        places = [f"{i.attempt} on {i.worker}" for i in record.intervals]
        rows.append({"task": task, "attempts": ", ".join(places)})
    if rows:
        print_table("Tasks with several attempts, as workers saw them", rows)


async def drive(cfg, lines, *, node_class=None, trace_dir="") -> int:
    """Starts the deployment, drives the trace; returns the exit status."""
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
        except driver_lib.NotReady as exc:
            print(exc, file=sys.stderr)
            return EXIT_UNAVAILABLE
        judged = driver.judge()
        await print_placement(driver, lines)
        print_execution(lines, deployment.ledger)
        print_table("Responses", outcomes.response_rows(lines, driver.seen))
        print_table("Jobs", outcomes.job_rows(lines, deployment.ledger))
        print_outcomes(judged)
        for violation in deployment.violations():
            print(f"violation: {violation}")
    finally:
        driver.close()
        await deployment.stop(graceful=False)
    failed = [outcome for outcome in judged if not outcome.holds]
    print(f"\n{len(judged) - len(failed)} of {len(judged)} outcomes hold")
    return EXIT_NOT_MET if failed else EXIT_DONE


def main(argv=None) -> int:
    """Entry point; returns the exit status."""
    parser = argparse.ArgumentParser(prog="skylarklug_standins.run")
    parser.add_argument("file", help="settings file of the deployment")
    parser.add_argument(
        "--trace-dir", default="", help="directory for the nodes' traces"
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
