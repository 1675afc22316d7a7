"""Message types of the internal protocol and their numbers on the wire.

Every message is a ``NamedTuple`` that is encoded as a msgpack array, so the order of
the fields is part of the protocol. New fields go at the end and have a default.
Times are in seconds unless a name says otherwise.
"""

from typing import NamedTuple

from catkinfork.protocol._control_messages import (
    DocumentReply,
    DocumentRequest,
    Heartbeat,
    StatusReply,
    StatusRequest,
)
from catkinfork.protocol._dispatch_messages import (
    AgentReport,
    Demand,
    Grant,
    PoolSummary,
    ReportAck,
    TicketReturn,
)
from catkinfork.protocol._execution_messages import (
    Cancel,
    Claim,
    ClaimReply,
    ResponseAck,
    ResponsePart,
    Resume,
    Start,
    StartRefused,
)

Message = (
    Heartbeat
    | DocumentRequest
    | DocumentReply
    | Demand
    | AgentReport
    | ReportAck
    | Grant
    | PoolSummary
    | TicketReturn
    | Start
    | StartRefused
    | ResponsePart
    | ResponseAck
    | Resume
    | Cancel
    | Claim
    | ClaimReply
    | StatusRequest
    | StatusReply
)

# The position of a type is its number on the wire: add new types only at the end.
MESSAGE_TYPES: tuple[type, ...] = Message.__args__


class Send(NamedTuple):
    """Action: send a message to a peer.

    :param destination: internal address ``host:port`` of the peer.
    :param message: the message.
    """

    destination: str
    message: Message
