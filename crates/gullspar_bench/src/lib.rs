//! Under construction.
