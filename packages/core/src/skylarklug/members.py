"""The membership view: what this node knows about the others.

The view changes only here; `membership` decides when. An update about a node
is the list `[node, incarnation, counter, state, configuration version]`; the
greater (incarnation, counter, state) wins.
"""

import math
from typing import Any

from skylarklug import effects as effects_lib
from skylarklug import events

PROBE_INTERVAL_MS = 1_000
SUSPICION_MS = 5_000
MAX_UPDATES = 8
EXTRA_UPDATES = 2
# In a data centre the node with the smaller name opens the link; the other
# one does so only when no link has been opened for this long.
ACCEPT_WAIT_MS = 2_000

_RANK = {"unknown": -1, "alive": 0, "suspect": 1, "down": 2}


class Member:
    """What this node knows about another one."""

    def __init__(self, node, data_centre, region, address, forward):
        self.node = node
        self.data_centre = data_centre
        self.region = region
        self.address = address
        self.forward = forward
        self.in_settings = False
        self.incarnation = 0
        self.refutation_counter = 0
        self.state = "unknown"
        # A node of another data centre does not answer this node.
        self.unresponsive = False
        self.version = 0
        self.linked = False
        self.connecting_until = 0
        self.connect_at = 0
        self.connect_attempts = 0
        self.last_contact_at = -SUSPICION_MS
        self.suspect_until = 0
        self.suspect_probe_at = 0
        # (incarnation, counter) at which a suspicion was passed on.
        self.last_suspicion = (0, -1)

    def effective_state(self):
        """Returns the state as the other modules see it."""
        return "down" if self.unresponsive else self.state


class Probe:
    """A probe that has not been answered yet."""

    __slots__ = ("node", "deadline", "indirect")

    def __init__(self, node, deadline, indirect):
        self.node = node
        self.deadline = deadline
        self.indirect = indirect


class MembershipState:
    """Members, probes under way and updates to pass on."""

    def __init__(self):
        self.members: dict[str, Member] = {}
        self.refutation_counter = 0
        self.version = 0
        self.leaving = False
        self.probes: dict[int, Probe] = {}
        self.relayed_probes: dict[int, tuple[str, int, int]] = {}
        self.sequence = 0
        self.probe_queue: list[str] = []
        self.remote_probe_queue: list[str] = []
        self.recovering_from_pause = False
        self.updates: dict[str, int] = {}
        self.extra_update_cursor = 0
        self.suspects: list[str] = []
        self.link_targets: tuple[str, ...] | None = None
        self.alive_cache: dict[str, list[str]] = {}
        self.last_tick = -1
        self.probe_at = 0
        self.remote_probe_at = 0
        self.link_check_at = 0
        self.discovery_at = 0
        self.discovery_version = 0
        self.discovering = False


def live_nodes(state, data_centre: str) -> list[str]:
    """Returns live nodes, sorted by name, this node included.

    A suspect is a live node until it is down.
    """
    domain = state.domains["membership"]
    cached = domain.alive_cache.get(data_centre)
    if cached is None:
        cached = [
            member.node
            for member in domain.members.values()
            if member.data_centre == data_centre
            and member.effective_state() in ("alive", "suspect")
        ]
        if data_centre == state.data_centre and not domain.leaving:
            cached.append(state.node)
        cached.sort()
        domain.alive_cache[data_centre] = cached
    return list(cached)


def is_reachable(state, node: str) -> bool:
    """Returns whether a link to a live node is open."""
    if node == state.node:
        return True
    member = state.domains["membership"].members.get(node)
    if member is None:
        return False
    return member.linked and member.effective_state() in ("alive", "suspect")


def linked_nodes(state) -> list[str]:
    """Returns the nodes to which a link is open, sorted by name."""
    members = state.domains["membership"].members
    return [node for node in sorted(members) if members[node].linked]


def known_nodes(state, data_centre: str) -> list[str]:
    """Returns all nodes of a data centre, live or not, sorted by name."""
    members = state.domains["membership"].members
    names = [m.node for m in members.values() if m.data_centre == data_centre]
    if data_centre == state.data_centre:
        names.append(state.node)
    return sorted(names)


def config_versions(state) -> dict[str, int]:
    """Returns the configuration version that each live node reports."""
    domain = state.domains["membership"]
    found = {state.node: domain.version}
    for node in sorted(domain.members):
        member = domain.members[node]
        if member.state in ("alive", "suspect"):
            found[node] = member.version
    return found


def own_addresses(state) -> dict[str, str]:
    """Returns this node's own addresses for its row in the table."""
    for node in state.settings.get("nodes", ()):
        if node["node"] == state.node:
            return {
                "address": node.get("address", ""),
                "forward": node.get("forward", ""),
            }
    return {
        "address": state.settings.get("address", ""),
        "forward": state.settings.get("forward", ""),
    }


def list_nodes(state) -> list[dict[str, Any]]:
    """Returns one row per node for the query language."""
    domain = state.domains["membership"]
    rows = [
        {
            "node": state.node,
            "data_centre": state.data_centre,
            "region": state.region,
            "state": "leaving" if domain.leaving else "alive",
            "reachable": True,
            "incarnation": state.incarnation,
            "version": domain.version,
        }
    ]
    for member in domain.members.values():
        rows.append(
            {
                "node": member.node,
                "data_centre": member.data_centre,
                "region": member.region,
                "state": member.effective_state(),
                "reachable": is_reachable(state, member.node),
                "incarnation": member.incarnation,
                "version": member.version,
            }
        )
    return sorted(rows, key=lambda row: row["node"])


def send(state, effects: list, peer: str, kind: str, fields: dict):
    """Sends one message; it is dropped when no link is open."""
    body = {"kind": kind, "from": state.node, "incarnation": state.incarnation}
    effects.append(effects_lib.SendPeer(peer, {**body, **fields}))


def announce_leave(state, effects: list, partitions: list[str]):
    """Tells all linked nodes that this node stops."""
    domain = state.domains["membership"]
    domain.leaving = True
    domain.alive_cache.clear()
    for peer in linked_nodes(state):
        send(state, effects, peer, "leave", {"partitions": partitions})


def set_config_version(state, version: int):
    """Reports the configuration version in force to the other nodes."""
    domain = state.domains["membership"]
    domain.version = version
    domain.updates[state.node] = 0


def select_updates(state, peer, extra_updates):
    """Returns up to 8 updates, those passed on least often first.

    Some further members follow in turn, so that a node that was away for a
    while learns what it missed. The receiver always learns what this node
    thinks of it, so that it can refute a suspicion at once.
    """
    domain = state.domains["membership"]
    limit = 4 * math.ceil(math.log2(len(domain.members) + 2))
    chosen = []
    about = domain.members.get(peer)
    if about is not None and about.state in ("suspect", "down"):
        chosen.append(peer)
    rumour = []
    if about is not None and about.state == "alive":
        if about.last_suspicion == (
            about.incarnation,
            about.refutation_counter,
        ):
            # This node dropped the suspicion, others still hold it.
            rumour.append(
                [peer, *about.last_suspicion, "suspect", about.version]
            )
    queue = sorted(domain.updates, key=lambda n: (domain.updates[n], n))
    for node in queue[:MAX_UPDATES]:
        domain.updates[node] += 1
        if domain.updates[node] >= limit:
            del domain.updates[node]
        if node not in chosen:
            chosen.append(node)
    names = list(domain.members)
    for _ in range(min(extra_updates, len(names))):
        domain.extra_update_cursor = (domain.extra_update_cursor + 1) % len(
            names
        )
        node = names[domain.extra_update_cursor]
        if node not in chosen and domain.members[node].state != "unknown":
            chosen.append(node)
    room = MAX_UPDATES - len(rumour)
    return rumour + [encode_update(state, node) for node in chosen[:room]]


def encode_update(state, node: str) -> list:
    """Returns the update about a node."""
    domain = state.domains["membership"]
    if node == state.node:
        mine = (
            state.incarnation,
            domain.refutation_counter,
            "alive",
            domain.version,
        )
        return [node, *mine]
    member = domain.members[node]
    return [
        node,
        member.incarnation,
        member.refutation_counter,
        member.state,
        member.version,
    ]


def add_member(state, node, data_centre, region, address, forward) -> Member:
    """Adds a node or completes what is known about it."""
    domain = state.domains["membership"]
    member = domain.members.get(node)
    if member is None:
        member = Member(node, data_centre, region, address, forward)
        member.connect_at = state.now
        if data_centre == state.data_centre and state.node > node:
            member.connect_at += ACCEPT_WAIT_MS
        domain.members[node] = member
    else:
        member.data_centre = data_centre or member.data_centre
        member.region = region or member.region
        member.address = address or member.address
        member.forward = forward or member.forward
    domain.link_targets = None
    domain.alive_cache.clear()
    return member


def change_state(
    state, member, new_state=None, unresponsive=None, disseminate=True
):
    """Changes a member's state and raises MemberChanged on a new view."""
    domain = state.domains["membership"]
    before = member.effective_state()
    if new_state is not None:
        member.state = new_state
    if unresponsive is not None:
        member.unresponsive = unresponsive
    if disseminate:
        domain.updates[member.node] = 0
    if member.state == "suspect":
        member.last_suspicion = (member.incarnation, member.refutation_counter)
        if member.data_centre == state.data_centre:
            start_suspicion(state, member)
    elif member.node in domain.suspects:
        domain.suspects.remove(member.node)
    after = member.effective_state()
    if before == after:
        return
    domain.alive_cache.clear()
    domain.link_targets = None
    state.raise_event(
        events.MemberChanged(state.now, member.node, member.data_centre, after)
    )


def start_suspicion(state, member):
    """Probes a member often, until it answers or its time is over."""
    domain = state.domains["membership"]
    if member.node in domain.suspects:
        return
    domain.suspects.append(member.node)
    member.suspect_until = state.now + SUSPICION_MS
    member.suspect_probe_at = state.now


def record_contact(state, member, incarnation):
    """Takes a message received from the member as proof of life."""
    domain = state.domains["membership"]
    if incarnation < member.incarnation:
        return
    member.last_contact_at = state.now
    if member.node in domain.suspects:
        domain.suspects.remove(member.node)
    if incarnation > member.incarnation:
        member.incarnation = incarnation
        member.refutation_counter = 0
        change_state(state, member, "alive", unresponsive=False)
    elif member.state in ("unknown", "suspect"):
        change_state(state, member, "alive", unresponsive=False)
    elif member.unresponsive:
        change_state(state, member, unresponsive=False, disseminate=False)


def apply_update(state, update: list):
    """Takes an update from another node unless the view is newer."""
    domain = state.domains["membership"]
    node, incarnation, counter, reported, version = update
    if node == state.node:
        is_about_me = incarnation == state.incarnation and not domain.leaving
        if is_about_me and reported != "alive":
            # The refutation is passed on again even when the counter is
            # already higher: the first copies may all have been lost.
            domain.refutation_counter = max(
                domain.refutation_counter, counter + 1
            )
            domain.updates[node] = 0
        return
    member = domain.members.get(node)
    if member is None:
        return
    if incarnation == member.incarnation and version > member.version:
        member.version = version
        domain.updates[node] = 0
    theirs = (incarnation, counter, _RANK[reported])
    ours = (member.incarnation, member.refutation_counter, _RANK[member.state])
    if theirs <= ours:
        return
    if reported != "alive":
        # Messages received from the node itself go before hearsay.
        if domain.recovering_from_pause:
            return
        age_ms = state.now - member.last_contact_at
        if member.state == "alive" and age_ms < PROBE_INTERVAL_MS:
            return
        if reported == "down" and age_ms < SUSPICION_MS:
            reported = "suspect"
    if incarnation > member.incarnation:
        member.version = version
    member.incarnation = incarnation
    member.refutation_counter = counter
    if reported != member.state:
        change_state(state, member, reported)
    else:
        domain.updates[node] = 0
