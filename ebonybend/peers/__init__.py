"""Records that control processes exchange and merge."""
