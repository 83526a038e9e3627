//! Answers to requests that failed.

use gullspar_wire::{Channel, ErrorReport, WireError, caller, ready, status};

use crate::local_answer::complete_locally;
use crate::request::{Request, RequestEnd};
use crate::session::Session;
use crate::session_state::TransactionState;
use crate::statement::StatementKind;

impl Session {
    /// Answers requests with an error until the caller ends its lost transaction.
    ///
    /// Otherwise a caller that overlooks the error would run the rest of its transaction as single
    /// statements.
    pub(crate) async fn answer_in_lost_transaction(
        &mut self,
        channel: &mut Channel,
        req: &Request,
    ) -> Result<(), WireError> {
        let ends = req
            .statements
            .iter()
            .any(|it| matches!(it.kind, StatementKind::Commit | StatementKind::RollBack));
        if !ends {
            let report = ErrorReport::error("25P02", "the transaction was lost and must be ended")
                .with_hint("not run; roll back and begin again");
            return self.fail(channel, req, &report).await;
        }
        self.state.transaction = TransactionState::Idle;
        complete_locally(channel, &req.kinds, None, "ROLLBACK");
        self.finish(channel, req).await
    }

    /// Answers a request with an error.
    pub(crate) async fn fail(
        &mut self,
        channel: &mut Channel,
        req: &Request,
        report: &ErrorReport,
    ) -> Result<(), WireError> {
        report.encode(channel.outgoing());
        if req.end == RequestEnd::Flush {
            skip_to_sync(channel).await?;
        }
        if matches!(self.state.transaction, TransactionState::Open { .. }) {
            self.state.transaction = TransactionState::Failed { on_target: false };
            self.release_lane(None);
        }
        self.finish(channel, req).await
    }

    /// Sends ReadyForQuery with the transaction's status; a Flush without queued answers gets none.
    pub(crate) async fn finish(
        &mut self,
        channel: &mut Channel,
        req: &Request,
    ) -> Result<(), WireError> {
        if req.end == RequestEnd::Flush && channel.queued() == 0 {
            return Ok(());
        }
        let byte = match self.state.transaction {
            TransactionState::Idle => status::IDLE,
            TransactionState::Open { .. } => status::IN_TRANSACTION,
            TransactionState::Failed { .. } => status::FAILED,
        };
        channel.queue(ready(byte).bytes());
        channel.flush().await
    }
}

/// Skips the rest of a batch after an error, up to and including its Sync.
async fn skip_to_sync(channel: &mut Channel) -> Result<(), WireError> {
    channel.flush().await?;
    while channel.next().await?.kind() != caller::SYNC {}
    Ok(())
}
