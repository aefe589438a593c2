"""One odd entry among the servers stops all nodes for seconds."""
