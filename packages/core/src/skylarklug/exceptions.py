"""The exception tree. Every error names the step and the peer."""


class SkylarklugError(Exception):
    """Base of all errors of this system.

    Args:
        reason: What happened, in one sentence.
        step: The step at which it happened, such as "read table".
        peer: The process or VM on the other side; empty when there is none.
        request: The request, command or job concerned; None when none is.
    """

    def __init__(self, reason, *, step="", peer="", request=None):
        super().__init__(reason)
        self.reason = reason
        self.step = step
        self.peer = peer
        self.request = request

    def __str__(self):
        where = [f"step={self.step}"] if self.step else []
        if self.peer:
            where.append(f"peer={self.peer}")
        if not where:
            return self.reason
        return f"{self.reason} ({' '.join(where)})"


class BadInput(SkylarklugError):
    """Input from a caller, an operator or a peer is not valid."""


class SettingsError(BadInput):
    """A settings file or a configuration document is not valid."""


class Unavailable(SkylarklugError):
    """The other side did not answer; the effect of a write is unknown."""


class NotAllowed(SkylarklugError):
    """The key does not carry the role that the command needs."""


class ProtocolError(SkylarklugError):
    """A peer broke the framing or the message format."""


class TraceError(BadInput):
    """A recorded trace is damaged or has an unsupported version."""
