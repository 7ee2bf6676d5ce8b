//! Typed indices of interned names.
//!
//! An index comes from a [`NameTable`] and remains valid for the lifetime of the table, which never
//! removes a name. Indices differ between processes, so messages carry names.

use std::collections::BTreeMap;
use std::marker::PhantomData;

/// An index into a [`NameTable`], with a type for each kind of name.
pub trait Entity: Copy + Ord {
    /// Creates the entity from a position in the name table.
    fn from_index(index: u32) -> Self;

    /// Returns the position in the name table.
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
    /// A process of this system.
    Instance
);
entity!(
    /// A group of instances and targets that fail together and can be drained together.
    FailureDomain
);
entity!(
    /// A back end that executes stages.
    Target
);
entity!(
    /// A customer on whose behalf clients send requests.
    Organisation
);
entity!(
    /// A set of interchangeable targets.
    Service
);
entity!(
    /// A sequence of stages that clients invoke by name.
    Pipeline
);
entity!(
    /// A group of pipelines with the same priority.
    Class
);

/// A mapping between names and typed indices.
#[derive(Clone, Debug)]
pub struct NameTable<E> {
    names: Vec<String>,
    indices: BTreeMap<String, u32>,
    entity: PhantomData<E>,
}

impl<E: Entity> NameTable<E> {
    /// Creates a table without names.
    #[must_use]
    pub fn new() -> Self {
        Self {
            names: Vec::new(),
            indices: BTreeMap::new(),
            entity: PhantomData,
        }
    }

    /// Returns the index of a name, and adds the name if the table does not have it.
    ///
    /// # Panics
    ///
    /// Panics when the new index would exceed `u32::MAX`.
    pub fn intern(&mut self, name: &str) -> E {
        if let Some(&index) = self.indices.get(name) {
            return E::from_index(index);
        }
        let index = u32::try_from(self.names.len()).expect("the index fits into 32 bits");
        self.names.push(name.to_owned());
        self.indices.insert(name.to_owned(), index);
        E::from_index(index)
    }

    /// Returns the index of a name, or `None` when the table does not have the name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<E> {
        self.indices.get(name).copied().map(E::from_index)
    }

    /// Returns the name at an index.
    ///
    /// # Panics
    ///
    /// Panics when the index is out of range, which can only happen when it comes from another
    /// table.
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
