"""Which nodes are alive and which links this node keeps.

Failure detection follows SWIM (Das, Gupta, Motivala, "SWIM: Scalable
Weakly-consistent Infection-style Process Group Membership Protocol", 2002):
probes, indirect probes, suspicion with refutation and updates carried by
probes. A message received from a suspect is also taken as proof of life,
because under 30% loss the refutation alone arrives too late too often.

Suspicion spreads only inside the data centre of the suspect. A node of
another data centre that does not answer is down in this node's own view; a
cut between two data centres is otherwise reported as the failure of nodes
that a third one still reaches.
"""

from skylarklug import events
from skylarklug import links
from skylarklug import members as members_lib

PROBE_TIMEOUT_MS = 500
INDIRECT_TIMEOUT_MS = 1_000
INDIRECT_PROBES = 2
REMOTE_PROBE_INTERVAL_MS = 5_000
# With 30% loss a probe and its answer both arrive in 49% of all cases; 20
# probes during a suspicion leave a false "down" at about one in a million.
SUSPECT_PROBE_INTERVAL_MS = 250
PAUSE_MS = 1_000

MembershipState = members_lib.MembershipState
alive = members_lib.alive
entry = members_lib.entry
known = members_lib.known
leave = members_lib.leave
linked = members_lib.linked
list_nodes = members_lib.list_nodes
reachable = members_lib.reachable
send = members_lib.send
set_version = members_lib.set_version
versions = members_lib.versions


def new_state() -> MembershipState:
    """Returns the state of a node that knows no other."""
    return MembershipState()


def _send_probe(state, effects, peer, kind, seq, fill=members_lib.FILL_UPDATES):
    domain = state.domains["membership"]
    fields = {
        "seq": seq,
        "version": domain.version,
        "updates": members_lib.take_updates(state, peer, fill),
    }
    send(state, effects, peer, kind, fields)


def _helpers(state, node):
    """Returns linked nodes for indirect probes, the same data centre first."""
    domain = state.domains["membership"]
    near = []
    far = []
    for other in domain.members.values():
        usable = other.linked and other.node != node and not other.silent
        if not usable or other.state in ("down", "unknown"):
            continue
        is_near = other.data_centre == state.data_centre
        (near if is_near else far).append(other.node)
    state.rng.shuffle(near)
    state.rng.shuffle(far)
    return (near + far)[:INDIRECT_PROBES]


def _ask_helpers(state, effects, node, seq):
    for helper in _helpers(state, node):
        send(state, effects, helper, "ping-req", {"seq": seq, "target": node})


def _probe(state, effects, member):
    domain = state.domains["membership"]
    domain.sequence += 1
    seq = domain.sequence
    if member.linked:
        deadline = state.now + PROBE_TIMEOUT_MS
        _send_probe(state, effects, member.node, "ping", seq)
    else:
        deadline = state.now + INDIRECT_TIMEOUT_MS
        _ask_helpers(state, effects, member.node, seq)
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
            _ask_helpers(state, effects, probe.node, seq)
            continue
        del domain.probes[seq]
        if member is not None and not domain.quiet:
            _no_answer(state, member)
    for seq, relay in list(domain.relays.items()):
        if relay[2] <= state.now:
            del domain.relays[seq]


def _no_answer(state, member):
    if state.now - member.heard_at < members_lib.PROBE_INTERVAL_MS:
        return
    near = member.data_centre == state.data_centre
    if near and member.state == "alive":
        members_lib.change(state, member, "suspect")
    elif not near and member.view() in ("alive", "suspect"):
        members_lib.watch(state, member)


def _check_suspects(state, effects):
    domain = state.domains["membership"]
    for node in list(domain.suspects):
        member = domain.members[node]
        if state.now >= member.suspect_until and not domain.quiet:
            if member.data_centre == state.data_centre:
                members_lib.change(state, member, "down")
            else:
                domain.suspects.remove(node)
                members_lib.change(state, member, silent=True, spread=False)
        elif state.now >= member.suspect_probe_at:
            member.suspect_probe_at = state.now + SUSPECT_PROBE_INTERVAL_MS
            _probe(state, effects, member)


def _next_of_round(state):
    domain = state.domains["membership"]
    while domain.round:
        member = domain.members.get(domain.round.pop())
        if member is not None and member.state != "unknown":
            return member
    # A quiet node has now probed every member once.
    domain.quiet = False
    domain.round = [
        member.node
        for member in domain.members.values()
        if member.data_centre == state.data_centre and member.state != "unknown"
    ]
    state.rng.shuffle(domain.round)
    return domain.members[domain.round.pop()] if domain.round else None


def _next_remote(state):
    domain = state.domains["membership"]
    if not domain.remote_round:
        domain.remote_round = [
            member.node
            for member in domain.members.values()
            if member.data_centre != state.data_centre and member.linked
        ]
        state.rng.shuffle(domain.remote_round)
    if not domain.remote_round:
        return None
    return domain.members.get(domain.remote_round.pop())


def _on_started(state, event, effects):
    state.domains["membership"] = domain = members_lib.MembershipState()
    for node in state.settings.get("nodes", ()):
        if node["node"] == state.node:
            continue
        member = members_lib.add(
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


def _resume(state):
    """Forgets probes that ran during a pause, as their answers may be late."""
    domain = state.domains["membership"]
    domain.quiet = True
    domain.probes.clear()
    domain.relays.clear()
    domain.round = [
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
    if domain.last_tick >= 0 and state.now - domain.last_tick > PAUSE_MS:
        _resume(state)
    domain.last_tick = state.now
    if state.now >= domain.links_at:
        domain.links_at = state.now + links.LINK_CHECK_INTERVAL_MS
        links.check(state, effects)
    if domain.probes or domain.relays:
        _check_probes(state, effects)
    if domain.suspects:
        _check_suspects(state, effects)
    if state.now >= domain.probe_at:
        domain.probe_at = state.now + members_lib.PROBE_INTERVAL_MS
        member = _next_of_round(state)
        if member is not None:
            _probe(state, effects, member)
    if state.now >= domain.remote_probe_at:
        domain.remote_probe_at = state.now + REMOTE_PROBE_INTERVAL_MS
        member = _next_remote(state)
        if member is not None:
            _probe(state, effects, member)
    if state.now >= domain.discovery_at and not domain.discovering:
        domain.discovery_at = state.now + links.DISCOVERY_INTERVAL_MS
        links.discover(state, effects)


def _on_connected(state, event, effects):
    domain = state.domains["membership"]
    member = domain.members.get(event.peer)
    if member is None:
        member = members_lib.add(
            state, event.peer, event.data_centre, "", "", ""
        )
    member.linked = True
    member.connecting_until = 0
    member.connect_attempts = 0
    members_lib.heard(state, member, event.incarnation)
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
    step = min(member.connect_attempts, 10)
    limit = min(links.RECONNECT_CAP_MS, links.RECONNECT_BASE_MS << step)
    member.connect_at = state.now + state.rng.randint(0, limit)
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
        member.heard_at = -members_lib.SUSPICION_MS
        members_lib.change(state, member, "down")
        return
    members_lib.heard(state, member, body.get("incarnation", 0))
    if kind in ("ping", "ack"):
        version = body.get("version", 0)
        if version > member.version:
            member.version = version
        for update in body.get("updates", ()):
            members_lib.take_update(state, update)
    if kind == "ping":
        _send_probe(state, effects, event.peer, "ack", body["seq"])
    elif kind == "ack":
        domain.probes.pop(body["seq"], None)
        relay = domain.relays.pop(body["seq"], None)
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
        domain.relays[seq] = (event.peer, body["seq"], expiry)
        _send_probe(state, effects, target.node, "ping", seq)
    elif kind == "ping-ack":
        domain.probes.pop(body["seq"], None)
        target = domain.members.get(body["target"])
        if target is not None:
            members_lib.heard(state, target, body.get("incarnation_of", 0))


HANDLERS = {
    events.NodeStarted: _on_started,
    events.Tick: _on_tick,
    events.PeerConnected: _on_connected,
    events.PeerLost: _on_lost,
    events.PeerMessage: _on_message,
}
