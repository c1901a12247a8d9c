"""Configuration, settings, readiness and graceful shutdown of a node.

Load pattern: the store refuses a third of the VMs for seconds and serves the
others. A node that it refuses can accept no job, so it reports that it is not
ready and new connections go to the others. If the store refuses all of them,
the balancer uses all.
"""

from skylarklug.scheduler import capacity
from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import rejection
from skylarklug.scheduler import roster

# The load balancer stops sending new connections after two failed health
# checks, which are a second apart. Open requests can then finish.
DRAIN_NOTICE_MS = 2_200
# Part of the stop's grace period that is reserved for the exit itself.
EXIT_MARGIN_MS = 700


def _on_configuration(state, event, effects):
    current = state.configuration
    if current is not None and event.cfg.version <= current.version:
        return
    state.configuration = event.cfg
    fields = {
        "version": event.cfg.version,
        "queues": len(event.cfg.queues),
    }
    effects.append(fx.Log("info", "configuration", fields))
    _update_ready(state, effects)


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
    if state.leader is not None:
        state.released = False

        def done(state, effects, answer):
            state.released = True
            fields = {"status": answer.status}
            effects.append(fx.Log("info", "leadership-released", fields))

        roster.release(state, effects, done)


def _on_tick(state, event, effects):
    state.wall_offset = event.wall_ms - event.at
    if state.store_lost_at:
        _update_ready(state, effects)
    if not state.stopping_at:
        return
    elapsed = state.now - state.stopping_at
    if elapsed < DRAIN_NOTICE_MS:
        return
    limit = state.cfg.stop_grace_ms - EXIT_MARGIN_MS
    if elapsed < limit and (state.open_requests or not state.released):
        return
    fields = {"open_requests": len(state.open_requests)}
    effects.append(fx.Log("info", "exit", fields))
    effects.append(fx.Exit("stopped"))


HANDLERS = {
    events.ConfigurationRead: _on_configuration,
    events.FeedFailed: _on_feed_failed,
    events.RowsChanged: _on_rows,
    events.SettingsChanged: _on_settings,
    events.StoreAnswered: _on_store_answer,
    events.StopRequested: _on_stop,
    events.Tick: _on_tick,
}
