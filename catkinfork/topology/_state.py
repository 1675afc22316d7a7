"""What a forwarder knows of the published items."""

from catkinfork.observability import log_event
from catkinfork.topology._events import (
    CONFIGURATION_ADOPTED,
    CONFIGURATION_REJECTED,
)
from catkinfork.topology._routes import RouteTable
from catkinfork.topology._source import (
    ConfigurationItem,
    EntryItem,
    EvacuationItem,
    Item,
    UnreadableItem,
)


class TopologyState:
    """Mirror of the published items, decoded.

    :param registry: :class:`BackendRegistry`.
    :param decoder: :class:`BaseDecoder`.
    :param on_configuration: callable that takes a :class:`RouteTable`.
    :param write_log: callable that takes a :class:`LogEvent`.
    """

    def __init__(self, registry, decoder, on_configuration, write_log):
        self.registry = registry
        self.decoder = decoder
        self.on_configuration = on_configuration
        self.write_log = write_log
        self.items = {}
        self.revision = 0
        self.routes = None

    def apply(self, changes, source, now, gone_at):
        """Take items that were read.

        :param changes: :class:`Changes`.
        :param source: where they were read, for the log.
        :param gone_at: time from which on backend servers whose entries are missing
            count as gone.
        """
        if changes.is_full and changes.revision < self.revision:
            return
        if changes.is_full:
            self.remove_missing(changes, source, now, gone_at)
        for item in changes.items:
            known = self.items.get(item.key)
            if known is None or item.revision > known.revision:
                self.apply_item(item, source, now, gone_at)
        self.revision = max(self.revision, changes.revision)

    def remove_missing(self, changes, source, now, gone_at):
        """Remove the items that a full list lacks."""
        listed = {item.key for item in changes.items}
        for key in self.items.keys() - listed:
            gone = Item(key, None, changes.revision)
            self.apply_item(gone, source, now, gone_at)

    def apply_item(self, item, source, now, gone_at):
        """Take one item that is newer than the one known."""
        if item.value is None:
            self.items.pop(item.key, None)
        else:
            self.items[item.key] = item
        decoded = self.decoder.decode(item)
        if isinstance(decoded, ConfigurationItem):
            self.adopt(decoded.configuration, source, item.revision)
        elif isinstance(decoded, EntryItem):
            self.apply_entry(decoded, source, now, gone_at)
        elif isinstance(decoded, EvacuationItem):
            self.apply_evacuation(decoded)
        elif isinstance(decoded, UnreadableItem):
            self.reject(item, decoded, source, now)

    def adopt(self, configuration, source, revision):
        """Take a configuration unless a newer one is in force."""
        previous = self.routes.version if self.routes is not None else 0
        if self.routes is not None and configuration.version <= previous:
            return
        self.routes = RouteTable(configuration)
        self.on_configuration(self.routes)
        self.write_log(
            log_event(
                CONFIGURATION_ADOPTED,
                version=configuration.version,
                previous_version=previous,
                source=source,
                revision=revision,
            )
        )

    def apply_entry(self, decoded, source, now, gone_at):
        """Take an entry of a backend server, or its removal."""
        if decoded.entry is None:
            self.registry.remove(decoded.name, now, gone_at)
        else:
            self.registry.note_entry(decoded.entry, now, source)

    def apply_evacuation(self, decoded):
        """Take a data centre out of service, or back."""
        evacuated = set(self.registry.evacuated)
        if decoded.is_evacuated:
            evacuated.add(decoded.data_centre)
        else:
            evacuated.discard(decoded.data_centre)
        self.registry.evacuate(evacuated)

    def reject(self, item, decoded, source, now):
        """Log a value that cannot be read; it names no backend server to use."""
        if decoded.name:
            self.registry.ignore(item.key, source, decoded.detail)
            self.registry.remove(decoded.name, now, now)
            return
        self.write_log(
            log_event(
                CONFIGURATION_REJECTED,
                key=item.key,
                source=source,
                detail=decoded.detail,
            )
        )
