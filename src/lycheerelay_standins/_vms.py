"""Stand in for the platform's list of VMs."""

from typing import final

from lycheerelay._codec import to_json
from lycheerelay._events import WorkerSpec
from lycheerelay._vm_client import EntryVm
from lycheerelay._web import Request, Response, Route, route


@final
class VmListStandIn:
    """Serve a list that tests change."""

    def __init__(self) -> None:
        """Start with an empty list."""
        self.workers: dict[str, WorkerSpec] = {}
        self.entries: dict[str, EntryVm] = {}
        self.version = 0

    def routes(self) -> tuple[Route, ...]:
        """Return the routes of the list's protocol."""
        return (route('GET', '/v1/vms', self.read),)

    def list_worker(self, spec: WorkerSpec) -> None:
        """Add or change a worker."""
        self.workers[spec.name] = spec
        self.version += 1

    def read(self, request: Request) -> Response:
        """Serve the part of one failure domain, if it changed."""
        if request.query.get('since') == str(self.version):
            return Response(200)
        domain = request.query.get('domain', '')
        workers = [
            to_json(spec)
            for spec in self.workers.values()
            if spec.domain == domain
        ]
        entries = [to_json(entry) for entry in self.entries.values()]
        body = {
            'version': self.version,
            'workers': workers,
            'entries': entries,
        }
        return Response(200, body)
