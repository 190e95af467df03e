//! Configuration revisions: publishing, audit chain and distribution.
