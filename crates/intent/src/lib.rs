//! Decisions on intents, plans and confirmations.
