//! Small stand-ins for the platform and for targets. Never published.
