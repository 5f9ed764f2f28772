"""Response lines that the router writes to clients itself, without an answer of a cache server."""

CRLF = b"\r\n"
READY_LINE = b"MN" + CRLF
ERROR_LINE = b"ERROR" + CRLF
FAILED_LINE = b"SERVER_ERROR failed" + CRLF
STARTING_LINE = b"SERVER_ERROR starting" + CRLF


def busy_line(retry_after: float) -> bytes:
    """Return the line that rejects a request; retry_after is in ms and is omitted if it is below 1."""
    return b"SERVER_ERROR busy %d\r\n" % retry_after if retry_after >= 1 else b"SERVER_ERROR busy\r\n"
