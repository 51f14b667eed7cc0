"""What the commands of operators do."""
