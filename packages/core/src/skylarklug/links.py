"""Links between nodes, and discovery of nodes that are not in the settings."""

import xxhash

from skylarklug import effects as effects_lib
from skylarklug import members as members_lib
from skylarklug import table

# The delay before a reconnect is random, up to a limit that doubles with each
# attempt from the base to the cap.
RECONNECT_BASE_MS = 200
RECONNECT_CAP_MS = 5_000
# A connection attempt without a result for this long is repeated.
CONNECT_TIMEOUT_MS = 5_000
# Interval between checks for missing links.
LINK_CHECK_INTERVAL_MS = 200
# Interval between reads of the lease rows of all nodes.
DISCOVERY_INTERVAL_MS = 10_000
# Number of links to each other data centre of the own region.
LINKS_PER_DATA_CENTRE = 2
# Number of links to each other region.
LINKS_PER_REGION = 1


def _choose_link_targets(state):
    """Returns the nodes to which this node opens links.

    These are all nodes of its data centre, `LINKS_PER_DATA_CENTRE` nodes of
    each other data centre of its region, and `LINKS_PER_REGION` nodes of each
    other region. Nodes that are not down are preferred, then those with the
    lowest hash of both names.
    """
    domain = state.domains["membership"]
    targets = []
    candidates: dict[tuple[str, str], list[members_lib.Member]] = {}
    for member in domain.members.values():
        if not member.address:
            continue
        if member.data_centre == state.data_centre:
            targets.append(member.node)
        elif member.region == state.region:
            group = ("data centre", member.data_centre)
            candidates.setdefault(group, []).append(member)
        else:
            group = ("region", member.region)
            candidates.setdefault(group, []).append(member)
    for group, members in candidates.items():
        members.sort(
            key=lambda member: (
                member.effective_state() == "down",
                xxhash.xxh64_intdigest(f"{state.node}|{member.node}".encode()),
            )
        )
        is_data_centre = group[0] == "data centre"
        count = LINKS_PER_DATA_CENTRE if is_data_centre else LINKS_PER_REGION
        targets.extend(member.node for member in members[:count])
    return tuple(sorted(targets))


def open_missing_links(state, effects: list):
    """Connects to the target nodes to which no link is open."""
    domain = state.domains["membership"]
    if domain.link_targets is None:
        domain.link_targets = _choose_link_targets(state)
    for node in domain.link_targets:
        member = domain.members[node]
        busy = member.linked or state.now < member.connecting_until
        if busy or state.now < member.connect_at:
            continue
        member.connecting_until = state.now + CONNECT_TIMEOUT_MS
        member.connect_attempts += 1
        effects.append(effects_lib.ConnectPeer(node, member.address))


def discover_nodes(state, effects: list):
    """Reads the lease rows of all nodes to find new ones."""
    domain = state.domains["membership"]

    def on_read(state, effects, result):
        domain.discovering = False
        if result.status != "read":
            return
        domain.discovery_version = result.version
        for row in result.rows:
            _apply_lease_row(state, row)

    domain.discovering = True
    table.read(
        state,
        effects,
        (),
        ("node/",),
        on_read,
        after_version=domain.discovery_version,
        deadline_ms=DISCOVERY_INTERVAL_MS,
    )


def _apply_lease_row(state, row):
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
        # Replacement VMs have new names, so members of former VMs would
        # otherwise accumulate.
        if (
            member.effective_state() in ("down", "unknown")
            and not member.linked
        ):
            del domain.members[node]
            domain.updates.pop(node, None)
            domain.link_targets = None
            domain.alive_cache.clear()
