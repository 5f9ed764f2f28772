"""How load is spread over the servers, beyond one key's usual owners. No I/O, no clock; docs/design/balance.md."""
