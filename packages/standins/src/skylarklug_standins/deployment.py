"""A complete local deployment on loopback, in one process."""

import asyncio
import importlib
import pathlib
import secrets
import socket
from typing import Any

from skylarklug_standins import faults
from skylarklug_standins import ledger as ledger_lib
from skylarklug_standins import objects
from skylarklug_standins import settings as settings_lib
from skylarklug_standins import table
from skylarklug_standins import vmlist
from skylarklug_standins import worker as worker_lib

# Author and operation id of the initial configuration.
AUTHOR = "deployment"


class ReservedPort:
    """A loopback port that is reserved for one listener.

    The socket is bound but does not listen, so the kernel does not assign the
    port to other sockets. Linux allows a listener to share the port if both
    sockets set SO_REUSEADDR, so the reservation is kept while a node starts
    and restarts.
    """

    def __init__(self):
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((faults.LOOPBACK, 0))
        self.port = self._socket.getsockname()[1]

    @property
    def address(self) -> str:
        """The address as host:port."""
        return f"{faults.LOOPBACK}:{self.port}"

    def listen_settings(self) -> dict[str, Any]:
        """Returns host and port in the form of the node settings."""
        return {"host": faults.LOOPBACK, "port": self.port}

    def release(self):
        """Releases the port."""
        self._socket.close()


class NodePorts:
    """The reserved ports of a node for callers, operators and peers."""

    def __init__(self):
        self.caller = ReservedPort()
        self.operator = ReservedPort()
        self.peer = ReservedPort()

    def release(self):
        """Releases the ports."""
        for port in (self.caller, self.operator, self.peer):
            port.release()


def load_node_class():
    """Imports and returns `skylarklugd.runtime.Node`."""
    return importlib.import_module("skylarklugd.runtime").Node


class Deployment:
    """The platform stand-ins, workers and nodes of one settings file.

    Args:
        cfg: Validated settings, see `settings.load`.
        node_class: Class of the nodes; default `skylarklugd.runtime.Node`.
        trace_dir: Directory for the traces that nodes record; "" disables
            recording.

    Attributes:
        table, objects, vm_list: Stand-ins for the platform services.
        workers: Workers by name.
        nodes: Running nodes by name.
        ledger: Record of what the workers executed.
        write_token, read_token: Operator tokens, random for each instance.
    """

    def __init__(self, cfg, *, node_class=None, trace_dir=""):
        self.cfg = cfg
        self.table = table.Table()
        self.objects = objects.ObjectStore()
        self.vm_list = vmlist.VmList(cfg["vm_list_lag_ms"])
        self.ledger = ledger_lib.Ledger()
        self.workers: dict[str, worker_lib.Worker] = {}
        self.nodes: dict[str, Any] = {}
        self.ports: dict[str, NodePorts] = {}
        self.write_token = secrets.token_hex(16)
        self.read_token = secrets.token_hex(16)
        self._peer_secret = secrets.token_hex(16)
        self._node_class = node_class
        self._trace_dir = trace_dir
        self._store_client = None

    async def start(self):
        """Starts all parts; on an error, stops those already started."""
        try:
            await self._start()
        except BaseException:
            await self.stop(graceful=False)
            raise

    async def _start(self):
        node_class = self._node_class or load_node_class()
        self._node_class = node_class
        for standin in (self.table, self.objects, self.vm_list):
            await standin.start()
        await self._start_workers()
        self._write_configuration()
        for node, _ in settings_lib.node_locations(self.cfg):
            self.ports[node] = NodePorts()
        await asyncio.gather(*(self.start_node(node) for node in self.ports))

    async def _start_workers(self):
        self._store_client = worker_lib.StoreClient(self.objects.url)
        worker_cfg = self.cfg["workers"]
        service_times_ms = {
            name: self.cfg["services"][name]["service_ms"]
            for name in worker_cfg["services"]
        }
        for name, data_centre, rack in settings_lib.worker_locations(self.cfg):
            worker = worker_lib.Worker(
                name,
                data_centre,
                rack,
                {key: worker_cfg[key] for key in _RESOURCE_KEYS},
                service_times_ms,
                worker_cfg["slots"],
                worker_cfg["connections"],
                self._store_client,
                self.ledger,
            )
            await worker.start()
            self.workers[name] = worker
            self.vm_list.put_initial(worker.vm_entry())

    def _write_configuration(self):
        value = {
            "version": 1,
            "document": settings_lib.initial_document(self.cfg),
            "author": AUTHOR,
            "reason": "initial configuration",
            "op": AUTHOR,
        }
        self.table.commit(
            [],
            [
                {"key": "config/current", "value": value},
                {"key": "config/history/1", "value": value},
            ],
        )

    def node_settings(self, node: str) -> dict[str, Any]:
        """Returns the settings dictionary of a node."""
        locations = dict(settings_lib.node_locations(self.cfg))
        index = list(locations).index(node)
        ports = self.ports[node]
        peer = ports.peer.listen_settings() | {"secret": self._peer_secret}
        trace = ""
        if self._trace_dir:
            trace = str(pathlib.Path(self._trace_dir) / f"{node}.trace")
        return {
            "node": node,
            "data_centre": locations[node],
            "region": self.cfg["region"],
            "seed": self.cfg["seed"] + index,
            "caller": ports.caller.listen_settings(),
            "operator": ports.operator.listen_settings(),
            "peer": peer,
            "platform": {
                "table": self.table.url,
                "objects": self.objects.url,
                "vm_list": self.vm_list.url,
            },
            "tokens": {self.write_token: "write", self.read_token: "read"},
            "nodes": [
                {
                    "node": other,
                    "data_centre": data_centre,
                    "region": self.cfg["region"],
                    "address": self.ports[other].peer.address,
                    "forward": self.ports[other].caller.address,
                }
                for other, data_centre in locations.items()
            ],
            "nodes_per_data_centre": self.cfg["nodes_per_data_centre"],
            "partitions": self.cfg["partitions"],
            "stop": dict(self.cfg["stop"]),
            "trace": trace,
        }

    async def start_node(self, node: str):
        """Starts a node, or restarts it after it was stopped or killed."""
        instance = self._node_class(self.node_settings(node))
        self.nodes[node] = instance
        await instance.start()

    async def stop_node(self, node: str):
        """Stops a node gracefully and waits until it has stopped."""
        instance = self.nodes[node]
        await instance.stop()
        self.nodes.pop(node, None)

    async def kill_node(self, node: str):
        """Kills a node without a graceful stop."""
        await self.nodes.pop(node).kill()

    async def kill_worker(self, vm: str):
        """Kills a worker; the VM list removes it after `vm_list_lag_ms`."""
        await self.workers[vm].kill()
        self.vm_list.remove(vm)

    def leave_worker(self, vm: str):
        """Marks a worker as leaving, in the VM list after `vm_list_lag_ms`."""
        self.workers[vm].leave()
        self.vm_list.set_state(vm, "leaving")

    def violations(self) -> list[str]:
        """Returns the invariant violations that the workers detected."""
        return [
            f"{name}: {violation}"
            for name, worker in self.workers.items()
            for violation in worker.agent.violations
        ]

    async def stop(self, graceful=True):
        """Stops the nodes, then the workers and the platform stand-ins.

        Args:
            graceful: Stop the nodes gracefully, which takes at least their
                notice time; otherwise kill them.
        """
        nodes = list(self.nodes.values())
        self.nodes.clear()
        stops = [node.stop() if graceful else node.kill() for node in nodes]
        results = await asyncio.gather(*stops, return_exceptions=True)
        for worker in self.workers.values():
            await worker.kill()
        if self._store_client is not None:
            self._store_client.close()
        for standin in (self.table, self.objects, self.vm_list):
            await standin.stop()
        for ports in self.ports.values():
            ports.release()
        self.ports.clear()
        errors = [exc for exc in results if isinstance(exc, Exception)]
        if errors:
            raise ExceptionGroup("nodes failed to stop", errors)


# Keys of the worker settings that describe the size of a worker VM.
_RESOURCE_KEYS = ("cpus", "memory_mb", "accelerators")
