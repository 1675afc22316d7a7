"""Local replica of the published items."""

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
    """Local replica of the published items, applied to routes and registry.

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

    def apply(self, changes, source, now, expires_at):
        """Apply the result of a read; outdated items and snapshots are ignored.

        :param changes: :class:`Changes`.
        :param source: name of the source, for the log.
        :param expires_at: monotonic time at which backend servers whose entries are
            missing are removed.
        """
        if changes.is_full and changes.revision < self.revision:
            return
        if changes.is_full:
            self.remove_missing(changes, source, now, expires_at)
        for item in changes.items:
            known = self.items.get(item.key)
            if known is None:
                is_newer = item.value is None or self.may_add(item, changes)
            else:
                is_newer = item.revision > known.revision
            if is_newer:
                self.apply_item(item, source, now, expires_at)
        self.revision = max(self.revision, changes.revision)

    def may_add(self, item, changes):
        """Return whether an unknown item is new, rather than removed meanwhile.

        The state at its revision includes all earlier changes. A slow answer of the
        store may list an item whose removal was learned from a peer.
        """
        return changes.is_full or item.revision > self.revision

    def remove_missing(self, changes, source, now, expires_at):
        """Remove the items that a full snapshot does not contain."""
        listed = {item.key for item in changes.items}
        for key in self.items.keys() - listed:
            gone = Item(key, None, changes.revision)
            self.apply_item(gone, source, now, expires_at)

    def apply_item(self, item, source, now, expires_at):
        """Apply one item that is newer than the known one."""
        if item.value is None:
            self.items.pop(item.key, None)
        else:
            self.items[item.key] = item
        decoded = self.decoder.decode(item)
        if isinstance(decoded, ConfigurationItem):
            self.apply_configuration(decoded.configuration, source, item.revision)
        elif isinstance(decoded, EntryItem):
            self.apply_entry(decoded, source, now, expires_at)
        elif isinstance(decoded, EvacuationItem):
            self.apply_evacuation(decoded)
        elif isinstance(decoded, UnreadableItem):
            self.handle_unreadable(item, decoded, source, now)

    def apply_configuration(self, configuration, source, revision):
        """Put a configuration in force unless its version is not newer."""
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

    def apply_entry(self, decoded, source, now, expires_at):
        """Apply an entry of a backend server or its removal."""
        if decoded.entry is None:
            self.registry.remove(decoded.name, now, expires_at)
        else:
            self.registry.apply_entry(decoded.entry, now, source)

    def apply_evacuation(self, decoded):
        """Apply the evacuation state of a data centre."""
        evacuated = set(self.registry.evacuated)
        if decoded.is_evacuated:
            evacuated.add(decoded.data_centre)
        else:
            evacuated.discard(decoded.data_centre)
        self.registry.set_evacuated(evacuated)

    def handle_unreadable(self, item, decoded, source, now):
        """Log a value that cannot be decoded.

        If it is the entry of a backend server, that backend server is removed at once.
        """
        if decoded.name:
            self.registry.log_ignored(item.key, source, decoded.detail)
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
