"""JSON paths of the operator's document for the parts of a decoded configuration."""

from catkinfork.validation import (
    ROOT_PATH,
    WARNING,
    BasePaths,
    Finding,
    extend_path,
    quote,
)

# Fields of the document, in place of those of a configuration that differ from them.
_FIELDS = {
    "routes": {
        "timeout_s": "timeout_ms",
        "latency_target_s": "aim_ms",
        "max_event_gap_s": "gap_target_ms",
        "is_public": "public",
        "is_resumable": "resumable",
        "has_prompt": "sticky",
    },
    "services": {"cold_rate": "cold_per_s"},
    "limits": {
        "header_timeout_s": "header_timeout_ms",
        "idle_timeout_s": "idle_timeout_ms",
    },
    "workspaces": {"keys": "api_keys"},
}
_SECTIONS = {"workspaces": "tenants"}


class DocumentPaths(BasePaths):
    """JSON paths of a document.

    :param document: :class:`ConfigurationDocument`.
    """

    def __init__(self, document):
        self.document = document
        # The last service of a name is the one in force.
        self.services = {
            service.name: index for index, service in enumerate(document.services)
        }

    def locate(self, section, key=None, field="", item=None):
        path = extend_path(ROOT_PATH, _SECTIONS.get(section, section))
        if section == "services" and key is not None:
            key = self.services[key]
        if key is not None:
            path += f"[{key}]"
        if section == "routes" and field == "targets":
            return path + self.locate_target(key, item)
        if field:
            path = extend_path(path, _FIELDS.get(section, {}).get(field, field))
        return path if item is None else f"{path}[{item}]"

    def locate_target(self, index, item):
        """Return the path of a target within its route."""
        if not self.document.routes[index].traffic_split:
            return ".service"
        return ".traffic_split" if item is None else f".traffic_split[{item}].service"

    def list_repeated_services(self):
        """Return a finding for each service that a later one of its name replaces."""
        findings = []
        for index, service in enumerate(self.document.services):
            last = self.services[service.name]
            if index != last:
                text = (
                    f"service {quote(service.name)} is replaced by $.services[{last}], "
                )
                text += "which has its name"
                path = f"$.services[{index}].name"
                findings.append(Finding(WARNING, path, text))
        return findings
