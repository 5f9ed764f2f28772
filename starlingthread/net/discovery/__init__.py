"""Service discovery: endpoint lists, fetched as a whole or watched for changes, over HTTP/1.1 that h11 parses."""

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
