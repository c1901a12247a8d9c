"""A local deployment on a thread, and the command line against it."""

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
# Generous, so that a busy machine does not decide the result.
LIMIT_S = 60
POLL_S = 0.1


def wait_until(condition):
    """Returns the first true value of `condition`; fails after the limit."""
    end = time.monotonic() + LIMIT_S
    while True:
        found = condition()
        if found:
            return found
        assert time.monotonic() < end, f"not within {LIMIT_S} s"
        time.sleep(POLL_S)


def run_main(*args):
    """Runs the command line; returns its exit code and its JSON output."""
    written = io.StringIO()
    with contextlib.redirect_stdout(written):
        code = main.main(["--output", "json", *args])
    return code, json.loads(written.getvalue() or "null")


class Running:
    """A deployment whose event loop runs on a thread of its own."""

    def __init__(self, trace_dir=""):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self.deployment = deployment_lib.Deployment(
            settings.load(SETTINGS), trace_dir=trace_dir
        )
        self.stopped = False

    def run(self, coroutine):
        """Runs a coroutine on the deployment's loop."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(2 * LIMIT_S)

    def start(self):
        """Returns when every node is ready and the partition is owned."""
        self._thread.start()
        self.run(self.deployment.start())
        wait_until(self._ready)

    def _ready(self):
        for node in self.deployment.nodes:
            if not self.run(self.is_ready(node)):
                return False
            _, answer = self.operate("workers", node=node)
            rows = (answer or {}).get("rows", [])
            tasks = [row.get("tasks") for row in rows]
            if len(rows) != 2 or None in tasks:
                return False
        return True

    def stop(self, graceful=False):
        """Stops everything; does nothing when it has been stopped."""
        if not self.stopped:
            self.stopped = True
            self.run(self.deployment.stop(graceful=graceful))

    def close(self):
        """Stops the deployment and its loop."""
        try:
            self.stop()
        finally:
            self._loop.call_soon_threadsafe(self._loop.stop)
            self._thread.join()
            self._loop.close()

    def operate(self, text, *options, node="yumbo-1"):
        """Runs one operator command against a node."""
        address = self.deployment.ports[node].operator.address
        return run_main(
            "--node", address, "--token", self.deployment.write_token,
            *options, *text.split(),
        )  # fmt: skip

    async def is_ready(self, node):
        """Asks a node as the load balancer does."""
        address = self.deployment.ports[node].operator.address
        response = await support.fetch(f"http://{address}/ready")
        return response is not None and response.code == 200

    async def request(self, number):
        """Sends one request to a ready node; returns the status or 0."""
        nodes = sorted(self.deployment.ports)
        for node in (nodes[number % 2], nodes[1 - number % 2]):
            if await self.is_ready(node):
                break
        address = self.deployment.ports[node].caller.address
        response = await support.fetch(
            f"http://{address}/svc/certvault/{number}", timeout=LIMIT_S
        )
        return response.code if response is not None else 0
