"""Budget for the memory that requests and responses take."""
