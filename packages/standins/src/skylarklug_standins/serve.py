"""Runs a local deployment until SIGINT or SIGTERM.

Usage: `python -m skylarklug_standins.serve FILE`. If the settings are invalid,
it exits with status 2 without starting anything.
"""

import argparse
import asyncio
import signal
import sys

import tabulate

from skylarklug import exceptions
from skylarklug_standins import deployment as deployment_lib
from skylarklug_standins import processes as processes_lib
from skylarklug_standins import run
from skylarklugd import logs


def print_addresses(deployment: deployment_lib.Deployment):
    """Prints the addresses and tokens of the deployment."""
    rows = [
        {
            "node": node,
            "callers": f"http://{ports.caller.address}",
            "operators": ports.operator.address,
            "process": getattr(deployment.nodes[node], "pid", "this one"),
        }
        for node, ports in deployment.ports.items()
    ]
    print(tabulate.tabulate(rows, headers="keys"))
    print(f"\ntable         {deployment.table.url}")
    print(f"object store  {deployment.objects.url}")
    print(f"VM list       {deployment.vm_list.url}")
    print(f"write token   {deployment.write_token}")
    print(f"read token    {deployment.read_token}", flush=True)


async def serve(cfg, *, node_class=None, processes=False):
    """Runs a deployment until a signal is received, then stops it."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signum, stop_requested.set)
    if processes:
        deployment = processes_lib.ProcessDeployment(cfg)
    else:
        deployment = deployment_lib.Deployment(cfg, node_class=node_class)
    try:
        await deployment.start()
        print_addresses(deployment)
        if processes:
            print(f"logs of nodes {deployment.directory}", flush=True)
        await stop_requested.wait()
        print("stopping", flush=True)
    finally:
        await deployment.stop()


def main(argv=None) -> int:
    """Runs the command line and returns the exit status."""
    parser = argparse.ArgumentParser(prog="skylarklug_standins.serve")
    parser.add_argument("file", help="settings file of the deployment")
    parser.add_argument(
        "--processes",
        action="store_true",
        help="run each node in a separate process, which can be killed",
    )
    args = parser.parse_args(argv)
    logs.set_level("info")
    try:
        cfg, _ = run.load(args.file)
    except exceptions.SettingsError as exc:
        print(exc.reason, file=sys.stderr)
        return run.EXIT_BAD_INPUT
    asyncio.run(serve(cfg, processes=args.processes))
    return run.EXIT_DONE


if __name__ == "__main__":
    sys.exit(main())
