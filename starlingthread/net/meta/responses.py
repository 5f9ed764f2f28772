"""Response lines that the router writes of itself."""

CRLF = b"\r\n"
READY_LINE = b"MN" + CRLF
ERROR_LINE = b"ERROR" + CRLF
FAILED_LINE = b"SERVER_ERROR failed" + CRLF
STARTING_LINE = b"SERVER_ERROR starting" + CRLF


def busy_line(retry_after: float) -> bytes:
    """Return the line of a rejection; retry_after is in ms, below 1 it is left out."""
    return b"SERVER_ERROR busy %d\r\n" % retry_after if retry_after >= 1 else b"SERVER_ERROR busy\r\n"
