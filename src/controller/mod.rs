//! The role `controller`: drives a replica, serves operators and gateways, and issues orders.
