"""Team quotas as grants per partition, and weighted fair share.

A row `quota/<team>` holds the grant of each partition and what partitions
want. An owner starts tasks only within its grant and changes grants by
compare-and-set, so partitions that cannot reach each other never exceed the
team's limit together.
"""

from skylarklug import effects as effects_lib
from skylarklug import events
from skylarklug import tasks

POLL_MS = 2_000
RETRY_MS = 1_000
ASKED_MS = 10_000
# An owner asks for an eighth of the limit beyond its need, so that the table
# sees a write per several starts; it returns what exceeds two of them.
CHUNK_PARTS = 8
IDLE_CHUNKS = 2

NOTHING = (0, 0, 0)


class Team:
    """What this node knows about one team's quota."""

    __slots__ = (
        "version",
        "grants",
        "wants",
        "busy",
        "retry_at",
        "known",
        "asked",
    )

    def __init__(self):
        self.version = 0
        self.grants = {}
        self.wants = {}
        self.busy = False
        self.retry_at = 0
        self.known = False
        self.asked = {}


class QuotaState:
    """Use per partition and team, limits, and the quota rows."""

    def __init__(self):
        self.used: dict[str, dict[str, list[int]]] = {}
        self.limits: dict[str, tuple] = {}
        self.weights: dict[str, float] = {}
        self.teams: dict[str, Team] = {}
        self.version = 0
        self.reading = False
        self.next_poll = 0


def new_state() -> QuotaState:
    """Returns the state without usage."""
    return QuotaState()


def charge(state, partition, team, size, sign):
    """Counts a reservation (sign 1) or its release (sign -1)."""
    teams = state.domains["quota"].used.setdefault(partition, {})
    used = teams.setdefault(team, [0, 0, 0])
    for i in range(3):
        used[i] += sign * size[i]


def used(state, partition, team) -> tuple:
    """Returns the declared sizes reserved for the team."""
    teams = state.domains["quota"].used.get(partition, {})
    return tuple(teams.get(team, NOTHING))


def shares(state, partition, teams) -> list:
    """Returns (weighted share of the partition, team) for each team.

    The share is the dominant share of Ghodsi et al., "Dominant Resource
    Fairness" (NSDI 2011), divided by the team's weight.
    """
    from skylarklug import placement

    mine = state.domains["quota"]
    cpus, memory, accelerators = placement.totals(state, partition)
    charged = mine.used.get(partition, {})
    result = []
    for team in teams:
        amounts = charged.get(team, NOTHING)
        largest = amounts[0] / (cpus or 1)
        if amounts[1] > largest * memory:
            largest = amounts[1] / (memory or 1)
        if amounts[2] > largest * accelerators:
            largest = amounts[2] / (accelerators or 1)
        result.append((largest / mine.weights.get(team, 1.0), team))
    return result


def admits(state, effects, partition, team, size) -> bool:
    """Says whether the team may start a task of this size now.

    When the grant is too small, a larger one is requested.
    """
    mine = state.domains["quota"]
    limit = mine.limits.get(team)
    if limit is None:
        return True
    entry = mine.teams.setdefault(team, Team())
    amounts = used(state, partition, team)
    need = tuple(amounts[i] + size[i] for i in range(3))
    if not _within(need, limit):
        return False
    grant = entry.grants.get(partition, NOTHING)
    if _within(need, grant) and _is_fair(
        entry, partition, limit, amounts, need
    ):
        return True
    entry.asked[partition] = state.now
    if not entry.busy and state.now >= entry.retry_at:
        _change(state, effects, team, entry, partition, need)
    return False


def _within(need, limit):
    return all(need[i] <= limit[i] for i in range(3))


def _fair(entry, partition, limit):
    """The part of the limit that is left while other partitions want."""
    others = entry.wants.keys() - {partition}
    if not others:
        return limit
    sharing = entry.grants.keys() | others | {partition}
    return tuple(amount // len(sharing) for amount in limit)


def _is_fair(entry, partition, limit, amounts, need):
    """Allows the first task in any case, for it may exceed a fair part."""
    if not any(amounts):
        return True
    return _within(need, _fair(entry, partition, limit))


def _row(limit, grants, wants):
    return {
        "limit": list(limit),
        "grants": {name: list(g) for name, g in grants.items()},
        "wants": {name: list(w) for name, w in wants.items()},
    }


def _change(state, effects, team, entry, partition, need):
    """Sets the partition's grant to at least `need` if the limit allows."""
    mine = state.domains["quota"]
    limit = mine.limits.get(team)
    if limit is None:
        return
    if not entry.known:
        _read(state, effects)
        return
    grants, wants = dict(entry.grants), dict(entry.wants)
    amounts = used(state, partition, team)
    held = grants.get(partition, NOTHING)
    others = [g for name, g in grants.items() if name != partition]
    room = [limit[i] - sum(g[i] for g in others) for i in range(3)]
    chunk = [amount // CHUNK_PARTS for amount in limit]
    fair = _fair(entry, partition, limit)
    wants.pop(partition, None)
    if _within(need, room) and _is_fair(entry, partition, limit, amounts, need):
        goal = [min(need[i] + chunk[i], room[i]) for i in range(3)]
        if wants:
            goal = list(need)
    else:
        goal = [max(amounts[i], min(held[i], fair[i])) for i in range(3)]
        if not _within(need, held):
            wants[partition] = need
    grants[partition] = tuple(goal)
    if not any(goal):
        del grants[partition]
    if grants == entry.grants and wants == entry.wants:
        entry.retry_at = state.now + RETRY_MS
        return
    _commit(state, effects, team, entry, partition, grants, wants)


def _commit(state, effects, team, entry, partition, grants, wants):
    from skylarklug import table

    mine = state.domains["quota"]
    entry.busy = True
    # A smaller grant counts at once, a larger one when it is durable.
    before = entry.grants
    held = before.get(partition, NOTHING)
    after = grants.get(partition, NOTHING)
    lower = tuple(min(held[i], after[i]) for i in range(3))
    entry.grants = {**before, partition: lower}

    def done(state, effects, result):
        entry.busy = False
        if result.status != "committed":
            entry.grants = before
            entry.retry_at = state.now + state.rng.randrange(RETRY_MS)
            _read(state, effects)
            return
        entry.version = result.version
        entry.grants, entry.wants = grants, wants
        entry.retry_at = state.now + RETRY_MS
        _wake_placement(state, partition)
        tasks.log(
            effects, "quota", team=team, partition=partition,
            version=result.version, reason=f"grant {grants.get(partition)}",
        )  # fmt: skip

    key = f"quota/{team}"
    table.commit(
        state, effects, (effects_lib.Check(key, entry.version),),
        (effects_lib.Write(key, _row(mine.limits[team], grants, wants)),),
        done,
    )  # fmt: skip


def _wake_placement(state, partition):
    from skylarklug import placement

    placement.request_round(state, partition)


def _read(state, effects):
    from skylarklug import table

    mine = state.domains["quota"]
    if mine.reading:
        return
    mine.reading = True
    mine.next_poll = state.now + POLL_MS

    def done(state, effects, result):
        mine.reading = False
        if result.status != "read":
            return
        mine.version = max(mine.version, result.version)
        for row in result.rows:
            _take_row(mine, row)
        for team in mine.limits:
            mine.teams.setdefault(team, Team()).known = True
        for partition in mine.used:
            _wake_placement(state, partition)

    table.read(
        state, effects, (), ("quota/",), done, after_version=mine.version
    )


def _take_row(mine, row):
    entry = mine.teams.setdefault(row.key.partition("/")[2], Team())
    if entry.busy or row.version <= entry.version:
        return
    value = row.value or {}
    entry.version = row.version if row.value is not None else 0
    entry.grants = _tuples(value.get("grants", {}))
    entry.wants = _tuples(value.get("wants", {}))


def _tuples(amounts):
    return {name: tuple(values) for name, values in amounts.items()}


def _give_back(state, effects):
    """Returns grants that are idle, or that other partitions want."""
    mine = state.domains["quota"]
    for team, limit in mine.limits.items():
        entry = mine.teams.get(team)
        if entry is None or entry.busy or state.now < entry.retry_at:
            continue
        for partition in mine.used:
            held = entry.grants.get(partition, NOTHING)
            amounts = used(state, partition, team)
            wanted = entry.wants.keys() - {partition}
            idle = any(
                held[i] - amounts[i] > IDLE_CHUNKS * limit[i] // CHUNK_PARTS
                for i in range(3)
            )
            recent = state.now - entry.asked.get(partition, -ASKED_MS)
            stale = partition in entry.wants and recent >= ASKED_MS
            if not (idle or stale or (wanted and held != amounts)):
                continue
            grants, wants = dict(entry.grants), dict(entry.wants)
            grants[partition] = tuple(map(min, held, amounts))
            if not any(grants[partition]):
                del grants[partition]
            if stale:
                del wants[partition]
            _commit(state, effects, team, entry, partition, grants, wants)
            break


def _take_config(state, document):
    mine = state.domains["quota"]
    mine.limits, mine.weights = {}, {}
    for team, value in sorted(document.get("teams", {}).items()):
        mine.weights[team] = max(1e-6, float(value.get("weight", 1)))
        if "cpus" in value:
            mine.limits[team] = tuple(tasks.size_of({"memory_mb": 0, **value}))


def _on_config(state, event, effects):
    _take_config(state, event.document)


def _on_acquired(state, event, effects):
    from skylarklug import configuration

    _take_config(state, configuration.current(state) or {})
    mine = state.domains["quota"]
    mine.used[event.partition] = {}
    if mine.limits:
        _read(state, effects)


def _on_lost(state, event, effects):
    state.domains["quota"].used.pop(event.partition, None)


def _on_tick(state, event, effects):
    mine = state.domains["quota"]
    if not mine.used or not mine.limits or state.now < mine.next_poll:
        return
    from skylarklug import ownership

    if ownership.mode(state) == "held":
        _give_back(state, effects)
        _read(state, effects)


HANDLERS = {
    events.PartitionAcquired: _on_acquired,
    events.PartitionLost: _on_lost,
    events.ConfigApplied: _on_config,
    events.Tick: _on_tick,
}
