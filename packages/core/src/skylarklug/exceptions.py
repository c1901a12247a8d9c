"""The exception hierarchy. Errors carry the failed step and the peer."""


class SkylarklugError(Exception):
    """Base class of all errors of this system.

    Args:
        reason: Description of the error, in one sentence.
        step: The step that failed, such as "read table".
        peer: The process or VM on the other side, or "".
        request: The request, command or job concerned, or None.
    """

    def __init__(self, reason, *, step="", peer="", request=None):
        super().__init__(reason)
        self.reason = reason
        self.step = step
        self.peer = peer
        self.request = request

    def __str__(self):
        context = [f"step={self.step}"] if self.step else []
        if self.peer:
            context.append(f"peer={self.peer}")
        if not context:
            return self.reason
        return f"{self.reason} ({' '.join(context)})"


class BadInput(SkylarklugError):
    """Input from a caller, an operator or a peer is not valid."""


class SettingsError(BadInput):
    """A settings file or a configuration document is not valid."""


class Unavailable(SkylarklugError):
    """The other side did not answer; a write may or may not have happened."""


class NotAllowed(SkylarklugError):
    """The key does not have the role that the command requires."""


class ProtocolError(SkylarklugError):
    """A peer sent data with invalid framing or an invalid message."""


class TraceError(BadInput):
    """A recorded trace is damaged or has an unsupported version."""
