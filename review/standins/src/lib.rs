//! Stand-ins for the cases of the review.
//!
//! They follow the users' pages: a store with lists and watches, back ends that read one request at
//! a time from a connection, and requesters. Only the standard library is used.

pub mod drain;
pub mod http;
pub mod instance;
pub mod record;
pub mod requester;
pub mod site;
pub mod store;
