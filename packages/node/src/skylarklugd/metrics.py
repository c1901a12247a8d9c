"""OpenTelemetry metrics of a node, readable without a collector."""

import json

from opentelemetry.exporter.otlp.proto.http import metric_exporter
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources
from opentelemetry.sdk.metrics import export

DEFAULT_EXPORT_INTERVAL_MS = 10_000

# Metrics that are not counters: name to (kind, unit).
INSTRUMENTS = {
    "skylarklug.request.duration": ("histogram", "s"),
    "skylarklug.reducer.duration": ("histogram", "s"),
    "skylarklug.queue.length": ("gauge", "{request}"),
    "skylarklug.slots.in_use": ("gauge", "{slot}"),
    "skylarklug.config.version": ("gauge", "1"),
    "skylarklug.control.bytes": ("counter", "By"),
}


class Metrics:
    """Records measurements and renders them as JSON."""

    def __init__(self, cfg, node: str):
        self._reader = export.InMemoryMetricReader()
        readers = [self._reader]
        if cfg.get("otlp_endpoint"):
            exporter = metric_exporter.OTLPMetricExporter(
                endpoint=cfg["otlp_endpoint"]
            )
            interval = cfg.get("interval_ms", DEFAULT_EXPORT_INTERVAL_MS)
            readers.append(
                export.PeriodicExportingMetricReader(
                    exporter, export_interval_millis=interval
                )
            )
        self._provider = sdk_metrics.MeterProvider(
            metric_readers=readers,
            resource=resources.Resource.create(
                {"service.name": "skylarklug", "service.instance.id": node}
            ),
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter("skylarklug")
        self._recorders = {}

    def record(self, name: str, value: float, attributes) -> None:
        """Adds a value to a counter or records it in a histogram or gauge."""
        recorder = self._recorders.get(name)
        if recorder is None:
            recorder = self._recorders[name] = self._create(name)
        recorder(value, attributes)

    def _create(self, name):
        kind, unit = INSTRUMENTS.get(name, ("counter", "1"))
        if kind == "histogram":
            return self._meter.create_histogram(name, unit=unit).record
        if kind == "gauge":
            return self._meter.create_gauge(name, unit=unit).set
        return self._meter.create_counter(name, unit=unit).add

    def render(self) -> str:
        """Returns all metrics in the OpenTelemetry JSON form."""
        data = self._reader.get_metrics_data()
        if data is None:
            return json.dumps({"resource_metrics": []})
        return data.to_json()

    def close(self) -> None:
        """Exports what is pending and stops the exporter."""
        self._provider.shutdown()
