"""TLS contexts that follow changes of their files."""

import os
import ssl


class Contexts:
    """Client and server contexts from a certificate, a key and a CA file.

    The files are looked at before every handshake; contexts are built anew
    when one has changed. When that fails, the former contexts stay in use.

    Args:
        files: `certificate`, `key` and `ca`, paths of PEM files.
        log: Receives level, event name and fields.
    """

    def __init__(self, files, log):
        self._files = files
        self._log = log
        self._stamp = self._read_stamp()
        self._client = self._build(ssl.PROTOCOL_TLS_CLIENT)
        self._server = self._build(ssl.PROTOCOL_TLS_SERVER)
        self._listening = self._build(ssl.PROTOCOL_TLS_SERVER)
        self._listening.sni_callback = self._choose

    def client_context(self) -> ssl.SSLContext:
        """Returns the context for an outgoing connection."""
        self._refresh()
        return self._client

    def listener_context(self) -> ssl.SSLContext:
        """Returns the context for a listener, valid for its whole life."""
        return self._listening

    def _choose(self, sock, name, context):
        self._refresh()
        sock.context = self._server

    def _read_stamp(self):
        stamp = []
        for name in ("certificate", "key", "ca"):
            status = os.stat(self._files[name])
            stamp.append((status.st_mtime_ns, status.st_size, status.st_ino))
        return stamp

    def _refresh(self):
        try:
            stamp = self._read_stamp()
            if stamp == self._stamp:
                return
            client = self._build(ssl.PROTOCOL_TLS_CLIENT)
            server = self._build(ssl.PROTOCOL_TLS_SERVER)
        except OSError as exc:
            fields = {"step": "reload", "reason": str(exc)}
            self._log("error", "tls-files-unusable", fields)
            return
        self._stamp, self._client, self._server = stamp, client, server
        self._log("info", "tls-files-reloaded", {"step": "reload"})

    def _build(self, protocol):
        context = ssl.SSLContext(protocol)
        # Nodes are addressed by IP; the CA and the shared secret identify
        # them, not a host name.
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_cert_chain(self._files["certificate"], self._files["key"])
        context.load_verify_locations(self._files["ca"])
        return context
