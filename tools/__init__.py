"""Tools of the project's own checks; nothing here is shipped."""
