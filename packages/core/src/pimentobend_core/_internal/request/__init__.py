"""The request pipe: the filters from the receipt of a request to its answer."""
