"""The bench's adapter: it hosts many instances of the decision module on one wire."""
