//! The protocol between the daemons: h2 streams with bincode.
