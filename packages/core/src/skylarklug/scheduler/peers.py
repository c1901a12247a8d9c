"""Other nodes, which tell the operator's rows while the store does not.

Addresses of peers come from the row of the leader, from the answers of peers
and from their calls. A node that has just started knows none, so it greets the
leader; in a fleet of hundreds all nodes do that at different times. Greetings
keep the list current while nobody needs it.
"""

from skylarklug.scheduler import effects as fx
from skylarklug.scheduler import events
from skylarklug.scheduler import leadership

# Peers that a node remembers.
MAX_PEERS = 32
# Peers that an answer names.
SHARED_PEERS = 8
# Peers that are asked at once for newer rows.
PEERS_AT_ONCE = 2
# Interval between greetings, before jitter.
GREETING_INTERVAL_MS = 5_000
# Greatest delay of the greeting of a new leader.
FIRST_GREETING_MS = 1_000
# A peer is forgotten after this many failures in a row, if others answer.
MAX_FAILURES = 3


class Peer:
    """A node that may be asked.

    Attributes:
        failures: Calls without an answer since its last answer.
        is_asked: Whether a call is in progress.
        has_answered: Whether it has ever answered.
    """

    __slots__ = ("failures", "has_answered", "is_asked")

    def __init__(self):
        self.failures = 0
        self.is_asked = False
        self.has_answered = False


def ask_some(state, effects) -> list[str]:
    """Asks some peers for newer rows; returns their addresses.

    The one that knew the newest rows is asked, and others by chance.
    """
    answering = []
    failing = []
    for address, peer in state.peers.items():
        if peer.is_asked or address == state.best_peer:
            continue
        (failing if peer.failures else answering).append(address)
    state.peer_rng.shuffle(answering)
    state.peer_rng.shuffle(failing)
    candidates = answering + failing
    best = state.peers.get(state.best_peer)
    if best is not None and not best.is_asked:
        candidates.insert(0, state.best_peer)
    chosen = candidates[:PEERS_AT_ONCE]
    for address in chosen:
        _ask(state, effects, address)
    return chosen


def shared_addresses(state) -> list[str]:
    """Returns the addresses of some peers whose last call did not fail."""
    answering = [a for a, peer in state.peers.items() if not peer.failures]
    if len(answering) <= SHARED_PEERS:
        return answering
    return state.peer_rng.sample(answering, SHARED_PEERS)


def _ask(state, effects, address):
    oldest_at = 0
    if state.configuration is None:
        # An earlier process of this node may have had a newer version.
        oldest_at = state.started_at
    state.peers[address].is_asked = True
    effects.append(fx.AskPeer(address, oldest_at))


def _add(state, address):
    if not address or address == state.cfg.peer_address:
        return
    if address in state.peers:
        return
    if len(state.peers) >= MAX_PEERS:
        failing = [a for a, peer in state.peers.items() if peer.failures]
        if not failing:
            return
        del state.peers[failing[0]]
    state.peers[address] = Peer()


def _on_rows(state, event, effects):
    if event.table != leadership.TABLE or state.owner is None:
        return
    # Rows of earlier builds have no such address.
    address = state.owner.get("peer_address")
    if not isinstance(address, str) or address == state.leader_peer:
        return
    state.leader_peer = address
    _add(state, address)
    due_at = state.now + state.peer_rng.randrange(FIRST_GREETING_MS)
    state.greeting_due_at = min(state.greeting_due_at, due_at)


def _on_peer_called(state, event, effects):
    _add(state, event.address)


def _on_peer_answered(state, event, effects):
    peer = state.peers.get(event.address)
    if peer is not None:
        peer.is_asked = False
        if event.ok:
            peer.failures = 0
            peer.has_answered = True
        else:
            peer.failures += 1
            _forget_if_gone(state, event.address)
    if event.ok and event.current_at >= state.operator_current_at:
        state.best_peer = event.address
    elif event.address == state.best_peer:
        state.best_peer = ""
    for address in event.addresses:
        _add(state, address)


def _forget_if_gone(state, address):
    """Forgets a peer, unless this node may be the one that is cut off."""
    if state.peers[address].failures < MAX_FAILURES:
        return
    if any(not peer.failures for peer in state.peers.values()):
        del state.peers[address]


def _on_tick(state, event, effects):
    if state.now < state.greeting_due_at:
        return
    interval_ms = state.peer_rng.uniform(0.5, 1.5) * GREETING_INTERVAL_MS
    state.greeting_due_at = state.now + int(interval_ms)
    addresses = [a for a, peer in state.peers.items() if not peer.is_asked]
    if not addresses:
        return
    address = state.peer_rng.choice(addresses)
    leader = state.peers.get(state.leader_peer)
    if leader and not leader.has_answered and not leader.is_asked:
        address = state.leader_peer
    _ask(state, effects, address)


HANDLERS = {
    events.PeerAnswered: _on_peer_answered,
    events.PeerCalled: _on_peer_called,
    events.RowsChanged: _on_rows,
    events.Tick: _on_tick,
}
