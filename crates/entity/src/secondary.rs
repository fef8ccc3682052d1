//! Further facts about entities that another map owns.

use core::marker::PhantomData;
use core::ops::{Index, IndexMut};

use crate::EntityRef;

/// Associates a value with each entity; entities never written have the default.
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
    /// A map in which every entity has `default` until written.
    #[must_use]
    pub fn with_default(default: V) -> Self {
        Self {
            values: Vec::new(),
            default,
            kind: PhantomData,
        }
    }

    /// Entities up to the last one written, with their values.
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
