"""Limits and time-outs of client connections."""

# Size of one read from a client's socket; a connection's stream reader may hold twice as much unread data.
READ_BYTES = 16384
# Commands of one connection that may await their response; further ones are read, but not processed.
MAX_PIPELINED_COMMANDS = 16
# Memory of a request beside the bytes of its command: its records in all actors, and its connection to a server.
REQUEST_OVERHEAD_BYTES = 6144
# Share of the memory for buffered values that unprocessed commands of all connections may take.
READ_AHEAD_SHARE = 0.5
# Share of what is free of it that one connection may take, and its limit in bytes.
FREE_READ_AHEAD_SHARE = 1 / 8
MAX_READ_AHEAD_BYTES = 4 << 20
# A connection is closed after this many malformed commands.
MAX_MALFORMED_COMMANDS = 8
# The writer waits for a slow client while more than this is in the connection's write buffer.
MAX_UNSENT_BYTES = 32768
# Received data that a lingering connection discards at most.
MAX_LINGER_BYTES = 1 << 20

# A connection is aborted if its client takes none of the bytes of its responses for this long.
WRITE_STALL_TIMEOUT_MS = 10000.0
WRITE_STALL_CHECK_INTERVAL_MS = 2500.0
# More of a chunked value must arrive within this time, which also bounds the wait for a server that reads none of it.
VALUE_TIMEOUT_MS = 30000.0
# A request is answered this long before its client's time-out would expire, counted from the request's arrival: the
# time-out starts when the client sends the request, and the response needs time to travel back.
RESPONSE_MARGIN_MS = 4.0
# Received data is read and discarded for this long after our end of file, as closing with unread data would reset the
# connection; for longer while the client still takes responses.
LINGER_TIMEOUT_MS = 500.0

# The head of a command must be complete within this time after its first byte, and more of its value must arrive
# within this time.
COMMAND_TIMEOUT_MS = 2200.0
# An idle connection is closed after this time even if there are free descriptors.
IDLE_TIMEOUT_MS = 8000.0
# An idle connection is closed after this time if it has sent no command yet, or while the number of
# clients is near the idle client threshold.
SHORT_IDLE_TIMEOUT_MS = 2000.0
# A connection that has sent no command for this long is among the first to be evicted.
SILENT_CONNECTION_MS = 100.0
# A connection with a partial command of this age is evicted like a silent one when descriptors run out.
STALLED_COMMAND_MS = 500.0
# Interval of the polls for disconnects of paused connections; a disconnect must be detected within 100 ms.
DISCONNECT_CHECK_INTERVAL_MS = 40.0
# No attempt starts for a client whose end of file could have stayed unseen for longer: 100 ms after its close, less the
# time until an attempt is written.
MAX_UNSEEN_MS = 60.0
