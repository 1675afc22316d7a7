"""Local replica of the published items."""

from catkinfork.observability import log_event
from catkinfork.topology._checks import limit_detail
from catkinfork.topology._events import (
    CONFIGURATION_ADOPTED,
    CONFIGURATION_REJECTED,
    FIGURE_IGNORED,
    STORE_RESTORED,
)
from catkinfork.topology._routes import RouteTable
from catkinfork.topology._source import (
    Changes,
    ConfigurationItem,
    EntryItem,
    EvacuationItem,
    Item,
    Position,
    UnconfiguredItem,
    UnreadableItem,
)
from catkinfork.topology._unconfigured import UnconfiguredTable

# Time after a restore of the store for which the known evacuations stay in force where
# the copy differs, seconds. The operator publishes the latest ones again meanwhile.
EVACUATION_HOLD_S = 10.0


class TopologyState:
    """Local replica of the published items, applied to routes and registry.

    :param registry: :class:`BackendRegistry`.
    :param decoder: :class:`BaseDecoder`.
    :param on_configuration: callable that takes a :class:`RouteTable`.
    :param write_log: callable that takes a :class:`LogEvent`.

    ``unconfigured`` has the latest entries of backend servers whose service a later
    configuration may name. ``must_list`` states that it names one of which entries were
    too many or too large to be kept, so that the store has to be listed again.
    ``items`` has what is told to peers: a value that
    names nothing is not kept, but for the key of one that named a backend server.
    ``evacuated`` has the data centres that the store lists as evacuated; the registry
    has those in force.
    """

    def __init__(self, registry, decoder, on_configuration, write_log):
        self.registry = registry
        self.decoder = decoder
        self.on_configuration = on_configuration
        self.write_log = write_log
        self.items = {}
        self.era = 0
        self.revision = 0
        self.routes = None
        self.configuration_item = None
        self.unconfigured = UnconfiguredTable()
        self.must_list = False
        self.evacuated = set()
        self.evacuations_held_until = None
        self.services = set()

    @property
    def position(self):
        """Return the :class:`Position` up to which the state is complete."""
        return Position(self.era, self.revision)

    def apply(self, changes, source, now, expires_at):
        """Apply the result of a read; outdated items and snapshots are ignored.

        :param changes: :class:`Changes`.
        :param source: name of the source, for the log.
        :param expires_at: monotonic time at which backend servers whose entries are
            missing are removed.
        """
        self.end_evacuation_hold(now)
        self.registry.add_departures(changes.departed)
        if changes.era > self.era and changes.is_full:
            self.adopt_era(changes, source, now, expires_at)
            return
        if changes.era != self.era:
            return
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

    def apply_part(self, part, source, now):
        """Apply the items of one prefix; what is told of others stays as it is.

        :param part: :class:`PartialList`.
        """
        if part.era != self.era:
            return
        listed = {item.key for item in part.items}
        gone = [
            Item(key, None, part.revision)
            for key in self.items
            if key.startswith(part.prefix)
            and key not in listed
            and not self.is_configuration(key)
        ]
        items = part.items + gone
        self.apply(Changes(items, self.revision, False, self.era), source, now, now)

    def adopt_era(self, changes, source, now, expires_at):
        """Replace the items by those of a store that was restored from a copy.

        Nothing that is known to be newer goes back to the state of the copy: the
        configuration in force stays, which keeps withdrawn keys withdrawn, and so do
        newer entries of backend servers. Those that the copy lacks are removed unless
        they are published again in time, and those that were gone stay gone.
        """
        before = self.items
        previous = self.position
        self.era = changes.era
        self.revision = changes.revision
        self.items = {}
        self.evacuated = set()
        for item in changes.items:
            self.apply_copied_item(item, source, now, expires_at)
        missing = before.keys() - self.items.keys()
        for key in missing:
            self.remove_missing_item(key, source, now, expires_at)
        if self.evacuated != self.registry.evacuated:
            self.evacuations_held_until = now + EVACUATION_HOLD_S
        if not before:
            self.end_evacuation_hold(now + EVACUATION_HOLD_S)
            return
        self.write_log(
            log_event(
                STORE_RESTORED,
                era=self.era,
                previous_era=previous.era,
                revision=self.revision,
                previous_revision=previous.revision,
                source=source,
                n_missing=len(missing),
            )
        )

    def apply_copied_item(self, item, source, now, expires_at):
        """Apply an item of a store that was restored from a copy."""
        decoded = self.decode(item)
        self.keep(item, decoded)
        if isinstance(decoded, EvacuationItem):
            self.evacuated.add(decoded.data_centre)
            return
        is_entry = isinstance(decoded, EntryItem | UnconfiguredItem)
        if is_entry and self.registry.has_departed(decoded.entry):
            detail = "the backend server is gone"
            self.registry.log_ignored(item.key, source, detail, now)
            return
        self.apply_decoded(decoded, item, source, now, expires_at)

    def remove_missing_item(self, key, source, now, expires_at):
        """Handle an item that a restored store lacks."""
        if self.is_configuration(key):
            self.items[key] = self.configuration_item._replace(revision=0)
            return
        gone = Item(key, None, self.revision)
        decoded = self.decode(gone)
        if not isinstance(decoded, EvacuationItem):
            self.apply_decoded(decoded, gone, source, now, expires_at)

    def end_evacuation_hold(self, now):
        """Take over the evacuations of a restored store once their hold has ended."""
        held_until = self.evacuations_held_until
        if held_until is not None and now >= held_until:
            self.evacuations_held_until = None
            self.registry.set_evacuated(self.evacuated)

    def offer_configuration(self, changes, source):
        """Put the configuration of a peer in force if its version is newer.

        A store that was restored from a copy may list an older one.

        :param changes: :class:`Changes` read from the peer.
        """
        for item in changes.items:
            decoded = self.decode(item)
            if isinstance(decoded, ConfigurationItem):
                known = self.items.get(item.key)
                revision = known.revision if known is not None else 0
                item = item._replace(revision=revision)
                self.apply_configuration(decoded, source, item)

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
            if not self.is_configuration(key):
                gone = Item(key, None, changes.revision)
                self.apply_item(gone, source, now, expires_at)

    def is_configuration(self, key):
        """Return whether a key is that of the configuration, which stays in force."""
        known = self.configuration_item
        return known is not None and key == known.key

    def apply_item(self, item, source, now, expires_at):
        """Apply one item that is newer than the known one."""
        decoded = self.decode(item)
        self.keep(item, decoded)
        self.apply_decoded(decoded, item, source, now, expires_at)

    def keep(self, item, decoded):
        """Keep an item for peers, without what nobody reads of it.

        Another writer may have written any value, and any number of them.

        :param decoded: typed form of the item, or None.
        """
        key = item.key
        is_unreadable = isinstance(decoded, UnreadableItem)
        if is_unreadable and not decoded.is_entry and self.is_configuration(key):
            item = self.configuration_item._replace(revision=item.revision)
        elif is_unreadable and decoded.is_entry and key in self.items:
            # A peer that has the former value drops it at once.
            item = item._replace(value=b"")
        elif isinstance(decoded, EvacuationItem) and item.value is not None:
            item = item._replace(value=b"")
        elif is_unreadable or decoded is None or item.value is None:
            self.items.pop(key, None)
            return
        self.items[key] = item

    def decode(self, item):
        """Return the typed form of an item, or None if it is irrelevant.

        An item that the decoder fails on names nothing, and the others hold.
        """
        try:
            return self.decoder.decode(item)
        except Exception as error:
            return UnreadableItem("", limit_detail(repr(error)), is_entry=True)

    def apply_decoded(self, decoded, item, source, now, expires_at):
        """Apply the typed form of an item."""
        if isinstance(decoded, ConfigurationItem):
            self.apply_configuration(decoded, source, item)
        elif isinstance(decoded, EntryItem):
            self.apply_entry(decoded, source, now, expires_at)
        elif isinstance(decoded, UnconfiguredItem):
            self.keep_unconfigured(decoded.entry, item, source, now)
        elif isinstance(decoded, EvacuationItem):
            self.apply_evacuation(decoded)
        elif isinstance(decoded, UnreadableItem):
            self.handle_unreadable(item, decoded, source, now)

    def apply_configuration(self, decoded, source, item):
        """Put a configuration in force unless its version is not newer.

        The item of the newest one is kept, and told to peers, in place of older ones.

        :param decoded: :class:`ConfigurationItem`.
        """
        configuration = decoded.configuration
        previous = self.routes.version if self.routes is not None else 0
        if self.routes is not None and configuration.version <= previous:
            known = self.configuration_item
            self.items[item.key] = known._replace(revision=item.revision)
            return
        routes = RouteTable(configuration)
        self.configuration_item = item
        self.items[item.key] = item
        self.routes = routes
        self.on_configuration(routes)
        self.write_log(
            log_event(
                CONFIGURATION_ADOPTED,
                version=configuration.version,
                previous_version=previous,
                source=source,
                revision=item.revision,
            )
        )
        self.log_ignored_figures(decoded, source)
        self.apply_configured_entries(configuration, source)

    def apply_configured_entries(self, configuration, source):
        """Apply the entries read before whose service a new configuration names."""
        services = configuration.list_services()
        if self.unconfigured.is_incomplete and services - self.services:
            self.must_list = True
            self.unconfigured.is_incomplete = False
        self.services = services
        for entry, read_at, _ in self.unconfigured.take(services):
            self.registry.apply_entry(entry, read_at, source)

    def log_ignored_figures(self, decoded, source):
        """Log the figures of a new configuration that cannot be right.

        :param decoded: :class:`ConfigurationItem`.
        """
        if not decoded.ignored:
            return
        self.write_log(
            log_event(
                FIGURE_IGNORED,
                version=decoded.configuration.version,
                source=source,
                n_figures=len(decoded.ignored),
                detail=limit_detail(decoded.ignored[0]),
            )
        )

    def apply_entry(self, decoded, source, now, expires_at):
        """Apply an entry of a backend server or its removal."""
        unconfigured = self.unconfigured.pop(decoded.name)
        if decoded.entry is None:
            if unconfigured is not None:
                self.registry.record_departure(unconfigured.entry)
            self.registry.remove(decoded.name, now, expires_at)
        else:
            self.registry.apply_entry(decoded.entry, now, source)

    def keep_unconfigured(self, entry, item, source, now):
        """Keep an entry until a configuration names its service.

        Until then the backend server is not used, nor for the service that it had.
        """
        detail = f"service {entry.service!r} is not configured"
        self.registry.log_ignored(item.key, source, limit_detail(detail), now)
        self.registry.remove(entry.name, now, now)
        for key in self.unconfigured.add(entry, item, now):
            self.items.pop(key, None)

    def apply_evacuation(self, decoded):
        """Apply the evacuation state of a data centre."""
        in_force = set(self.registry.evacuated)
        for evacuated in (self.evacuated, in_force):
            if decoded.is_evacuated:
                evacuated.add(decoded.data_centre)
            else:
                evacuated.discard(decoded.data_centre)
        self.registry.set_evacuated(in_force)

    def handle_unreadable(self, item, decoded, source, now):
        """Log a value that cannot be decoded.

        If it is the entry of a backend server, that backend server is removed at once.
        """
        if decoded.is_entry:
            self.unconfigured.pop(decoded.name)
            self.registry.log_ignored(item.key, source, decoded.detail, now)
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
