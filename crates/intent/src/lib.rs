//! What operators state: one base file, an overlay a site, merged and verified.
