//! Loans of idle slots between the entry VMs of the domain.
//!
//! Each entry VM has a quota of every server's slots. A VM with waiting requests asks a peer for an
//! idle slot. The ledgers of lender and borrower both limit each loan in time, so a lost message or
//! a paused process cannot leave a slot assigned to two VMs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use config::{ServerId, ServiceId};
use http::client::ClientOptions;
use limits::slots::{Grant, LoanRequest, Renewal, Term, WireGrant};
use serde::{Deserialize, Serialize};

use crate::node::Node;

/// Path of loan messages.
pub const PATH: &str = "/peer/loan";
/// Interval at which loans are extended and returned; a tenth of their term of 500 ms.
pub const PERIOD: Duration = Duration::from_millis(50);
/// Delay before the next loan request after a peer had nothing to lend.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Longest queue of services to request slots for.
const MAX_QUEUED_REQUESTS: usize = 64;

/// Message to a lender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// Requests a loan of an idle slot of any server of the service, for the given term.
    #[serde(rename = "Ask")]
    Request(ServiceId, Term),
    /// Requests an extension of the loan with this number.
    Extend(u64),
    /// Returns the loans with these numbers.
    Return(Vec<u64>),
}

/// Answer of a lender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Answer {
    /// A slot of this server is lent.
    Lent(ServerId, WireGrant),
    /// The loan is extended, or the loans are returned.
    Done,
    /// No slot can be lent, or the loan to extend has ended.
    #[serde(rename = "Nothing")]
    Declined,
}

/// Loans that this entry VM has borrowed.
pub struct Loans {
    /// Peer address of the lender, by server and loan number.
    lenders: Mutex<BTreeMap<(ServerId, u64), SocketAddr>>,
    /// Services with waiting requests, to request slots for.
    requests: (Sender<ServiceId>, Receiver<ServiceId>),
}

impl Default for Loans {
    fn default() -> Self {
        Loans {
            lenders: Mutex::default(),
            requests: async_channel::bounded(MAX_QUEUED_REQUESTS),
        }
    }
}

impl Loans {
    /// Queues a request for a loan of a slot of the service.
    pub fn request(&self, service: &ServiceId) {
        // With a full queue the request is dropped: loans are already being requested.
        let _ = self.requests.0.try_send(service.clone());
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<(ServerId, u64), SocketAddr>> {
        self.lenders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Limits of a loan message; an answer that arrives after the loan term is useless.
fn options() -> ClientOptions {
    ClientOptions {
        connect_timeout: Duration::from_millis(200),
        timeout: Duration::from_millis(400),
        max_body: 4096,
        ..ClientOptions::default()
    }
}

/// Requests loans from peers for services with waiting requests.
pub async fn request_loans(node: Arc<Node>) {
    while let Ok(service) = node.loans.requests.1.recv().await {
        let Some(term) = node.admission.waiting_loan_term(&service) else {
            continue;
        };
        if !request_from_peer(&node, &service, term).await {
            runtime::sleep(RETRY_INTERVAL).await;
        }
        if node.admission.waiting_loan_term(&service).is_some() {
            node.loans.request(&service);
        }
    }
}

/// Requests a loan from a peer that has reported idle slots; returns whether one was borrowed.
async fn request_from_peer(node: &Arc<Node>, service: &ServiceId, term: Term) -> bool {
    let Some(address) = node.peer_with_free_slots(service) else {
        runtime::sleep(PERIOD).await;
        return false;
    };
    let sent = node.now();
    let message = Message::Request(service.clone(), term);
    let answer = Box::pin(node.call(address, PATH, &message, &options())).await;
    let Ok(Answer::Lent(server, grant)) = answer else {
        metrics::counter!("loans_total", "result" => "refused").increment(1);
        return false;
    };
    let loan = grant.loan;
    let request = LoanRequest {
        server: server.clone(),
        sent,
        term,
    };
    if !node.admission.borrow(service, &request, Grant::from(grant)) {
        metrics::counter!("loans_total", "result" => "late").increment(1);
        return false;
    }
    metrics::counter!("loans_total", "result" => "lent").increment(1);
    node.loans.lock().insert((server, loan), address);
    true
}

/// Periodically extends loans in use, returns idle loans and cancels requests on ended loans.
pub async fn maintain(node: Arc<Node>, ticks: Receiver<Duration>) {
    while ticks.recv().await.is_ok() {
        let (renewals, idle) = node.admission.maintain_loans();
        for renewal in renewals {
            let lender = node
                .loans
                .lock()
                .get(&(renewal.server.clone(), renewal.loan))
                .copied();
            if let Some(address) = lender {
                runtime::spawn(extend(node.clone(), address, renewal)).detach();
            }
        }
        for (server, loan) in idle {
            if let Some(address) = node.loans.lock().remove(&(server, loan)) {
                runtime::spawn(return_loan(node.clone(), address, loan)).detach();
            }
        }
        node.loans
            .lock()
            .retain(|(server, loan), _| node.admission.has_loan(server, *loan));
    }
}

async fn extend(node: Arc<Node>, address: SocketAddr, renewal: Renewal) {
    let sent = node.now();
    let message = Message::Extend(renewal.loan);
    if let Ok(Answer::Done) = Box::pin(node.call(address, PATH, &message, &options())).await {
        node.admission.record_extension(&renewal, sent);
    }
}

async fn return_loan(node: Arc<Node>, address: SocketAddr, loan: u64) {
    // If the message is lost, the loan ends with its term.
    let message = Message::Return(vec![loan]);
    let _: http::Result<Answer> = Box::pin(node.call(address, PATH, &message, &options())).await;
}

/// Handles a message of a borrower.
pub fn answer(node: &Node, message: &Message) -> Answer {
    match message {
        Message::Request(service, term) => match node.admission.lend(service, *term) {
            Some((server, grant)) => Answer::Lent(server, grant),
            None => Answer::Declined,
        },
        Message::Extend(loan) if node.admission.extend_loan(*loan) => Answer::Done,
        Message::Extend(_) => Answer::Declined,
        Message::Return(loans) => {
            node.admission.record_returns(loans);
            Answer::Done
        }
    }
}
