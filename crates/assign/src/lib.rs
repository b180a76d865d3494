//! Decisions on which target owns which slice.
