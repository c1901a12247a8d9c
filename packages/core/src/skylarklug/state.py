"""The state of one node. Only the reducer's handlers change it."""

import collections
import random
from typing import Any

from skylarklug import events


class State:
    """Everything that decisions depend on.

    Attributes:
        now: Monotonic milliseconds of the event being handled.
        node: Name of this node.
        data_centre: Data centre of this node.
        region: Region of this node.
        incarnation: Grows with each start of the node.
        settings: The part of the node's settings that decisions use.
        rng: The only source of randomness, seeded by `NodeStarted`.
        domains: Sub-state of each domain module, by module name.
    """

    def __init__(self):
        self.now = 0
        self.node = ""
        self.data_centre = ""
        self.region = ""
        self.incarnation = 0
        self.settings: dict[str, Any] = {}
        self.rng = random.Random(0)
        self.domains: dict[str, Any] = {}
        self._next_id = 0
        self._internal = collections.deque()

    def start(self, event: events.NodeStarted):
        """Takes the identity, seed and settings of the node."""
        self.node = event.node
        self.data_centre = event.data_centre
        self.region = event.region
        self.incarnation = event.incarnation
        self.settings = dict(event.settings)
        self.rng = random.Random(event.seed)

    def new_id(self, prefix: str) -> str:
        """Returns an id that no other start of any node returns."""
        self._next_id += 1
        return f"{prefix}-{self.node}-{self.incarnation:x}-{self._next_id:x}"

    def raise_event(self, event):
        """Queues an internal event; it is handled before `reduce` returns."""
        self._internal.append(event)

    def next_internal_event(self):
        """Returns the next internal event, or None."""
        if not self._internal:
            return None
        return self._internal.popleft()
