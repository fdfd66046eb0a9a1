package issuer

import (
	"context"

	"jackdawcart.org/core/callerapi"
	"jackdawcart.org/core/messenger/peerpb"
)

// ExecuteKey runs a request under an idempotency key.
func (i *Issuer) ExecuteKey(_ context.Context, _ string, _ Request) (*peerpb.ExecuteAnswer, error) {
	return nil, &Error{
		Op: "execute", Kind: callerapi.ErrorCodeStoreUnreachable,
		Outcome: peerpb.Outcome_OUTCOME_NOT_RUN, Message: "idempotency keys are not served",
	}
}
