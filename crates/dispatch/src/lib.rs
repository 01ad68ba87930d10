//! Attempts of one request: outcomes, retries, upstream health and poison requests.
