"""Stand-in of the platform's list of live and leaving VMs."""

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
    """What a VM offers; memory in MB."""

    __pydantic_config__ = _STRICT
    cpus: float
    memory_mb: int
    accelerators: int


class VmBody(TypedDict):
    """One entry of the list."""

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


_VM = pydantic.TypeAdapter(VmBody)
_STATE = pydantic.TypeAdapter(StateBody)


def _monotonic_ms() -> int:
    return time.monotonic_ns() // 1_000_000


class VmList(faults.Standin):
    """VMs and their states; readers see them `lag_ms` late.

    Args:
        lag_ms: Age of the list that readers get.
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
        """Returns `GET /vms` and the routes that change the list."""
        return [(r"/vms", _ListHandler), (r"/vms/([^/]+)", _VmHandler)]

    def put(self, vm: dict[str, Any]):
        """Adds or replaces a VM."""
        self._vms[vm["vm"]] = copy.deepcopy(vm)
        self._changed(self._clock())

    def put_initial(self, vm: dict[str, Any]):
        """Adds a VM that readers see at once, as if it had always been."""
        self._vms[vm["vm"]] = copy.deepcopy(vm)
        self._changed(self._clock() - self.lag_ms)

    def set_state(self, vm: str, state: str):
        """Sets the state of a listed VM; raises KeyError when unknown."""
        self._vms[vm] = {**self._vms[vm], "state": state}
        self._changed(self._clock())

    def remove(self, vm: str):
        """Removes a terminated VM; raises KeyError when unknown."""
        del self._vms[vm]
        self._changed(self._clock())

    def visible_list(self) -> dict[str, Any]:
        """Returns the list as readers see it now."""
        horizon = self._clock() - self.lag_ms
        while len(self._history) > 1 and self._history[1][0] <= horizon:
            self._history.popleft()
        _, version, vms = self._history[0]
        return {"version": version, "vms": list(vms.values())}

    def _changed(self, at):
        self._version += 1
        self._history.append((at, self._version, dict(self._vms)))


class _ListHandler(faults.FaultyHandler):
    def get(self):
        self.write_json(self.owner.visible_list())


class _VmHandler(faults.JsonHandler):
    """Changes the list; these requests are part of no platform protocol."""

    def put(self, vm):
        body = self.read_typed(_VM)
        if body["vm"] != vm:
            raise web.HTTPError(400, reason="name differs from the path")
        self.owner.put(body)
        self.write_json({})

    def post(self, vm):
        self._change(self.owner.set_state, vm, self.read_typed(_STATE)["state"])

    def delete(self, vm):
        self._change(self.owner.remove, vm)

    def _change(self, change, vm, *args):
        try:
            change(vm, *args)
        except KeyError as exc:
            raise web.HTTPError(404, reason="VM is not listed") from exc
        self.write_json({})
