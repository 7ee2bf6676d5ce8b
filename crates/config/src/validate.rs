//! Checks of a configuration at every site.

use crate::fault::Faults;
use crate::resolve::Texts;

impl Texts {
    /// Checks the base and the merged result of every site.
    ///
    /// # Errors
    ///
    /// Returns all faults.
    pub fn validate(&self) -> Result<(), Faults> {
        let mut faults = Faults::new();
        if let Err(found) = self.deployment("") {
            faults.extend(found);
        }
        for site in self.overlays.keys() {
            if let Err(found) = self.deployment(site) {
                faults.extend(found);
            }
        }
        faults.into_result(())
    }
}
