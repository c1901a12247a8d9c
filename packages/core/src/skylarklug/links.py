"""Links between nodes and discovery of nodes that settings do not name."""

import xxhash

from skylarklug import effects as effects_lib
from skylarklug import members as members_lib
from skylarklug import table

RECONNECT_BASE_MS = 200
RECONNECT_CAP_MS = 5_000
CONNECT_TIMEOUT_MS = 5_000
LINK_CHECK_INTERVAL_MS = 200
DISCOVERY_INTERVAL_MS = 10_000
LINKS_PER_DATA_CENTRE = 2
LINKS_PER_REGION = 1


def _wanted(state):
    """Returns the nodes to which this node opens links, by section 5."""
    domain = state.domains["membership"]
    mesh = []
    choices: dict[tuple[str, str], list[members_lib.Member]] = {}
    for member in domain.members.values():
        if not member.address:
            continue
        if member.data_centre == state.data_centre:
            mesh.append(member.node)
        elif member.region == state.region:
            place = ("data centre", member.data_centre)
            choices.setdefault(place, []).append(member)
        else:
            place = ("region", member.region)
            choices.setdefault(place, []).append(member)
    for place, members in choices.items():
        members.sort(
            key=lambda member: (
                member.effective_state() == "down",
                xxhash.xxh64_intdigest(f"{state.node}|{member.node}".encode()),
            )
        )
        within = place[0] == "data centre"
        count = LINKS_PER_DATA_CENTRE if within else LINKS_PER_REGION
        mesh.extend(member.node for member in members[:count])
    return tuple(sorted(mesh))


def open_missing_links(state, effects: list):
    """Opens the links that are wanted and missing."""
    domain = state.domains["membership"]
    if domain.link_targets is None:
        domain.link_targets = _wanted(state)
    for node in domain.link_targets:
        member = domain.members[node]
        busy = member.linked or state.now < member.connecting_until
        if busy or state.now < member.connect_at:
            continue
        member.connecting_until = state.now + CONNECT_TIMEOUT_MS
        member.connect_attempts += 1
        effects.append(effects_lib.ConnectPeer(node, member.address))


def discover_nodes(state, effects: list):
    """Reads the lease rows of all nodes to learn of new ones."""
    domain = state.domains["membership"]

    def done(state, effects, result):
        domain.discovering = False
        if result.status != "read":
            return
        domain.discovery_version = result.version
        for row in result.rows:
            _take_row(state, row)

    domain.discovering = True
    table.read(
        state,
        effects,
        (),
        ("node/",),
        done,
        after_version=domain.discovery_version,
        deadline_ms=DISCOVERY_INTERVAL_MS,
    )


def _take_row(state, row):
    domain = state.domains["membership"]
    node = row.key.removeprefix("node/")
    if node == state.node or row.value is None:
        return
    value = row.value
    member = domain.members.get(node)
    if value.get("state") == "held":
        members_lib.add_member(
            state,
            node,
            value.get("data_centre", ""),
            value.get("region", ""),
            value.get("address", ""),
            value.get("forward", ""),
        )
    elif member is not None and not member.in_settings:
        # Replaced VMs come under new names; their rows must not pile up here.
        if (
            member.effective_state() in ("down", "unknown")
            and not member.linked
        ):
            del domain.members[node]
            domain.updates.pop(node, None)
            domain.link_targets = None
            domain.alive_cache.clear()
