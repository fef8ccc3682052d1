//! [`PrimaryMap`], which stores entities and allocates references to them.

use core::marker::PhantomData;
use core::ops::{Index, IndexMut};

use crate::EntityRef;

/// Map that owns the values of one kind of entity. References are dense from zero.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrimaryMap<K, V> {
    values: Vec<V>,
    kind: PhantomData<K>,
}

impl<K, V> Default for PrimaryMap<K, V> {
    fn default() -> Self {
        Self {
            values: Vec::new(),
            kind: PhantomData,
        }
    }
}

impl<K: EntityRef, V> PrimaryMap<K, V> {
    /// Creates an empty map.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores a value and returns the reference to it.
    pub fn push(&mut self, value: V) -> K {
        let key = K::new(self.values.len());
        self.values.push(value);
        key
    }

    /// Returns the value of a reference, or `None` if it is beyond the last entity.
    #[must_use]
    pub fn get(&self, key: K) -> Option<&V> {
        self.values.get(key.index())
    }

    /// Returns the number of entities.
    #[must_use]
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Returns whether there are no entities.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// Returns all values as a slice, for binary searches.
    #[must_use]
    pub fn as_slice(&self) -> &[V] {
        &self.values
    }

    /// Returns the entity of this name by binary search. The values must be in ascending
    /// order of the names that `key` returns.
    #[must_use]
    pub fn find_name<'a>(&'a self, name: &str, key: impl Fn(&'a V) -> &'a str) -> Option<K> {
        let found = self.values.binary_search_by(|value| key(value).cmp(name));
        found.ok().map(K::new)
    }

    /// Returns all references, in order.
    #[must_use]
    pub fn keys(&self) -> impl ExactSizeIterator<Item = K> + use<K, V> {
        (0..self.values.len()).map(K::new)
    }

    /// Returns all values, in order of their references.
    pub fn values(&self) -> core::slice::Iter<'_, V> {
        self.values.iter()
    }

    /// Returns all references with their values, in order.
    #[must_use]
    pub fn iter(&self) -> impl ExactSizeIterator<Item = (K, &V)> {
        self.values.iter().enumerate().map(|(i, v)| (K::new(i), v))
    }

    /// Returns all references with mutable values, in order.
    pub fn iter_mut(&mut self) -> impl ExactSizeIterator<Item = (K, &mut V)> {
        self.values
            .iter_mut()
            .enumerate()
            .map(|(i, v)| (K::new(i), v))
    }
}

impl<K: EntityRef, V> Index<K> for PrimaryMap<K, V> {
    type Output = V;

    fn index(&self, key: K) -> &V {
        &self.values[key.index()]
    }
}

impl<K: EntityRef, V> IndexMut<K> for PrimaryMap<K, V> {
    fn index_mut(&mut self, key: K) -> &mut V {
        &mut self.values[key.index()]
    }
}

impl<K: EntityRef, V> FromIterator<V> for PrimaryMap<K, V> {
    fn from_iter<I: IntoIterator<Item = V>>(iter: I) -> Self {
        Self {
            values: iter.into_iter().collect(),
            kind: PhantomData,
        }
    }
}
