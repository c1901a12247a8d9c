"""Entry point of the `skylarklug` command."""

import argparse
import json
import os
import pathlib
import sys
import time
import uuid

from skylarklug import exceptions
from skylarklug import query
from skylarklug_operator import client
from skylarklug_operator import render
from skylarklug_operator import replay
from skylarklug_operator import shell

# Exit code for each status of an answer.
EXIT_CODES = {
    "done": 0,
    "not-met": 1,
    "bad-input": 2,
    "conflict": 3,
    "unavailable": 4,
    "not-allowed": 5,
}
# Operator address that is used without --node.
DEFAULT_NODE = "127.0.0.1:7100"
# Pause between two answers of `watch` without --interval.
DEFAULT_WATCH_INTERVAL_S = 2.0


def _parse_args(argv):
    parser = argparse.ArgumentParser(
        prog="skylarklug",
        description="Queries and commands a skylarklug deployment.",
        epilog=query.HELP,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--node",
        action="append",
        metavar="HOST:PORT",
        help=f"a node's operator address; may repeat ({DEFAULT_NODE})",
    )
    parser.add_argument(
        "--token",
        default=os.environ.get("SKYLARKLUG_TOKEN", ""),
        help="credential (default: environment SKYLARKLUG_TOKEN)",
    )
    parser.add_argument("--output", choices=("table", "json"), default="table")
    parser.add_argument(
        "--key", default="", help="idempotency key; also names a new job"
    )
    parser.add_argument("--if-version", type=int, default=0, metavar="N")
    parser.add_argument("--dry-run", action="store_true")
    parser.add_argument(
        "--interval",
        type=float,
        default=DEFAULT_WATCH_INTERVAL_S,
        help="seconds between two runs of a watched command",
    )
    parser.add_argument(
        "--times",
        type=int,
        default=0,
        help="number of runs of a watched command (default: no limit)",
    )
    parser.add_argument(
        "--outcomes",
        default="",
        metavar="FILE",
        help="expected outcomes, for replay",
    )
    parser.add_argument(
        "--to",
        default="",
        metavar="FILE",
        help="HTML page to write, for report",
    )
    parser.add_argument(
        "command", nargs="*", help="a command; without one, a shell starts"
    )
    return parser.parse_args(argv)


def _read_job(path: str) -> dict:
    """Reads a job specification in JSON.

    Raises:
        BadInput: The file cannot be read or holds no JSON object.
    """
    try:
        spec = json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as exc:
        raise exceptions.BadInput(f"{path}: {exc}", step="read job") from exc
    if not isinstance(spec, dict):
        raise exceptions.BadInput(
            f"{path}: a job is a JSON object", step="read job"
        )
    return spec


def _build_message(text: str, args) -> dict:
    """Builds the message of a command; reads the job file of `submit`."""
    message = {
        "command": text,
        "key": args.key,
        "if_version": args.if_version,
        "dry_run": args.dry_run,
        "body": {},
    }
    statement = query.parse(text)
    if isinstance(statement, query.Submit):
        message["body"] = _read_job(statement.source)
        message["command"] = "submit -"
    if query.changes_state(statement) and not message["key"]:
        # With a key, the client can retry on another node, and the command
        # still takes effect only once.
        message["key"] = uuid.uuid4().hex
    return message


def _run_command(text: str, args, write=print) -> int:
    """Runs one command and writes its answer; returns the exit code."""
    try:
        statement = query.parse(text)
        if isinstance(statement, query.Watch):
            return _watch(statement, args, write)
        message = _build_message(text, args)
        answer = client.run(args.node or [DEFAULT_NODE], args.token, message)
    except exceptions.BadInput as exc:
        return _print_error("bad-input", exc)
    except exceptions.SkylarklugError as exc:
        return _print_error("unavailable", exc)
    write(render.render(answer, args.output))
    return EXIT_CODES.get(answer.status, EXIT_CODES["unavailable"])


def _print_error(status, exc):
    print(f"skylarklug: {exc}", file=sys.stderr)
    return EXIT_CODES[status]


def _watch(statement, args, write):
    shown = 0
    code = 0
    while not args.times or shown < args.times:
        if shown:
            time.sleep(args.interval)
        code = _run_command(statement.text, args, write)
        shown += 1
    return code


def _run_trace_command(args) -> int:
    """Runs `replay` or `report`, which read a trace and contact no node."""
    name, *traces = args.command
    if len(traces) != 1:
        raise exceptions.BadInput(f"{name} takes exactly one trace", step=name)
    if name == "replay":
        return replay.run(traces[0], args.outcomes, args.output)
    if not args.to:
        raise exceptions.BadInput("report needs --to FILE", step=name)
    # Imported here because matplotlib takes longer to load than most
    # commands take to run.
    from skylarklug_operator import report

    return report.run(traces[0], args.to)


def main(argv=None) -> int:
    """Runs a command, or the shell without one; returns the exit code."""
    args = _parse_args(argv)
    if args.command[:1] in (["replay"], ["report"]):
        try:
            return _run_trace_command(args)
        except exceptions.BadInput as exc:
            return _print_error("bad-input", exc)
    if not args.command:
        return shell.run(lambda text: _run_command(text, args))
    try:
        return _run_command(" ".join(args.command), args)
    except KeyboardInterrupt:
        return EXIT_CODES["done"]


if __name__ == "__main__":
    sys.exit(main())
