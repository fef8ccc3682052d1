//! A process's own settings: declared, checked, printed.
