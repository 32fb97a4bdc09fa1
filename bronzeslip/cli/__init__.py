"""Command bronzeslipctl, for operators."""
