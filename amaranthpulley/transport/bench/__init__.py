"""The project's own emulator and experiments, run by ``amaranthpulley bench``."""
