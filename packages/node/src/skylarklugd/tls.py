"""TLS contexts that are reloaded when their files change."""

import os
import ssl


class Contexts:
    """Client and server contexts built from PEM files.

    The files are checked before every handshake, and the contexts are rebuilt
    if one has changed. If that fails, the previous contexts stay in use.

    Args:
        files: Paths of PEM files under `certificate`, `key` and `ca`.
        log: Called with (level, event, fields).
    """

    def __init__(self, files, log):
        self._files = files
        self._log = log
        self._file_stamps = self._read_file_stamps()
        self._client = self._build_context(ssl.PROTOCOL_TLS_CLIENT)
        self._server = self._build_context(ssl.PROTOCOL_TLS_SERVER)
        self._listener = self._build_context(ssl.PROTOCOL_TLS_SERVER)
        self._listener.sni_callback = self._select_context

    def client_context(self) -> ssl.SSLContext:
        """Returns the current context for an outgoing connection."""
        self._reload_if_changed()
        return self._client

    def listener_context(self) -> ssl.SSLContext:
        """Returns a context for a listener; it stays valid across reloads."""
        return self._listener

    def _select_context(self, sock, server_name, context):
        self._reload_if_changed()
        sock.context = self._server

    def _read_file_stamps(self):
        stamps = []
        for name in ("certificate", "key", "ca"):
            stat = os.stat(self._files[name])
            stamps.append((stat.st_mtime_ns, stat.st_size, stat.st_ino))
        return stamps

    def _reload_if_changed(self):
        try:
            stamps = self._read_file_stamps()
            if stamps == self._file_stamps:
                return
            client = self._build_context(ssl.PROTOCOL_TLS_CLIENT)
            server = self._build_context(ssl.PROTOCOL_TLS_SERVER)
        except OSError as exc:
            fields = {"step": "reload", "reason": str(exc)}
            self._log("error", "tls-files-unusable", fields)
            return
        self._file_stamps, self._client, self._server = stamps, client, server
        self._log("info", "tls-files-reloaded", {"step": "reload"})

    def _build_context(self, protocol):
        context = ssl.SSLContext(protocol)
        # Nodes are addressed by IP and authenticated by the CA and the shared
        # secret, so there is no host name to check.
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_cert_chain(self._files["certificate"], self._files["key"])
        context.load_verify_locations(self._files["ca"])
        return context
