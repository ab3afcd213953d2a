"""Find the requests that crash the backend servers that run them, and block them."""
