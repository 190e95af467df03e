//! The sample deployments.

use std::str::FromStr;

/// A sample deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Delivery robots in franchised hotels.
    Riad,
    /// Orders of metal powder.
    Sahyog,
}

impl Deployment {
    /// Returns the path of the sample file.
    pub(crate) fn file(self) -> &'static str {
        match self {
            Self::Riad => "samples/riad.json",
            Self::Sahyog => "samples/sahyog.json",
        }
    }

    /// Returns the content of the sample file.
    pub(crate) fn text(self) -> &'static str {
        match self {
            Self::Riad => include_str!("../../../samples/riad.json"),
            Self::Sahyog => include_str!("../../../samples/sahyog.json"),
        }
    }
}

impl FromStr for Deployment {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name {
            "riad" => Ok(Self::Riad),
            "sahyog" => Ok(Self::Sahyog),
            _ => Err(format!("{name:?} is not a deployment; use riad or sahyog")),
        }
    }
}
