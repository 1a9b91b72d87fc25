"""Programs: identifiers, histories and the shards that hold them."""
