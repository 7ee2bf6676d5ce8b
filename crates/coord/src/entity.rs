//! Typed indices and the tables of their names.
//!
//! An index is local to a process and stays valid for the life of its [`NameTable`], which only
//! grows. Messages between processes carry names.

use std::collections::BTreeMap;
use std::marker::PhantomData;

/// A typed index that a [`NameTable`] hands out.
pub trait Entity: Copy + Ord {
    /// Creates the entity from its index.
    fn from_index(index: u32) -> Self;

    /// Returns the index.
    fn index(self) -> u32;
}

macro_rules! entity {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash)]
        pub struct $name(u32);

        impl Entity for $name {
            fn from_index(index: u32) -> Self {
                Self(index)
            }

            fn index(self) -> u32 {
                self.0
            }
        }
    };
}

entity!(
    /// A process of the system.
    Instance
);
entity!(
    /// A group of instances and targets that can fail or be taken out together.
    FailureDomain
);
entity!(
    /// A back end that runs stages.
    Target
);
entity!(
    /// A customer on whose behalf requests are made.
    Organisation
);
entity!(
    /// A set of interchangeable targets.
    Service
);
entity!(
    /// A chain of stages that callers invoke by name.
    Pipeline
);
entity!(
    /// A group of pipelines with the same urgency.
    Class
);

/// A table that maps names to typed indices and back.
#[derive(Clone, Debug)]
pub struct NameTable<E> {
    names: Vec<String>,
    indices: BTreeMap<String, u32>,
    entity: PhantomData<E>,
}

impl<E: Entity> NameTable<E> {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self {
            names: Vec::new(),
            indices: BTreeMap::new(),
            entity: PhantomData,
        }
    }

    /// Returns the index of a name, and adds the name if it is new.
    ///
    /// # Panics
    ///
    /// Panics when the table holds more than `u32::MAX` names.
    pub fn intern(&mut self, name: &str) -> E {
        if let Some(&index) = self.indices.get(name) {
            return E::from_index(index);
        }
        let index = u32::try_from(self.names.len()).expect("a name table holds fewer than 2^32");
        self.names.push(name.to_owned());
        self.indices.insert(name.to_owned(), index);
        E::from_index(index)
    }

    /// Returns the index of a name that is already in the table.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<E> {
        self.indices.get(name).copied().map(E::from_index)
    }

    /// Returns the name of an index.
    ///
    /// # Panics
    ///
    /// Panics when the index comes from another table.
    #[must_use]
    pub fn name(&self, entity: E) -> &str {
        &self.names[entity.index() as usize]
    }

    /// Returns all names in the order in which they were added.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.names.iter().map(String::as_str)
    }

    /// Returns the number of names.
    #[must_use]
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether the table holds no names.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

impl<E: Entity> Default for NameTable<E> {
    fn default() -> Self {
        Self::new()
    }
}
