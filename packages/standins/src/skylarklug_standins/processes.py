"""Local deployment on the loopback interface with nodes as processes.

The stand-ins and workers run in the calling process, so that tests have direct
access to their records. Only test harnesses use this module; the system itself
starts no processes.
"""

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any

from tornado import httpclient
from tornado import simple_httpclient

from skylarklug_standins import deployment

# Module that a node process executes.
NODE_MODULE = "skylarklugd.main"
# Time limit from the start of a process until it is ready.
READY_TIMEOUT_S = 30.0
# Time limit for the exit of a process.
EXIT_TIMEOUT_S = 30.0
# Interval of checks for readiness and for the exit of a process.
POLL_INTERVAL_S = 0.05
# Timeout of one readiness request.
PROBE_TIMEOUT_S = 2.0


class NotReady(Exception):
    """A node process exited early or did not become ready in time."""


def to_toml(value: Any) -> str:
    """Returns a value as inline TOML, which cannot represent null."""
    if isinstance(value, dict):
        pairs = (f"{json.dumps(k)} = {to_toml(v)}" for k, v in value.items())
        return "{" + ", ".join(pairs) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(to_toml(item) for item in value) + "]"
    return json.dumps(value)


def write_settings(path: pathlib.Path, cfg: dict[str, Any]):
    """Writes a settings file with one top-level key per line."""
    lines = (f"{key} = {to_toml(value)}\n" for key, value in cfg.items())
    path.write_text("".join(lines), encoding="utf-8")


def launch_node(settings_file, output) -> subprocess.Popen:
    """Starts a node process with a settings file.

    Args:
        settings_file: Path of the TOML file.
        output: File to which standard output and error are redirected.
    """
    path = os.pathsep.join(part for part in sys.path if part)
    return subprocess.Popen(
        [sys.executable, "-m", NODE_MODULE, "--settings", str(settings_file)],
        stdin=subprocess.DEVNULL,
        stdout=output,
        stderr=subprocess.STDOUT,
        env=os.environ | {"PYTHONPATH": path},
    )


class NodeProcess:
    """Node that runs as a process; a node class for `Deployment`.

    Args:
        cfg: Settings of the node.
        directory: Directory for the settings file and the log of the node.
    """

    def __init__(self, cfg, directory: pathlib.Path):
        self.cfg = cfg
        self.name = cfg["node"]
        self.output = directory / f"{self.name}.log"
        self._settings_file = directory / f"{self.name}.toml"
        self._process = None

    async def start(self):
        """Starts the process and waits until `/ready` returns 200.

        Raises:
            NotReady: The process exited, or was not ready in time.
        """
        write_settings(self._settings_file, self.cfg)
        with self.output.open("ab") as output:
            self._process = launch_node(self._settings_file, output)
        client = simple_httpclient.SimpleAsyncHTTPClient(force_instance=True)
        deadline = time.monotonic() + READY_TIMEOUT_S
        try:
            while not await self._is_ready(client):
                status = self._process.poll()
                if status is not None:
                    raise NotReady(f"{self.name} exited with status {status}")
                if time.monotonic() > deadline:
                    raise NotReady(f"{self.name} was not ready in time")
                await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            client.close()

    async def _is_ready(self, client):
        operator = self.cfg["operator"]
        url = f"http://{operator['host']}:{operator['port']}/ready"
        try:
            response = await client.fetch(
                url, request_timeout=PROBE_TIMEOUT_S, raise_error=False
            )
        except (OSError, httpclient.HTTPError):
            return False
        return response.code == 200

    @property
    def pid(self) -> int:
        """Process id, or 0 if the process was not started."""
        return 0 if self._process is None else self._process.pid

    def send_signal(self, signum: int):
        """Sends a signal to the process unless it has exited."""
        self._process.send_signal(signum)

    async def wait(self) -> int:
        """Waits for the exit; returns the status, negative after a signal.

        Raises:
            TimeoutError: The process did not exit in time.
        """
        async with asyncio.timeout(EXIT_TIMEOUT_S):
            while self._process.poll() is None:
                await asyncio.sleep(POLL_INTERVAL_S)
        return self._process.returncode

    async def stop(self) -> int:
        """Stops the node gracefully; returns the exit status."""
        self.send_signal(signal.SIGTERM)
        return await self.wait()

    async def kill(self):
        """Kills the process, even if it is suspended."""
        if self._process is None:
            return
        self.send_signal(signal.SIGKILL)
        await self.wait()


class ProcessDeployment(deployment.Deployment):
    """Deployment whose nodes run as processes.

    Args:
        cfg: Validated settings, see `settings.load`.
        overrides: Settings that override those of each node.

    Attributes:
        directory: Directory of the settings files and logs of the nodes.
    """

    def __init__(self, cfg, overrides=None):
        super().__init__(cfg, node_class=self._new_node)
        self._overrides = overrides or {}
        self._temporary = tempfile.TemporaryDirectory(prefix="skylarklug-")
        self.directory = pathlib.Path(self._temporary.name)

    def _new_node(self, cfg):
        return NodeProcess(cfg, self.directory)

    def node_settings(self, node: str) -> dict[str, Any]:
        """Returns the settings of a node with the overrides applied."""
        return super().node_settings(node) | self._overrides

    def send_signal(self, node: str, signum: int):
        """Sends a signal to the process of a node."""
        self.nodes[node].send_signal(signum)

    def outputs(self) -> str:
        """Returns the logs of all nodes, to be printed after a failure."""
        files = sorted(self.directory.glob("*.log"))
        return "".join(path.read_text(errors="replace") for path in files)

    async def stop(self, graceful=False):
        """Stops all nodes, then workers and platform; removes the directory."""
        try:
            await super().stop(graceful)
        finally:
            self._temporary.cleanup()
