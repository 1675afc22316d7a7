"""Paragraphs of the page with worked arithmetic on the figures of a run."""

from benchmarks.capacity import targets as t
from benchmarks.capacity.costs import estimate_message_cost

HEARTBEATS_PER_S = 2
SUMMARIES_PER_S = 2
REPLACE_INTERVAL_S = 1.25
MAX_SILENCES = 3
# A rack of 20 hosts with routers and agents in the proportion of the fleet.
RACK_ROUTERS = 8
RACK_AGENTS = 12


def get_fit(probes, probe, measure):
    """Return the fit of a measure."""
    return probes[probe]["fits"][measure]


def estimate_cost(probes, probe, measure, size):
    """Return the cost at a size by the fitted line, including the intercept."""
    fit = get_fit(probes, probe, measure)
    return fit["intercept"] + fit["slope"] * size


def compute_mean_cost(probes, probe, measure, size):
    """Return the mean of the measured points at a size, if a line fits badly."""
    values = [
        point["values"][measure]
        for point in probes[probe]["points"]
        if point["size"] == size and measure in point["values"]
    ]
    return sum(values) / len(values)


def estimate_document_bytes(probes):
    """Return the bytes of a document reply at the target size."""
    return estimate_cost(probes, "document_workspaces", "reply", t.N_WORKSPACES)


def describe_backlog(probes, constants):
    """Return the paragraphs on backlogged workspaces and who learns of them."""
    entry = get_fit(probes, "summary_entries", "sent_bytes")["slope"]
    demand = get_fit(probes, "demand_entries", "sent_bytes")
    head = estimate_cost(probes, "summary_entries", "sent_bytes", 0)
    whole = t.N_BACKLOGGED * entry + head
    to_all = whole * SUMMARIES_PER_S * t.N_ROUTERS / 1000
    per_cell = (t.ENTRIES_PER_DEMAND * entry + head) * SUMMARIES_PER_S
    cell_out = per_cell * t.ROUTERS_PER_CELL / 1000
    to_router = per_cell * t.N_MODELS / 1000
    size = demand["intercept"] + demand["slope"] * t.ENTRIES_PER_DEMAND
    router_out = size * t.N_MODELS * 2 * 2 / 1000
    cell_in = size * t.ROUTERS_PER_CELL * 2 / 1000
    return f"""\
One entry of a summary takes {entry:.0f} bytes and the rest of the frame {head:.0f}
(probe `summary_entries`). If a dispatcher told all {t.N_ROUTERS} routers of all
{t.N_BACKLOGGED} backlogged workspaces twice a second, it would send
({t.N_BACKLOGGED} × {entry:.0f} + {head:.0f}) × {SUMMARIES_PER_S} × {t.N_ROUTERS} =
{to_all:,.0f} KB/s, {to_all / t.BUDGET_TRAFFIC_KB_PER_S:,.0f} times the budget. Three
things make it smaller. Runners are told nothing of the backlog: an agent offers
tickets, and only its dispatcher matches them, so that the cost at 600 agents is 0. A
router is told only of the workspaces that wait with it, {t.ENTRIES_PER_DEMAND} in a
cell (`filter_summary`); only the next dispatcher gets the whole. And a cell has
{t.ROUTERS_PER_CELL} routers. A cell's dispatcher then sends ({t.ENTRIES_PER_DEMAND} ×
{entry:.0f} + {head:.0f}) × {SUMMARIES_PER_S} × {t.ROUTERS_PER_CELL} = {cell_out:.1f}
KB/s, and a router receives {t.N_MODELS} such summaries, {to_router:.1f} KB/s. The way
back costs more: a demand of {t.ENTRIES_PER_DEMAND} entries takes {size:.0f} bytes
(probe `demand_entries`), and each router sends it every 0.5 s for {t.N_MODELS} pools to
two dispatchers, {size:.0f} × {t.N_MODELS} × 2 × 2 = {router_out:.1f} KB/s, of which a
cell's dispatcher receives {size:.0f} × {t.ROUTERS_PER_CELL} × 2 = {cell_in:.1f} KB/s.
Together {format_traffic(cell_out + cell_in)} for the dispatcher, and
{format_traffic(to_router + router_out)} for the router: a demand that holds only the
classes that changed since the last one that was acknowledged is to bring both down
(not built)."""


def format_traffic(kilobytes):
    """Return traffic with its relation to the budget."""
    budget = t.BUDGET_TRAFFIC_KB_PER_S
    if kilobytes > budget:
        return f"{kilobytes:.1f} KB/s, over the budget of {budget},"
    return f"{kilobytes:.1f} KB/s, within the budget of {budget},"


def describe_document(probes, constants):
    """Return the paragraphs on the document and the calls to the platform."""
    size = estimate_document_bytes(probes)
    parse, send, receive = (
        estimate_cost(probes, "document_workspaces", name, t.N_WORKSPACES)
        for name in ("parse", "send", "receive")
    )
    adopt = estimate_cost(probes, "document_workspaces", "adopt_router", t.N_WORKSPACES)
    polls = t.N_AGENTS / 15
    calls = t.N_ROUTERS + polls
    burst = calls + t.N_ROUTERS
    hosts = t.N_HOSTS
    per_day = size * (t.N_ROUTERS + t.N_AGENTS) * t.CHANGES_PER_DAY / 1e9
    page = estimate_cost(probes, "loop_hosts", "received_bytes", t.N_HOSTS)
    last_ms = t.AGENTS_PER_POOL * send
    return f"""\
*Calls.* A router's watch is one pending call of 1 s: {t.N_ROUTERS} calls a second.
Agents poll every 15 s with jitter: {t.N_AGENTS} / 15 = {polls:.0f}. Together
{calls:.0f}, and in the second of a change each watch is answered and asked again:
{burst:.0f} of the {t.PLATFORM_CALLS_PER_S} allowed. If the host list is counted against
the same limit, its {hosts} reads a second make {calls + hosts:.0f}, and
{burst + hosts:.0f} in the second of a change; that is within the limit. A
second list that every process reads each second would not be:
{burst + 2 * hosts:.0f}. A changed host list transfers {page / 1000:.0f} KB to each
process; while it is unchanged, a read is answered with 304 and no body. The size of
that answer was not measured.

*Bytes.* The document of {t.N_WORKSPACES:,} workspaces with {t.KEYS_PER_WORKSPACE} key
digests each and {t.N_AGENTS} backend servers has {size / 1000:.0f} KB
({1e6 / size:.2f} of such documents fit into the 1 MB of a value). {t.N_ROUTERS} routers
receive it from the service within a moment, {size * t.N_ROUTERS / 1e6:.0f} MB;
{t.N_AGENTS} agents receive it from routers, {size * t.N_AGENTS / 1e6:.0f} MB. At
{t.CHANGES_PER_DAY} changes a day this is {per_day:.0f} GB, and for one process
{size / 1000:.0f} KB × {t.CHANGES_PER_DAY} / {t.DAY_S} s =
{size * t.CHANGES_PER_DAY / t.DAY_S / 1000:.1f} KB/s.

*Time.* A pending watch is answered in milliseconds. Verifying and decoding take
{receive:.1f} ms, parsing {parse:.0f} ms and adopting at a router {adopt:.1f} ms of
processor time. The next acknowledgement of a report or probe to an agent follows within
0.5 s and carries the new version; the agent asks and receives one document. The last
of {t.AGENTS_PER_POOL} agents that ask one dispatcher waits for {t.AGENTS_PER_POOL} ×
{send:.1f} = {last_ms:.0f} ms of encoding and for {t.AGENTS_PER_POOL} ×
{size / 1000:.0f} KB on the wire ({t.AGENTS_PER_POOL * size * 8 / 1e9:.2f} s at an
assumed 1 Gbit/s), then parses. The sum is
{0.5 + 2 * parse / 1000 + last_ms / 1000 + t.AGENTS_PER_POOL * size * 8 / 1e9:.1f} s
without waiting for a processor; one more exchange of 0.5 s for a router that is cut off
from the service leaves it under the 6 s. This is arithmetic from measured parts; no run
with 990 processes was made."""


def describe_restarts(probes, constants):
    """Return the paragraphs on 120 restarts a day, each with empty state."""
    size = estimate_document_bytes(probes)
    whole = estimate_cost(probes, "agent_served", "sent_bytes", t.SERVED_PER_AGENT)
    routers = t.RESTARTS_PER_DAY * t.N_ROUTERS / t.N_HOSTS
    per_start = 3 * size
    average = per_start * t.RESTARTS_PER_DAY / t.DAY_S / t.N_ROUTERS / 1000
    takeover = whole * t.AGENTS_PER_POOL * t.RESTARTS_PER_DAY / t.DAY_S
    takeover = takeover / t.N_ROUTERS / 1000
    cells, built = t.N_CELLS / t.N_ROUTERS, t.N_MODELS / t.N_ROUTERS
    receive = estimate_cost(probes, "document_workspaces", "receive", t.N_WORKSPACES)
    return f"""\
Of {t.RESTARTS_PER_DAY} restarts a day about {routers:.0f} are routers and
{t.RESTARTS_PER_DAY - routers:.0f} are agents, one every
{t.DAY_S / t.RESTARTS_PER_DAY / 60:.0f} minutes. A starting process asks three
routers for the document (`become_ready`), so that up to 3 replies of
{size / 1000:.0f} KB arrive: {per_start / 1e6:.1f} MB and 3 × {receive:.1f} ms of
processor time to verify. On average a router sends {average:.2f} KB/s for it.

A router that restarts is first dispatcher of {cells:.2f} cells ({built:.3f} whole
pools). After 1.5 s the next one takes over: {t.AGENTS_PER_CELL} agents of a cell
({t.AGENTS_PER_POOL} of a pool) send one whole report of {whole / 1000:.1f} KB each,
{t.AGENTS_PER_CELL * whole / 1000:.0f} KB ({t.AGENTS_PER_POOL * whole / 1000:.0f} KB),
and each router of the unit one demand. An agent that restarts sends its totals from
zero, opens tickets with its new incarnation, and opens one connection to each router
that uses it. Keys that are not newer than its start are answered `unknown`; that costs
no message. If each of the {t.RESTARTS_PER_DAY} restarts caused a takeover of a whole
pool, the whole reports would make {takeover:.4f} KB/s on average for each router."""


def describe_losses(probes, constants):
    """Return the paragraphs on loss of a rack, a data centre and a region link."""
    whole = (
        estimate_cost(probes, "agent_served", "sent_bytes", t.SERVED_PER_AGENT) / 1000
    )
    beat = get_fit(probes, "peers", "sent_bytes")["slope"] / HEARTBEATS_PER_S
    agents, routers = t.AGENTS_PER_DATA_CENTRE, t.ROUTERS_PER_CELL
    lost = round(t.count_distinct(t.N_MODELS * t.N_CANDIDATES, t.N_ROUTERS))
    lost_kb = lost * routers / t.N_ROUTERS * HEARTBEATS_PER_S * beat / 1000
    streams = t.IN_FLIGHT_PER_AGENT
    # With half of the routers dead, a process probes six of a ranking to find three
    # that are live.
    probed = t.count_distinct(t.N_MODELS * 2 * t.N_CANDIDATES, t.N_ROUTERS)
    replaced = probed / 2 * 60 / REPLACE_INTERVAL_S
    side = t.N_MODELS / 2 * t.AGENTS_PER_POOL / 2
    demands = t.N_MODELS / 2 * t.N_ROUTERS / 2
    lines = []
    for name, n_routers, n_agents in (
        ("Rack", RACK_ROUTERS, RACK_AGENTS),
        ("Data centre", routers, agents),
    ):
        left = t.N_ROUTERS - n_routers
        resumed = n_agents * streams * (MAX_SILENCES + 1)
        pools = t.N_MODELS * n_routers / t.N_ROUTERS
        cells = t.N_CELLS * n_routers / t.N_ROUTERS
        reports = pools * t.AGENTS_PER_POOL * whole
        lines.append(
            f"*{name}* ({n_routers} routers and {n_agents} agents"
            f"{', assumed' if name == 'Rack' else ''}). {n_agents} × {streams} ="
            f" {n_agents * streams:,} requests lose their agent; as built, for each its"
            f" router sends up to {MAX_SILENCES} `Resume` and one `Cancel` within 6 s:"
            f" {resumed:,} messages, {resumed / left:.1f} for each of the {left}"
            f" routers left. {n_routers} × {t.IN_FLIGHT_PER_ROUTER} ="
            f" {n_routers * t.IN_FLIGHT_PER_ROUTER:,} requests lose their router;"
            " their agents stop the idempotent ones after 3 s without a message."
            f" The lost routers were first dispatchers of {pools:.1f} whole pools or"
            f" {cells:.1f} cells; as built their takeover takes"
            f" {pools * t.AGENTS_PER_POOL:.0f} whole reports of {whole:.1f} KB,"
            f" {reports:.0f} KB, and up to {pools * left:,.0f} demands."
        )
    moved = t.REQUESTS_PER_S / t.N_DATA_CENTRES
    lines.append(
        f"After the loss of a data centre {moved:.0f} requests/s go to the others,"
        f" {100 / (t.N_DATA_CENTRES - 1):.0f}% more for each, so the rows that grow"
        f" with requests grow by as much. In cells, its {t.N_MODELS} cells are gone"
        " together with the routers and agents that used them; no other cell changes"
        " its dispatcher. Probes to lost candidates go on until the host list drops"
        f" them: {lost} candidates × {routers}/{t.N_ROUTERS} × {HEARTBEATS_PER_S}/s ×"
        f" {beat:.0f} bytes = {lost_kb:.1f} KB/s at each router, as before the loss,"
        f" and a new connection to each every {REPLACE_INTERVAL_S} s."
    )
    lines.append(
        "*Link between two regions.* In cells nothing but the exchange of counters"
        " crosses it, and that is not built. As built each half of a pool takes the"
        f" first live router on its own side: about {t.N_MODELS / 2:.1f} pools change"
        f" dispatcher on each side, with {side:.0f} whole reports of {whole:.1f} KB and"
        f" {demands:,.0f} demands. To find three live routers a"
        f" process probes six of each ranking, {probed:.0f} for the {t.N_MODELS} pools;"
        " half of them are out of reach, and each of these links is replaced every"
        f" {REPLACE_INTERVAL_S} s: {probed / 2:.0f} × 60 / {REPLACE_INTERVAL_S} ="
        f" {replaced:,.0f} new connections and log lines in the minute,"
        f" {replaced / 60:.0f}/s at each router. The pause between two tries does not"
        " grow; letting it grow to 10 s is to bring this down (not built). Requests"
        " that run across the link are given up as above."
    )
    return "\n\n".join(lines)


def describe_tokens(probes, constants):
    """Return the paragraph on tokens a second through the routers."""
    cost = estimate_message_cost(probes)
    parts = get_fit(probes, "router_parts", "data_processor")["slope"]
    sent = get_fit(probes, "agent_parts", "data_processor")["slope"]
    size = get_fit(probes, "router_parts", "data_received_bytes")["slope"]
    router = t.PARTS_PER_ROUTER * (parts + cost) / 10
    agent = t.PARTS_PER_AGENT * (sent + cost) / 10
    mega = t.PARTS_PER_ROUTER * size / 1e6
    n_cores = (t.N_ROUTERS * router + t.N_AGENTS * agent) / 100
    batch = t.IN_FLIGHT_PER_ROUTER / t.TOKEN_INTERVAL_S
    return f"""\
{t.TOKENS_PER_S:,} tokens/s at {t.TOKEN_INTERVAL_S * 1000:.0f} ms between two tokens are
{t.IN_FLIGHT:,.0f} requests in flight: {t.IN_FLIGHT_PER_ROUTER} at a router and
{t.IN_FLIGHT_PER_AGENT} at an agent, {t.PARTS_PER_ROUTER} and {t.PARTS_PER_AGENT}
parts a second with one token each ({t.IN_FLIGHT_PER_ROUTER} / {t.TOKEN_INTERVAL_S} =
{batch:.0f}). A part costs a router {parts * 1000:.0f} µs to verify, decode, decide and
acknowledge, and {cost * 1000:.0f} µs in pynng and the event loop:
{t.PARTS_PER_ROUTER} × ({parts * 1000:.0f} + {cost * 1000:.0f}) µs = {router:.0f}% of
a core. At an agent it is {t.PARTS_PER_AGENT} ×
({sent * 1000:.0f} + {cost * 1000:.0f}) µs = {agent:.0f}%. A part
takes {size:.0f} bytes, {mega:.2f} MB/s at a router. Over the fleet this is
{n_cores:.0f} cores of {t.N_ROUTERS + t.N_AGENTS} hosts. One event loop carries it as
measured; acknowledgements are in the row of the requests in flight. Pynng
with the loop is {100 * cost / (cost + parts):.0f}% of a router's cost; frames that
hold the parts of several requests of the same tick would divide that
part (not built). The gateway's HTTP side towards callers and the agent's HTTP side
towards the engine are not in these figures: they were not measured."""


def describe_products(probes, constants):
    """Return the table of mechanisms whose cost grows with a product of two sizes."""
    size = estimate_document_bytes(probes)
    send = estimate_cost(probes, "document_workspaces", "send", t.N_WORKSPACES)
    rank = get_fit(probes, "router_reviews", "processor")
    built = (rank["slope"] * t.N_ROUTERS + rank["intercept"]) / 10
    cells = (rank["slope"] * t.ROUTERS_PER_CELL + rank["intercept"]) / 10
    every = estimate_cost(probes, "router_pool_reviews", "processor", t.N_CELLS) / 10
    entry = get_fit(probes, "dispatcher_backlogged", "received_bytes")["slope"]
    beat = get_fit(probes, "peers", "sent_bytes")["slope"]
    page = estimate_cost(probes, "loop_hosts", "received_bytes", t.N_HOSTS)
    in_flight = get_fit(probes, "agent_in_flight", "processor")["slope"]
    free = compute_mean_cost(
        probes, "agent_free_places", "sent_bytes", t.IN_FLIGHT_PER_AGENT
    )
    memory = get_fit(probes, "router_dispatchers", "memory")["slope"]
    per_day = t.CHANGES_PER_DAY / t.DAY_S
    rows = [
        (
            "routers × pools: each router reviews all routers for each pool ten times"
            " a second; it ranks them on change",
            f"{built:.1f}% of a core as built, {cells:.1f}% with {t.ROUTERS_PER_CELL}"
            f" routers for each of {t.N_MODELS} cells, {every:.0f}% if all"
            f" {t.N_CELLS} cells reviewed all {t.N_ROUTERS} routers",
            format_verdict(built, t.BUDGET_CORE_PERCENT) + " as built, "
            f"{format_verdict(cells, t.BUDGET_CORE_PERCENT)} in cells",
            "a review on change only (not built)",
        ),
        (
            "routers × backlogged workspaces: whole demands at a dispatcher",
            f"{entry:.0f} B/s for each workspace in a cell,"
            f" {entry * t.BACKLOGGED_PER_CELL / 1000:.1f} KB/s for"
            f" {t.BACKLOGGED_PER_CELL},"
            f" {entry * t.N_BACKLOGGED / 1000:.0f} KB/s if all {t.N_BACKLOGGED} wait",
            format_verdict(
                entry * t.BACKLOGGED_PER_CELL / 1000, t.BUDGET_TRAFFIC_KB_PER_S
            ),
            "demand by difference",
        ),
        (
            "routers × agents: probes between all pairs with traffic",
            f"{2 * beat:.0f} B/s for each peer,"
            f" {2 * beat * t.ROUTER_PEERS_IN_CELLS / 1000:.1f} KB/s in cells and"
            f" {2 * beat * t.ROUTER_PEERS / 1000:.1f} KB/s as built",
            format_verdict(
                2 * beat * t.ROUTER_PEERS_IN_CELLS / 1000, t.BUDGET_TRAFFIC_KB_PER_S
            ),
            "data as a sign of life",
        ),
        (
            "agents × document: after a promotion, agents that learn of the newer"
            " version from a dispatcher ask that dispatcher for the whole document",
            f"{t.AGENTS_PER_POOL} × {size / 1000:.0f} KB ="
            f" {t.AGENTS_PER_POOL * size / 1e6:.0f} MB and"
            f" {t.AGENTS_PER_POOL * send:.0f} ms of processor time in a burst,"
            f" {t.AGENTS_PER_POOL * size * per_day / 1000:.0f} KB/s on average;"
            f" in cells {t.AGENTS_PER_CELL * size / 1e6:.1f} MB,"
            f" {t.AGENTS_PER_CELL * size * per_day / 1000:.1f} KB/s on average",
            format_verdict(
                t.AGENTS_PER_POOL * size * per_day / 1000, t.BUDGET_TRAFFIC_KB_PER_S
            )
            + " as built, "
            + format_verdict(
                t.AGENTS_PER_CELL * size * per_day / 1000, t.BUDGET_TRAFFIC_KB_PER_S
            )
            + " in cells on average; the burst is over the budget of its second"
            " in both",
            "cells divide it; agents that read the service at a random moment of the"
            " next 2 s after a hint would take it off the dispatchers (not built)",
        ),
        (
            "starts × document: a starting process asks three routers",
            f"3 × {size / 1000:.0f} KB = {3 * size / 1e6:.1f} MB for each start",
            "within on average",
            "nothing needed",
        ),
        (
            "hosts × processes: each process reads the host list when it has changed",
            f"{page / 1000:.0f} KB for each of {t.HOST_CHANGES_PER_DAY} changes a day,"
            f" {page * t.HOST_CHANGES_PER_DAY / t.DAY_S / 1000:.2f} KB/s at each node",
            format_verdict(
                page * t.HOST_CHANGES_PER_DAY / t.DAY_S / 1000,
                t.BUDGET_TRAFFIC_KB_PER_S,
            ),
            "nothing needed",
        ),
        (
            "free places × tickets: each renewed ticket sends the list of all"
            " open ones",
            f"{free / 1000:.1f} KB/s measured at {t.IN_FLIGHT_PER_AGENT} free places",
            format_verdict(free / 1000, t.BUDGET_TRAFFIC_KB_PER_S),
            "tickets renewed together",
        ),
        (
            "requests in flight × ticks: an agent looks at each request on every tick",
            f"{in_flight * t.IN_FLIGHT_PER_AGENT / 10:.1f}% of a core at"
            f" {t.IN_FLIGHT_PER_AGENT}",
            format_verdict(
                in_flight * t.IN_FLIGHT_PER_AGENT / 10, t.BUDGET_CORE_PERCENT
            )
            + " alone",
            "a scan every 50 ms",
        ),
        (
            "cells × workspaces: each passive dispatcher holds the shares of all"
            " workspaces",
            f"{memory / 1000:.0f} KB for each dispatcher,"
            f" {memory * t.N_CELLS / 1e6:.1f} MB for {t.N_CELLS}",
            format_verdict(memory * t.N_CELLS / 1e6, t.BUDGET_MEMORY_MB),
            "nothing needed",
        ),
    ]
    head = "| mechanism | cost | budget | what replaces it |\n|---|---|---|---|\n"
    return head + "\n".join("| " + " | ".join(row) + " |" for row in rows)


def format_verdict(value, budget):
    """Return the words that say whether a value is over its budget."""
    return "**over**" if value > budget else "within"


PARAGRAPHS = {
    "backlog": describe_backlog,
    "document": describe_document,
    "restarts": describe_restarts,
    "losses": describe_losses,
    "tokens": describe_tokens,
    "products": describe_products,
}
