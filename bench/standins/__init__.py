"""Small programs that take the place of the systems outside."""
