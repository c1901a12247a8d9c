"""Stand-in for the platform's object store."""

from tornado import web

from skylarklug_standins import faults


class ObjectStore(faults.Standin):
    """Object store that keeps its objects in memory."""

    def __init__(self):
        super().__init__()
        self.objects: dict[str, bytes] = {}

    def routes(self):
        """Returns the routes of the object store protocol (section 4)."""
        return [(r"/objects/(.+)", _ObjectHandler)]


class _ObjectHandler(faults.FaultyHandler):
    def put(self, key):
        self.owner.objects[key] = self.request.body
        self.write_json({})

    def get(self, key):
        body = self.owner.objects.get(key)
        if body is None:
            raise web.HTTPError(404, reason="object is absent")
        self.set_header("Content-Type", "application/octet-stream")
        self.finish(body)

    def delete(self, key):
        if self.owner.objects.pop(key, None) is None:
            raise web.HTTPError(404, reason="object is absent")
        self.write_json({})
