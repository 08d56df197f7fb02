"""Which instances live, which of them owns a cell, and how they talk."""
