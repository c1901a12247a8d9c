"""Runs a local deployment on a thread, and operator commands against it."""

import asyncio
import contextlib
import io
import json
import pathlib
import threading
import time

from tests.standins import support

from skylarklug_operator import main
from skylarklug_standins import deployment as deployment_lib
from skylarklug_standins import settings

SETTINGS = pathlib.Path(__file__).parent / "deployment.toml"
# High enough that a test does not fail because the machine is busy.
TIMEOUT_S = 60
POLL_S = 0.1


def wait_until(condition):
    """Returns the first true result of `condition`; fails on timeout."""
    end = time.monotonic() + TIMEOUT_S
    while True:
        found = condition()
        if found:
            return found
        assert time.monotonic() < end, f"condition not met within {TIMEOUT_S} s"
        time.sleep(POLL_S)


def run_main(*args):
    """Runs the command line tool; returns its exit code and JSON output."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        code = main.main(["--output", "json", *args])
    return code, json.loads(output.getvalue() or "null")


class DeploymentRunner:
    """Runs a deployment on an event loop in a separate thread."""

    def __init__(self, trace_dir=""):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self.deployment = deployment_lib.Deployment(
            settings.load(SETTINGS), trace_dir=trace_dir
        )
        self.stopped = False

    def run(self, coroutine):
        """Runs a coroutine on the event loop and returns its result."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(2 * TIMEOUT_S)

    def start(self):
        """Waits until every node is ready and the partition has an owner."""
        self._thread.start()
        self.run(self.deployment.start())
        wait_until(self._ready)

    def _ready(self):
        for node in self.deployment.nodes:
            if not self.run(self.is_ready(node)):
                return False
            _, answer = self.run_command("workers", node=node)
            rows = (answer or {}).get("rows", [])
            tasks = [row.get("tasks") for row in rows]
            if len(rows) != 2 or None in tasks:
                return False
        return True

    def stop(self, graceful=False):
        """Stops the deployment if it has not been stopped yet."""
        if not self.stopped:
            self.stopped = True
            self.run(self.deployment.stop(graceful=graceful))

    def close(self):
        """Stops the deployment and the event loop."""
        try:
            self.stop()
        finally:
            self._loop.call_soon_threadsafe(self._loop.stop)
            self._thread.join()
            self._loop.close()

    def run_command(self, text, *options, node="yumbo-1"):
        """Runs an operator command against a node."""
        address = self.deployment.ports[node].operator.address
        return run_main(
            "--node", address, "--token", self.deployment.write_token,
            *options, *text.split(),
        )  # fmt: skip

    async def is_ready(self, node):
        """Returns whether a node reports ready to the load balancer."""
        address = self.deployment.ports[node].operator.address
        response = await support.fetch(f"http://{address}/ready")
        return response is not None and response.code == 200

    async def request(self, index):
        """Sends a request to a ready node; returns its status, 0 if none."""
        nodes = sorted(self.deployment.ports)
        for node in (nodes[index % 2], nodes[1 - index % 2]):
            if await self.is_ready(node):
                break
        address = self.deployment.ports[node].caller.address
        response = await support.fetch(
            f"http://{address}/svc/certvault/{index}", timeout=TIMEOUT_S
        )
        return response.code if response is not None else 0
