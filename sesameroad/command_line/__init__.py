"""The sesameroad command and its subcommands."""
