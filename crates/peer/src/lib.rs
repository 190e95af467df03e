//! Messages between hosts: codec, authentication, replay protection and transport.
