"""A local deployment on loopback whose nodes are separate processes.

The stand-ins and workers run in the calling process, so that a test can read
their records directly. Only test harnesses use this module; the system itself
starts no process.
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

NODE_MODULE = "skylarklugd.main"
READY_TIMEOUT_S = 30.0
EXIT_TIMEOUT_S = 30.0
POLL_S = 0.05
PROBE_TIMEOUT_S = 2.0


class NotReady(Exception):
    """A node process ended, or was not ready in time."""


def to_toml(value: Any) -> str:
    """Returns a value as inline TOML; null has no representation."""
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
    """Starts the node binary on a settings file.

    Args:
        settings_file: Path of the TOML file.
        output: File that receives standard output and standard error.
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
    """One node as a process; fits `Deployment` as its node class.

    Args:
        cfg: Settings of the node.
        directory: Receives the settings file and the output of the node.
    """

    def __init__(self, cfg, directory: pathlib.Path):
        self.cfg = cfg
        self.name = cfg["node"]
        self.output = directory / f"{self.name}.log"
        self._settings_file = directory / f"{self.name}.toml"
        self._process = None

    async def start(self):
        """Starts the process and returns when `/ready` answers 200.

        Raises:
            NotReady: The process ended, or was not ready in time.
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
                    raise NotReady(f"{self.name}: exit status {status}")
                if time.monotonic() > deadline:
                    raise NotReady(f"{self.name}: not ready in time")
                await asyncio.sleep(POLL_S)
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
        """Process id, 0 before the start."""
        return 0 if self._process is None else self._process.pid

    def send_signal(self, signum: int):
        """Sends a signal to the process unless it has ended."""
        self._process.send_signal(signum)

    async def wait(self) -> int:
        """Returns the exit status; negative when a signal ended it.

        Raises:
            TimeoutError: The process did not end in time.
        """
        async with asyncio.timeout(EXIT_TIMEOUT_S):
            while self._process.poll() is None:
                await asyncio.sleep(POLL_S)
        return self._process.returncode

    async def stop(self) -> int:
        """Stops the node gracefully; returns the exit status."""
        self.send_signal(signal.SIGTERM)
        return await self.wait()

    async def kill(self):
        """Ends the process abruptly, also while it is suspended."""
        if self._process is None:
            return
        self.send_signal(signal.SIGKILL)
        await self.wait()


class ProcessDeployment(deployment.Deployment):
    """A deployment whose nodes are processes.

    Args:
        cfg: Checked settings, see `settings.load`.
        overrides: Added to the settings of each node.

    Attributes:
        directory: Settings files and outputs of the nodes.
    """

    def __init__(self, cfg, overrides=None):
        super().__init__(cfg, node_class=self._new_node)
        self._overrides = overrides or {}
        self._temporary = tempfile.TemporaryDirectory(prefix="skylarklug-")
        self.directory = pathlib.Path(self._temporary.name)

    def _new_node(self, cfg):
        return NodeProcess(cfg, self.directory)

    def node_settings(self, node: str) -> dict[str, Any]:
        """Returns the settings dictionary of a node with the overrides."""
        return super().node_settings(node) | self._overrides

    def send_signal(self, node: str, signum: int):
        """Sends a signal to the process of a node."""
        self.nodes[node].send_signal(signum)

    def outputs(self) -> str:
        """Returns what the nodes printed, for the report of a failure."""
        files = sorted(self.directory.glob("*.log"))
        return "".join(path.read_text(errors="replace") for path in files)

    async def stop(self, graceful=False):
        """Ends every process, then workers and platform."""
        try:
            await super().stop(graceful)
        finally:
            self._temporary.cleanup()
