"""Stand-in for the platform's list of live and leaving VMs."""

import collections
import copy
import time
from typing import Any
from typing import Literal

import pydantic
from tornado import web
from typing_extensions import TypedDict

from skylarklug_standins import faults

_STRICT = pydantic.ConfigDict(extra="forbid")


class Capacity(TypedDict):
    """Resources of a VM; memory is in MB."""

    __pydantic_config__ = _STRICT
    cpus: float
    memory_mb: int
    accelerators: int


class VmBody(TypedDict):
    """Entry of the list, and body of `PUT /vms/<vm>`."""

    __pydantic_config__ = _STRICT
    vm: str
    data_centre: str
    rack: str
    state: Literal["live", "leaving"]
    address: str
    control: str
    capacity: Capacity
    services: list[str]
    slots: int
    connections: int


class StateBody(TypedDict):
    """Body of `POST /vms/<vm>`."""

    __pydantic_config__ = _STRICT
    state: Literal["live", "leaving"]


_VM_ADAPTER = pydantic.TypeAdapter(VmBody)
_STATE_ADAPTER = pydantic.TypeAdapter(StateBody)


def _monotonic_ms() -> int:
    return time.monotonic_ns() // 1_000_000


class VmList(faults.Standin):
    """Versioned list of VMs and their states, visible after a delay.

    Args:
        lag_ms: Delay after which readers see a change.
        clock: Returns the time in milliseconds.
    """

    def __init__(self, lag_ms=0, clock=_monotonic_ms):
        super().__init__()
        self.lag_ms = lag_ms
        self._clock = clock
        self._version = 0
        self._vms: dict[str, dict[str, Any]] = {}
        self._history = collections.deque([(clock(), 0, {})])

    def routes(self):
        """Returns the routes that read and change the list."""
        return [(r"/vms", _ListHandler), (r"/vms/([^/]+)", _VmHandler)]

    def put(self, vm: dict[str, Any]):
        """Adds or replaces a VM."""
        self._vms[vm["vm"]] = copy.deepcopy(vm)
        self._record_version(self._clock())

    def put_initial(self, vm: dict[str, Any]):
        """Adds a VM that readers see without delay."""
        self._vms[vm["vm"]] = copy.deepcopy(vm)
        self._record_version(self._clock() - self.lag_ms)

    def set_state(self, vm: str, state: str):
        """Sets the state of a VM; raises `KeyError` if it is not listed."""
        self._vms[vm] = {**self._vms[vm], "state": state}
        self._record_version(self._clock())

    def remove(self, vm: str):
        """Removes a terminated VM; raises `KeyError` if it is not listed."""
        del self._vms[vm]
        self._record_version(self._clock())

    def visible_list(self) -> dict[str, Any]:
        """Returns the version and entries that readers see now."""
        latest_visible_ms = self._clock() - self.lag_ms
        while (
            len(self._history) > 1 and self._history[1][0] <= latest_visible_ms
        ):
            self._history.popleft()
        _, version, vms = self._history[0]
        return {"version": version, "vms": list(vms.values())}

    def _record_version(self, changed_ms):
        self._version += 1
        self._history.append((changed_ms, self._version, dict(self._vms)))


class _ListHandler(faults.FaultyHandler):
    def get(self):
        self.write_json(self.owner.visible_list())


class _VmHandler(faults.JsonHandler):
    """Changes the list for tests; the platform has no such requests."""

    def put(self, vm):
        body = self.read_typed(_VM_ADAPTER)
        if body["vm"] != vm:
            raise web.HTTPError(400, reason="name differs from the path")
        self.owner.put(body)
        self.write_json({})

    def post(self, vm):
        self._apply_change(
            self.owner.set_state, vm, self.read_typed(_STATE_ADAPTER)["state"]
        )

    def delete(self, vm):
        self._apply_change(self.owner.remove, vm)

    def _apply_change(self, change, vm, *args):
        try:
            change(vm, *args)
        except KeyError as exc:
            raise web.HTTPError(404, reason="VM is not listed") from exc
        self.write_json({})
