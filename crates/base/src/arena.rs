//! Append-only vectors that are indexed by typed keys.

use std::marker::PhantomData;
use std::ops::{Index, IndexMut};
use std::sync::Arc;

use crate::fast_map::FastMap;

/// A key into an [`Arena`].
pub trait ArenaKey: Copy {
    /// Returns the key of the entry at `index`.
    fn from_index(index: usize) -> Self;
    /// Returns the index of the entry.
    fn index(self) -> usize;
}

/// An append-only vector that is indexed by typed keys.
#[derive(Clone, Debug)]
pub struct Arena<K, V> {
    entries: Vec<V>,
    marker: PhantomData<K>,
}

impl<K, V> Default for Arena<K, V> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            marker: PhantomData,
        }
    }
}

impl<K: ArenaKey, V> Arena<K, V> {
    /// Appends an entry and returns its key.
    pub fn push(&mut self, value: V) -> K {
        let key = K::from_index(self.entries.len());
        self.entries.push(value);
        key
    }

    /// Returns the entry of `key`, or `None` when `key` is out of range, which a key of another arena may be.
    pub fn get(&self, key: K) -> Option<&V> {
        self.entries.get(key.index())
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Iterates over keys and entries in order of insertion.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.entries
            .iter()
            .enumerate()
            .map(|(index, value)| (K::from_index(index), value))
    }

    /// Iterates over the keys in order of insertion.
    pub fn keys(&self) -> impl Iterator<Item = K> + use<K, V> {
        (0..self.entries.len()).map(K::from_index)
    }
}

impl<K: ArenaKey, V> Index<K> for Arena<K, V> {
    type Output = V;

    fn index(&self, key: K) -> &V {
        &self.entries[key.index()]
    }
}

impl<K: ArenaKey, V> IndexMut<K> for Arena<K, V> {
    fn index_mut(&mut self, key: K) -> &mut V {
        &mut self.entries[key.index()]
    }
}

/// An arena whose entries can also be looked up by name.
#[derive(Clone, Debug)]
pub struct NamedArena<K, V> {
    entries: Arena<K, V>,
    names: Vec<Arc<str>>,
    by_name: FastMap<Arc<str>, K>,
}

impl<K, V> Default for NamedArena<K, V> {
    fn default() -> Self {
        Self {
            entries: Arena::default(),
            names: Vec::new(),
            by_name: FastMap::default(),
        }
    }
}

impl<K: ArenaKey, V> NamedArena<K, V> {
    /// Appends an entry with a name; lookups by name find the last entry of that name.
    pub fn push(&mut self, name: impl Into<Arc<str>>, value: V) -> K {
        let name = name.into();
        let key = self.entries.push(value);
        self.names.push(name.clone());
        self.by_name.insert(name, key);
        key
    }

    /// Returns the key of the last entry with `name`.
    pub fn key(&self, name: &str) -> Option<K> {
        self.by_name.get(name).copied()
    }

    /// Returns the name of the entry of `key`.
    ///
    /// # Panics
    ///
    /// Panics when `key` is out of range.
    pub fn name(&self, key: K) -> &Arc<str> {
        &self.names[key.index()]
    }

    /// Returns the entry of `key`, or `None` when `key` is out of range.
    pub fn get(&self, key: K) -> Option<&V> {
        self.entries.get(key)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Iterates over keys, names and entries in order of insertion.
    pub fn iter(&self) -> impl Iterator<Item = (K, &Arc<str>, &V)> {
        self.entries
            .iter()
            .map(|(key, value)| (key, &self.names[key.index()], value))
    }

    /// Iterates over the keys in order of insertion.
    pub fn keys(&self) -> impl Iterator<Item = K> + use<K, V> {
        self.entries.keys()
    }
}

impl<K: ArenaKey, V> Index<K> for NamedArena<K, V> {
    type Output = V;

    fn index(&self, key: K) -> &V {
        &self.entries[key]
    }
}

impl<K: ArenaKey, V> IndexMut<K> for NamedArena<K, V> {
    fn index_mut(&mut self, key: K) -> &mut V {
        &mut self.entries[key]
    }
}
