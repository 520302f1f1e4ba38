"""What a process holds for peers that this project does not control."""
