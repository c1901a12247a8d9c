"""Team quotas, divided into grants per partition, and weighted fair share.

A row `quota/<team>` holds the grant of each partition and the needs of
partitions that wait for a larger one. An owner starts tasks only within its
grant, and changes grants by compare-and-set. So partitions that cannot reach
each other never exceed the team's limit together.
"""

from skylarklug import effects as effects_lib
from skylarklug import events
from skylarklug import tasks

# Interval between reads of the quota rows.
POLL_MS = 2_000
# Time between changes of one row; after a failure it is the bound of a random
# delay, so that owners do not collide again.
RETRY_MS = 1_000
# Age of the last request at which a partition's entry under "wants" is removed.
REQUEST_EXPIRY_MS = 10_000
# An owner requests one chunk (an eighth of the limit) more than it needs, so
# that one write to the table serves several starts. It returns a grant whose
# idle part exceeds two chunks.
CHUNKS_PER_LIMIT = 8
MAX_IDLE_CHUNKS = 2

ZERO = (0, 0, 0)


class TeamQuota:
    """One team's quota row as last read by this node, and its pending changes.

    `requested_at` holds the time of the last refused start by partition.
    """

    __slots__ = (
        "version",
        "grants",
        "wants",
        "commit_pending",
        "retry_at",
        "loaded",
        "requested_at",
    )

    def __init__(self):
        self.version = 0
        self.grants = {}
        self.wants = {}
        self.commit_pending = False
        self.retry_at = 0
        self.loaded = False
        self.requested_at = {}


class QuotaState:
    """Usage by partition and team, limits, weights and quota rows."""

    def __init__(self):
        self.used: dict[str, dict[str, list[int]]] = {}
        self.limits: dict[str, tuple] = {}
        self.weights: dict[str, float] = {}
        self.teams: dict[str, TeamQuota] = {}
        self.version = 0
        self.read_pending = False
        self.next_poll_at = 0


def new_state() -> QuotaState:
    """Returns a state without usage."""
    return QuotaState()


def charge(state, partition, team, size, sign):
    """Adds a reservation to the usage (sign 1), or removes it (sign -1)."""
    teams = state.domains["quota"].used.setdefault(partition, {})
    used = teams.setdefault(team, [0, 0, 0])
    for i in range(3):
        used[i] += sign * size[i]


def used(state, partition, team) -> tuple:
    """Returns the sum of the declared sizes reserved for the team."""
    teams = state.domains["quota"].used.get(partition, {})
    return tuple(teams.get(team, ZERO))


def shares(state, partition, teams) -> list:
    """Returns (weighted share of the partition, team) for each team.

    The share is the dominant share of Ghodsi et al., "Dominant Resource
    Fairness" (NSDI 2011), divided by the team's weight.
    """
    from skylarklug import placement

    domain = state.domains["quota"]
    cpus, memory, accelerators = placement.totals(state, partition)
    charged = domain.used.get(partition, {})
    result = []
    for team in teams:
        in_use = charged.get(team, ZERO)
        dominant = in_use[0] / (cpus or 1)
        if in_use[1] > dominant * memory:
            dominant = in_use[1] / (memory or 1)
        if in_use[2] > dominant * accelerators:
            dominant = in_use[2] / (accelerators or 1)
        result.append((dominant / domain.weights.get(team, 1.0), team))
    return result


def admits(state, effects, partition, team, size) -> bool:
    """Returns whether the team may start a task of this size now.

    Requests a larger grant if the current one is too small.
    """
    domain = state.domains["quota"]
    limit = domain.limits.get(team)
    if limit is None:
        return True
    entry = domain.teams.setdefault(team, TeamQuota())
    in_use = used(state, partition, team)
    need = tuple(in_use[i] + size[i] for i in range(3))
    if not _within(need, limit):
        return False
    grant = entry.grants.get(partition, ZERO)
    if _within(need, grant) and _is_within_fair_limit(
        entry, partition, limit, in_use, need
    ):
        return True
    entry.requested_at[partition] = state.now
    if not entry.commit_pending and state.now >= entry.retry_at:
        _update_grant(state, effects, team, entry, partition, need)
    return False


def _within(need, limit):
    return all(need[i] <= limit[i] for i in range(3))


def _fair_limit(entry, partition, limit):
    """Returns the limit, divided equally while other partitions wait."""
    others = entry.wants.keys() - {partition}
    if not others:
        return limit
    sharing = entry.grants.keys() | others | {partition}
    return tuple(amount // len(sharing) for amount in limit)


def _is_within_fair_limit(entry, partition, limit, in_use, need):
    """Returns whether the need is fair to partitions that wait.

    The first task is always allowed, as it alone may exceed an equal share.
    """
    if not any(in_use):
        return True
    return _within(need, _fair_limit(entry, partition, limit))


def _row_value(limit, grants, wants):
    return {
        "limit": list(limit),
        "grants": {name: list(g) for name, g in grants.items()},
        "wants": {name: list(w) for name, w in wants.items()},
    }


def _update_grant(state, effects, team, entry, partition, need):
    """Raises the grant to at least `need`, or adds `need` to "wants"."""
    domain = state.domains["quota"]
    limit = domain.limits.get(team)
    if limit is None:
        return
    if not entry.loaded:
        _read_rows(state, effects)
        return
    grants, wants = dict(entry.grants), dict(entry.wants)
    in_use = used(state, partition, team)
    current = grants.get(partition, ZERO)
    others = [g for name, g in grants.items() if name != partition]
    available = [limit[i] - sum(g[i] for g in others) for i in range(3)]
    chunk = [amount // CHUNKS_PER_LIMIT for amount in limit]
    fair = _fair_limit(entry, partition, limit)
    wants.pop(partition, None)
    if _within(need, available) and _is_within_fair_limit(
        entry, partition, limit, in_use, need
    ):
        new_grant = [min(need[i] + chunk[i], available[i]) for i in range(3)]
        if wants:
            new_grant = list(need)
    else:
        new_grant = [max(in_use[i], min(current[i], fair[i])) for i in range(3)]
        if not _within(need, current):
            wants[partition] = need
    grants[partition] = tuple(new_grant)
    if not any(new_grant):
        del grants[partition]
    if grants == entry.grants and wants == entry.wants:
        entry.retry_at = state.now + RETRY_MS
        return
    _commit(state, effects, team, entry, partition, grants, wants)


def _commit(state, effects, team, entry, partition, grants, wants):
    from skylarklug import table

    domain = state.domains["quota"]
    entry.commit_pending = True
    # A smaller grant applies at once, a larger one only after the commit.
    old_grants = entry.grants
    current = old_grants.get(partition, ZERO)
    new_grant = grants.get(partition, ZERO)
    effective = tuple(min(current[i], new_grant[i]) for i in range(3))
    entry.grants = {**old_grants, partition: effective}

    def on_result(state, effects, result):
        entry.commit_pending = False
        if result.status != "committed":
            entry.grants = old_grants
            entry.retry_at = state.now + state.rng.randrange(RETRY_MS)
            _read_rows(state, effects)
            return
        entry.version = result.version
        entry.grants, entry.wants = grants, wants
        entry.retry_at = state.now + RETRY_MS
        _request_round(state, partition)
        tasks.log(
            effects, "quota", team=team, partition=partition,
            version=result.version, reason=f"grant {grants.get(partition)}",
        )  # fmt: skip

    key = f"quota/{team}"
    table.commit(
        state, effects, (effects_lib.Check(key, entry.version),),
        (
            effects_lib.Write(
                key, _row_value(domain.limits[team], grants, wants)
            ),
        ),
        on_result,
    )  # fmt: skip


def _request_round(state, partition):
    from skylarklug import placement

    placement.request_round(state, partition)


def _read_rows(state, effects):
    from skylarklug import table

    domain = state.domains["quota"]
    if domain.read_pending:
        return
    domain.read_pending = True
    domain.next_poll_at = state.now + POLL_MS

    def on_result(state, effects, result):
        domain.read_pending = False
        if result.status != "read":
            return
        domain.version = max(domain.version, result.version)
        for row in result.rows:
            _apply_row(domain, row)
        for team in domain.limits:
            domain.teams.setdefault(team, TeamQuota()).loaded = True
        for partition in domain.used:
            _request_round(state, partition)

    table.read(
        state, effects, (), ("quota/",), on_result, after_version=domain.version
    )


def _apply_row(domain, row):
    entry = domain.teams.setdefault(row.key.partition("/")[2], TeamQuota())
    if entry.commit_pending or row.version <= entry.version:
        return
    value = row.value or {}
    entry.version = row.version if row.value is not None else 0
    entry.grants = _tuples(value.get("grants", {}))
    entry.wants = _tuples(value.get("wants", {}))


def _tuples(amounts):
    return {name: tuple(values) for name, values in amounts.items()}


def _return_grants(state, effects):
    """Returns unused grants that are too large or that others wait for."""
    domain = state.domains["quota"]
    for team, limit in domain.limits.items():
        entry = domain.teams.get(team)
        if entry is None or entry.commit_pending or state.now < entry.retry_at:
            continue
        for partition in domain.used:
            current = entry.grants.get(partition, ZERO)
            in_use = used(state, partition, team)
            others = entry.wants.keys() - {partition}
            is_idle = any(
                current[i] - in_use[i]
                > MAX_IDLE_CHUNKS * limit[i] // CHUNKS_PER_LIMIT
                for i in range(3)
            )
            request_age_ms = state.now - entry.requested_at.get(
                partition, -REQUEST_EXPIRY_MS
            )
            is_expired = (
                partition in entry.wants and request_age_ms >= REQUEST_EXPIRY_MS
            )
            if not (is_idle or is_expired or (others and current != in_use)):
                continue
            grants, wants = dict(entry.grants), dict(entry.wants)
            grants[partition] = tuple(map(min, current, in_use))
            if not any(grants[partition]):
                del grants[partition]
            if is_expired:
                del wants[partition]
            _commit(state, effects, team, entry, partition, grants, wants)
            break


def _apply_config(state, document):
    domain = state.domains["quota"]
    domain.limits, domain.weights = {}, {}
    for team, value in sorted(document.get("teams", {}).items()):
        domain.weights[team] = max(1e-6, float(value.get("weight", 1)))
        if "cpus" in value:
            domain.limits[team] = tuple(
                tasks.size_of({"memory_mb": 0, **value})
            )


def _on_config(state, event, effects):
    _apply_config(state, event.document)


def _on_acquired(state, event, effects):
    from skylarklug import configuration

    _apply_config(state, configuration.current(state) or {})
    domain = state.domains["quota"]
    domain.used[event.partition] = {}
    if domain.limits:
        _read_rows(state, effects)


def _on_lost(state, event, effects):
    state.domains["quota"].used.pop(event.partition, None)


def _on_tick(state, event, effects):
    domain = state.domains["quota"]
    if not domain.used or not domain.limits or state.now < domain.next_poll_at:
        return
    from skylarklug import ownership

    if ownership.mode(state) == "held":
        _return_grants(state, effects)
        _read_rows(state, effects)


HANDLERS = {
    events.PartitionAcquired: _on_acquired,
    events.PartitionLost: _on_lost,
    events.ConfigApplied: _on_config,
    events.Tick: _on_tick,
}
