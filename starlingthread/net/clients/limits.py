"""Bounds and time-outs of client connections."""

READ_BYTES = 16384  # bytes read at once; twice as many may lie unread in a connection's stream reader
MAX_PIPELINED = 16  # commands of one connection that may await their response; beyond it, reading pauses
MAX_MALFORMED_COMMANDS = 8  # malformed commands after which a connection is closed
MAX_UNSENT_BYTES = 32768  # bytes that may lie unsent for a slow client before the writer waits for it
MAX_LINGER_BYTES = 1 << 20  # bytes discarded at most while lingering

WRITE_STALL_TIMEOUT_MS = 10000.0  # a client that reads nothing of its responses for so long is cut off
VALUE_TIMEOUT_MS = 30000.0  # a chunked value must be complete by then; bounds the wait for a server that takes none
RESPONSE_MARGIN_MS = 4.0  # the client's timeout runs from its send, and the response has to travel back as well
LINGER_TIMEOUT_MS = 500.0  # reading on after our end of file: a close over unread bytes would reset the connection

COMMAND_TIMEOUT_MS = 2200.0  # a command must be complete so long after its first byte
IDLE_TIMEOUT_MS = 8000.0  # an idle connection is closed after this even if descriptors are plenty
SHORT_IDLE_TIMEOUT_MS = 2000.0  # the same before the first command, or when connections are crowded
SILENT_CONNECTION_MS = 100.0  # a connection that has sent no command for so long is evicted first
STALLED_COMMAND_MS = 500.0  # a partial command of this age counts as silence when descriptors run out
DISCONNECT_CHECK_INTERVAL_MS = 40.0  # between polls for disconnects of paused connections; 100 ms are allowed
