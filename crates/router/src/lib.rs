//! The router: HTTP serving, upstream calls and the control loops.
