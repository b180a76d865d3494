//! Choice of the next hop, retries and their budgets.
