//! Lease decisions of owners, witnesses and deputies.
