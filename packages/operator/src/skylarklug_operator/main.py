"""The operator's command line."""

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

EXIT_CODES = {
    "done": 0,
    "not-met": 1,
    "bad-input": 2,
    "conflict": 3,
    "unavailable": 4,
    "not-allowed": 5,
}
DEFAULT_NODE = "127.0.0.1:7100"
DEFAULT_WATCH_INTERVAL_S = 2.0


def _parse(argv):
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
        help="seconds between two answers of watch",
    )
    parser.add_argument(
        "--times", type=int, default=0, help="stop watch after this many"
    )
    parser.add_argument(
        "--outcomes", default="", metavar="FILE", help="for replay"
    )
    parser.add_argument(
        "--to", default="", metavar="FILE", help="page to write, for report"
    )
    parser.add_argument(
        "command", nargs="*", help="a command; without one, a shell starts"
    )
    return parser.parse_args(argv)


def _job_of(path: str) -> dict:
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


def _message_of(text: str, args) -> dict:
    """Builds the message for one command; reads the job file of submit."""
    message = {
        "command": text,
        "key": args.key,
        "if_version": args.if_version,
        "dry_run": args.dry_run,
        "body": {},
    }
    statement = query.parse(text)
    if isinstance(statement, query.Submit):
        message["body"] = _job_of(statement.source)
        message["command"] = "submit -"
    if query.changes_state(statement) and not message["key"]:
        # A fresh key lets this call try another node without acting twice.
        message["key"] = uuid.uuid4().hex
    return message


def _execute(text: str, args, write=print) -> int:
    """Runs one command and prints the answer; returns the exit code."""
    try:
        statement = query.parse(text)
        if isinstance(statement, query.Watch):
            return _watch(statement, args, write)
        message = _message_of(text, args)
        answer = client.run(args.node or [DEFAULT_NODE], args.token, message)
    except exceptions.BadInput as exc:
        return _fail("bad-input", exc)
    except exceptions.SkylarklugError as exc:
        return _fail("unavailable", exc)
    write(render.render(answer, args.output))
    return EXIT_CODES.get(answer.status, EXIT_CODES["unavailable"])


def _fail(status, exc):
    print(f"skylarklug: {exc}", file=sys.stderr)
    return EXIT_CODES[status]


def _watch(statement, args, write):
    shown = 0
    code = 0
    while not args.times or shown < args.times:
        if shown:
            time.sleep(args.interval)
        code = _execute(statement.text, args, write)
        shown += 1
    return code


def _use_trace(args) -> int:
    """Runs `replay` or `report`; neither needs a node."""
    name, *traces = args.command
    if len(traces) != 1:
        raise exceptions.BadInput(f"{name} takes one trace", step=name)
    if name == "replay":
        return replay.run(traces[0], args.outcomes, args.output)
    if not args.to:
        raise exceptions.BadInput("report needs --to FILE", step=name)
    # Imported here because matplotlib takes longer to load than most
    # commands take to run.
    from skylarklug_operator import report

    return report.run(traces[0], args.to)


def main(argv=None) -> int:
    """Runs a command, a replay, a report or the shell; returns the code."""
    args = _parse(argv)
    if args.command[:1] in (["replay"], ["report"]):
        try:
            return _use_trace(args)
        except exceptions.BadInput as exc:
            return _fail("bad-input", exc)
    if not args.command:
        return shell.run(lambda text: _execute(text, args))
    try:
        return _execute(" ".join(args.command), args)
    except KeyboardInterrupt:
        return EXIT_CODES["done"]


if __name__ == "__main__":
    sys.exit(main())
