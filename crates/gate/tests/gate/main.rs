//! Tests of admission control and of backpressure between services.

mod calls;
mod limits;
mod slots;
