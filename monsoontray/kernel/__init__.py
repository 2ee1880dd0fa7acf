"""The micro-kernel: named services, their tasks and the messages between them."""
