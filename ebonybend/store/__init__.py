"""The platform's object API: client, watches, rules and audit."""
