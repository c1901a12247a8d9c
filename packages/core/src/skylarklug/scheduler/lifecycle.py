"""Configuration, settings, readiness and graceful shutdown of a node.

A stopping node serves like any other until the load balancer sends it no new
connections, except that each answer closes its connection. It then stops
accepting connections, closes those without a request, and exits once every
request has its answer and no connection is left that could bring another.

Load pattern: the store refuses a third of the VMs for seconds and serves the
others. A node that it refuses can accept no job, so it reports that it is not
ready and new connections go to the others. If the store refuses all of them,
the balancer uses all.
"""

from skylarklug.scheduler import capacity
from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import intake
from skylarklug.scheduler import leadership
from skylarklug.scheduler import rejection
from skylarklug.scheduler import roster

# The load balancer stops sending new connections after two failed health
# checks, which are a second apart. Open requests can then finish.
DRAIN_NOTICE_MS = 2_200
# Time for the first request of a connection that was accepted last to arrive.
FIRST_REQUEST_MS = 300
# Retry-After of a request that arrives too late to be read completely.
STOPPED_RETRY_AFTER_S = 1
# Part of the stop's grace period that is reserved for the exit itself.
EXIT_MARGIN_MS = 700


def _on_configuration(state, event, effects):
    current = state.configuration
    if current is not None and event.cfg.version <= current.version:
        return
    state.configuration = event.cfg
    state.newer_unreadable = False
    fields = {
        "version": event.cfg.version,
        "queues": len(event.cfg.queues),
        "source": event.source,
    }
    effects.append(fx.Log("info", "configuration", fields))
    _update_ready(state, effects)


def _on_unreadable_configuration(state, event, effects):
    state.newer_unreadable = True


def _update_ready(state, effects):
    reason = "configured"
    if state.configuration is None:
        reason = "no configuration"
    elif state.stopping_at:
        reason = "stopping"
    elif rejection.is_store_lost(state.store_lost_at, state.now):
        reason = "the store does not serve this node"
    ready = reason == "configured"
    if ready == state.ready:
        return
    state.ready = ready
    effects.append(fx.SetReady(ready, reason))
    effects.append(fx.Log("info", "ready", {"ready": ready, "reason": reason}))


def _on_feed_failed(state, event, effects):
    _record_store_access(state, effects, False)


def _on_rows(state, event, effects):
    _record_store_access(state, effects, True)


def _on_store_answer(state, event, effects):
    _record_store_access(state, effects, event.status in ("ok", "conflict"))


def _record_store_access(state, effects, succeeded):
    if succeeded:
        capacity.record_store_served(state)
    if succeeded and state.store_lost_at:
        state.store_lost_at = 0
        _update_ready(state, effects)
    elif not succeeded and not state.store_lost_at:
        state.store_lost_at = state.now


def _on_settings(state, event, effects):
    changed = []
    for name in event.cfg._fields:
        if getattr(event.cfg, name) != getattr(state.cfg, name):
            changed.append(name)
    state.cfg = event.cfg
    effects.append(fx.Log("info", "settings", {"changed": changed}))


def _on_stop(state, event, effects):
    if state.stopping_at:
        return
    state.stopping_at = state.now
    state.released = True
    effects.append(fx.Log("info", "stop-requested", {}))
    _update_ready(state, effects)
    effects.append(fx.StopKeepAlive())
    if state.leader is not None:
        state.released = False
        roster.release(state, effects, _on_released)


def _on_released(state, effects, answer):
    state.released = True
    leadership.record_release(state, answer)
    fields = {"status": answer.status}
    effects.append(fx.Log("info", "leadership-released", fields))


def _on_tick(state, event, effects):
    state.wall_offset = event.wall_ms - event.at
    if state.store_lost_at:
        _update_ready(state, effects)
    if not state.stopping_at:
        return
    if state.released:
        leadership.give_up(state, effects, _on_released)
    elapsed = state.now - state.stopping_at
    if elapsed < DRAIN_NOTICE_MS:
        return
    if state.accepting:
        state.accepting = False
        effects.append(fx.StopAccepting())
    if elapsed >= state.cfg.stop_grace_ms - EXIT_MARGIN_MS:
        unanswered = len(state.open_requests)
        intake.abort_all(state, effects, "the process stops")
        effects.append(fx.CloseConnections(STOPPED_RETRY_AFTER_S))
        _exit(state, effects, unanswered)
    elif elapsed >= DRAIN_NOTICE_MS + FIRST_REQUEST_MS:
        effects.append(fx.CloseIdleConnections())


def _on_connections_counted(state, event, effects):
    if event.busy or state.open_requests or not state.released:
        return
    if leadership.is_given_up(state):
        _exit(state, effects, 0)


def _exit(state, effects, unanswered):
    effects.append(fx.Log("info", "exit", {"open_requests": unanswered}))
    effects.append(fx.Exit("stopped"))


HANDLERS = {
    events.ConfigurationRead: _on_configuration,
    events.ConfigurationUnreadable: _on_unreadable_configuration,
    events.ConnectionsCounted: _on_connections_counted,
    events.FeedFailed: _on_feed_failed,
    events.RowsChanged: _on_rows,
    events.SettingsChanged: _on_settings,
    events.StoreAnswered: _on_store_answer,
    events.StopRequested: _on_stop,
    events.Tick: _on_tick,
}
