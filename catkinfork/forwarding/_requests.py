"""Conversion of requests to jobs, and their encoding for backend servers."""

from hashlib import blake2b

from catkinfork.balancing import Job, PromptPart
from catkinfork.forwarding._caller import BadRequestError
from catkinfork.forwarding._messages import list_hop_by_hop_headers
from catkinfork.forwarding._numbers import (
    MAX_TOKENS,
    parse_number,
    parse_part_name,
)
from catkinfork.topology import choose_target

BEARER_PREFIX = b"bearer "
MAX_PROMPT_PARTS = 64
MAX_REQUEST_ID_BYTES = 128


def build_job(routes, names, request, draw, now):
    """Return the job for a request.

    :param routes: :class:`RouteTable`.
    :param names: :class:`HeaderNames`.
    :param request: :class:`Request`.
    :param draw: random number in [0, 1) that selects a target of the route.
    :param now: monotonic seconds.
    :raises BadRequestError: if the route, the key or the request id is invalid.
    """
    route = resolve_route(routes, request)
    workspace = authenticate(routes, route, request)
    request_id = request.find_header(names.request_id)
    if not request_id or len(request_id) > MAX_REQUEST_ID_BYTES:
        raise BadRequestError(400, "request_id_missing")
    deadline_at = compute_deadline(request, names, route, now)
    service = choose_target(route, draw)
    job = Job(request_id.decode("latin-1"), route, service, workspace, now, deadline_at)
    job.fingerprint = compute_fingerprint(workspace, request)
    if route.has_prompt:
        parse_prompt_headers(job, request, names)
    return job


def resolve_route(routes, request):
    """Return the route of a request.

    :raises BadRequestError: if no route matches.
    """
    host = request.find_header(b"host").decode("latin-1")
    path = request.target.split(b"?", 1)[0].decode("latin-1")
    route = routes.find(host, path)
    if route is None and ":" in host:
        route = routes.find(host.rpartition(":")[0], path)
    if route is None:
        raise BadRequestError(404, "no_route")
    return route


def authenticate(routes, route, request):
    """Return the name of the workspace that the key of a request belongs to.

    :returns: name, empty on public routes or without configured workspaces.
    :raises BadRequestError: if the key is missing or unknown.
    """
    if route.is_public or not routes.configuration.workspaces:
        return ""
    value = request.find_header(b"authorization")
    if value is None or not value.lower().startswith(BEARER_PREFIX):
        raise BadRequestError(401, "key_missing")
    key = value[len(BEARER_PREFIX) :].strip().decode("latin-1")
    workspace = routes.find_workspace(key)
    if workspace is None:
        raise BadRequestError(401, "key_unknown")
    return workspace


def compute_deadline(request, names, route, now):
    """Return the monotonic time until which a request may be served, seconds.

    A caller counts the time that it allows from its first byte: its body may be slow,
    or wait behind other requests of the connection. The timeout of the route counts
    from the moment at which the request can be passed on.
    """
    deadline_at = now + route.timeout_s
    timeout_ms = parse_number(request.find_header(names.deadline_ms) or b"")
    if timeout_ms is None:
        return deadline_at
    return min(deadline_at, request.received_at + timeout_ms / 1000.0)


def parse_prompt_headers(job, request, names):
    """Set the token counts and the prompt parts of a job from the headers."""
    counts = (request.find_header(names.token_counts) or b"").split(b",")
    parsed = [parse_number(count, MAX_TOKENS) for count in counts]
    numbers = [number for number in parsed if number is not None]
    if len(numbers) == 2:
        job.n_prompt_tokens, job.n_output_tokens = numbers
    hint = parse_number(request.find_header(names.length_hint) or b"", MAX_TOKENS)
    if hint is not None:
        job.n_output_tokens = min(job.n_output_tokens, hint) or hint
    job.parts = parse_prompt_parts(request.find_header(names.prompt_parts) or b"")
    if not job.n_prompt_tokens:
        job.n_prompt_tokens = sum(part.n_tokens for part in job.parts)


def parse_prompt_parts(value):
    """Return the parts of a prompt up to the first malformed entry."""
    parts = []
    for entry in value.split(b",")[:MAX_PROMPT_PARTS]:
        name, _, n_tokens = entry.strip().partition(b":")
        n_tokens = parse_number(n_tokens, MAX_TOKENS)
        if n_tokens is None:
            break
        try:
            parts.append(PromptPart(parse_part_name(name), n_tokens))
        except ValueError:
            break
    return tuple(parts)


def compute_fingerprint(workspace, request):
    """Return a 64-bit hash of the body, the target and the workspace."""
    digest = blake2b(request.body, digest_size=8)
    digest.update(request.target)
    digest.update(workspace.encode())
    return int.from_bytes(digest.digest(), "big")


def encode_request(
    request, job, backend, names, remaining_s, last_event_id, transfer_source=None
):
    """Return a request as bytes for a backend server.

    A key of a workspace never reaches one, not even on a public route: callers may send
    it with all their requests, and whoever runs the backend server could use it.

    :param backend: :class:`Backend`.
    :param remaining_s: time left until the deadline, seconds.
    :param last_event_id: id of the last event that the caller has received, or None.
    :param transfer_source: address of the backend server to fetch cached parts of the
        prompt from, or None.
    """
    dropped = list_hop_by_hop_headers(request.headers)
    replaced = {
        names.deadline_ms,
        names.workspace,
        names.expected_backend,
        names.transfer_source,
        b"content-length",
        b"authorization",
    }
    if last_event_id is not None:
        replaced.add(names.last_event_id)
    lines = [request.method + b" " + request.target + b" HTTP/1.1"]
    for name, value in request.headers:
        if name not in dropped and name not in replaced and name not in names.reserved:
            lines.append(name + b": " + value)
    remaining_ms = max(1, int(remaining_s * 1000))
    lines.append(names.deadline_ms + b": %d" % remaining_ms)
    lines.append(names.expected_backend + b": " + backend.name.encode())
    if job.workspace:
        lines.append(names.workspace + b": " + job.workspace.encode())
    if last_event_id is not None:
        lines.append(names.last_event_id + b": " + last_event_id)
    if transfer_source is not None:
        lines.append(names.transfer_source + b": " + transfer_source.encode())
    if request.body or request.method not in (b"GET", b"HEAD"):
        lines.append(b"content-length: %d" % len(request.body))
    lines.append(b"\r\n")
    return b"\r\n".join(lines) + request.body
