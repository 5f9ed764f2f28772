"""Client of service discovery: fetches whole endpoint lists or watches them for changes, over HTTP/1.1 with h11."""

from .actor import LIST_PATH, DiscoveryActor
from .endpoint_list import EndpointListParser, parse_address
from .errors import DiscoveryCallError, EndpointListError
from .json_stream import JsonObjectSplitter
from .server_ids import ServerIds

__all__ = [
    "LIST_PATH",
    "DiscoveryActor",
    "DiscoveryCallError",
    "EndpointListError",
    "EndpointListParser",
    "JsonObjectSplitter",
    "ServerIds",
    "parse_address",
]
