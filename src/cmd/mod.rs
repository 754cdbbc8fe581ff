//! The sub-commands of the operator tool, one file each.
