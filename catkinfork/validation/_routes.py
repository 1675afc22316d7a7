"""Checks for routes, services and API keys that can never match a request."""

from catkinfork.validation._findings import WARNING, Finding, quote


def index_routes(configuration):
    """Return the index and the route of each host and prefix, by both of them.

    Of several routes with the same host and prefix, only the first one matches.
    """
    routes = {}
    for index, route in enumerate(configuration.routes):
        routes.setdefault((route.host.lower(), route.prefix), (index, route))
    return routes


def check_any_route(configuration, paths):
    """Return a finding if there are no routes at all."""
    if configuration.routes:
        return []
    text = "no routes: all requests are refused (404)"
    return [Finding(WARNING, paths.locate("routes"), text)]


def check_repeated_prefixes(configuration, paths):
    """Return a finding for each route after one with the same host and prefix."""
    first = index_routes(configuration)
    findings = []
    for index, route in enumerate(configuration.routes):
        first_index, _ = first[(route.host.lower(), route.prefix)]
        if first_index != index:
            text = f"route {quote(route.name)} never matches: "
            text += f"{paths.locate('routes', first_index)} has its host and prefix"
            findings.append(Finding(WARNING, paths.locate("routes", index), text))
    return findings


def check_patterns(configuration, paths):
    """Return a finding for each host and prefix that no request can have."""
    findings = []
    for index, route in enumerate(configuration.routes):
        if not is_host(route.host):
            path = paths.locate("routes", index, "host")
            text = "never matches: no valid request has this host"
            findings.append(Finding(WARNING, path, f"route {quote(route.name)} {text}"))
        if not is_prefix(route.prefix):
            path = paths.locate("routes", index, "prefix")
            text = "never matches: no valid path begins like this"
            findings.append(Finding(WARNING, path, f"route {quote(route.name)} {text}"))
    return findings


def is_host(host):
    """Return whether a ``Host`` header can have a value."""
    is_text = host.isascii() and host.isprintable()
    return bool(host) and is_text and not set(host) & set(" /?#@")


def is_prefix(prefix):
    """Return whether the path of a request can begin with a prefix.

    Paths are compared without their query.
    """
    if not prefix:
        return True
    is_text = prefix.isascii() and prefix.isprintable()
    return prefix.startswith("/") and is_text and not set(prefix) & set(" ?#")


def check_targets(configuration, paths):
    """Return a finding for each route to a service that is not listed.

    Backend servers of such a service are rejected, so that it has none.
    """
    return [
        Finding(
            WARNING,
            paths.locate("routes", index, "targets", position),
            f"route {quote(route.name)} has no service: {quote(target.service)} is not "
            "listed",
        )
        for index, route in enumerate(configuration.routes)
        for position, target in enumerate(route.targets)
        if target.service not in configuration.services
    ]


def check_unused_services(configuration, paths):
    """Return a finding for each service to which no route sends requests."""
    targets = {
        target.service
        for _, route in index_routes(configuration).values()
        for target in route.targets
    }
    return [
        Finding(
            WARNING,
            paths.locate("services", name),
            f"no route that can match has service {quote(name)}",
        )
        for name in configuration.services
        if name not in targets
    ]


def check_weights(configuration, paths):
    """Return a finding for each route whose weights add up to 0."""
    return [
        Finding(
            WARNING,
            paths.locate("routes", index, "targets"),
            f"the weights of route {quote(route.name)} add up to 0: its last target "
            "gets all requests",
        )
        for index, route in enumerate(configuration.routes)
        if sum(target.weight for target in route.targets) == 0
    ]


def check_names(configuration, paths):
    """Return a finding for each route and workspace with the name of an earlier one."""
    findings = []
    for section, noun in (("routes", "route"), ("workspaces", "workspace")):
        first = {}
        for index, entry in enumerate(getattr(configuration, section)):
            if entry.name in first:
                text = f"{noun} {quote(entry.name)} has the name of {first[entry.name]}"
                path = paths.locate(section, index, "name")
                findings.append(Finding(WARNING, path, text))
            else:
                first[entry.name] = paths.locate(section, index)
    return findings


def check_keys(configuration, paths):
    """Return a finding for each API key that is listed twice or that no caller has.

    The text does not contain the key, which is a secret.
    """
    holders = {}
    findings = []
    for index, workspace in enumerate(configuration.workspaces):
        for position, key in enumerate(workspace.keys):
            path = paths.locate("workspaces", index, "keys", position)
            if not is_key(key):
                text = f"this key of workspace {quote(workspace.name)} never matches"
                text += ": it is empty, has spaces around it or is not printable ASCII"
                findings.append(Finding(WARNING, path, text))
            elif key in holders:
                text = describe_holders(workspace, *holders[key])
                findings.append(Finding(WARNING, path, text))
            holders[key] = (workspace, path)
    return findings


def describe_holders(workspace, holder, path):
    """Describe a key that an earlier entry lists as well.

    :param holder: workspace of the earlier entry.
    :param path: JSON path of the earlier entry.
    """
    if holder.name == workspace.name:
        return f"workspace {quote(workspace.name)} has the same key at {path}"
    names = quote(holder.name), quote(workspace.name)
    return (
        f"workspaces {names[0]} ({path}) and {names[1]} have the same key; its "
        f"requests count as those of {names[1]}"
    )


def is_key(key):
    """Return whether an ``Authorization`` header can have an API key."""
    return key.isascii() and key.isprintable() and key == key.strip() != ""
