//! How many requests the new version may get.
