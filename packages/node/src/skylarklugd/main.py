"""Command line entry point of a node."""

import argparse
import asyncio
import signal
import sys

from absl import logging

from skylarklug import exceptions
from skylarklugd import logs
from skylarklugd import runtime
from skylarklugd import settings

# Exit status if the settings cannot be read or are invalid.
EXIT_BAD_SETTINGS = 2
# Exit status if a listening address cannot be bound.
EXIT_ADDRESS_IN_USE = 4


def _parse_args(argv):
    parser = argparse.ArgumentParser(
        prog="skylarklugd", description="Runs one node of skylarklug."
    )
    parser.add_argument(
        "--settings", required=True, metavar="FILE", help="TOML settings"
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    return parser.parse_args(argv)


async def _run_node(cfg) -> int:
    node = runtime.Node(cfg)
    try:
        await node.start()
    except OSError as exc:
        logging.error("event=start step=listen reason=%r", str(exc))
        await node.kill()
        return EXIT_ADDRESS_IN_USE
    loop = asyncio.get_running_loop()
    stop_tasks = set()

    def request_stop():
        if not stop_tasks:
            stop_tasks.add(loop.create_task(node.stop()))

    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, request_stop)
    return await node.wait()


def main(argv=None) -> int:
    """Runs the node until it is stopped; returns the exit status."""
    args = _parse_args(argv)
    try:
        cfg = settings.load(args.settings)
    except* exceptions.SettingsError as group:
        for problem in group.exceptions:
            print(f"skylarklugd: {problem}", file=sys.stderr)
        error_status = EXIT_BAD_SETTINGS
    else:
        error_status = None
    if error_status is not None:
        return error_status
    if args.check:
        print(f"{args.settings}: valid")
        return 0
    logs.set_level(cfg["log_level"])
    return asyncio.run(_run_node(cfg))


if __name__ == "__main__":
    sys.exit(main())
