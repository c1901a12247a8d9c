"""Bounded request queues per service, shared fairly between callers."""

import collections
from typing import NamedTuple

from skylarklug import events

# Defaults of `ServiceConfig`.
DEFAULT_TIMEOUT_MS = 10_000
DEFAULT_QUEUE_LIMIT = 256


class ServiceConfig(NamedTuple):
    """Configuration of a service as far as it concerns requests.

    Attributes:
        timeout_ms: Deadline of requests that carry none.
        queue_limit: Maximum number of queued requests, not counting retries.
    """

    timeout_ms: int = DEFAULT_TIMEOUT_MS
    queue_limit: int = DEFAULT_QUEUE_LIMIT


class Queue:
    """Waiting requests of one service, served round robin over callers.

    Attributes:
        retrying: Requests that wait for another attempt, outside the round
            robin.
        length: Number of requests in the round robin.
        callers: Waiting requests by caller, oldest first.
        caller_turns: Callers with waiting requests, next one first.
    """

    def __init__(self):
        self.retrying: dict[str, None] = {}
        self.length = 0
        self.callers: dict[str, collections.deque] = {}
        self.caller_turns: collections.deque = collections.deque()

    def waiting(self) -> int:
        """Returns the number of requests without an attempt in flight."""
        return self.length + len(self.retrying)

    def push(self, caller: str, req_id: str):
        """Appends a request to those of its caller."""
        waiting = self.callers.get(caller)
        if waiting is None:
            waiting = self.callers[caller] = collections.deque()
            self.caller_turns.append(caller)
        waiting.append(req_id)
        self.length += 1

    def peek(self) -> str:
        """Returns the next request; the queue must not be empty."""
        return self.callers[self.caller_turns[0]][0]

    def pop(self) -> str:
        """Removes and returns the next request; the next caller follows."""
        caller = self.caller_turns.popleft()
        waiting = self.callers[caller]
        req_id = waiting.popleft()
        self.length -= 1
        if waiting:
            self.caller_turns.append(caller)
        else:
            del self.callers[caller]
        return req_id

    def remove(self, caller: str, req_id: str):
        """Removes a waiting request from any position."""
        waiting = self.callers[caller]
        waiting.remove(req_id)
        self.length -= 1
        if not waiting:
            del self.callers[caller]
            self.caller_turns.remove(caller)

    def count(self, caller: str) -> int:
        """Returns the number of waiting requests of a caller."""
        return len(self.callers.get(caller, ()))

    def largest_caller(self) -> str:
        """Returns the caller with the most waiting requests."""
        return max(self.caller_turns, key=lambda name: len(self.callers[name]))

    def newest(self, caller: str) -> str:
        """Returns the most recent waiting request of a caller."""
        return self.callers[caller][-1]


class AdmissionState:
    """Queues and configuration by service, and drained workers.

    Attributes:
        queues: Queues by service.
        services: Configuration by service.
        drained: Workers that an operator drains.
        changed_workers: Workers whose drained state has changed.
    """

    def __init__(self):
        self.queues: dict[str, Queue] = {}
        self.services: dict[str, ServiceConfig] = {}
        self.drained: frozenset[str] = frozenset()
        self.changed_workers: list[str] = []


def new_state() -> AdmissionState:
    """Returns the initial state, before a configuration is applied."""
    return AdmissionState()


def _domain(state) -> AdmissionState:
    return state.domains["admission"]


def queue(state, service: str) -> Queue:
    """Returns the queue of a service; creates it if needed."""
    service_queue = _domain(state).queues.get(service)
    if service_queue is None:
        service_queue = _domain(state).queues[service] = Queue()
    return service_queue


def queues(state) -> dict[str, Queue]:
    """Returns all queues by service."""
    return _domain(state).queues


def is_configured(state, service: str) -> bool:
    """Returns whether the configuration contains the service."""
    return service in _domain(state).services


def config(state, service: str) -> ServiceConfig:
    """Returns the configuration of a service, or the defaults."""
    return _domain(state).services.get(service) or ServiceConfig()


def is_drained(state, worker: str) -> bool:
    """Returns whether an operator drains the worker."""
    return worker in _domain(state).drained


def pop_changed(state) -> list[str]:
    """Returns and clears the workers whose drained state has changed."""
    changed = _domain(state).changed_workers
    _domain(state).changed_workers = []
    return changed


def _on_config_applied(state, event, effects):
    domain = _domain(state)
    domain.services = {
        name: ServiceConfig(
            int(fields.get("timeout_ms", DEFAULT_TIMEOUT_MS)),
            int(fields.get("queue", DEFAULT_QUEUE_LIMIT)),
        )
        for name, fields in event.document.get("services", {}).items()
    }
    drained = frozenset(event.document.get("drained", ()))
    domain.changed_workers.extend(sorted(drained ^ domain.drained))
    domain.drained = drained


HANDLERS = {events.ConfigApplied: _on_config_applied}
