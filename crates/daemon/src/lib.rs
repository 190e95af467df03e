//! The daemon as a library, so that the demo embeds it.
