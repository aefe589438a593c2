"""Global traffic steering between clients and backend servers."""
