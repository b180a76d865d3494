//! A router for servers that own keys exclusively: the public types of its crates.

#[doc(inline)]
pub use wagtail_admit as admit;
#[doc(inline)]
pub use wagtail_assign as assign;
#[doc(inline)]
pub use wagtail_core as core;
#[doc(inline)]
pub use wagtail_intent as intent;
#[doc(inline)]
pub use wagtail_lease as lease;
#[doc(inline)]
pub use wagtail_route as route;
