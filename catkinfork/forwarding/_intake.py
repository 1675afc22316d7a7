"""From a caller's request to a job: route, workspace, deadline and prompt."""

from hashlib import blake2b

from catkinfork.balancing import Job, PromptPart
from catkinfork.forwarding._caller import BadRequestError
from catkinfork.forwarding._messages import list_connection_headers
from catkinfork.topology import choose_target

BEARER = b"bearer "
MAX_PROMPT_PARTS = 64
MAX_REQUEST_ID_BYTES = 128


def build_job(routes, names, request, draw, now):
    """Return the job of a request.

    :param routes: :class:`RouteTable`.
    :param names: :class:`HeaderNames`.
    :param request: :class:`Request`.
    :param draw: random number that chooses among the targets of a route.
    :param now: monotonic seconds.
    :raises BadRequestError: if the request is not allowed or not complete.
    """
    route = find_route(routes, request)
    workspace = find_workspace(routes, route, request)
    request_id = request.find(names.request_id)
    if not request_id or len(request_id) > MAX_REQUEST_ID_BYTES:
        raise BadRequestError(400, "request_id_missing")
    deadline_at = now + read_deadline_s(request, names, route)
    service = choose_target(route, draw)
    job = Job(request_id.decode("latin-1"), route, service, workspace, now, deadline_at)
    job.fingerprint = compute_fingerprint(workspace, request)
    if route.has_prompt:
        read_prompt(job, request, names)
    return job


def find_route(routes, request):
    """Return the route of a request."""
    host = request.find(b"host").decode("latin-1")
    path = request.target.split(b"?", 1)[0].decode("latin-1")
    route = routes.find(host, path)
    if route is None and ":" in host:
        route = routes.find(host.rpartition(":")[0], path)
    if route is None:
        raise BadRequestError(404, "no_route")
    return route


def find_workspace(routes, route, request):
    """Return the workspace whose key a request bears, empty on public routes."""
    if route.is_public or not routes.configuration.workspaces:
        return ""
    value = request.find(b"authorization")
    if value is None or not value.lower().startswith(BEARER):
        raise BadRequestError(401, "key_missing")
    key = value[len(BEARER) :].strip().decode("latin-1")
    workspace = routes.find_workspace(key)
    if workspace is None:
        raise BadRequestError(401, "key_unknown")
    return workspace


def read_deadline_s(request, names, route):
    """Return how long the caller waits, at most the timeout of the route."""
    value = request.find(names.deadline_ms)
    if value is None or not value.strip().isdigit():
        return route.timeout_s
    return min(route.timeout_s, int(value) / 1000.0)


def read_prompt(job, request, names):
    """Take the size and the parts of the prompt."""
    counts = (request.find(names.token_counts) or b"").split(b",")
    numbers = [int(count) for count in counts if count.strip().isdigit()]
    if len(numbers) == 2:
        job.n_prompt_tokens, job.n_output_tokens = numbers
    hint = request.find(names.length_hint)
    if hint is not None and hint.strip().isdigit():
        job.n_output_tokens = min(job.n_output_tokens, int(hint)) or int(hint)
    job.parts = parse_parts(request.find(names.prompt_parts) or b"")
    if not job.n_prompt_tokens:
        job.n_prompt_tokens = sum(part.n_tokens for part in job.parts)


def parse_parts(value):
    """Return the parts of a prompt; what cannot be read ends the list."""
    parts = []
    for entry in value.split(b",")[:MAX_PROMPT_PARTS]:
        name, _, n_tokens = entry.strip().partition(b":")
        try:
            parts.append(PromptPart(int(name, 16), int(n_tokens)))
        except ValueError:
            break
    return tuple(parts)


def compute_fingerprint(workspace, request):
    """Return what tells apart requests that are not the same, as 64 bits."""
    digest = blake2b(request.body, digest_size=8)
    digest.update(request.target)
    digest.update(workspace.encode())
    return int.from_bytes(digest.digest(), "big")


def write_request(request, job, backend, names, left_s, last_event_id):
    """Return the request for a backend server as bytes.

    :param backend: :class:`Backend`.
    :param left_s: time that is left, seconds.
    :param last_event_id: id of the last event that the caller has, or None.
    """
    dropped = list_connection_headers(request.headers)
    own = {
        names.deadline_ms,
        names.workspace,
        names.expected_backend,
        b"content-length",
        b"authorization",
    }
    if job.route.is_public:
        own.discard(b"authorization")
    if last_event_id is not None:
        own.add(names.last_event_id)
    lines = [request.method + b" " + request.target + b" HTTP/1.1"]
    for name, value in request.headers:
        if name not in dropped and name not in own and name not in names.reserved:
            lines.append(name + b": " + value)
    left_ms = max(1, int(left_s * 1000))
    lines.append(names.deadline_ms + b": %d" % left_ms)
    lines.append(names.expected_backend + b": " + backend.name.encode())
    if job.workspace:
        lines.append(names.workspace + b": " + job.workspace.encode())
    if last_event_id is not None:
        lines.append(names.last_event_id + b": " + last_event_id)
    if request.body or request.method not in (b"GET", b"HEAD"):
        lines.append(b"content-length: %d" % len(request.body))
    lines.append(b"\r\n")
    return b"\r\n".join(lines) + request.body
