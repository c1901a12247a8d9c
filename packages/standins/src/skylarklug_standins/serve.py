"""Keeps a local deployment up until SIGINT or SIGTERM.

Usage: `python -m skylarklug_standins.serve FILE`. Exit status 2 for mistakes
in the settings; nothing is started then.
"""

import argparse
import asyncio
import signal
import sys

import tabulate

from skylarklug import exceptions
from skylarklug_standins import deployment as deployment_lib
from skylarklug_standins import run


def print_addresses(deployment: deployment_lib.Deployment):
    """Prints where to reach the nodes and the stand-ins."""
    rows = [
        {
            "node": node,
            "callers": f"http://{ports.caller.address}",
            "operators": ports.operator.address,
        }
        for node, ports in deployment.ports.items()
    ]
    print(tabulate.tabulate(rows, headers="keys"))
    print(f"\ntable         {deployment.table.url}")
    print(f"object store  {deployment.objects.url}")
    print(f"VM list       {deployment.vm_list.url}")
    print(f"write token   {deployment.write_token}")
    print(f"read token    {deployment.read_token}", flush=True)


async def serve(cfg, *, node_class=None):
    """Starts the deployment and stops it gracefully on a signal."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signum, stopping.set)
    deployment = deployment_lib.Deployment(cfg, node_class=node_class)
    await deployment.start()
    print_addresses(deployment)
    await stopping.wait()
    print("stopping", flush=True)
    await deployment.stop()


def main(argv=None) -> int:
    """Entry point; returns the exit status."""
    parser = argparse.ArgumentParser(prog="skylarklug_standins.serve")
    parser.add_argument("file", help="settings file of the deployment")
    args = parser.parse_args(argv)
    try:
        cfg, _ = run.load(args.file)
    except exceptions.SettingsError as exc:
        print(exc.reason, file=sys.stderr)
        return run.EXIT_BAD_INPUT
    asyncio.run(serve(cfg))
    return run.EXIT_DONE


if __name__ == "__main__":
    sys.exit(main())
