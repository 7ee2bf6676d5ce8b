//! Comparison of the new version with the old one over the same periods.
