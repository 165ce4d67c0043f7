//! Paced moves of traffic between places.
