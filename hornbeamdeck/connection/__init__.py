"""Sockets, HTTP and peer connections, and the clients built on them."""
