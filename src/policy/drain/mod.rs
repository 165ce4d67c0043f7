//! Drains of targets, places and entries.
