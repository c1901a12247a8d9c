"""Carries out operators' commands."""

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

# Questions whose answer needs rows that only other nodes hold.
GATHERED_LISTS = frozenset({"jobs", "tasks", "workers", "services", "teams"})


def new_state():
    """Returns no state: everything is in `gather` and the other domains."""
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


# ---------------------------------------------------------------- questions


def _listing(state, effects, event, statement):
    def done(state, effects, rows, missing):
        found = rows_lib.select(statement, rows)
        body = {"rows": found, "columns": list(query.FIELDS[statement.name])}
        if missing:
            body["missing"] = missing
        _answer(effects, event, "done", body)

    _collect(state, effects, event, statement, done)


def _count(state, effects, event, statement):
    def done(state, effects, rows, missing):
        body = {"rows": rows_lib.count(statement, rows)}
        if missing:
            body["missing"] = missing
        _answer(effects, event, "done", body)

    _collect(state, effects, event, statement, done)


def _collect(state, effects, event, statement, done):
    """Calls `done` with the merged rows of the statement's list."""
    name = statement.name
    own = _matching(state, statement)
    if name not in GATHERED_LISTS:
        done(state, effects, own, [])
        return

    def gathered(state, effects, result):
        rows = gather.merge(name, result.rows)
        done(state, effects, rows, result.missing)

    gather.collect(state, effects, event.text, "deployment", own, gathered)


def _matching(state, statement):
    """Returns own rows; rows that others complete are filtered after merging.

    Another node may know the field that the condition tests.
    """
    rows = lists.rows(state, statement.name)
    if statement.name not in gather.OWNED_LISTS:
        return rows
    return [row for row in rows if rows_lib.matches(statement.where, row)]


def _why(state, effects, event, statement):
    own = lists.explain(state, statement.kind, statement.ident)

    def gathered(state, effects, result):
        body = {"rows": result.rows}
        if not result.rows:
            body["message"] = (
                f"nothing is known about {statement.kind} {statement.ident}"
            )
        if result.missing:
            body["missing"] = result.missing
        _answer(effects, event, "done" if result.rows else "not-met", body)

    gather.collect(state, effects, event.text, "deployment", own, gathered)


def _config_status(state, effects, event, statement):
    status = configuration.status(state)
    rows = [
        {"node": node, "version": held}
        for node, held in sorted(status["versions"].items())
    ]
    message = (
        f"version {status['version']} is in force on "
        f"{status['in_force']} of {status['nodes']} nodes"
    )
    _answer(effects, event, "done", {"rows": rows, "message": message})


def _help(state, effects, event, statement):
    _answer(effects, event, "done", {"message": query.HELP})


def _watch(state, effects, event, statement):
    raise exceptions.BadInput(
        "watch is repeated by the client; send the listing itself",
        step="run command",
    )


# ------------------------------------------------------------------ changes


def _finish(event, describe=""):
    """Returns a completion that logs and answers the command."""

    def done(state, effects, status, body):
        body = dict(body)
        if "errors" in body and "message" not in body:
            body["message"] = "; ".join(body.pop("errors"))
        if status == "conflict" and "winner" not in body:
            body = {"message": "another change came first", "winner": body}
        if status == "done" and describe and "message" not in body:
            body["message"] = describe
        _log(effects, event, status, body.get("reason", ""))
        _answer(effects, event, status, body)

    return done


def _submit(state, effects, event, statement):
    if not event.key:
        raise exceptions.BadInput("submit needs a key", step="submit job")
    spec = dict(event.body)
    done = _finish(event)
    if event.dry_run:
        _, errors = submission.validate(event.key, spec)
        if errors:
            done(state, effects, "bad-input", {"errors": errors})
            return
        done(state, effects, "done", {"message": "the job is valid"})
        return
    jobs.submit(state, effects, event.actor, event.key, spec, done)


def _refuse_dry_run(event, verb, step):
    if event.dry_run:
        raise exceptions.BadInput(
            f"{verb} has no dry run", step=step, request=event.text
        )


def _cancel(state, effects, event, statement):
    _refuse_dry_run(event, "cancel", "cancel job")
    jobs.cancel(
        state,
        effects,
        event.actor,
        event.key,
        statement.job,
        event.if_version,
        _finish(event),
    )


def _move(state, effects, event, statement):
    _refuse_dry_run(event, "move", "move job")
    jobs.move(
        state,
        effects,
        event.actor,
        event.key,
        statement.job,
        statement.partition,
        event.if_version,
        _finish(event),
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

    _change(state, effects, event, edit, f"{statement.worker} is draining")


def _undrain(state, effects, event, statement):
    def edit(document):
        drained = set(document.get("drained", ()))
        if statement.worker not in drained:
            raise exceptions.BadInput(
                f"{statement.worker} is not drained", step="undrain worker"
            )
        document["drained"] = sorted(drained - {statement.worker})
        return document

    _change(state, effects, event, edit, f"{statement.worker} takes new work")


def _set(state, effects, event, statement):
    path = statement.key.split(".")

    def edit(document):
        place = document
        for part in path[:-1]:
            place = place.setdefault(part, {})
            if not isinstance(place, dict):
                raise exceptions.BadInput(
                    f"{part} in {statement.key} has no keys of its own",
                    step="set configuration",
                )
        place[path[-1]] = statement.value
        return document

    _change(state, effects, event, edit, f"{statement.key} is set")


def _change(state, effects, event, edit, describe):
    if event.dry_run:
        _preview(state, effects, event, edit)
        return
    configuration.change(
        state,
        effects,
        event.actor,
        edit,
        event.if_version,
        _finish(event, describe),
        action=event.text,
        key=event.key,
    )


def _preview(state, effects, event, edit):
    held = configuration.version(state)
    if event.if_version and event.if_version != held:
        body = {"message": f"the version in force is {held}", "version": held}
        _answer(effects, event, "conflict", body)
        return
    document = edit(configuration.copy_current(state))
    errors = document_lib.check(document)
    if errors:
        raise exceptions.BadInput("; ".join(errors), step="check document")
    body = {"message": "the change is valid", "version": held}
    _answer(effects, event, "done", body)


def _rollback(state, effects, event, statement):
    _refuse_dry_run(event, "rollback", "roll back configuration")
    configuration.rollback(
        state,
        effects,
        event.actor,
        statement.version,
        event.if_version,
        _finish(event, f"the document of {statement.version} is in force"),
        key=event.key,
    )


# -------------------------------------------------------------------- peers


def _on_peer_message(state, event, effects):
    """Answers a question of another node."""
    if event.body.get("kind") != "command":
        return
    peer, ident = event.peer, event.body.get("id", "")
    try:
        statement = query.parse(str(event.body.get("text", "")))
    except exceptions.BadInput as exc:
        fields = {"step": exc.step, "peer": peer, "reason": exc.reason}
        effects.append(effect_types.Log("warning", "command", fields))
        gather.send_rows(state, effects, peer, ident, [], [state.data_centre])
        return
    if isinstance(statement, query.Why):
        own = lists.explain(state, statement.kind, statement.ident)
    elif isinstance(statement, (query.Listing, query.Count)):
        own = _matching(state, statement)
    else:
        own = []
    if event.body.get("scope") != "data-centre":
        gather.send_rows(state, effects, peer, ident, own, [])
        return

    def gathered(state, effects, result):
        gather.send_rows(
            state, effects, peer, ident, result.rows, result.missing
        )

    text = event.body["text"]
    gather.collect(state, effects, text, "data-centre", own, gathered)


_HANDLERS_BY_STATEMENT = {
    query.Listing: _listing,
    query.Count: _count,
    query.Why: _why,
    query.ConfigStatus: _config_status,
    query.Help: _help,
    query.Watch: _watch,
    query.Submit: _submit,
    query.Cancel: _cancel,
    query.Move: _move,
    query.Drain: _drain,
    query.Undrain: _undrain,
    query.Set: _set,
    query.Rollback: _rollback,
}

HANDLERS = {
    events.CommandArrived: _on_command,
    events.PeerMessage: _on_peer_message,
}
