//! Loans of idle slots between the entry VMs of the domain.
//!
//! Each entry VM owns a part of every server's slots. One whose requests wait asks a peer for an
//! idle slot. The ledger bounds each loan in time on both sides, so a lost message or a pause
//! cannot leave a slot in two hands.

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
/// Time between two looks at the loans; a fraction of their term of 500 ms.
pub const PERIOD: Duration = Duration::from_millis(50);
/// Pause after a peer had nothing to lend.
const ASK_INTERVAL: Duration = Duration::from_millis(5);
/// Services that wait to be asked for.
const MAX_WANTED: usize = 64;

/// Message to a lender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// Asks for an idle slot of any server of a service, for this term.
    Ask(ServiceId, Term),
    /// Asks for a longer term.
    Extend(u64),
    /// Gives loans back.
    Return(Vec<u64>),
}

/// Answer of a lender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Answer {
    /// A slot of this server is lent.
    Lent(ServerId, WireGrant),
    /// Done as asked.
    Done,
    /// There is nothing to lend, or the loan has ended.
    Nothing,
}

/// Loans that this entry VM has taken.
pub struct Loans {
    /// Lender per server and loan number.
    lenders: Mutex<BTreeMap<(ServerId, u64), SocketAddr>>,
    /// Services whose requests wait.
    wanted: (Sender<ServiceId>, Receiver<ServiceId>),
}

impl Default for Loans {
    fn default() -> Self {
        Loans {
            lenders: Mutex::default(),
            wanted: async_channel::bounded(MAX_WANTED),
        }
    }
}

impl Loans {
    /// Asks for a slot of a service.
    pub fn want(&self, service: &ServiceId) {
        // A full channel means that enough is asked for.
        let _ = self.wanted.0.try_send(service.clone());
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<(ServerId, u64), SocketAddr>> {
        self.lenders.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Limits of a loan message; an answer after the term of a loan is useless.
fn options() -> ClientOptions {
    ClientOptions {
        connect_timeout: Duration::from_millis(200),
        timeout: Duration::from_millis(400),
        max_body: 4096,
    }
}

/// Asks peers for slots while requests wait.
pub async fn ask(node: Arc<Node>) {
    while let Ok(service) = node.loans.wanted.1.recv().await {
        let Some(term) = node.admission.wanted_term(&service) else {
            continue;
        };
        if !ask_peer(&node, &service, term).await {
            runtime::sleep(ASK_INTERVAL).await;
        }
        if node.admission.wanted_term(&service).is_some() {
            node.loans.want(&service);
        }
    }
}

/// Asks one peer that has reported idle slots; tells whether it lent one.
async fn ask_peer(node: &Arc<Node>, service: &ServiceId, term: Term) -> bool {
    let Some(address) = node.peer_with_free_slots(service) else {
        runtime::sleep(PERIOD).await;
        return false;
    };
    let sent = node.now();
    let message = Message::Ask(service.clone(), term);
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

/// Extends loans in use, returns idle ones and cancels what runs on ended ones.
pub async fn tend(node: Arc<Node>, ticks: Receiver<Duration>) {
    while ticks.recv().await.is_ok() {
        let (renewals, idle) = node.admission.tend_loans();
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
                runtime::spawn(give_back(node.clone(), address, loan)).detach();
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
        node.admission.extended(&renewal, sent);
    }
}

async fn give_back(node: Arc<Node>, address: SocketAddr, loan: u64) {
    // When the message is lost, the loan ends by its term.
    let message = Message::Return(vec![loan]);
    let _: http::Result<Answer> = Box::pin(node.call(address, PATH, &message, &options())).await;
}

/// Answers a borrower.
pub fn answer(node: &Node, message: &Message) -> Answer {
    match message {
        Message::Ask(service, term) => match node.admission.lend(service, *term) {
            Some((server, grant)) => Answer::Lent(server, grant),
            None => Answer::Nothing,
        },
        Message::Extend(loan) if node.admission.extend_loan(*loan) => Answer::Done,
        Message::Extend(_) => Answer::Nothing,
        Message::Return(loans) => {
            node.admission.take_back(loans);
            Answer::Done
        }
    }
}
