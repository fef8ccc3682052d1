//! A small load-and-measure tool on the stand-ins.
