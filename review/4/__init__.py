"""A planned stop cuts off requests that the node accepted late."""
