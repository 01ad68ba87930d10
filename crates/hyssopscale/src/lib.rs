//! Serving layer for very many LoRA adapters.
