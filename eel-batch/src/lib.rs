//! Batch jobs: chunks, claims, item attempts, deadline order and job admission.
