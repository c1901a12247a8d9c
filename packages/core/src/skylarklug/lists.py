"""Builds the rows of the lists for operators from this node's state."""

from skylarklug import configuration
from skylarklug import jobs
from skylarklug import membership
from skylarklug import ownership
from skylarklug import placement
from skylarklug import quota
from skylarklug import routing
from skylarklug import workers


def _allocation(state, worker):
    """Returns the fields known only to the owner of the worker's partition."""
    account = placement.account_of(state, worker)
    if account is None:
        return {}
    mcpus, memory_mb, accelerators = account.free
    return {
        "free_cpus": mcpus / 1000,
        "free_memory_mb": memory_mb,
        "free_accelerators": accelerators,
        "tasks": len(account.residents),
        "excluded": sorted(account.excluded),
    }


def _workers(state):
    drained = set(configuration.current(state).get("drained", ()))
    rows = []
    for row in workers.list_workers(state):
        row = dict(row)
        if row["worker"] in drained and row["state"] == "live":
            row["state"] = "drained"
        row.update(_allocation(state, row["worker"]))
        rows.append(row)
    return rows


def _group_workers(state, field):
    groups = {}
    for row in _workers(state):
        group = groups.setdefault(
            (row["data_centre"], row[field]),
            {
                field: row[field],
                "data_centre": row["data_centre"],
                "workers": 0,
                "live": 0,
                "leaving": 0,
            },
        )
        group["workers"] += 1
        if row["state"] == "leaving":
            group["leaving"] += 1
        else:
            group["live"] += 1
    return list(groups.values())


def _racks(state):
    return _group_workers(state, "rack")


def _data_centres(state):
    rows = _group_workers(state, "data_centre")
    for row in rows:
        row["nodes"] = len(membership.live_nodes(state, row["data_centre"]))
    return rows


def _nodes(state):
    owned_partitions = {}
    for row in ownership.list_partitions(state):
        owned_partitions.setdefault(row["owner"], []).append(row["partition"])
    rows = []
    for row in membership.list_nodes(state):
        rows.append(
            {**row, "partitions": owned_partitions.get(row["node"], [])}
        )
    return rows


def _teams(state):
    """Returns a row for each team in each partition that this node owns."""
    rows = []
    teams = configuration.current(state).get("teams", {})
    owned_partitions = [
        row["partition"]
        for row in ownership.list_partitions(state)
        if row["owner"] == state.node
    ]
    for partition in owned_partitions:
        for team in sorted(teams):
            mcpus, memory_mb, accelerators = quota.used(state, partition, team)
            used = {
                "used_cpus": mcpus / 1000,
                "used_memory_mb": memory_mb,
                "used_accelerators": accelerators,
            }
            identity = {"team": team, "partition": partition}
            rows.append({**teams[team], **identity, **used})
    return rows


def _services(state):
    rows = []
    for row in routing.list_services(state):
        identity = {"node": state.node, "data_centre": state.data_centre}
        rows.append({**row, **identity})
    return rows


def _flatten(value, prefix=""):
    if not isinstance(value, dict):
        return [{"key": prefix, "value": value}]
    rows = []
    for name in sorted(value):
        path = f"{prefix}.{name}" if prefix else name
        rows.extend(_flatten(value[name], path))
    return rows


def _config(state):
    version = {"key": "version", "value": configuration.version(state)}
    return [version, *_flatten(configuration.current(state))]


_ROWS = {
    "jobs": jobs.list_jobs,
    "tasks": jobs.list_tasks,
    "workers": _workers,
    "racks": _racks,
    "data-centres": _data_centres,
    "nodes": _nodes,
    "services": _services,
    "teams": _teams,
    "partitions": ownership.list_partitions,
    "config": _config,
}


def rows(state, name: str) -> list[dict]:
    """Returns this node's rows of the list `name`."""
    return _ROWS[name](state)


def explain(state, kind: str, ident: str) -> list[dict]:
    """Returns the reasons that this node has recorded for one object."""
    if kind in ("task", "job"):
        reasons = jobs.explain(state, kind, ident)
        reasons = [] if reasons is None else [reasons]
    elif kind == "service":
        reasons = [row for row in _services(state) if row["service"] == ident]
    else:
        reasons = routing.explain(state, kind, ident)
    if kind == "worker" and _allocation(state, ident):
        reasons = [*reasons, {"worker": ident, **_allocation(state, ident)}]
    return [{"node": state.node, **row} for row in reasons]
