"""Network I/O: connections to clients, cache servers, discovery, operators and other routers."""
