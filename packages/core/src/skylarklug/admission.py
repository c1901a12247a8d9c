"""The bounded queue of each service, fair between callers, and refusals."""

import collections
from typing import NamedTuple

from skylarklug import events

DEFAULT_TIMEOUT_MS = 10_000
DEFAULT_QUEUE_LIMIT = 256


class ServiceConfig(NamedTuple):
    """The part of a service's configuration that requests use."""

    timeout_ms: int = DEFAULT_TIMEOUT_MS
    queue_limit: int = DEFAULT_QUEUE_LIMIT


class Queue:
    """Waiting requests of one service, served round robin over callers.

    `retrying` holds requests that wait to be sent again, outside the turns.
    """

    def __init__(self):
        self.retrying: dict[str, None] = {}
        self.length = 0
        self.callers: dict[str, collections.deque] = {}
        self.turns: collections.deque = collections.deque()

    def waiting(self) -> int:
        """Returns the number of requests without an attempt in flight."""
        return self.length + len(self.retrying)

    def push(self, caller: str, req_id: str):
        """Adds a request behind the caller's others."""
        waiting = self.callers.get(caller)
        if waiting is None:
            waiting = self.callers[caller] = collections.deque()
            self.turns.append(caller)
        waiting.append(req_id)
        self.length += 1

    def peek(self) -> str:
        """Returns the request whose turn it is; the queue is not empty."""
        return self.callers[self.turns[0]][0]

    def pop(self) -> str:
        """Removes the request whose turn it is and moves to the next caller."""
        caller = self.turns.popleft()
        waiting = self.callers[caller]
        req_id = waiting.popleft()
        self.length -= 1
        if waiting:
            self.turns.append(caller)
        else:
            del self.callers[caller]
        return req_id

    def remove(self, caller: str, req_id: str):
        """Removes a request that no longer waits."""
        waiting = self.callers[caller]
        waiting.remove(req_id)
        self.length -= 1
        if not waiting:
            del self.callers[caller]
            self.turns.remove(caller)

    def count(self, caller: str) -> int:
        """Returns the number of requests that wait for a caller."""
        return len(self.callers.get(caller, ()))

    def largest_caller(self) -> str:
        """Returns the caller with the most waiting requests."""
        return max(self.turns, key=lambda name: len(self.callers[name]))

    def newest(self, caller: str) -> str:
        """Returns the caller's request that came last."""
        return self.callers[caller][-1]


class AdmissionState:
    """Queues and configuration by service, and drained workers."""

    def __init__(self):
        self.queues: dict[str, Queue] = {}
        self.services: dict[str, ServiceConfig] = {}
        self.drained: frozenset[str] = frozenset()
        self.changed: list[str] = []


def new_state() -> AdmissionState:
    """Returns the state before a configuration is known."""
    return AdmissionState()


def _domain(state) -> AdmissionState:
    return state.domains["admission"]


def queue(state, service: str) -> Queue:
    """Returns the queue of a service."""
    found = _domain(state).queues.get(service)
    if found is None:
        found = _domain(state).queues[service] = Queue()
    return found


def queues(state) -> dict[str, Queue]:
    """Returns all queues by service."""
    return _domain(state).queues


def is_configured(state, service: str) -> bool:
    """Tells whether the configuration names the service."""
    return service in _domain(state).services


def config(state, service: str) -> ServiceConfig:
    """Returns the configuration of a service, or the defaults."""
    return _domain(state).services.get(service) or ServiceConfig()


def is_drained(state, worker: str) -> bool:
    """Tells whether an operator drains the worker."""
    return worker in _domain(state).drained


def take_changed(state) -> list[str]:
    """Returns the workers whose drained state changed since the last call."""
    changed = _domain(state).changed
    _domain(state).changed = []
    return changed


def _on_config(state, event, effects):
    domain = _domain(state)
    domain.services = {
        name: ServiceConfig(
            int(fields.get("timeout_ms", DEFAULT_TIMEOUT_MS)),
            int(fields.get("queue", DEFAULT_QUEUE_LIMIT)),
        )
        for name, fields in event.document.get("services", {}).items()
    }
    drained = frozenset(event.document.get("drained", ()))
    domain.changed.extend(sorted(drained ^ domain.drained))
    domain.drained = drained


HANDLERS = {events.ConfigApplied: _on_config}
