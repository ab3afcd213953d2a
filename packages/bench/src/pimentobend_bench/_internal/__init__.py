"""Implementation of the bench; not a public interface."""
