"""Refusals issued by the gateway itself, and the JSON encoding of all refusals."""

import msgspec

from catkinfork.routing import NOT_RUN, Refusal

UNAUTHORIZED = Refusal(
    "unauthorized", 401, NOT_RUN, 0.0, "the API key is missing or unknown"
)
NOT_FOUND = Refusal("not_found", 404, NOT_RUN, 0.0, "no such path")
METHOD_NOT_ALLOWED = Refusal(
    "method_not_allowed", 405, NOT_RUN, 0.0, "the path does not take this method"
)
BODY_TIMEOUT = Refusal(
    "body_timeout", 408, NOT_RUN, 0.0, "the body did not arrive in time"
)
NOT_READY = Refusal("not_ready", 503, NOT_RUN, 1.0, "no document is in force yet")


def refuse_bad_request(code, message):
    """Return a refusal with status 400.

    :param code: stable machine-readable code.
    :param message: human-readable text with the rejected and the allowed values.
    """
    return Refusal(code, 400, NOT_RUN, 0.0, message)


def refuse_unknown_target(target):
    """Return the refusal for a model or service that is not in the document."""
    message = f"no model or service is named {target!r}"
    return Refusal("unknown_target", 404, NOT_RUN, 0.0, message)


def refuse_large_body(max_body_bytes):
    """Return the refusal for a request body that exceeds the size limit.

    :param max_body_bytes: size limit in bytes.
    """
    message = f"the body is larger than {max_body_bytes} bytes"
    return Refusal("body_too_large", 413, NOT_RUN, 0.0, message)


def refuse_large_header(max_header_bytes):
    """Return the refusal for a request head that exceeds the size limit.

    :param max_header_bytes: size limit in bytes.
    """
    message = f"path and headers are larger than {max_header_bytes} bytes"
    return Refusal("header_too_large", 431, NOT_RUN, 0.0, message)


def encode_refusal(refusal, request_id):
    """Encode the JSON body of a refusal.

    :param refusal: :class:`Refusal`.
    :param request_id: id of the request.
    :returns: bytes of the JSON text.
    """
    return msgspec.json.encode(
        {
            "error": {
                "type": find_error_type(refusal.status),
                "code": refusal.code,
                "message": refusal.message,
                "outcome": refusal.outcome,
                "retry_after_s": refusal.retry_after_s,
                "request_id": request_id,
            }
        }
    )


def find_error_type(status):
    """Return the OpenAI-style error type for an HTTP status."""
    types = {
        401: "authentication_error",
        404: "not_found_error",
        429: "rate_limit_error",
    }
    if status in types:
        return types[status]
    return "invalid_request_error" if status < 500 else "server_error"
