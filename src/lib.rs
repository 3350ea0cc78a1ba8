//! quaypath: the decision core of a storage gateway. It knows no wire, clock or network of its own:
//! events come in as calls on [`brain::Brain`], actions leave through [`types::Outbox`].

pub mod brain;
pub mod ring;
pub mod state;
pub mod store;
pub mod types;
