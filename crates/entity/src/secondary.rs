//! [`SecondaryMap`], which holds further data on entities that a [`PrimaryMap`] owns.
//!
//! [`PrimaryMap`]: crate::PrimaryMap

use core::marker::PhantomData;
use core::ops::{Index, IndexMut};

use crate::EntityRef;

/// Map from entities to values, in which an entity has the default value until it is
/// written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SecondaryMap<K, V> {
    values: Vec<V>,
    default: V,
    kind: PhantomData<K>,
}

impl<K: EntityRef, V: Clone + Default> Default for SecondaryMap<K, V> {
    fn default() -> Self {
        Self::with_default(V::default())
    }
}

impl<K: EntityRef, V: Clone> SecondaryMap<K, V> {
    /// Creates a map in which every entity has the value `default` until it is written.
    #[must_use]
    pub fn with_default(default: V) -> Self {
        Self {
            values: Vec::new(),
            default,
            kind: PhantomData,
        }
    }

    /// Returns the entities up to the last one written, with their values.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.values.iter().enumerate().map(|(i, v)| (K::new(i), v))
    }
}

impl<K: EntityRef, V: Clone> Index<K> for SecondaryMap<K, V> {
    type Output = V;

    fn index(&self, key: K) -> &V {
        self.values.get(key.index()).unwrap_or(&self.default)
    }
}

impl<K: EntityRef, V: Clone> IndexMut<K> for SecondaryMap<K, V> {
    fn index_mut(&mut self, key: K) -> &mut V {
        let i = key.index();
        if i >= self.values.len() {
            self.values.resize(i + 1, self.default.clone());
        }
        &mut self.values[i]
    }
}
