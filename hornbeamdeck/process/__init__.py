"""Components whose lifetime is that of the process."""
