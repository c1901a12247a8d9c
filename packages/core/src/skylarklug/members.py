"""The membership view of this node, and updates exchanged about it.

This module applies updates and contacts to the view; `membership` and `links`
decide when. An update about a node is the list `[node, incarnation, refutation
counter, state, configuration version]`. The update with the greater
(incarnation, refutation counter, state) takes precedence.
"""

import math
from typing import Any

from skylarklug import effects as effects_lib
from skylarklug import events

# Interval between probes of members in the own data centre. A member that was
# heard from within one interval is not suspected.
PROBE_INTERVAL_MS = 1_000
# A suspect that is not heard from for this long is declared down.
SUSPICION_MS = 5_000
# Limit of the number of updates in one message.
MAX_UPDATES = 8
# Number of members added to each message in rotation, besides new updates.
EXTRA_UPDATES = 2
# Within a data centre, the node with the smaller name opens the link. The other
# one opens it only if there is no link after this time.
ACCEPT_WAIT_MS = 2_000

# With equal incarnation and refutation counter, the higher rank wins.
_STATE_RANK = {"unknown": -1, "alive": 0, "suspect": 1, "down": 2}


class Member:
    """State of another node as known to this one.

    `state` is "unknown", "alive", "suspect" or "down". Times are in
    milliseconds of this node's clock.
    """

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
        # The member is in another data centre and does not answer this node.
        self.unresponsive = False
        self.version = 0
        self.linked = False
        self.connecting_until = 0
        self.connect_at = 0
        self.connect_attempts = 0
        self.last_contact_at = -SUSPICION_MS
        self.suspect_until = 0
        self.suspect_probe_at = 0
        # (incarnation, refutation counter) of the last suspicion.
        self.last_suspicion = (0, -1)

    def effective_state(self):
        """Returns the state that applies to the other modules."""
        return "down" if self.unresponsive else self.state


class Probe:
    """A probe that has not been answered.

    After `deadline`, a direct probe is followed by indirect ones and an
    indirect one has failed.
    """

    __slots__ = ("node", "deadline", "indirect")

    def __init__(self, node, deadline, indirect):
        self.node = node
        self.deadline = deadline
        self.indirect = indirect


class MembershipState:
    """Members, outstanding probes and updates to be disseminated.

    `relayed_probes` maps the sequence number of a probe sent for another node
    to (requesting node, its sequence number, expiry). `updates` maps a node to
    the number of times that its update has been sent. `suspects` are the
    members that are probed frequently, in other data centres as well.
    `link_targets` and `alive_cache` are derived from the members and reset
    when these change.
    """

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
    """Returns the live nodes of a data centre, sorted by name.

    They include this node, in its own data centre, and suspects until they are
    declared down.
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
    """Returns whether the node is live and a link to it is open."""
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
    versions = {state.node: domain.version}
    for node in sorted(domain.members):
        member = domain.members[node]
        if member.state in ("alive", "suspect"):
            versions[node] = member.version
    return versions


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
    """Sends a message to a peer; it is dropped if no link is open."""
    body = {"kind": kind, "from": state.node, "incarnation": state.incarnation}
    effects.append(effects_lib.SendPeer(peer, {**body, **fields}))


def announce_leave(state, effects: list, partitions: list[str]):
    """Informs all linked nodes that this node is stopping."""
    domain = state.domains["membership"]
    domain.leaving = True
    domain.alive_cache.clear()
    for peer in linked_nodes(state):
        send(state, effects, peer, "leave", {"partitions": partitions})


def set_config_version(state, version: int):
    """Sets the configuration version that is reported to other nodes."""
    domain = state.domains["membership"]
    domain.version = version
    domain.updates[state.node] = 0


def select_updates(state, peer, extra_updates):
    """Returns up to 8 updates for a peer, those sent least often first.

    They are followed by up to `extra_updates` members in rotation, so that a
    node that missed earlier updates catches up. If this node considers the
    peer suspect or down, this update comes first, so that the peer can refute
    it at once.
    """
    domain = state.domains["membership"]
    max_sends = 4 * math.ceil(math.log2(len(domain.members) + 2))
    chosen = []
    recipient = domain.members.get(peer)
    if recipient is not None and recipient.state in ("suspect", "down"):
        chosen.append(peer)
    cleared_suspicions = []
    if recipient is not None and recipient.state == "alive":
        if recipient.last_suspicion == (
            recipient.incarnation,
            recipient.refutation_counter,
        ):
            # This node has cleared the suspicion, but other nodes may still
            # suspect the peer. It is sent to the peer so that the peer refutes
            # it.
            cleared_suspicions.append(
                [peer, *recipient.last_suspicion, "suspect", recipient.version]
            )
    least_sent = sorted(domain.updates, key=lambda n: (domain.updates[n], n))
    for node in least_sent[:MAX_UPDATES]:
        domain.updates[node] += 1
        if domain.updates[node] >= max_sends:
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
    max_chosen = MAX_UPDATES - len(cleared_suspicions)
    return cleared_suspicions + [
        encode_update(state, node) for node in chosen[:max_chosen]
    ]


def encode_update(state, node: str) -> list:
    """Returns the update about a node in its message format."""
    domain = state.domains["membership"]
    if node == state.node:
        own_fields = (
            state.incarnation,
            domain.refutation_counter,
            "alive",
            domain.version,
        )
        return [node, *own_fields]
    member = domain.members[node]
    return [
        node,
        member.incarnation,
        member.refutation_counter,
        member.state,
        member.version,
    ]


def add_member(state, node, data_centre, region, address, forward) -> Member:
    """Adds a member, or sets those attributes that are not empty."""
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
    """Changes a member and raises MemberChanged if its effective state changed.

    With `disseminate`, the change is sent to the other nodes.
    """
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
    """Starts frequent probes of a member until it answers or times out."""
    domain = state.domains["membership"]
    if member.node in domain.suspects:
        return
    domain.suspects.append(member.node)
    member.suspect_until = state.now + SUSPICION_MS
    member.suspect_probe_at = state.now


def record_contact(state, member, incarnation):
    """Marks a member as alive after a message was received from it."""
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
    """Applies an update from another node if it takes precedence."""
    domain = state.domains["membership"]
    node, incarnation, counter, reported, version = update
    if node == state.node:
        can_refute = incarnation == state.incarnation and not domain.leaving
        if can_refute and reported != "alive":
            # The refutation is sent again even if the counter is already
            # higher, because all earlier copies may have been lost.
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
    reported_precedence = (incarnation, counter, _STATE_RANK[reported])
    known_precedence = (
        member.incarnation,
        member.refutation_counter,
        _STATE_RANK[member.state],
    )
    if reported_precedence <= known_precedence:
        return
    if reported != "alive":
        # Direct contact with the node takes precedence over the report.
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
