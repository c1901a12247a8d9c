"""Executes the commands of operators."""

import difflib

from skylarklug import configuration
from skylarklug import document as document_lib
from skylarklug import effects as effect_types
from skylarklug import events
from skylarklug import exceptions
from skylarklug import gather
from skylarklug import jobs
from skylarklug import lists
from skylarklug import query
from skylarklug import rows as rows_lib
from skylarklug import submission
from skylarklug import workers

# Lists that need rows which only other nodes hold.
GATHERED_LISTS = frozenset({"jobs", "tasks", "workers", "services", "teams"})


def new_state():
    """Returns None; commands keep no state of their own."""
    return None


def _on_command(state, event, effects):
    try:
        statement = query.parse(event.text)
        _check_role(event, statement)
        handler = _HANDLERS_BY_STATEMENT[type(statement)]
        handler(state, effects, event, statement)
    except exceptions.NotAllowed as exc:
        _answer_error(state, effects, event, "not-allowed", exc)
    except exceptions.BadInput as exc:
        _answer_error(state, effects, event, "bad-input", exc)


def _check_role(event, statement):
    if query.changes_state(statement) and event.role != "write":
        raise exceptions.NotAllowed(
            "the token has the role read, the command needs write",
            step="authorise command",
            peer=event.actor,
        )


def _answer(effects, event, status, body):
    effects.append(effect_types.AnswerCommand(event.op_id, status, body))


def _answer_error(state, effects, event, status, exc):
    body = {
        "message": exc.reason,
        "step": exc.step,
        "peer": exc.peer or state.node,
    }
    _log(effects, event, status, exc.reason)
    _answer(effects, event, status, body)


def _log(effects, event, status, reason):
    fields = {
        "actor": event.actor,
        "role": event.role,
        "command": event.text,
        "status": status,
    }
    if event.key:
        fields["key"] = event.key
    if reason:
        fields["reason"] = reason
    level = "info" if status == "done" else "warning"
    effects.append(effect_types.Log(level, "command", fields))


# ------------------------------------------------------------------ queries


def _list_rows(state, effects, event, statement):
    def on_done(state, effects, rows, missing):
        selected = rows_lib.select(statement, rows)
        body = {"rows": selected, "columns": list(query.FIELDS[statement.name])}
        if missing:
            body["missing"] = missing
        _answer(effects, event, "done", body)

    _gather_rows(state, effects, event, statement, on_done)


def _count_rows(state, effects, event, statement):
    def on_done(state, effects, rows, missing):
        body = {"rows": rows_lib.count(statement, rows)}
        if missing:
            body["missing"] = missing
        _answer(effects, event, "done", body)

    _gather_rows(state, effects, event, statement, on_done)


def _gather_rows(state, effects, event, statement, on_done):
    """Calls `on_done` with the merged rows of the statement's list."""
    name = statement.name
    own_rows = _select_own_rows(state, statement)
    if name not in GATHERED_LISTS:
        on_done(state, effects, own_rows, [])
        return

    def on_gathered(state, effects, result):
        rows = gather.merge(name, result.rows)
        on_done(state, effects, rows, result.missing)

    gather.collect(
        state, effects, event.text, "deployment", own_rows, on_gathered
    )


def _select_own_rows(state, statement):
    """Returns the rows of this node, filtered if the list has a single owner.

    Rows of other lists are filtered after merging, because the field that the
    condition tests may be known only to another node.
    """
    rows = lists.rows(state, statement.name)
    if statement.name not in gather.OWNED_LISTS:
        return rows
    return [row for row in rows if rows_lib.matches(statement.where, row)]


def _explain(state, effects, event, statement):
    own_rows = lists.explain(state, statement.kind, statement.ident)

    def on_gathered(state, effects, result):
        body = {"rows": result.rows}
        if not result.rows:
            body["message"] = (
                f"nothing is known about {statement.kind} {statement.ident}"
            )
        if result.missing:
            body["missing"] = result.missing
        _answer(effects, event, "done" if result.rows else "not-met", body)

    gather.collect(
        state, effects, event.text, "deployment", own_rows, on_gathered
    )


def _config_status(state, effects, event, statement):
    status = configuration.status(state)
    rows = [
        {"node": node, "version": node_version}
        for node, node_version in sorted(status["versions"].items())
    ]
    message = (
        f"version {status['version']} is in force on "
        f"{status['in_force']} of {status['nodes']} nodes"
    )
    _answer(effects, event, "done", {"rows": rows, "message": message})


def _help(state, effects, event, statement):
    _answer(effects, event, "done", {"message": query.HELP})


def _reject_watch(state, effects, event, statement):
    raise exceptions.BadInput(
        "watch is repeated by the client; send the listing itself",
        step="run command",
    )


# ------------------------------------------------------------------ changes


def _completion(event, success_message=""):
    """Returns a callback that logs the result and answers the command."""

    def on_done(state, effects, status, body):
        body = dict(body)
        if "errors" in body and "message" not in body:
            body["message"] = "; ".join(body.pop("errors"))
        if status == "conflict" and "winner" not in body:
            body = {"message": "another change came first", "winner": body}
        if status == "done" and success_message and "message" not in body:
            body["message"] = success_message
        _log(effects, event, status, body.get("reason", ""))
        _answer(effects, event, status, body)

    return on_done


def _submit(state, effects, event, statement):
    if not event.key:
        raise exceptions.BadInput("submit needs a key", step="submit job")
    spec = dict(event.body)
    on_done = _completion(event)
    if event.dry_run:
        _, errors = submission.validate(event.key, spec)
        if errors:
            on_done(state, effects, "bad-input", {"errors": errors})
            return
        on_done(state, effects, "done", {"message": "the job is valid"})
        return
    jobs.submit(state, effects, event.actor, event.key, spec, on_done)


def _reject_dry_run(event, verb, step):
    if event.dry_run:
        raise exceptions.BadInput(
            f"{verb} has no dry run", step=step, request=event.text
        )


def _cancel(state, effects, event, statement):
    _reject_dry_run(event, "cancel", "cancel job")
    jobs.cancel(
        state,
        effects,
        event.actor,
        event.key,
        statement.job,
        event.if_version,
        _completion(event),
    )


def _move(state, effects, event, statement):
    _reject_dry_run(event, "move", "move job")
    jobs.move(
        state,
        effects,
        event.actor,
        event.key,
        statement.job,
        statement.partition,
        event.if_version,
        _completion(event),
    )


def _check_worker(state, worker):
    if workers.get(state, worker) is not None:
        return
    names = [row["worker"] for row in workers.list_workers(state)]
    reason = f"unknown worker {worker}"
    nearest = difflib.get_close_matches(worker, names, n=1)
    if nearest:
        reason += f"; did you mean {nearest[0]!r}?"
    raise exceptions.BadInput(reason, step="find worker", peer=worker)


def _drain(state, effects, event, statement):
    _check_worker(state, statement.worker)

    def edit(document):
        drained = set(document.get("drained", ()))
        document["drained"] = sorted({*drained, statement.worker})
        return document

    _change_configuration(
        state, effects, event, edit, f"{statement.worker} is draining"
    )


def _undrain(state, effects, event, statement):
    def edit(document):
        drained = set(document.get("drained", ()))
        if statement.worker not in drained:
            raise exceptions.BadInput(
                f"{statement.worker} is not drained", step="undrain worker"
            )
        document["drained"] = sorted(drained - {statement.worker})
        return document

    _change_configuration(
        state, effects, event, edit, f"{statement.worker} takes new work"
    )


def _set_key(state, effects, event, statement):
    path = statement.key.split(".")

    def edit(document):
        parent = document
        for part in path[:-1]:
            parent = parent.setdefault(part, {})
            if not isinstance(parent, dict):
                raise exceptions.BadInput(
                    f"{part} in {statement.key} has no keys of its own",
                    step="set configuration",
                )
        parent[path[-1]] = statement.value
        return document

    _change_configuration(
        state, effects, event, edit, f"{statement.key} is set"
    )


def _change_configuration(state, effects, event, edit, success_message):
    if event.dry_run:
        _check_change(state, effects, event, edit)
        return
    configuration.change(
        state,
        effects,
        event.actor,
        edit,
        event.if_version,
        _completion(event, success_message),
        action=event.text,
        key=event.key,
    )


def _check_change(state, effects, event, edit):
    current_version = configuration.version(state)
    if event.if_version and event.if_version != current_version:
        body = {
            "message": f"the version in force is {current_version}",
            "version": current_version,
        }
        _answer(effects, event, "conflict", body)
        return
    document = edit(configuration.copy_current(state))
    errors = document_lib.check(document)
    if errors:
        raise exceptions.BadInput("; ".join(errors), step="check document")
    body = {"message": "the change is valid", "version": current_version}
    _answer(effects, event, "done", body)


def _rollback(state, effects, event, statement):
    _reject_dry_run(event, "rollback", "roll back configuration")
    configuration.rollback(
        state,
        effects,
        event.actor,
        statement.version,
        event.if_version,
        _completion(event, f"the document of {statement.version} is in force"),
        key=event.key,
    )


# -------------------------------------------------------------------- peers


def _on_peer_message(state, event, effects):
    """Answers a query of another node."""
    if event.body.get("kind") != "command":
        return
    peer, query_id = event.peer, event.body.get("id", "")
    try:
        statement = query.parse(str(event.body.get("text", "")))
    except exceptions.BadInput as exc:
        fields = {"step": exc.step, "peer": peer, "reason": exc.reason}
        effects.append(effect_types.Log("warning", "command", fields))
        gather.send_rows(
            state, effects, peer, query_id, [], [state.data_centre]
        )
        return
    if isinstance(statement, query.Why):
        own_rows = lists.explain(state, statement.kind, statement.ident)
    elif isinstance(statement, (query.Listing, query.Count)):
        own_rows = _select_own_rows(state, statement)
    else:
        own_rows = []
    if event.body.get("scope") != "data-centre":
        gather.send_rows(state, effects, peer, query_id, own_rows, [])
        return

    def on_gathered(state, effects, result):
        gather.send_rows(
            state, effects, peer, query_id, result.rows, result.missing
        )

    text = event.body["text"]
    gather.collect(state, effects, text, "data-centre", own_rows, on_gathered)


_HANDLERS_BY_STATEMENT = {
    query.Listing: _list_rows,
    query.Count: _count_rows,
    query.Why: _explain,
    query.ConfigStatus: _config_status,
    query.Help: _help,
    query.Watch: _reject_watch,
    query.Submit: _submit,
    query.Cancel: _cancel,
    query.Move: _move,
    query.Drain: _drain,
    query.Undrain: _undrain,
    query.Set: _set_key,
    query.Rollback: _rollback,
}

HANDLERS = {
    events.CommandArrived: _on_command,
    events.PeerMessage: _on_peer_message,
}
