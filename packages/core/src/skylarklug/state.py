"""State of one node. Only the handlers of the reducer change it."""

import collections
import random
from typing import Any

from skylarklug import events


class State:
    """All data that decisions depend on.

    Attributes:
        now: Time of the event being handled, in monotonic milliseconds.
        node: Name of this node.
        data_centre: Data centre of this node.
        region: Region of this node.
        incarnation: Number that increases with each start of the node.
        settings: Settings of the node that affect decisions.
        rng: The only source of randomness, seeded by `NodeStarted`.
        domains: State of each domain module, by module name.
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
        self._internal_events = collections.deque()

    def start(self, event: events.NodeStarted):
        """Sets the identity, random seed and settings of the node."""
        self.node = event.node
        self.data_centre = event.data_centre
        self.region = event.region
        self.incarnation = event.incarnation
        self.settings = dict(event.settings)
        self.rng = random.Random(event.seed)

    def new_id(self, prefix: str) -> str:
        """Returns an id that is unique across nodes and their restarts."""
        self._next_id += 1
        return f"{prefix}-{self.node}-{self.incarnation:x}-{self._next_id:x}"

    def raise_event(self, event):
        """Queues an internal event; it is handled before `reduce` returns."""
        self._internal_events.append(event)

    def next_internal_event(self):
        """Returns the next internal event, or None."""
        if not self._internal_events:
            return None
        return self._internal_events.popleft()
