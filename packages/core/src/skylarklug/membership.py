"""Failure detection between nodes, and the handlers of the link events.

Failure detection follows SWIM (Das, Gupta, Motivala, "SWIM: Scalable
Weakly-consistent Infection-style Process Group Membership Protocol", 2002):
probes, indirect probes, suspicion with refutation, and membership updates
piggybacked on probes. In addition, any message received from a suspect clears
the suspicion: with 30% message loss, the refutation alone often arrives too
late.

A suspicion is disseminated only inside the data centre of the suspect. A node
of another data centre that does not answer is marked as down only locally.
Otherwise a network partition between two data centres would be reported as the
failure of nodes that a third data centre still reaches.
"""

from skylarklug import events
from skylarklug import links
from skylarklug import members as members_lib

# A direct probe without an answer for this long is followed by indirect ones.
PROBE_TIMEOUT_MS = 500
# Time for an answer through another node before the probe counts as failed.
INDIRECT_TIMEOUT_MS = 1_000
# Number of nodes that are asked to probe a node that did not answer.
INDIRECT_PROBES = 2
# Interval between probes of linked nodes in other data centres.
REMOTE_PROBE_INTERVAL_MS = 5_000
# With 30% message loss, a probe and its answer both arrive in 49% of all
# cases. The 20 probes during a suspicion reduce the probability of a false
# "down" to about one in a million.
SUSPECT_PROBE_INTERVAL_MS = 250
# A longer gap between two ticks means that this process was paused.
PAUSE_THRESHOLD_MS = 1_000

MembershipState = members_lib.MembershipState
live_nodes = members_lib.live_nodes
own_addresses = members_lib.own_addresses
known_nodes = members_lib.known_nodes
announce_leave = members_lib.announce_leave
linked_nodes = members_lib.linked_nodes
list_nodes = members_lib.list_nodes
is_reachable = members_lib.is_reachable
send = members_lib.send
set_config_version = members_lib.set_config_version
config_versions = members_lib.config_versions


def new_state() -> MembershipState:
    """Returns the initial state, without other members."""
    return MembershipState()


def _send_probe(
    state, effects, peer, kind, seq, extra_updates=members_lib.EXTRA_UPDATES
):
    domain = state.domains["membership"]
    fields = {
        "seq": seq,
        "version": domain.version,
        "updates": members_lib.select_updates(state, peer, extra_updates),
    }
    send(state, effects, peer, kind, fields)


def _choose_probers(state, node):
    """Returns linked nodes for indirect probes, own data centre first."""
    domain = state.domains["membership"]
    local = []
    remote = []
    for other in domain.members.values():
        eligible = (
            other.linked and other.node != node and not other.unresponsive
        )
        if not eligible or other.state in ("down", "unknown"):
            continue
        is_local = other.data_centre == state.data_centre
        (local if is_local else remote).append(other.node)
    state.rng.shuffle(local)
    state.rng.shuffle(remote)
    return (local + remote)[:INDIRECT_PROBES]


def _request_indirect_probes(state, effects, node, seq):
    for prober in _choose_probers(state, node):
        send(state, effects, prober, "ping-req", {"seq": seq, "target": node})


def _probe(state, effects, member):
    domain = state.domains["membership"]
    domain.sequence += 1
    seq = domain.sequence
    if member.linked:
        deadline = state.now + PROBE_TIMEOUT_MS
        _send_probe(state, effects, member.node, "ping", seq)
    else:
        deadline = state.now + INDIRECT_TIMEOUT_MS
        _request_indirect_probes(state, effects, member.node, seq)
    indirect = not member.linked
    domain.probes[seq] = members_lib.Probe(member.node, deadline, indirect)


def _check_probes(state, effects):
    domain = state.domains["membership"]
    for seq, probe in list(domain.probes.items()):
        if probe.deadline > state.now:
            continue
        member = domain.members.get(probe.node)
        if member is not None and not probe.indirect:
            probe.indirect = True
            probe.deadline = state.now + INDIRECT_TIMEOUT_MS
            _request_indirect_probes(state, effects, probe.node, seq)
            continue
        del domain.probes[seq]
        if member is not None and not domain.recovering_from_pause:
            _on_probe_failed(state, member)
    for seq, relay in list(domain.relayed_probes.items()):
        if relay[2] <= state.now:
            del domain.relayed_probes[seq]


def _on_probe_failed(state, member):
    if state.now - member.last_contact_at < members_lib.PROBE_INTERVAL_MS:
        return
    local = member.data_centre == state.data_centre
    if local and member.state == "alive":
        members_lib.change_state(state, member, "suspect")
    elif not local and member.effective_state() in ("alive", "suspect"):
        members_lib.start_suspicion(state, member)


def _check_suspects(state, effects):
    domain = state.domains["membership"]
    for node in list(domain.suspects):
        member = domain.members[node]
        if (
            state.now >= member.suspect_until
            and not domain.recovering_from_pause
        ):
            if member.data_centre == state.data_centre:
                members_lib.change_state(state, member, "down")
            else:
                domain.suspects.remove(node)
                members_lib.change_state(
                    state, member, unresponsive=True, disseminate=False
                )
        elif state.now >= member.suspect_probe_at:
            member.suspect_probe_at = state.now + SUSPECT_PROBE_INTERVAL_MS
            _probe(state, effects, member)


def _next_local_target(state):
    domain = state.domains["membership"]
    while domain.probe_queue:
        member = domain.members.get(domain.probe_queue.pop())
        if member is not None and member.state != "unknown":
            return member
    # After a pause, every member has now been probed once.
    domain.recovering_from_pause = False
    domain.probe_queue = [
        member.node
        for member in domain.members.values()
        if member.data_centre == state.data_centre and member.state != "unknown"
    ]
    state.rng.shuffle(domain.probe_queue)
    return (
        domain.members[domain.probe_queue.pop()] if domain.probe_queue else None
    )


def _next_remote_target(state):
    domain = state.domains["membership"]
    if not domain.remote_probe_queue:
        domain.remote_probe_queue = [
            member.node
            for member in domain.members.values()
            if member.data_centre != state.data_centre and member.linked
        ]
        state.rng.shuffle(domain.remote_probe_queue)
    if not domain.remote_probe_queue:
        return None
    return domain.members.get(domain.remote_probe_queue.pop())


def _on_started(state, event, effects):
    state.domains["membership"] = domain = members_lib.MembershipState()
    for node in state.settings.get("nodes", ()):
        if node["node"] == state.node:
            continue
        member = members_lib.add_member(
            state,
            node["node"],
            node["data_centre"],
            node["region"],
            node.get("address", ""),
            node.get("forward", ""),
        )
        member.in_settings = True
    domain.updates[state.node] = 0
    domain.last_tick = state.now
    domain.discovery_at = state.now + state.rng.randint(0, 1_000)
    domain.probe_at = state.now + state.rng.randint(
        0, members_lib.PROBE_INTERVAL_MS
    )
    domain.remote_probe_at = state.now + members_lib.PROBE_INTERVAL_MS


def _on_resumed(state):
    """Discards probes sent before a pause, as their answers may be late.

    Until every member of the data centre has been probed once more, no member
    is suspected or declared down.
    """
    domain = state.domains["membership"]
    domain.recovering_from_pause = True
    domain.probes.clear()
    domain.relayed_probes.clear()
    domain.probe_queue = [
        member.node
        for member in domain.members.values()
        if member.data_centre == state.data_centre
    ]
    for node in domain.suspects:
        domain.members[node].suspect_until = (
            state.now + members_lib.SUSPICION_MS
        )


def _on_tick(state, event, effects):
    domain = state.domains["membership"]
    if (
        domain.last_tick >= 0
        and state.now - domain.last_tick > PAUSE_THRESHOLD_MS
    ):
        _on_resumed(state)
    domain.last_tick = state.now
    if state.now >= domain.link_check_at:
        domain.link_check_at = state.now + links.LINK_CHECK_INTERVAL_MS
        links.open_missing_links(state, effects)
    if domain.probes or domain.relayed_probes:
        _check_probes(state, effects)
    if domain.suspects:
        _check_suspects(state, effects)
    if state.now >= domain.probe_at:
        domain.probe_at = state.now + members_lib.PROBE_INTERVAL_MS
        member = _next_local_target(state)
        if member is not None:
            _probe(state, effects, member)
    if state.now >= domain.remote_probe_at:
        domain.remote_probe_at = state.now + REMOTE_PROBE_INTERVAL_MS
        member = _next_remote_target(state)
        if member is not None:
            _probe(state, effects, member)
    if state.now >= domain.discovery_at and not domain.discovering:
        domain.discovery_at = state.now + links.DISCOVERY_INTERVAL_MS
        links.discover_nodes(state, effects)


def _on_connected(state, event, effects):
    domain = state.domains["membership"]
    member = domain.members.get(event.peer)
    if member is None:
        member = members_lib.add_member(
            state, event.peer, event.data_centre, "", "", ""
        )
    member.linked = True
    member.connecting_until = 0
    member.connect_attempts = 0
    members_lib.record_contact(state, member, event.incarnation)
    domain.sequence += 1
    seq = domain.sequence
    _send_probe(
        state, effects, event.peer, "ping", seq, members_lib.MAX_UPDATES
    )


def _on_lost(state, event, effects):
    domain = state.domains["membership"]
    member = domain.members.get(event.peer)
    if member is None:
        return
    was_linked = member.linked
    member.linked = False
    member.connecting_until = 0
    exponent = min(member.connect_attempts, 10)
    max_delay_ms = min(
        links.RECONNECT_CAP_MS, links.RECONNECT_BASE_MS << exponent
    )
    member.connect_at = state.now + state.rng.randint(0, max_delay_ms)
    if was_linked and member.state == "alive":
        _probe(state, effects, member)


def _on_message(state, event, effects):
    domain = state.domains["membership"]
    member = domain.members.get(event.peer)
    if member is None:
        return
    body = event.body
    kind = body.get("kind")
    if kind == "leave":
        if body.get("incarnation", 0) < member.incarnation:
            return
        member.last_contact_at = -members_lib.SUSPICION_MS
        members_lib.change_state(state, member, "down")
        return
    members_lib.record_contact(state, member, body.get("incarnation", 0))
    if kind in ("ping", "ack"):
        version = body.get("version", 0)
        if version > member.version:
            member.version = version
        for update in body.get("updates", ()):
            members_lib.apply_update(state, update)
    if kind == "ping":
        _send_probe(state, effects, event.peer, "ack", body["seq"])
    elif kind == "ack":
        domain.probes.pop(body["seq"], None)
        relay = domain.relayed_probes.pop(body["seq"], None)
        if relay is not None:
            fields = {"seq": relay[1], "target": event.peer}
            fields["incarnation_of"] = member.incarnation
            send(state, effects, relay[0], "ping-ack", fields)
    elif kind == "ping-req":
        target = domain.members.get(body["target"])
        if target is None or not target.linked:
            return
        domain.sequence += 1
        seq = domain.sequence
        expiry = state.now + INDIRECT_TIMEOUT_MS
        domain.relayed_probes[seq] = (event.peer, body["seq"], expiry)
        _send_probe(state, effects, target.node, "ping", seq)
    elif kind == "ping-ack":
        domain.probes.pop(body["seq"], None)
        target = domain.members.get(body["target"])
        if target is not None:
            members_lib.record_contact(
                state, target, body.get("incarnation_of", 0)
            )


HANDLERS = {
    events.NodeStarted: _on_started,
    events.Tick: _on_tick,
    events.PeerConnected: _on_connected,
    events.PeerLost: _on_lost,
    events.PeerMessage: _on_message,
}
