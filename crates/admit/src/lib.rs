//! Admission, queues and slots beside a target.
