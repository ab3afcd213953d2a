"""Implementation of the client; not a public interface."""
