//! Serving an accepted request, by the path that its idempotency demands.

use lw_base::prelude::*;

use crate::exchange::Exchange;
use crate::reply::Reply;

impl Exchange {
    /// Serves the request.
    pub(crate) async fn serve(mut self) -> Reply {
        if self.ask.idempotent {
            return self.run().await;
        }
        // Without a record of its key, a request that must not run twice is refused.
        let ending = self.end(ErrorKind::ClaimRefused);
        self.rejection(ending)
    }
}
