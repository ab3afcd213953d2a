"""The request pipe: the filters that each request passes."""
