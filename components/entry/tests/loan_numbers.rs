//! Numbers of loans, by which lender and borrower tell the loans of a server apart.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use binding::{KeyContext, KeyRing};
use config::{Rules, Settings};
use deployment::sample::{self, LISTINGS, Shape};
use deployment::{Deployment, Options};
use entry::messages::{LOAN_PATH, LoanAnswer, LoanMessage};
use http::client::{self, ClientOptions};
use http::peer::Signature;
use limits::slots::Term;

/// Outlasts the tests, so that no loan ends by itself.
const TERM: Term = Term::Fixed(Duration::from_secs(10));
/// Time limit for an entry VM to lend its first slot.
const LEND_LIMIT: Duration = Duration::from_secs(10);

/// Sends messages about loans as an entry VM of the deployment.
struct Borrower(KeyRing);

impl Borrower {
    fn new(settings: &Settings) -> Borrower {
        Borrower(KeyRing::new(&settings.keys).unwrap())
    }

    async fn send(&self, lender: SocketAddr, message: LoanMessage) -> LoanAnswer {
        let options = ClientOptions::default();
        let sign = |bytes: &[u8]| {
            let (key_id, mac) = self.0.sign(KeyContext::PeerMessage, bytes);
            Signature { key_id, mac }
        };
        let tcp = client::connect(lender, options.connect_timeout)
            .await
            .unwrap();
        http::peer::call(tcp, LOAN_PATH, &message, sign, &options)
            .await
            .unwrap()
    }

    /// Requests a loan; returns its number, or `None` if the lender has no idle slot.
    async fn request(&self, lender: SocketAddr) -> Option<u64> {
        let message = LoanMessage::Request(LISTINGS.into(), TERM);
        match self.send(lender, message).await {
            LoanAnswer::Lent(_, grant) => Some(grant.loan),
            _ => None,
        }
    }

    /// Borrows all idle slots of a lender and returns the numbers of the loans.
    async fn request_all(&self, lender: SocketAddr) -> BTreeSet<u64> {
        let started = Instant::now();
        let mut numbers = BTreeSet::new();
        loop {
            match self.request(lender).await {
                Some(number) => assert!(numbers.insert(number), "{number} is used twice"),
                None if !numbers.is_empty() => return numbers,
                None => {
                    assert!(started.elapsed() < LEND_LIMIT, "no slot is lent");
                    runtime::sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }
}

/// Runs a test with a failure domain of two entry VMs.
fn run(test: impl AsyncFnOnce(&mut Deployment, Borrower)) {
    runtime::block_on(2, async {
        let shape = Shape {
            domains: 1,
            ..Shape::default()
        };
        let options = Options {
            configuration: sample::configuration(shape, Rules::default()),
            ..Options::default()
        };
        let mut d = Deployment::start(options).await.unwrap();
        let borrower = Borrower::new(&d.entry_vm_settings(d.running()[0]));
        test(&mut d, borrower).await;
        d.stop().await;
    });
}

/// Guards against loans of two lenders with one number: the borrower would extend or return the
/// loan of the other lender, and a slot would be used by two entry VMs.
#[test]
fn lenders_number_their_loans_differently() {
    run(async |d, borrower| {
        let [first, second] = [0, 1].map(|i| d.running()[i].peer_address);
        let first = borrower.request_all(first).await;
        let second = borrower.request_all(second).await;
        assert!(first.is_disjoint(&second), "{first:?} {second:?}");
    });
}

/// Guards against a message about a loan of the earlier process of a lender that is taken for one
/// about a loan of the new process: a lent slot would be lent a second time.
#[test]
fn late_return_to_a_restarted_lender_frees_no_slot() {
    run(async |d, borrower| {
        let vm = d.running()[0].clone();
        let earlier = borrower.request_all(vm.peer_address).await;
        assert!(d.stop_entry_vm(&vm.id).await);
        d.start_entry_vm(&vm).unwrap();
        d.wait_ready().await.unwrap();
        let numbers = borrower.request_all(vm.peer_address).await;
        let returned = LoanMessage::Return(earlier.iter().copied().collect());
        borrower.send(vm.peer_address, returned).await;
        let lent_again = borrower.request(vm.peer_address).await;
        assert_eq!(lent_again, None, "{earlier:?} {numbers:?}");
    });
}
