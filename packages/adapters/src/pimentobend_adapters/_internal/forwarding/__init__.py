"""Forward requests from daemon to daemon.

The origin of a request is the daemon that received it from the caller. A server's
daemon is the one on the server's machine; only it sends the server requests. Each
try to have a server run a request is an attempt.
"""
