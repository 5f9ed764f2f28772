"""What touches sockets: clients, cache servers, discovery and the other routers."""
