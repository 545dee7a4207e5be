"""The platform's names, formats and calls, turned into the product's types."""
