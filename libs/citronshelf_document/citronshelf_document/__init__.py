"""Model, validation, comparison and routing of documents."""
