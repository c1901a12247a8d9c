"""The node binary."""

import argparse
import asyncio
import signal
import sys

from absl import logging

from skylarklug import exceptions
from skylarklugd import logs
from skylarklugd import runtime
from skylarklugd import settings

EXIT_BAD_SETTINGS = 2
EXIT_ADDRESS_IN_USE = 4


def _parse(argv):
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


async def _serve(cfg) -> int:
    node = runtime.Node(cfg)
    try:
        await node.start()
    except OSError as exc:
        logging.error("event=start step=listen reason=%r", str(exc))
        await node.kill()
        return EXIT_ADDRESS_IN_USE
    loop = asyncio.get_running_loop()
    stopping = set()

    def stop():
        if not stopping:
            stopping.add(loop.create_task(node.stop()))

    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop)
    return await node.wait()


def main(argv=None) -> int:
    """Runs the node until it is stopped; returns the exit status."""
    args = _parse(argv)
    try:
        cfg = settings.load(args.settings)
    except* exceptions.SettingsError as group:
        for problem in group.exceptions:
            print(f"skylarklugd: {problem}", file=sys.stderr)
        return_status = EXIT_BAD_SETTINGS
    else:
        return_status = None
    if return_status is not None:
        return return_status
    if args.check:
        print(f"{args.settings}: valid")
        return 0
    logs.set_level(cfg["log_level"])
    return asyncio.run(_serve(cfg))


if __name__ == "__main__":
    sys.exit(main())
