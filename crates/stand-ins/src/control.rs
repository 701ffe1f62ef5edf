//! The control thread of a fake: the only owner of its state.

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use tokio::sync::{oneshot, watch};
use tokio::time::timeout;

enum Job<S> {
    Read(Box<dyn FnOnce(&S) + Send>),
    Tidy(Box<dyn FnOnce(&mut S) + Send>),
    Change(Box<dyn FnOnce(&mut S) + Send>),
}

/// Sends reads and changes to the thread that owns the state `S`.
pub(crate) struct Controller<S> {
    jobs: mpsc::Sender<Job<S>>,
    changes: watch::Receiver<u64>,
}

impl<S> Clone for Controller<S> {
    fn clone(&self) -> Self {
        Self { jobs: self.jobs.clone(), changes: self.changes.clone() }
    }
}

impl<S: Send + 'static> Controller<S> {
    /// Starts the control thread. It ends with the last controller.
    pub(crate) fn start(state: S) -> Self {
        let (jobs, inbox) = mpsc::channel();
        let (sender, changes) = watch::channel(0);
        thread::spawn(move || run(state, &inbox, &sender));
        Self { jobs, changes }
    }

    /// Reads the state.
    pub(crate) async fn read<R: Send + 'static>(
        &self,
        view: impl FnOnce(&S) -> R + Send + 'static,
    ) -> R {
        let (reply, result) = oneshot::channel();
        self.send(Job::Read(Box::new(move |state| drop(reply.send(view(state))))));
        result.await.expect("the control thread outlives its controllers")
    }

    /// Changes the state and wakes whoever waits for a change.
    pub(crate) async fn change<R: Send + 'static>(
        &self,
        edit: impl FnOnce(&mut S) -> R + Send + 'static,
    ) -> R {
        let (reply, result) = oneshot::channel();
        self.send(Job::Change(Box::new(move |state| drop(reply.send(edit(state))))));
        result.await.expect("the control thread outlives its controllers")
    }

    /// Changes the state in a way that nobody waits for, and wakes nobody.
    pub(crate) async fn tidy<R: Send + 'static>(
        &self,
        edit: impl FnOnce(&mut S) -> R + Send + 'static,
    ) -> R {
        let (reply, result) = oneshot::channel();
        self.send(Job::Tidy(Box::new(move |state| drop(reply.send(edit(state))))));
        result.await.expect("the control thread outlives its controllers")
    }

    /// Changes the state without waiting for the effect; later jobs see it.
    pub(crate) fn post(&self, edit: impl FnOnce(&mut S) + Send + 'static) {
        self.send(Job::Change(Box::new(edit)));
    }

    /// Reads the state from code that is not async; blocks until the control thread replies.
    pub(crate) fn read_blocking<R: Send + 'static>(
        &self,
        view: impl FnOnce(&S) -> R + Send + 'static,
    ) -> R {
        let (reply, result) = mpsc::channel();
        self.send(Job::Read(Box::new(move |state| drop(reply.send(view(state))))));
        result.recv().expect("the control thread outlives its controllers")
    }

    /// Waits until `view` gives a value, at most `wait`.
    pub(crate) async fn wait_for<R: Send + 'static>(
        &self,
        wait: Duration,
        view: impl Fn(&S) -> Option<R> + Clone + Send + 'static,
    ) -> Option<R> {
        timeout(wait, self.wait(view)).await.ok()
    }

    /// Waits until `view` gives a value.
    pub(crate) async fn wait<R: Send + 'static>(
        &self,
        view: impl Fn(&S) -> Option<R> + Clone + Send + 'static,
    ) -> R {
        let mut changes = self.changes.clone();
        loop {
            changes.borrow_and_update();
            if let Some(value) = self.read(view.clone()).await {
                return value;
            }
            changes.changed().await.expect("the control thread outlives its controllers");
        }
    }

    fn send(&self, job: Job<S>) {
        self.jobs.send(job).expect("the control thread outlives its controllers");
    }
}

fn run<S>(mut state: S, inbox: &mpsc::Receiver<Job<S>>, changed: &watch::Sender<u64>) {
    while let Ok(job) = inbox.recv() {
        match job {
            Job::Read(view) => view(&state),
            Job::Tidy(edit) => edit(&mut state),
            Job::Change(edit) => {
                edit(&mut state);
                changed.send_modify(|changes| *changes += 1);
            }
        }
    }
}
