//! How much filling tasks press on the lasting tasks beside them, learned by image.

/// What is known of images that press on one another.
#[derive(Debug, Default)]
pub struct PaceKeeper {}
